// Package signals handles the signals of a server from program initialization to exit.
// Without a handler, the kernel's default action for SIGHUP and SIGTERM ends the process,
// for instance while it opens its data directory, or during a drain if the handlers have
// been removed. The handlers are therefore installed when this package is initialized and
// never removed. Initialization runs before main and before that of most other packages,
// because this package imports nothing that is slow to initialize. The process remains
// unprotected only for the few milliseconds from exec to that point.
//
// Programs that are not servers must not import this package, or must call Default first.
package signals

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// A buffer of one signal suffices, because further signals of a kind ask for the same.
var (
	stops   = make(chan os.Signal, 1)
	reloads = make(chan os.Signal, 1)
)

func init() {
	signal.Notify(stops, os.Interrupt, syscall.SIGTERM)
	signal.Notify(reloads, syscall.SIGHUP)
	// A write to a log whose reader is gone must return an error, not end the process.
	signal.Ignore(syscall.SIGPIPE)
}

// exitInterrupted is the conventional exit status of an interrupted program: 128 + SIGINT.
const exitInterrupted = 130

// Stopping returns a context that is canceled by the first stop signal, including one
// received before the call. Later stop signals have no effect, except that a second
// interrupt, as sent from a terminal, exits at once. It must be called only once.
func Stopping(log interface{ Info(msg string, args ...any) }) context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		interrupts := 0
		for received := range stops {
			if ctx.Err() == nil {
				cancel()
				log.Info("received a stop signal, shutting down", "signal", received)
			}
			if received != os.Interrupt {
				continue
			}
			if interrupts++; interrupts > 1 {
				os.Exit(exitInterrupted)
			}
		}
	}()
	return ctx
}

// Reloads returns a channel that receives each request to reload the settings file,
// including one received before the call.
func Reloads() <-chan os.Signal { return reloads }

// Default restores the default actions of all signals, for commands that are not servers.
// It ends the process if a signal has already been received.
func Default() {
	signal.Reset(os.Interrupt, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGPIPE)
	select {
	case received := <-stops:
		fmt.Fprintln(os.Stderr, received)
		os.Exit(exitInterrupted)
	case <-reloads:
		os.Exit(exitInterrupted)
	default:
	}
}
