// Package fixed runs property-based tests with a fixed seed, so that their results do not
// depend on chance.
package fixed

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// Main runs a package's tests with a fixed seed for rapid and the given number of checks. It
// sets the flags before the command line is parsed, so that flags given there take precedence.
func Main(m *testing.M, checks int) {
	settings := map[string]string{
		"rapid.seed":       "1",
		"rapid.checks":     strconv.Itoa(checks),
		"rapid.nofailfile": "true",
	}
	for k, v := range settings {
		if err := flag.Set(k, v); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
