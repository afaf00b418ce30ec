// Package fixed gives tests the same plans in every run: a verdict must not
// hang on chance.
package fixed

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// Main runs a package's tests with rapid's seed fixed and its number of checks
// set; flags on the command line go before it.
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
