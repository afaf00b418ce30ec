package main

import (
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"

	"damsontiller/internal/transport/code"
)

// TestCommands checks the request that each subcommand sends, with flags before, between
// and after its other arguments.
func TestCommands(t *testing.T) {
	policy := filepath.Join(t.TempDir(), "policy")
	if err := os.WriteFile(policy, []byte(`{"rank":"1"}`), 0o644); err != nil {
		t.Fatal(err)
	}
	patch := filepath.Join(t.TempDir(), "patch")
	if err := os.WriteFile(patch, []byte(`{"empty_zones":["b"]}`), 0o644); err != nil {
		t.Fatal(err)
	}
	tests := []struct{ args, want string }{
		{"spec get", "GET /v1/spec "},
		{"spec patch -file " + patch, `PATCH /v1/spec {"empty_zones":["b"]}`},
		{"spec patch -expect 4 -file " + patch, `PATCH /v1/spec {"expect":4,"empty_zones":["b"]}`},
		{"spec version 7", "GET /v1/spec/versions/7 "},
		{"spec explain", "GET /v1/explain "},
		{"policy list", "GET /v1/policies "},
		{"policy off", "POST /v1/policies/off "},
		{"policy drop p1", "DELETE /v1/policies/p1 "},
		{"policy live p1 -share 20", `POST /v1/policies/live {"policy":"p1","share":20}`},
		{"policy put p1 -file " + policy, `PUT /v1/policies/p1 {"rank":"1"}`},
		{"policy approve p1 -file " + policy, `POST /v1/policies/p1/approve {"rank":"1"}`},
		{"trace e1-x/1", "GET /v1/trace/e1-x%2F1 "},
		{"zone empty b", "POST /v1/zones/b/empty "},
		{"zone -force empty b", `POST /v1/zones/b/empty {"force":true}`},
		{"zone refill b", "POST /v1/zones/b/refill "},
		{"store admit s9", `POST /v1/sets/stores/admit {"id":"s9"}`},
		{"core admit c9 -for c1", `POST /v1/sets/cores/admit {"for":"c1","id":"c9"}`},
		{"store retire s1", `POST /v1/sets/stores/retire {"id":"s1"}`},
		{"core abandon", "POST /v1/sets/cores/abandon {}"},
		{"sets", "GET /v1/sets "},
		{"members", "GET /v1/members "},
		{"health", "GET /v1/health "},
	}
	for _, tc := range tests {
		t.Run(tc.args, func(t *testing.T) {
			sent := make(chan string, 1)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				body, _ := io.ReadAll(r.Body)
				sent <- r.Method + " " + r.URL.EscapedPath() + " " + string(body)
				_, _ = w.Write([]byte("{}"))
			}))
			defer server.Close()
			addr := strings.TrimPrefix(server.URL, "http://")
			args := append(strings.Fields(tc.args), "-core", addr, "-edge", addr)
			if err := operate(args); err != nil {
				t.Fatal(err)
			}
			if got := <-sent; got != tc.want {
				t.Errorf("sent %q, want %q", got, tc.want)
			}
		})
	}
}

// TestBadCommands checks that invalid subcommands and arguments are rejected with the
// code of a bad flag.
func TestBadCommands(t *testing.T) {
	for _, args := range []string{
		"spec", "spec drop", "spec get now", "policy", "policy put", "policy drop a/b", "zone empty",
		"zone empty a/b", "store admit", "store abandon s1", "store admit a/b", "core", "members all",
		"spec put -file /dev/null", "trace", "health -core nowhere",
	} {
		t.Run(args, func(t *testing.T) {
			if err := operate(strings.Fields(args)); code.Of(err) != code.BadFlag {
				t.Errorf("%v, want code %d", err, code.BadFlag)
			}
		})
	}
}

// TestFailures checks that the code and text of an error response reach the operator. A
// change that may have arrived is retried at the next machine with the same idempotency
// key; reads carry no key.
func TestFailures(t *testing.T) {
	conflict := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusConflict)
		_, _ = w.Write([]byte(`{"code":401,"name":"spec_conflict","problem":"expected 3","version":4}`))
	}))
	defer conflict.Close()
	addr := strings.TrimPrefix(conflict.URL, "http://")
	err := operate([]string{"members", "-core", addr})
	if code.Of(err) != code.SpecConflict || !strings.Contains(err.Error(), "version 4") {
		t.Errorf("%v", err)
	}
	var mu sync.Mutex
	var keys []string
	closing := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, q *http.Request) {
		mu.Lock()
		keys = append(keys, q.Header.Get("Idempotency-Key"))
		mu.Unlock()
		panic(http.ErrAbortHandler)
	}))
	defer closing.Close()
	addr = strings.TrimPrefix(closing.URL, "http://")
	err = operate([]string{"zone", "empty", "b", "-core", addr + "," + addr})
	mu.Lock()
	if code.Of(err) != code.OutcomeUnknown || len(keys) != 2 || keys[0] == "" || keys[0] != keys[1] {
		t.Errorf("%v after requests with the keys %q", err, keys)
	}
	keys = nil
	mu.Unlock()
	err = operate([]string{"members", "-core", addr + "," + addr})
	mu.Lock()
	if code.Of(err) != code.CoreUnreachable || slices.ContainsFunc(keys, func(key string) bool { return key != "" }) {
		t.Errorf("%v after reads with the keys %q", err, keys)
	}
	mu.Unlock()
	err = operate([]string{"members", "-core", "127.0.0.1:1"})
	if code.Of(err) != code.CoreUnreachable {
		t.Errorf("%v", err)
	}
}
