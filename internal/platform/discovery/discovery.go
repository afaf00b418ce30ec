// Package discovery polls the platform's service discovery for the list of runners.
package discovery

import (
	"bytes"
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

// Bounds of one read of the list.
const (
	maxPages     = 256
	maxPageBytes = 2 << 20
	// maxPageObjects bounds the JSON objects of a page, runners and their models. An empty object
	// takes some 50 times its bytes once it is decoded.
	maxPageObjects = 16 << 10
	// maxListBytes and maxRunners bound all pages together.
	maxListBytes = 8 << 20
	maxRunners   = 16 << 10
	// listTimeout bounds the time for all pages.
	listTimeout = 10 * time.Second
	// maxHeaderBytes bounds the head of a response.
	maxHeaderBytes = 64 << 10
)

// Bounds of the numbers of an entry.
const (
	maxCapacity = 1 << 20
	maxWarmupMs = 24 * 3600 * 1000
	maxRevision = 1 << 53 // integers up to this are exact in a float64
)

// Bounds of the Retry-After header of a 429 response.
const (
	maxRetryAfterSeconds     = 60
	defaultRetryAfterSeconds = 0.5 // of a missing or malformed header
)

// RateLimitError reports that the platform rejected a call with status 429. RetryAfter is the time
// until the next call is allowed.
type RateLimitError struct{ RetryAfter time.Duration }

func (e *RateLimitError) Error() string {
	return fmt.Sprintf("discovery rate limit reached; retry in %s", e.RetryAfter)
}

// Reader reads the list of runners page by page. It must not be used by several goroutines at once.
type Reader struct {
	Addr   string
	Client *http.Client

	// notBefore is the end of the wait that the last 429 response asked for.
	notBefore time.Time
}

// New returns a Reader of the discovery API at addr. The request timeout is short because a page
// that is late is not expected to arrive at all.
func New(addr string) *Reader {
	return &Reader{Addr: addr, Client: &http.Client{
		Timeout: 800 * time.Millisecond,
		Transport: &http.Transport{
			MaxIdleConns:        1,
			MaxIdleConnsPerHost: 1,
			IdleConnTimeout:     5 * time.Second,
			DisableCompression:  true,

			MaxResponseHeaderBytes: maxHeaderBytes,
		},
	}}
}

// List reads all pages. After a 429 response it returns a *RateLimitError without a call until
// the wait that the platform asked for has passed.
func (r *Reader) List(ctx context.Context) ([]endpoints.Runner, error) {
	if d := time.Until(r.notBefore); d > 0 {
		return nil, &RateLimitError{RetryAfter: d}
	}
	all, err := r.pages(ctx)
	var rateLimit *RateLimitError
	if errors.As(err, &rateLimit) {
		r.notBefore = time.Now().Add(rateLimit.RetryAfter)
	}
	return all, err
}

func (r *Reader) pages(ctx context.Context) ([]endpoints.Runner, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	var out []endpoints.Runner
	seen := map[string]bool{}
	token := ""
	bytesLeft, entriesLeft := int64(maxListBytes), maxRunners
	for range maxPages {
		p, size, err := r.read(ctx, token)
		if err != nil {
			return nil, err
		}
		if bytesLeft -= size; bytesLeft < 0 {
			return nil, code.New(code.TooLarge, "list: more than %d bytes", maxListBytes)
		}
		if entriesLeft -= len(p.Runners); entriesLeft < 0 {
			return nil, code.New(code.TooLarge, "list: more than %d runners", maxRunners)
		}
		for i := range p.Runners {
			runner, ok := p.Runners[i].runner()
			// The list may change between two pages, so that a runner appears on both.
			if ok && !seen[runner.ID] {
				seen[runner.ID] = true
				out = append(out, runner)
			}
		}
		if p.Next == nil || *p.Next == "" {
			return out, nil
		}
		if *p.Next == token {
			return nil, code.New(code.Garbled, "list: page %q has its own token as next-token", token)
		}
		token = *p.Next
	}
	return nil, code.New(code.TooLarge, "list: more than %d pages", maxPages)
}

// read reads one page, and returns its size in bytes as well.
func (r *Reader) read(ctx context.Context, token string) (*page, int64, error) {
	u := "http://" + r.Addr + "/instances"
	if token != "" {
		u += "?page-token=" + url.QueryEscape(token)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return nil, 0, code.New(code.Garbled, "list: %w", err)
	}
	resp, err := r.Client.Do(req)
	if err != nil {
		return nil, 0, code.New(code.Unreachable, "list: %w", err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxPageBytes+1))
	switch {
	case err != nil:
		return nil, 0, code.New(code.Unreachable, "list: %w", err)
	case len(body) > maxPageBytes:
		return nil, 0, code.New(code.TooLarge, "list: a page of more than %d bytes", maxPageBytes)
	case bytes.Count(body, []byte("{")) > maxPageObjects:
		return nil, 0, code.New(code.TooLarge, "list: a page of more than %d objects", maxPageObjects)
	case resp.StatusCode == http.StatusTooManyRequests:
		seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		if err != nil || !(seconds >= 0 && seconds < maxRetryAfterSeconds) {
			seconds = defaultRetryAfterSeconds
		}
		return nil, 0, &RateLimitError{RetryAfter: platform.Ms(seconds * 1000)}
	case resp.StatusCode != http.StatusOK:
		return nil, 0, code.New(code.Unreachable, "list: %s", resp.Status)
	}
	p := &page{}
	if err := p.UnmarshalJSON(body); err != nil {
		return nil, 0, code.New(code.Garbled, "list: %w", err)
	}
	return p, int64(len(body)), nil
}

// clamp limits f to the range from low to high, so that its conversion to an integer is defined.
func clamp(f, low, high float64) float64 { return min(max(f, low), high) }

// runner converts an entry. It reports false for an entry without an ID, a service or a valid
// address, or with names that are not UTF-8.
func (e *entry) runner() (endpoints.Runner, bool) {
	if e.ID == "" || e.Service == "" || spec.Addr(e.Addr) != nil {
		return endpoints.Runner{}, false
	}
	// The nodes exchange these names, and the protocol between them carries only UTF-8.
	if !utf8.ValidString(e.ID) || !utf8.ValidString(e.Service) || !utf8.ValidString(e.Zone) {
		return endpoints.Runner{}, false
	}
	r := endpoints.Runner{
		ID:                e.ID,
		Service:           e.Service,
		Addr:              e.Addr,
		Zone:              e.Zone,
		Revision:          e.Revision,
		Capacity:          int(clamp(e.Capacity, 1, maxCapacity)),
		Draining:          e.State == "draining",
		WarmupRemainingMs: int64(clamp(e.WarmupMs, 0, maxWarmupMs)),
	}
	for _, m := range e.Models {
		if r.Models == nil {
			r.Models = map[string]int64{}
		}
		r.Models[m.Name] = int64(clamp(m.Revision, -maxRevision, maxRevision))
	}
	return r, true
}
