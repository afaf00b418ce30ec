// Package discovery polls the platform's service discovery for the list of runners.
package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"
	"unicode/utf8"

	"damsontiller/internal/dataplane/balancing/endpoints"
	"damsontiller/internal/platform"
	"damsontiller/internal/proto/spec"
	"damsontiller/internal/transport/code"
)

// Bounds of one reading of the list.
const (
	maxPages = 256
	maxPage  = 4 << 20
)

// Bounds of an entry's figures.
const (
	maxCapacity = 1 << 20
	maxWarmupMs = 24 * 3600 * 1000
	maxRevision = 1 << 53
)

// RateLimitError tells that the platform takes no more calls for now.
type RateLimitError struct{ RetryAfter time.Duration }

func (e *RateLimitError) Error() string {
	return fmt.Sprintf("too many calls, come back in %s", e.RetryAfter)
}

// Reader reads the list, page by page.
type Reader struct {
	Addr   string
	Client *http.Client

	// No call is made before; the reading goroutine's own.
	notBefore time.Time
}

// New makes a reader; a page that does not come soon will not come.
func New(addr string) *Reader {
	return &Reader{Addr: addr, Client: &http.Client{
		Timeout: 800 * time.Millisecond,
		Transport: &http.Transport{
			MaxIdleConns:        1,
			MaxIdleConnsPerHost: 1,
			IdleConnTimeout:     5 * time.Second,
			DisableCompression:  true,
		},
	}}
}

// List reads all pages. Once the platform has said that it takes no more calls,
// none is made until it does. One goroutine reads at a time.
func (l *Reader) List(ctx context.Context) ([]endpoints.Runner, error) {
	if d := time.Until(l.notBefore); d > 0 {
		return nil, &RateLimitError{RetryAfter: d}
	}
	all, err := l.pages(ctx)
	var m *RateLimitError
	if errors.As(err, &m) {
		l.notBefore = time.Now().Add(m.RetryAfter)
	}
	return all, err
}

func (l *Reader) pages(ctx context.Context) ([]endpoints.Runner, error) {
	var out []endpoints.Runner
	seen := map[string]bool{}
	token := ""
	for range maxPages {
		p, err := l.read(ctx, token)
		if err != nil {
			return nil, err
		}
		for i := range p.Runners {
			r, ok := p.Runners[i].runner()
			// The list may move on between two pages, and show a runner twice.
			if ok && !seen[r.ID] {
				seen[r.ID] = true
				out = append(out, r)
			}
		}
		if p.Next == nil || *p.Next == "" {
			return out, nil
		}
		if *p.Next == token {
			return nil, code.New(code.Garbled, "list: page %q leads to itself", token)
		}
		token = *p.Next
	}
	return nil, code.New(code.TooLarge, "list: more than %d pages", maxPages)
}

func (l *Reader) read(ctx context.Context, token string) (*page, error) {
	u := "http://" + l.Addr + "/instances"
	if token != "" {
		u += "?page-token=" + url.QueryEscape(token)
	}
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return nil, code.New(code.Garbled, "list: %w", err)
	}
	r, err := l.Client.Do(q)
	if err != nil {
		return nil, code.New(code.Unreachable, "list: %w", err)
	}
	defer r.Body.Close()
	b, err := io.ReadAll(io.LimitReader(r.Body, maxPage+1))
	switch {
	case err != nil:
		return nil, code.New(code.Unreachable, "list: %w", err)
	case len(b) > maxPage:
		return nil, code.New(code.TooLarge, "list: a page of more than %d bytes", maxPage)
	case r.StatusCode == http.StatusTooManyRequests:
		s, err := strconv.ParseFloat(r.Header.Get("Retry-After"), 64)
		if err != nil || !(s >= 0 && s < 60) {
			s = 0.5
		}
		return nil, &RateLimitError{RetryAfter: platform.Ms(s * 1000)}
	case r.StatusCode != http.StatusOK:
		return nil, code.New(code.Unreachable, "list: %s", r.Status)
	}
	p := &page{}
	if err := p.UnmarshalJSON(b); err != nil {
		return nil, code.New(code.Garbled, "list: %w", err)
	}
	return p, nil
}

// within bounds a figure, so that it can be changed into an integer.
func within(f, least, most float64) float64 { return min(max(f, least), most) }

// runner translates an entry; one that names no runner at an address is none.
func (e *entry) runner() (endpoints.Runner, bool) {
	if e.ID == "" || e.Service == "" || spec.Addr(e.Addr) != nil {
		return endpoints.Runner{}, false
	}
	// The nodes tell each other of runners by name, and the wire takes UTF-8 only.
	if !utf8.ValidString(e.ID) || !utf8.ValidString(e.Service) || !utf8.ValidString(e.Zone) {
		return endpoints.Runner{}, false
	}
	r := endpoints.Runner{
		ID:                e.ID,
		Service:           e.Service,
		Addr:              e.Addr,
		Zone:              e.Zone,
		Revision:          e.Revision,
		Capacity:          int(within(e.Capacity, 1, maxCapacity)),
		Draining:          e.State == "draining",
		WarmupRemainingMs: int64(within(e.WarmupMs, 0, maxWarmupMs)),
	}
	for _, m := range e.Models {
		if r.Models == nil {
			r.Models = map[string]int64{}
		}
		r.Models[m.Name] = int64(within(m.Revision, -maxRevision, maxRevision))
	}
	return r, true
}
