// Package simtime lets a program run a function on simulated time. The standard library
// offers that (testing/synctest) to tests only, so the program stands in as one.
package simtime

import (
	"flag"
	"testing"
	"testing/synctest"
)

// Main runs f, in which each call of its argument runs something in a bubble of
// simulated time of its own. It does not return: the process ends with exit code
// 1 if f gave an error, else 0.
func Main(f func(run func(func())) error, fail func(error)) {
	testing.Init()
	// The tool has its own flags; of the test runner's only defaults are wanted.
	_ = flag.CommandLine.Parse([]string{"-test.timeout=0", "-test.testlogfile="})
	testing.Main(
		func(string, string) (bool, error) { return true, nil },
		[]testing.InternalTest{{Name: "bubble", F: func(t *testing.T) {
			err := f(func(do func()) { synctest.Test(t, func(*testing.T) { do() }) })
			if err != nil {
				fail(err)
				t.Fail()
			}
		}}},
		nil,
		nil,
	)
}
