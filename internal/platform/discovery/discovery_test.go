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

// answers speaks as the platform would; nothing leaves the process.
type answers func(token string) (int, http.Header, string)

func (p answers) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.URL.Path != "/instances" || r.Method != http.MethodGet {
		return nil, fmt.Errorf("asked for %s %s", r.Method, r.URL)
	}
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	s, h, b := p(r.URL.Query().Get("page-token"))
	if s == 0 {
		return nil, errors.New("refused")
	}
	if h == nil {
		h = http.Header{}
	}
	return &http.Response{
		StatusCode: s,
		Status:     http.StatusText(s),
		Header:     h,
		Body:       io.NopCloser(strings.NewReader(b)),
	}, nil
}

func reader(p answers) *Reader {
	return &Reader{Addr: "10.0.0.1:80", Client: &http.Client{Transport: p}}
}

func item(id string) string {
	return `{"target-service":"s","address":"10.128.0.9:8080","zone":"a","revision":"v1","capacity":64,` +
		`"condition":"in_service","cold-remaining-ms":0,"later":{"x":[1]},"instance-id":"` + id + `"}`
}

// TestPages: pages are read to the last, a runner seen on two counts once, an
// entry that names no runner is left aside.
func TestPages(t *testing.T) {
	r := reader(func(token string) (int, http.Header, string) {
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
	one := func(id string) endpoints.Runner {
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
		one("i-1"),
		one("i-2"),
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

// TestNotRead: what is no list gives no part of one.
func TestNotRead(t *testing.T) {
	for _, c := range []struct {
		name string
		p    answers
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
			func(string) (int, http.Header, string) { return 200, nil, strings.Repeat(" ", maxPage+1) },
			code.TooLarge,
		},
		{"second page", func(tok string) (int, http.Header, string) {
			if tok == "" {
				return 200, nil, `{"instances":[` + item("i-1") + `],"next-token":"p"}`
			}
			return 500, nil, ""
		}, code.Unreachable},
	} {
		all, err := reader(c.p).List(t.Context())
		if code.Of(err) != c.want || all != nil {
			t.Errorf("%s: %v, %v", c.name, all, err)
		}
	}
	waits := map[string]time.Duration{
		"0.25":  250 * time.Millisecond,
		"":      500 * time.Millisecond,
		"never": 500 * time.Millisecond,
	}
	for after, want := range waits {
		_, err := reader(
			func(string) (int, http.Header, string) { return 429, http.Header{"Retry-After": {after}}, "" },
		).List(
			t.Context(),
		)
		var m *RateLimitError
		if !errors.As(err, &m) || m.RetryAfter != want {
			t.Errorf("429 with %q: %v", after, err)
		}
	}
}

// TestBackoff: after the platform's word no call is made until the time it said.
func TestBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls, status := 0, 429
		r := reader(func(string) (int, http.Header, string) {
			calls++
			return status, http.Header{"Retry-After": {"5"}}, `{"instances":[` + item("i-1") + `]}`
		})
		var m *RateLimitError
		for _, c := range []struct {
			after time.Duration
			calls int
			wait  time.Duration
		}{{0, 1, 5 * time.Second}, {time.Second, 1, 4 * time.Second}, {3900 * time.Millisecond, 1, 100 * time.Millisecond}} {
			time.Sleep(c.after)
			if _, err := r.List(t.Context()); !errors.As(err, &m) || calls != c.calls || m.RetryAfter != c.wait {
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
