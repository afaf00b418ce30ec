package main

import (
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strings"
	"syscall"
	"time"

	"damsontiller/internal/coordination/web"
	"damsontiller/internal/proto/spec"
	"damsontiller/internal/transport/code"
)

// maxResponse bounds the bytes read of a response.
const maxResponse = 4 << 20

// options are the flags of the operator's subcommands.
type options struct {
	cores   []string // HTTP addresses of core machines; the first that answers is asked
	edge    string   // HTTP address of any edge
	file    string   // to send; - is standard input
	expect  uint64   // version that is to be replaced; 0: none is named
	replace string   // machine whose place in the set is taken; empty: none
	force   bool     // empty a zone even if nothing is left to serve a route
	percent int      // of all programs that a policy applies to
	wait    time.Duration
}

// command is one subcommand: its words, and how many arguments follow them.
type command struct {
	words string
	args  int
	run   func(o *options, args []string) error
}

// commands are the subcommands that ask a core machine or an edge.
var commands = []command{
	{"spec get", 0, get("/v1/spec")},
	{"spec put", 0, putSpec},
	{"spec patch", 0, patchSpec},
	{"spec version", 1, getVersion},
	{"spec explain", 0, get("/v1/explain")},
	{"policy list", 0, get("/v1/policies")},
	{"policy off", 0, policyOff},
	{"policy drop", 1, policyDrop},
	{"policy live", 1, policyLive},
	{"policy put", 1, policyPut},
	{"policy approve", 1, policyApprove},
	{"trace", 1, getTrace},
	{"zone empty", 1, changeZone("empty")},
	{"zone refill", 1, changeZone("refill")},
	{"store admit", 1, changeSet("stores", "admit")},
	{"store retire", 1, changeSet("stores", "retire")},
	{"store abandon", 0, changeSet("stores", "abandon")},
	{"core admit", 1, changeSet("cores", "admit")},
	{"core retire", 1, changeSet("cores", "retire")},
	{"core abandon", 0, changeSet("cores", "abandon")},
	{"sets", 0, get("/v1/sets")},
	{"members", 0, get("/v1/members")},
	{"health", 0, get("/v1/health")},
}

// operate runs an operator's subcommand against a core machine.
func operate(args []string) error {
	o, words, err := parseOptions(args)
	if err != nil {
		return err
	}
	for _, c := range commands {
		name := strings.Fields(c.words)
		if len(words) != len(name)+c.args || !slices.Equal(words[:len(name)], name) {
			continue
		}
		return c.run(o, words[len(name):])
	}
	return code.New(code.BadFlag, "%q is no subcommand\n%s", strings.Join(words, " "), usage)
}

// parseOptions separates the flags from the other arguments, which may stand before and
// after them.
func parseOptions(args []string) (o *options, words []string, err error) {
	o = &options{}
	fs := flag.NewFlagSet("damsontiller-control "+args[0], flag.ContinueOnError)
	fs.SetOutput(io.Discard)
	cores := fs.String(
		"core",
		"127.0.0.1:7200",
		"HTTP addresses of core machines, with commas between; the first that answers is asked",
	)
	fs.StringVar(&o.file, "file", "-", "file to send; - is standard input")
	fs.Uint64Var(&o.expect, "expect", 0, "version that is to be replaced")
	fs.StringVar(&o.replace, "for", "", "admit: the machine whose place it takes")
	fs.BoolVar(&o.force, "force", false, "zone empty: even if nothing is left to serve a route")
	fs.IntVar(&o.percent, "share", 100, "policy live: percent of all programs that it applies to")
	fs.StringVar(&o.edge, "edge", "127.0.0.1:7200", "trace: HTTP address of any edge")
	fs.DurationVar(&o.wait, "wait", 10*time.Second, "how long to wait for the answer")
	for rest := args; ; {
		if err := fs.Parse(rest); err != nil {
			if errors.Is(err, flag.ErrHelp) {
				fs.SetOutput(os.Stdout)
				fs.Usage()
				return nil, nil, err
			}
			return nil, nil, code.New(code.BadFlag, "%w", err)
		}
		if fs.NArg() == 0 {
			break
		}
		words = append(words, fs.Arg(0))
		rest = fs.Args()[1:]
	}
	o.cores = strings.Split(*cores, ",")
	for _, a := range append(slices.Clone(o.cores), o.edge) {
		if err := spec.Addr(a); err != nil {
			return nil, nil, code.New(code.BadFlag, "-core or -edge: %w", err)
		}
	}
	return o, words, nil
}

// ask sends a request to the first core machine that answers.
func (o *options) ask(method, path string, body []byte) error {
	return askAt(o.cores, o.wait, method, path, body)
}

// get is a subcommand that reads a path.
func get(path string) func(*options, []string) error {
	return func(o *options, _ []string) error { return o.ask(http.MethodGet, path, nil) }
}

func getVersion(o *options, args []string) error {
	return o.ask(http.MethodGet, "/v1/spec/versions/"+args[0], nil)
}

func getTrace(o *options, args []string) error {
	return askAt([]string{o.edge}, o.wait, http.MethodGet, "/v1/trace/"+url.PathEscape(args[0]), nil)
}

func putSpec(o *options, _ []string) error {
	b, err := input(o.file)
	if err != nil {
		return err
	}
	if o.expect == 0 {
		return code.New(code.BadFlag, "-expect: the version to be replaced is missing (see spec get)")
	}
	var s spec.Spec
	if err := spec.Read(b, &s); err != nil {
		return err
	}
	if b, err = (spec.Put{Expect: o.expect, Spec: s}).MarshalJSON(); err != nil {
		return err
	}
	return o.ask(http.MethodPut, "/v1/spec", b)
}

func patchSpec(o *options, _ []string) error {
	b, err := input(o.file)
	if err != nil {
		return err
	}
	var p spec.Patch
	if err := spec.Read(b, &p); err != nil {
		return err
	}
	if o.expect != 0 {
		p.Expect = o.expect
	}
	if b, err = p.MarshalJSON(); err != nil {
		return err
	}
	return o.ask(http.MethodPatch, "/v1/spec", b)
}

// changeZone is a subcommand that empties or refills a zone.
func changeZone(action string) func(*options, []string) error {
	return func(o *options, args []string) error {
		if err := checkName(args[0]); err != nil {
			return err
		}
		var b []byte
		if o.force {
			b = []byte(`{"force":true}`)
		}
		return o.ask(http.MethodPost, "/v1/zones/"+args[0]+"/"+action, b)
	}
}

// changeSet is a subcommand that changes the set of cores or of stores.
func changeSet(set, action string) func(*options, []string) error {
	return func(o *options, args []string) error {
		order := map[string]string{}
		if len(args) > 0 {
			if err := checkName(args[0]); err != nil {
				return err
			}
			order["id"] = args[0]
			if o.replace != "" {
				order["for"] = o.replace
			}
		}
		b, err := json.Marshal(order)
		if err != nil {
			return err
		}
		return o.ask(http.MethodPost, "/v1/sets/"+set+"/"+action, b)
	}
}

func policyOff(o *options, _ []string) error {
	return o.ask(http.MethodPost, "/v1/policies/off", nil)
}

func policyDrop(o *options, args []string) error {
	if err := checkName(args[0]); err != nil {
		return err
	}
	return o.ask(http.MethodDelete, "/v1/policies/"+args[0], nil)
}

func policyLive(o *options, args []string) error {
	if err := checkName(args[0]); err != nil {
		return err
	}
	b, err := spec.Live{Policy: args[0], Share: o.percent}.MarshalJSON()
	if err != nil {
		return err
	}
	return o.ask(http.MethodPost, "/v1/policies/live", b)
}

func policyPut(o *options, args []string) error {
	return sendPolicy(o, http.MethodPut, args[0], "")
}

func policyApprove(o *options, args []string) error {
	return sendPolicy(o, http.MethodPost, args[0], "/approve")
}

func sendPolicy(o *options, method, name, action string) error {
	if err := checkName(name); err != nil {
		return err
	}
	b, err := input(o.file)
	if err != nil {
		return err
	}
	return o.ask(method, "/v1/policies/"+name+action, b)
}

func checkName(name string) error {
	if !spec.Name(name) {
		return code.New(code.BadFlag, "%q is not a name", name)
	}
	return nil
}

// input reads a file, or standard input.
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

// askAt sends a request to the first address that answers, and prints the answer. The
// number of a failure that it reports becomes the error's.
func askAt(addrs []string, wait time.Duration, method, path string, body []byte) error {
	client := &http.Client{Timeout: wait}
	// The cores take an order with an id once, so that it may be sent to a second machine
	// where the first one's answer is lost.
	id := newOperationID()
	var last error
	unknown := false
	for _, addr := range addrs {
		request, err := http.NewRequest(method, "http://"+addr+path, bytes.NewReader(body))
		if err != nil {
			return err
		}
		request.Header.Set("Content-Type", "application/json")
		if method != http.MethodGet {
			request.Header.Set("Idempotency-Key", id)
		}
		response, err := client.Do(request)
		if err == nil {
			return printResponse(response)
		}
		last = err
		unknown = unknown || !errors.Is(err, syscall.ECONNREFUSED)
	}
	if unknown && method != http.MethodGet {
		return code.New(code.OutcomeUnknown, "the change may be in force, read the spec again: %w", last)
	}
	return code.New(code.CoreUnreachable, "no core machine answers: %w", last)
}

// newOperationID draws an id for one order.
func newOperationID() string {
	var b [16]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// printResponse prints a response's JSON, or returns the failure that it carries.
func printResponse(response *http.Response) error {
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponse))
	if err != nil {
		return code.New(code.OutcomeUnknown, "%w", err)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return failureOf(response.StatusCode, body)
	}
	var indented bytes.Buffer
	if json.Indent(&indented, body, "", "  ") != nil {
		indented.Write(body)
	}
	fmt.Println(strings.TrimSpace(indented.String()))
	return nil
}

// failureOf is the error that a response's body describes.
func failureOf(status int, body []byte) error {
	var failure web.Failure
	if err := json.Unmarshal(body, &failure); err != nil || failure.Code == 0 {
		return code.New(code.Unknown, "status %d", status)
	}
	if failure.Version > 0 {
		return code.New(code.Code(failure.Code), "%s (version %d is in force)", failure.Problem, failure.Version)
	}
	return code.New(code.Code(failure.Code), "%s", failure.Problem)
}
