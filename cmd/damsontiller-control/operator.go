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
	"damsontiller/internal/transport/limitio"
)

// maxResponse bounds the bytes read of a response.
const maxResponse = 4 << 20

// options holds the flags of the operator subcommands.
type options struct {
	cores   []string      // HTTP addresses of core machines, tried in order until one responds
	edge    string        // HTTP address of any edge
	file    string        // file to send; - is standard input
	expect  uint64        // version to be replaced; 0: not set
	replace string        // machine that the admitted one replaces in the set; empty: none
	force   bool          // empty a zone even if a route is left without a server
	percent int           // percentage of all programs that a policy applies to
	wait    time.Duration // timeout of a request
}

// command is a subcommand: the words that name it and the number of arguments after them.
type command struct {
	words string
	args  int
	run   func(o *options, args []string) error
}

// commands lists the subcommands that send a request to a core machine or an edge.
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

// operate runs an operator subcommand.
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

// parseOptions separates the flags from the other arguments. The two may be mixed in any
// order.
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
	for remaining := args; ; {
		if err := fs.Parse(remaining); err != nil {
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
		remaining = fs.Args()[1:]
	}
	o.cores = strings.Split(*cores, ",")
	for _, a := range append(slices.Clone(o.cores), o.edge) {
		if err := spec.Addr(a); err != nil {
			return nil, nil, code.New(code.BadFlag, "-core or -edge: %w", err)
		}
	}
	return o, words, nil
}

// send sends a request to the first core machine that responds.
func (o *options) send(method, path string, body []byte) error {
	return sendTo(o.cores, o.wait, method, path, body)
}

// get returns a subcommand that reads a path.
func get(path string) func(*options, []string) error {
	return func(o *options, _ []string) error { return o.send(http.MethodGet, path, nil) }
}

func getVersion(o *options, args []string) error {
	return o.send(http.MethodGet, "/v1/spec/versions/"+args[0], nil)
}

func getTrace(o *options, args []string) error {
	return sendTo([]string{o.edge}, o.wait, http.MethodGet, "/v1/trace/"+url.PathEscape(args[0]), nil)
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
	return o.send(http.MethodPut, "/v1/spec", b)
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
	return o.send(http.MethodPatch, "/v1/spec", b)
}

// changeZone returns a subcommand that empties or refills a zone.
func changeZone(action string) func(*options, []string) error {
	return func(o *options, args []string) error {
		if err := checkName(args[0]); err != nil {
			return err
		}
		var b []byte
		if o.force {
			b = []byte(`{"force":true}`)
		}
		return o.send(http.MethodPost, "/v1/zones/"+args[0]+"/"+action, b)
	}
}

// changeSet returns a subcommand that changes the set of cores or of stores.
func changeSet(set, action string) func(*options, []string) error {
	return func(o *options, args []string) error {
		request := map[string]string{}
		if len(args) > 0 {
			if err := checkName(args[0]); err != nil {
				return err
			}
			request["id"] = args[0]
			if o.replace != "" {
				request["for"] = o.replace
			}
		}
		b, err := json.Marshal(request)
		if err != nil {
			return err
		}
		return o.send(http.MethodPost, "/v1/sets/"+set+"/"+action, b)
	}
}

func policyOff(o *options, _ []string) error {
	return o.send(http.MethodPost, "/v1/policies/off", nil)
}

func policyDrop(o *options, args []string) error {
	if err := checkName(args[0]); err != nil {
		return err
	}
	return o.send(http.MethodDelete, "/v1/policies/"+args[0], nil)
}

func policyLive(o *options, args []string) error {
	if err := checkName(args[0]); err != nil {
		return err
	}
	b, err := spec.Live{Policy: args[0], Share: o.percent}.MarshalJSON()
	if err != nil {
		return err
	}
	return o.send(http.MethodPost, "/v1/policies/live", b)
}

func policyPut(o *options, args []string) error {
	return sendPolicy(o, http.MethodPut, args[0], "")
}

func policyApprove(o *options, args []string) error {
	return sendPolicy(o, http.MethodPost, args[0], "/approve")
}

// sendPolicy sends the input file to a policy's path, or to one of its actions.
func sendPolicy(o *options, method, name, action string) error {
	if err := checkName(name); err != nil {
		return err
	}
	b, err := input(o.file)
	if err != nil {
		return err
	}
	return o.send(method, "/v1/policies/"+name+action, b)
}

// checkName rejects an argument that is not a valid name.
func checkName(name string) error {
	if !spec.Name(name) {
		return code.New(code.BadFlag, "%q is not a name", name)
	}
	return nil
}

// input reads a file, or standard input if the name is "-".
func input(file string) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(io.LimitReader(os.Stdin, spec.MaxBytes+1))
	}
	b, err := limitio.ReadFile(file, spec.MaxBytes)
	if err != nil {
		return nil, code.New(code.BadFlag, "-file: %w", err)
	}
	return b, nil
}

// sendTo sends a request to the first address that responds and prints the response. An
// error response becomes an error with the same code.
func sendTo(addrs []string, wait time.Duration, method, path string, body []byte) error {
	client := &http.Client{Timeout: wait}
	// The cores execute a request with a given idempotency key once, so it can be retried at
	// the next machine if the response of the first one is lost.
	idempotencyKey := newIdempotencyKey()
	var lastErr error
	outcomeUnknown := false
	for _, addr := range addrs {
		request, err := http.NewRequest(method, "http://"+addr+path, bytes.NewReader(body))
		if err != nil {
			return err
		}
		request.Header.Set("Content-Type", "application/json")
		if method != http.MethodGet {
			request.Header.Set("Idempotency-Key", idempotencyKey)
		}
		response, err := client.Do(request)
		if err == nil {
			return printResponse(response)
		}
		lastErr = err
		outcomeUnknown = outcomeUnknown || !errors.Is(err, syscall.ECONNREFUSED)
	}
	if outcomeUnknown && method != http.MethodGet {
		return code.New(code.OutcomeUnknown, "the change may be in force, read the spec again: %w", lastErr)
	}
	return code.New(code.CoreUnreachable, "no core machine answers: %w", lastErr)
}

// newIdempotencyKey returns a random idempotency key for one request.
func newIdempotencyKey() string {
	var b [16]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// printResponse prints the JSON body of a response, or returns the error that it carries.
func printResponse(response *http.Response) error {
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponse))
	if err != nil {
		return code.New(code.OutcomeUnknown, "%w", err)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return responseError(response.StatusCode, body)
	}
	var indented bytes.Buffer
	if json.Indent(&indented, body, "", "  ") != nil {
		indented.Write(body)
	}
	fmt.Println(strings.TrimSpace(indented.String()))
	return nil
}

// responseError returns the error that the body of an error response describes.
func responseError(status int, body []byte) error {
	var failure web.Failure
	if err := json.Unmarshal(body, &failure); err != nil || failure.Code == 0 {
		return code.New(code.Unknown, "status %d", status)
	}
	if failure.Version > 0 {
		return code.New(code.Code(failure.Code), "%s (version %d is in force)", failure.Problem, failure.Version)
	}
	return code.New(code.Code(failure.Code), "%s", failure.Problem)
}
