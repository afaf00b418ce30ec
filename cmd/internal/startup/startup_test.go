package startup_test

import (
	"errors"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"damsontiller/cmd/internal/startup"
	"damsontiller/internal/transport/code"
)

// parse parses the common flags of a process.
func parse(args ...string) (*startup.Process, error) {
	fs := flag.NewFlagSet("x", flag.ContinueOnError)
	p := startup.Flags(fs)
	return p, p.Parse(args)
}

// validFlags are the flags of a valid configuration.
var validFlags = []string{
	"-id",
	"e1",
	"-listen",
	"127.0.0.1:7100",
	"-http",
	"127.0.0.1:7200",
	"-zone",
	"a",
	"-seeds",
	"127.0.0.1:1,127.0.0.1:2",
}

// TestFlags checks that each invalid flag is rejected with exit code 2 and a message that
// names it, and that flags take precedence over the settings file.
func TestFlags(t *testing.T) {
	if _, err := parse(validFlags...); err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	file := func(s string) string {
		f := filepath.Join(dir, "params.json")
		if err := os.WriteFile(f, []byte(s), 0o644); err != nil {
			t.Fatal(err)
		}
		return f
	}
	for _, tc := range []struct {
		args []string
		name string
	}{
		{[]string{"-id", "a b"}, "-id"},
		{[]string{"-listen", "localhost:1"}, "-listen"},
		{[]string{"-http", "127.0.0.1"}, "-http"},
		{[]string{"-zone", ""}, "-zone"},
		{[]string{"-seeds", "127.0.0.1:1,127.0.0.1:2,127.0.0.1:3,127.0.0.1:4"}, "-seeds"},
		{[]string{"-seeds", "x"}, "-seeds"},
		{[]string{"-log", "loud"}, "-log"},
		{[]string{"-lasts", "1s"}, "-lasts"},
		{[]string{"-hold", "1s"}, "-hold"},
		{[]string{"-renew", "soon"}, "-renew"},
		{[]string{"-nope"}, "-nope"},
		{[]string{"word"}, "word"},
		{[]string{"-params", dir + "/none"}, "-params"}, {[]string{"-params", file(`{"idd":"x"}`)}, "idd"},
	} {
		_, err := parse(append(validFlags[:len(validFlags):len(validFlags)], tc.args...)...)
		if code.Of(err) != code.BadFlag || !strings.Contains(err.Error(), tc.name) ||
			startup.Exit(err) != startup.ExitFlags {
			t.Errorf("%v: %v", tc.args, err)
		}
	}
	// The settings file supplies the flags that are not given; given flags take precedence.
	p, err := parse(append(validFlags[:len(validFlags):len(validFlags)], "-params", file(`{"hold":"50s","zone":"z","faults":true}`))...)
	if err != nil || p.OrphanTimeout.String() != "50s" || p.Zone != "a" || !p.Faults {
		t.Errorf("%+v %v", p, err)
	}
	if _, err := parse("-h"); !errors.Is(err, flag.ErrHelp) {
		t.Errorf("-h: %v", err)
	}
}
