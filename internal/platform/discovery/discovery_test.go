package discovery

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"reflect"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"damsontiller/internal/dataplane/balancing/endpoints"
	"damsontiller/internal/transport/code"
)

// fakeDiscovery is a RoundTripper that answers in place of the platform; it returns the status,
// headers and body for a page token. Status 0 stands for a refused connection.
type fakeDiscovery func(token string) (int, http.Header, string)

func (f fakeDiscovery) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.URL.Path != "/instances" || r.Method != http.MethodGet {
		return nil, fmt.Errorf("unexpected request %s %s", r.Method, r.URL)
	}
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	status, header, body := f(r.URL.Query().Get("page-token"))
	if status == 0 {
		return nil, errors.New("refused")
	}
	if header == nil {
		header = http.Header{}
	}
	return &http.Response{
		StatusCode: status,
		Status:     http.StatusText(status),
		Header:     header,
		Body:       io.NopCloser(strings.NewReader(body)),
	}, nil
}

func newTestReader(f fakeDiscovery) *Reader {
	return &Reader{Addr: "10.0.0.1:80", Client: &http.Client{Transport: f}}
}

// item returns the JSON entry of a runner.
func item(id string) string {
	return `{"target-service":"s","address":"10.128.0.9:8080","zone":"a","revision":"v1","capacity":64,` +
		`"condition":"in_service","cold-remaining-ms":0,"later":{"x":[1]},"instance-id":"` + id + `"}`
}

// TestPages checks that all pages are read, that a runner on two pages is returned once, and that
// an incomplete entry is skipped.
func TestPages(t *testing.T) {
	r := newTestReader(func(token string) (int, http.Header, string) {
		switch token {
		case "":
			return 200, nil, `{"instances":[` + item(
				"i-1",
			) + `,` + item(
				"i-2",
			) + `,{"instance-id":"i-9"}],"next-token":"p&2"}`
		case "p&2":
			return 200, nil, `{"instances":[` + item(
				"i-2",
			) + `,{"target-service":"s","address":"10.1.1.1:80","zone":"b","revision":"v2","capacity":6.0,` +
				`"condition":"draining","cold-remaining-ms":1500.5,` +
				`"model-list":[{"name":"m","revision":3,"adapter-list":[]}],"instance-id":"i-3"}],"next-token":null}`
		}
		return 404, nil, ""
	})
	all, err := r.List(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	runner := func(id string) endpoints.Runner {
		return endpoints.Runner{
			ID:       id,
			Service:  "s",
			Addr:     "10.128.0.9:8080",
			Zone:     "a",
			Revision: "v1",
			Capacity: 64,
		}
	}
	want := []endpoints.Runner{
		runner("i-1"),
		runner("i-2"),
		{
			ID:                "i-3",
			Service:           "s",
			Addr:              "10.1.1.1:80",
			Zone:              "b",
			Revision:          "v2",
			Capacity:          6,
			Draining:          true,
			WarmupRemainingMs: 1500,
			Models:            map[string]int64{"m": 3},
		},
	}
	if !reflect.DeepEqual(all, want) {
		t.Errorf("read %+v", all)
	}
}

// TestNotRead checks that a failed read returns an error and no part of the list, and that a 429
// response gives the wait of its Retry-After header or the default.
func TestNotRead(t *testing.T) {
	for _, c := range []struct {
		name string
		fake fakeDiscovery
		want code.Code
	}{
		{"refused", func(string) (int, http.Header, string) { return 0, nil, "" }, code.Unreachable},
		{"500", func(string) (int, http.Header, string) { return 500, nil, "{}" }, code.Unreachable},
		{"garbage", func(string) (int, http.Header, string) { return 200, nil, `{"instances":[{]` }, code.Garbled},
		{"another type", func(string) (int, http.Header, string) { return 200, nil, `{"instances":"none"}` }, code.Garbled},
		{"circle", func(string) (int, http.Header, string) { return 200, nil, `{"next-token":"p"}` }, code.Garbled},
		{
			"endless",
			func(tok string) (int, http.Header, string) { return 200, nil, `{"next-token":"` + tok + `x"}` },
			code.TooLarge,
		},
		{
			"long",
			func(string) (int, http.Header, string) { return 200, nil, strings.Repeat(" ", maxPageBytes+1) },
			code.TooLarge,
		},
		{
			"a page of many objects",
			func(string) (int, http.Header, string) {
				return 200, nil, `{"instances":[` + strings.Repeat("{},", maxPageObjects) + `{}]}`
			},
			code.TooLarge,
		},
		{
			"many runners on many pages",
			func(tok string) (int, http.Header, string) {
				return 200, nil, `{"instances":[` + strings.Repeat("{},", maxPageObjects/2) + `{}],"next-token":"` + tok + `x"}`
			},
			code.TooLarge,
		},
		{
			"many bytes on many pages",
			func(tok string) (int, http.Header, string) {
				return 200, nil, strings.Repeat(" ", maxPageBytes/2) + `{"next-token":"` + tok + `x"}`
			},
			code.TooLarge,
		},
		{"second page", func(tok string) (int, http.Header, string) {
			if tok == "" {
				return 200, nil, `{"instances":[` + item("i-1") + `],"next-token":"p"}`
			}
			return 500, nil, ""
		}, code.Unreachable},
	} {
		all, err := newTestReader(c.fake).List(t.Context())
		if code.Of(err) != c.want || all != nil {
			t.Errorf("%s: %v, %v", c.name, all, err)
		}
	}
	wantWaits := map[string]time.Duration{
		"0.25":  250 * time.Millisecond,
		"":      500 * time.Millisecond,
		"never": 500 * time.Millisecond,
	}
	for retryAfter, want := range wantWaits {
		_, err := newTestReader(
			func(string) (int, http.Header, string) { return 429, http.Header{"Retry-After": {retryAfter}}, "" },
		).List(
			t.Context(),
		)
		var rateLimit *RateLimitError
		if !errors.As(err, &rateLimit) || rateLimit.RetryAfter != want {
			t.Errorf("429 with %q: %v", retryAfter, err)
		}
	}
}

// TestBackoff checks that after a 429 response no call is made until its Retry-After has passed.
func TestBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls, status := 0, 429
		r := newTestReader(func(string) (int, http.Header, string) {
			calls++
			return status, http.Header{"Retry-After": {"5"}}, `{"instances":[` + item("i-1") + `]}`
		})
		var rateLimit *RateLimitError
		for _, c := range []struct {
			after time.Duration
			calls int
			wait  time.Duration
		}{{0, 1, 5 * time.Second}, {time.Second, 1, 4 * time.Second}, {3900 * time.Millisecond, 1, 100 * time.Millisecond}} {
			time.Sleep(c.after)
			if _, err := r.List(t.Context()); !errors.As(err, &rateLimit) || calls != c.calls || rateLimit.RetryAfter != c.wait {
				t.Errorf("after %s more: %d calls, %v", c.after, calls, err)
			}
		}
		status = 200
		time.Sleep(100 * time.Millisecond)
		if all, err := r.List(t.Context()); err != nil || len(all) != 1 || calls != 2 {
			t.Errorf("then: %v, %v after %d calls", all, err, calls)
		}
	})
}
