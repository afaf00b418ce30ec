// Command standin starts a small deployment of the project's programs as separate processes on
// loopback addresses, with stand-ins of the platform, the runners, the operator and the clients,
// and plays one case of the review. It exits with 1 if the case's rule was broken, with 0 if it
// held, and with 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	held     = 0
	broken   = 1
	notRun   = 2
	argCount = 3
)

func main() {
	if len(os.Args) != argCount {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(notRun)
	}
	cases := map[string]func(*record, bool) (int, error){"garbage": garbage, "collector": collector}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Fprintf(os.Stderr, "no case %q\n", os.Args[1])
		os.Exit(notRun)
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, trouble %t", os.Args[1], trouble)
	code, err := play(rec, trouble)
	if err != nil {
		rec.add("not run: %v", err)
		code = notRun
	}
	rec.add("exit %d", code)
	os.Exit(code)
}

// endOnSignal ends all processes of the fleet if this process is stopped.
func endOnSignal(f *fleet) {
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stopped
		f.close()
		os.Exit(notRun)
	}()
}
