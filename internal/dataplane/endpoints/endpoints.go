// Package endpoints is the endpoint list: the runners that the platform's discovery
// names, as the edges pass it on to each other.
package endpoints

import (
	"sort"
	"sync/atomic"
	"time"
)

// Runner is one runner process.
type Runner struct {
	ID       string `json:"id"`
	Service  string `json:"service"`
	Addr     string `json:"addr"`
	Zone     string `json:"zone"`
	Revision string `json:"revision,omitempty"` // of its software
	Room     int    `json:"room"`               // requests at once
	Leaving  bool   `json:"leaving,omitempty"`
	// ColdMs is how much longer it is fresh, counted from when the list was read.
	ColdMs int64 `json:"cold_ms,omitempty"`
	// Models are the versions of the weights it holds, by model.
	Models map[string]int64 `json:"models,omitempty"`
}

// List is one reading of the roll. It is never changed once made.
type List struct {
	At  time.Time // when the reading was asked for, on this node's clock
	All []Runner
	by  map[string][]*Runner
	id  map[string]*Runner
}

// NewList makes a list read at a time.
func NewList(at time.Time, all []Runner) *List {
	l := &List{At: at, All: all, by: map[string][]*Runner{}, id: map[string]*Runner{}}
	// One order on every node, so that equal rules give equal choices.
	sort.Slice(l.All, func(i, j int) bool { return l.All[i].ID < l.All[j].ID })
	for i := range l.All {
		r := &l.All[i]
		l.by[r.Service] = append(l.by[r.Service], r)
		l.id[r.ID] = r
	}
	return l
}

// Of lists a service's runners.
func (l *List) Of(service string) []*Runner { return l.by[service] }

// Get finds a runner by its id.
func (l *List) Get(id string) *Runner { return l.id[id] }

// Roll holds the newest list.
type Roll struct{ cur atomic.Pointer[List] }

// New makes a roll that nobody is on.
func New() *Roll {
	r := &Roll{}
	r.cur.Store(NewList(time.Time{}, nil))
	return r
}

// Now is the newest list.
func (r *Roll) Now() *List { return r.cur.Load() }

// Take puts a list in force unless a later reading is.
func (r *Roll) Take(l *List) bool {
	for {
		old := r.cur.Load()
		if l.At.Before(old.At) {
			return false
		}
		if r.cur.CompareAndSwap(old, l) {
			return true
		}
	}
}

// Touch says that a later reading was the same as the one in force.
func (r *Roll) Touch(at time.Time) {
	old := r.cur.Load()
	if at.After(old.At) {
		// A runner's time left counts from the reading that told it.
		l := *old
		l.At = at
		r.cur.CompareAndSwap(old, &l)
	}
}
