// Package trace remembers, of the last jobs of an edge, how each was decided, for
// operators who ask why a job went where it did. It holds no words of a caller.
package trace

import (
	"sync"
	"time"

	"damsontiller/internal/dataplane/request/job"
	"damsontiller/internal/transport/code"
)

// Row is one job.
type Row struct {
	Job     string         `json:"job"`
	Program string         `json:"program"`
	Class   string         `json:"class,omitempty"`
	Route   string         `json:"route"`
	Spec    uint64         `json:"spec"` // version at the door
	Order   float64        `json:"order"`
	Tries   []job.Decision `json:"tries"` // each choice, in order
	Queued  int64          `json:"queued_ms"`
	Took    int64          `json:"took_ms"`
	Code    int            `json:"code"`
	Name    string         `json:"name"`
	Failure string         `json:"problem,omitempty"`
}

// Journal is the memory of the last rows.
type Journal struct {
	mu   sync.Mutex
	rows map[string]Row
	ids  []string // oldest first, as a ring
	next int
}

// New remembers so many rows.
func New(most int) *Journal { return &Journal{rows: map[string]Row{}, ids: make([]string, most)} }

// Add remembers an answered job.
func (b *Journal) Add(c *job.Ctx, a job.Answer, took time.Duration) {
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
	if !c.Passed.IsZero() {
		r.Queued = (took - time.Since(c.Passed)).Milliseconds()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.rows, b.ids[b.next])
	b.ids[b.next], b.rows[c.ID] = c.ID, r
	b.next = (b.next + 1) % len(b.ids)
}

// Get finds a job.
func (b *Journal) Get(id string) (Row, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r, ok := b.rows[id]; ok {
		return r, nil
	}
	return Row{}, code.New(code.NoJob, "job %q is not among the last %d of this edge", id, len(b.ids))
}
