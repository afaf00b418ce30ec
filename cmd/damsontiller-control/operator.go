package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"damsontiller/internal/coordination/web"
	"damsontiller/internal/proto/spec"
	"damsontiller/internal/transport/code"
)

// operate runs an operator's subcommand against a core machine.
func operate(args []string) error {
	fs := flag.NewFlagSet("damsontiller-control "+args[0], flag.ContinueOnError)
	fs.SetOutput(io.Discard)
	at := fs.String(
		"core",
		"127.0.0.1:7200",
		"HTTP addresses of core machines, with commas between; the first that answers is asked",
	)
	file := fs.String("file", "-", "file to send; - is standard input")
	expect := fs.Uint64("expect", 0, "version that is to be replaced")
	member := fs.String("for", "", "admit: the machine whose place it takes")
	force := fs.Bool("force", false, "zone empty: even if nothing is left to serve a route")
	percent := fs.Int("share", 100, "policy live: percent of all programs that it applies to")
	edge := fs.String("edge", "127.0.0.1:7200", "trace: HTTP address of any edge")
	wait := fs.Duration("wait", 10*time.Second, "how long to wait for the answer")
	// Words may stand before and after flags.
	var words []string
	rest := args
	for {
		if err := fs.Parse(rest); err != nil {
			if err == flag.ErrHelp {
				fs.SetOutput(os.Stdout)
				fs.Usage()
				return err
			}
			return code.New(code.BadFlag, "%w", err)
		}
		if fs.NArg() == 0 {
			break
		}
		words = append(words, fs.Arg(0))
		rest = fs.Args()[1:]
	}
	for _, a := range append(strings.Split(*at, ","), *edge) {
		if err := spec.Addr(a); err != nil {
			return code.New(code.BadFlag, "-core or -edge: %w", err)
		}
	}
	ask := func(method, path string, body []byte) error {
		return askAt(strings.Split(*at, ","), *wait, method, path, body)
	}
	switch cmd := strings.Join(words, " "); {
	case cmd == "spec get":
		return ask(http.MethodGet, "/v1/spec", nil)
	case cmd == "spec put", cmd == "spec patch":
		b, err := input(*file)
		if err != nil {
			return err
		}
		if words[1] == "patch" {
			var p spec.Patch
			if err := spec.Read(b, &p); err != nil {
				return err
			}
			if *expect != 0 {
				p.Expect = *expect
			}
			if b, err = p.MarshalJSON(); err != nil {
				return err
			}
			return ask(http.MethodPatch, "/v1/spec", b)
		}
		if *expect == 0 {
			return code.New(code.BadFlag, "-expect: the version to be replaced is missing (see spec get)")
		}
		var s spec.Spec
		if err := spec.Read(b, &s); err != nil {
			return err
		}
		if b, err = (spec.Put{Expect: *expect, Spec: s}).MarshalJSON(); err != nil {
			return err
		}
		return ask(http.MethodPut, "/v1/spec", b)
	case len(words) == 3 && words[0] == "spec" && words[1] == "version":
		return ask(http.MethodGet, "/v1/spec/versions/"+words[2], nil)
	case cmd == "spec explain":
		return ask(http.MethodGet, "/v1/explain", nil)
	case len(words) == 2 && words[0] == "trace":
		return askAt([]string{*edge}, *wait, http.MethodGet, "/v1/trace/"+url.PathEscape(words[1]), nil)
	case len(words) > 1 && words[0] == "policy":
		return policy(words[1:], *file, *percent, ask)
	case len(words) == 3 && words[0] == "zone" && (words[1] == "empty" || words[1] == "refill") && spec.Name(words[2]):
		var b []byte
		if *force {
			b = []byte(`{"force":true}`)
		}
		return ask(http.MethodPost, "/v1/zones/"+words[2]+"/"+words[1], b)
	case len(words) >= 2 && (words[0] == "store" || words[0] == "core") && len(words) <= 3:
		o := map[string]string{}
		switch {
		case len(words) == 3 && (words[1] == "admit" || words[1] == "retire") && spec.Name(words[2]):
			o["id"] = words[2]
			if *member != "" {
				o["for"] = *member
			}
		case len(words) == 2 && words[1] == "abandon":
		default:
			return code.New(code.BadFlag, "%q is no subcommand\n%s", cmd, usage)
		}
		b, err := json.Marshal(o)
		if err != nil {
			return err
		}
		return ask(http.MethodPost, "/v1/sets/"+words[0]+"s/"+words[1], b)
	case cmd == "members", cmd == "health", cmd == "sets":
		return ask(http.MethodGet, "/v1/"+cmd, nil)
	default:
		return code.New(code.BadFlag, "%q is no subcommand\n%s", cmd, usage)
	}
}

func input(file string) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(io.LimitReader(os.Stdin, spec.MaxBytes+1))
	}
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, code.New(code.BadFlag, "-file: %w", err)
	}
	return b, nil
}

// policy runs the subcommands about policy programs.
func policy(words []string, file string, percent int, ask func(method, path string, body []byte) error) error {
	switch {
	case len(words) == 1 && words[0] == "list":
		return ask(http.MethodGet, "/v1/policies", nil)
	case len(words) == 1 && words[0] == "off":
		return ask(http.MethodPost, "/v1/policies/off", nil)
	case len(words) == 2 && !spec.Name(words[1]):
		return code.New(code.BadFlag, "%q is not a name", words[1])
	case len(words) == 2 && words[0] == "drop":
		return ask(http.MethodDelete, "/v1/policies/"+words[1], nil)
	case len(words) == 2 && words[0] == "live":
		b, err := spec.Live{Policy: words[1], Share: percent}.MarshalJSON()
		if err != nil {
			return err
		}
		return ask(http.MethodPost, "/v1/policies/live", b)
	case len(words) == 2 && (words[0] == "put" || words[0] == "approve"):
		b, err := input(file)
		if err != nil {
			return err
		}
		if words[0] == "approve" {
			return ask(http.MethodPost, "/v1/policies/"+words[1]+"/approve", b)
		}
		return ask(http.MethodPut, "/v1/policies/"+words[1], b)
	}
	return code.New(code.BadFlag, "%q is no subcommand of policy\n%s", strings.Join(words, " "), usage)
}

// askAt prints the answer; a failure's number becomes the error.
func askAt(at []string, wait time.Duration, method, path string, body []byte) error {
	web1 := &http.Client{Timeout: wait}
	var last error
	for _, a := range at {
		q, err := http.NewRequest(method, "http://"+a+path, bytes.NewReader(body))
		if err != nil {
			return err
		}
		q.Header.Set("Content-Type", "application/json")
		r, err := web1.Do(q)
		if err != nil {
			last = err
			// A change that may have arrived is not sent to a second machine.
			if method != http.MethodGet && !strings.Contains(err.Error(), "connection refused") {
				return code.New(code.OutcomeUnknown, "the change may be in force, read the spec again: %w", err)
			}
			continue
		}
		defer r.Body.Close()
		b, err := io.ReadAll(io.LimitReader(r.Body, 4<<20))
		if err != nil {
			return code.New(code.OutcomeUnknown, "%w", err)
		}
		if r.StatusCode >= 300 {
			var p web.Failure
			if err := json.Unmarshal(b, &p); err != nil || p.Code == 0 {
				return code.New(code.Unknown, "status %d", r.StatusCode)
			}
			if p.Version > 0 {
				return code.New(code.Code(p.Code), "%s (version %d is in force)", p.Failure, p.Version)
			}
			return code.New(code.Code(p.Code), "%s", p.Failure)
		}
		var nice bytes.Buffer
		if json.Indent(&nice, b, "", "  ") != nil {
			nice.Write(b)
		}
		fmt.Println(strings.TrimSpace(nice.String()))
		return nil
	}
	return code.New(code.CoreUnreachable, "no core machine answers: %w", last)
}
