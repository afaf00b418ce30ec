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
	Capacity int    `json:"room"`               // requests at once
	Draining bool   `json:"leaving,omitempty"`
	// WarmupRemainingMs is how much longer it is warming up, counted from when the list was read.
	WarmupRemainingMs int64 `json:"cold_ms,omitempty"`
	// Models are the versions of the weights it holds, by model.
	Models map[string]int64 `json:"models,omitempty"`
}

// List is one reading of the endpoint list. It is never changed once made.
type List struct {
	ReadAt    time.Time // when the reading was asked for, on this node's clock
	Runners   []Runner
	byService map[string][]*Runner
	byID      map[string]*Runner
}

// NewList makes a list read at a time.
func NewList(at time.Time, all []Runner) *List {
	l := &List{ReadAt: at, Runners: all, byService: map[string][]*Runner{}, byID: map[string]*Runner{}}
	// One order on every node, so that equal rules give equal choices.
	sort.Slice(l.Runners, func(i, j int) bool { return l.Runners[i].ID < l.Runners[j].ID })
	for i := range l.Runners {
		r := &l.Runners[i]
		l.byService[r.Service] = append(l.byService[r.Service], r)
		l.byID[r.ID] = r
	}
	return l
}

// ForService lists a service's runners.
func (l *List) ForService(service string) []*Runner { return l.byService[service] }

// Get finds a runner by its id.
func (l *List) Get(id string) *Runner { return l.byID[id] }

// Store holds the newest list.
type Store struct{ current atomic.Pointer[List] }

// New makes an endpoint store that nobody is on.
func New() *Store {
	r := &Store{}
	r.current.Store(NewList(time.Time{}, nil))
	return r
}

// Current is the newest list.
func (r *Store) Current() *List { return r.current.Load() }

// Replace puts a list in force unless a later reading is.
func (r *Store) Replace(l *List) bool {
	for {
		old := r.current.Load()
		if l.ReadAt.Before(old.ReadAt) {
			return false
		}
		if r.current.CompareAndSwap(old, l) {
			return true
		}
	}
}

// Confirm says that a later reading was the same as the one in force.
func (r *Store) Confirm(at time.Time) {
	old := r.current.Load()
	if at.After(old.ReadAt) {
		// A runner's time left counts from the reading that reported it.
		l := *old
		l.ReadAt = at
		r.current.CompareAndSwap(old, &l)
	}
}
