// Package trace keeps how the runners of an edge's last jobs were picked, so that operators
// can see why a job was sent where it was. It holds no text of callers.
package trace

import (
	"sync"
	"time"

	"damsontiller/internal/dataplane/request/job"
	"damsontiller/internal/transport/code"
)

// Row is the trace of one job.
type Row struct {
	Job     string         `json:"job"`
	Program string         `json:"program"`
	Class   string         `json:"class,omitempty"`
	Route   string         `json:"route"`
	Spec    uint64         `json:"spec"` // version in force at ingress
	Order   float64        `json:"order"`
	Tries   []job.Decision `json:"tries"` // each pick of a runner, in order
	Queued  int64          `json:"queued_ms"`
	Took    int64          `json:"took_ms"`
	Code    int            `json:"code"`
	Name    string         `json:"name"`
	Failure string         `json:"problem,omitempty"`
}

// Journal is a bounded in-memory store of the last rows.
type Journal struct {
	mu   sync.Mutex
	rows map[string]Row
	ids  []string // oldest first, as a ring
	next int
}

// New returns a Journal of the given capacity in rows.
func New(capacity int) *Journal {
	return &Journal{rows: map[string]Row{}, ids: make([]string, capacity)}
}

// Add records an answered job.
func (journal *Journal) Add(c *job.Ctx, a job.Answer, took time.Duration) {
	n := code.Of(a.Err)
	r := Row{
		Job:     c.ID,
		Program: c.Program,
		Class:   c.Class,
		Route:   c.Route,
		Spec:    c.View.Version,
		Order:   c.Order,
		Tries:   c.Decisions,
		Took:    took.Milliseconds(),
		Code:    int(n),
		Name:    n.Name(),
	}
	if a.Err != nil {
		r.Failure = code.Text(a.Err)
	}
	if !c.ForwardedAt.IsZero() {
		r.Queued = (took - time.Since(c.ForwardedAt)).Milliseconds()
	}
	journal.mu.Lock()
	defer journal.mu.Unlock()
	delete(journal.rows, journal.ids[journal.next])
	journal.ids[journal.next], journal.rows[c.ID] = c.ID, r
	journal.next = (journal.next + 1) % len(journal.ids)
}

// Get returns the trace of a job.
func (journal *Journal) Get(id string) (Row, error) {
	journal.mu.Lock()
	defer journal.mu.Unlock()
	if r, ok := journal.rows[id]; ok {
		return r, nil
	}
	return Row{}, code.New(code.NoJob, "job %q is not among the last %d of this edge", id, len(journal.ids))
}
