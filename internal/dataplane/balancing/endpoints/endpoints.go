// Package endpoints holds the endpoint list: the runners returned by the platform's
// discovery service, as shared between the edges.
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
	Revision string `json:"revision,omitempty"` // software revision
	Capacity int    `json:"room"`               // maximum number of concurrent requests
	Draining bool   `json:"leaving,omitempty"`
	// WarmupRemainingMs is the remaining warm-up time, counted from when the list was read.
	WarmupRemainingMs int64 `json:"cold_ms,omitempty"`
	// Models maps each loaded model to the version of its weights.
	Models map[string]int64 `json:"models,omitempty"`
}

// List is a snapshot of the endpoint list. It is immutable.
type List struct {
	ReadAt    time.Time // when the list was requested, by this node's clock
	Runners   []Runner
	byService map[string][]*Runner
	byID      map[string]*Runner
}

// NewList returns a list that was requested at the given time. It sorts all in place.
func NewList(at time.Time, all []Runner) *List {
	l := &List{ReadAt: at, Runners: all, byService: map[string][]*Runner{}, byID: map[string]*Runner{}}
	// The order is the same on every node, so that the same rules select the same runners.
	sort.Slice(l.Runners, func(i, j int) bool { return l.Runners[i].ID < l.Runners[j].ID })
	for i := range l.Runners {
		r := &l.Runners[i]
		l.byService[r.Service] = append(l.byService[r.Service], r)
		l.byID[r.ID] = r
	}
	return l
}

// ForService returns the runners of a service.
func (l *List) ForService(service string) []*Runner { return l.byService[service] }

// Get returns the runner with the given ID, or nil.
func (l *List) Get(id string) *Runner { return l.byID[id] }

// Store holds the newest list.
type Store struct{ current atomic.Pointer[List] }

// New returns a store with an empty list.
func New() *Store {
	store := &Store{}
	store.current.Store(NewList(time.Time{}, nil))
	return store
}

// Current returns the newest list.
func (store *Store) Current() *List { return store.current.Load() }

// Replace sets the current list and reports whether it did; a list that is older than the current
// one is dropped.
func (store *Store) Replace(l *List) bool {
	for {
		old := store.current.Load()
		if l.ReadAt.Before(old.ReadAt) {
			return false
		}
		if store.current.CompareAndSwap(old, l) {
			return true
		}
	}
}

// Confirm records that a later reading returned the current list again.
func (store *Store) Confirm(at time.Time) {
	old := store.current.Load()
	if at.After(old.ReadAt) {
		// Remaining times of runners count from the reading that returned them, so the copy
		// gets the new time.
		l := *old
		l.ReadAt = at
		store.current.CompareAndSwap(old, &l)
	}
}
