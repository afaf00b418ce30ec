// Package listen opens the addresses at which a process accepts connections.
package listen

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"damsontiller/internal/transport/loop"
)

const (
	// retryTimeout bounds the retries for an address that is in use: the previous process may
	// not have ended yet, or an outgoing connection may use the port.
	retryTimeout = 5 * time.Second
	// retryInterval is the delay between two attempts.
	retryInterval = 20 * time.Millisecond
)

// Opener opens addresses, and retries for a limited time if one is in use: a process that exits
// instead is restarted by its supervisor with increasing delays.
type Opener struct {
	// InUse, if not nil, is called once for an address that is in use.
	InUse func(addr string)
}

// TCP opens an address. It returns the error of the last attempt if the address cannot be
// opened; the end of ctx stops the retries.
func (o Opener) TCP(ctx context.Context, config net.ListenConfig, addr string) (net.Listener, error) {
	ctx, cancel := context.WithTimeout(ctx, retryTimeout)
	defer cancel()
	for notified := false; ; notified = true {
		// Not bound to ctx: an edge that is shutting down still accepts connections for some
		// time, so a listener opened as ctx ends is needed.
		ln, err := config.Listen(context.Background(), "tcp", addr)
		if err == nil || !errors.Is(err, syscall.EADDRINUSE) {
			return ln, err
		}
		if !notified && o.InUse != nil {
			o.InUse(addr)
		}
		if !loop.Wait(ctx, retryInterval) {
			return nil, err
		}
	}
}
