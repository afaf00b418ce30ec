package reg_test

import (
	"flag"
	"os"
	"testing"
)

// The same plans in every run: a verdict must not hang on chance.
func TestMain(m *testing.M) {
	for k, v := range map[string]string{"rapid.seed": "1", "rapid.checks": "100", "rapid.nofailfile": "true"} {
		if err := flag.Set(k, v); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
