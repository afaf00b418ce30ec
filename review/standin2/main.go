// Command standin2 plays the scripts of the second review: it starts the programs of the deploy
// file as separate processes on loopback addresses, before small stand-ins for the platform, the
// runners, the operator and the clients, and judges one rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit statuses.
const (
	statusHeld   = 0
	statusBroken = 1
	statusNotRun = 2
)

// scenario plays a case. It returns whether the rule was broken and a line that says what was seen.
type scenario func(root string, log *record, trouble bool) (broken bool, verdict string, err error)

var scenarios = map[string]scenario{
	"failback": failback,
	"budget":   budget,
	"newcomer": newcomer,
}

func main() {
	if len(os.Args) != 4 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE ROOT FOLDER")
		os.Exit(statusNotRun)
	}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
	done := make(chan int, 1)
	go func() { done <- play(os.Args[1], os.Args[2], os.Args[3]) }()
	select {
	case status := <-done:
		os.Exit(status)
	case <-stopped:
		// The processes end with this one.
		os.Exit(statusNotRun)
	}
}

func play(name, root, folder string) int {
	trouble, log := os.Getenv("TROUBLE") != "0", newRecord()
	broken, verdict, err := scenarios[name](root, log, trouble)
	status := statusHeld
	switch {
	case err != nil:
		status, verdict = statusNotRun, "the case could not run: "+err.Error()
	case broken:
		status = statusBroken
	}
	fmt.Println(verdict)
	if err := log.write(folder, verdict); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusNotRun
	}
	return status
}
