package spec

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"
)

// Kinds of proxied requests: what may be repeated.
const (
	Repeatable = "repeatable" // may run more than once
	Once       = "once"       // may run once at most for each try of its caller
	Stream     = "stream"     // answered by events; once, unless it can be resumed
	// Keyed requests carry the key of an operation: all that carry one key are one
	// operation, which runs once.
	Keyed = "keyed"
)

// Table says where proxied requests go: jobs whose request is passed on as it came and
// whose answer comes back as it is made.
//
//easyjson:json
type Table struct {
	// Revision is the operators' own number of the table; it only rises.
	Revision uint64    `json:"revision"`
	Paths    []Path    `json:"paths"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`
	// Tenants are those whose credentials callers carry; with none, nobody is asked for any.
	Tenants []Tenant `json:"tenants,omitempty"`
}

// Path is one route of proxied requests, found by authority and longest path prefix.
type Path struct {
	Name            string  `json:"name"`
	Authority       string  `json:"authority"`
	Prefix          string  `json:"prefix"`
	Kind            string  `json:"kind"`
	To              []Share `json:"to"`
	GuardMs         int64   `json:"guard_ms"`           // longest time that a job is held
	LatencyTargetMs int64   `json:"aim_ms,omitempty"`   // to the answer, of a stream to its first event
	PauseMs         int64   `json:"pause_ms,omitempty"` // longest pause between events that is in time
	Rank            int     `json:"rank,omitempty"`     // 0 goes first
	// Tries is the most runners that one job is sent to; 0: as many as there is time for.
	Tries     int   `json:"tries,omitempty"`
	Kept      bool  `json:"kept,omitempty"` // turns are kept, a turn brings only its new input
	KeepMs    int64 `json:"keep_ms,omitempty"`
	Affine    bool  `json:"affine,omitempty"`    // a runner that saw the subject lately is faster
	Resumable bool  `json:"resumable,omitempty"` // a stream may be taken up after its last event
	Keyless   bool  `json:"keyless,omitempty"`   // no credential is asked for
	// Origin is the item as its author wrote it, handed back unread.
	Origin json.RawMessage `json:"origin,omitempty"`
}

// Share is a weight of a path's jobs for one service.
type Share struct {
	Service string `json:"service"`
	Weight  int64  `json:"weight"`
}

// Service is a group of runners that do the same work.
type Service struct {
	Name       string  `json:"name"`
	HealthPath string  `json:"health_path,omitempty"`
	MaxConns   int     `json:"max_conns,omitempty"` // each runner takes from all callers
	WarmupMs   int64   `json:"cold_ms,omitempty"`   // how long a fresh runner is slow
	WarmupRate float64 `json:"cold_rate,omitempty"` // requests a second that a cold runner bears
	Engine     *Engine `json:"engine,omitempty"`    // set for model runners
	// Deduplicates: its runners share a table of operation keys, and answer a repeat from it.
	Deduplicates bool `json:"deduplicates,omitempty"`
	// Origin is the item as its author wrote it, handed back unread.
	Origin json.RawMessage `json:"origin,omitempty"`
}

// Engine is what a model runner bears.
type Engine struct {
	Batch          int   `json:"batch"` // requests at once
	CacheTokens    int64 `json:"cache_tokens"`
	TokensPerEvent int64 `json:"tokens_per_event"`
}

// Limits bound what callers may send; 0 means the program's own.
type Limits struct {
	HeaderBytes int64 `json:"header_bytes,omitempty"`
	BodyBytes   int64 `json:"body_bytes,omitempty"`
	HeaderMs    int64 `json:"header_ms,omitempty"`
	IdleMs      int64 `json:"idle_ms,omitempty"`
	// Origin is the item as its author wrote it, handed back unread.
	Origin json.RawMessage `json:"origin,omitempty"`
}

// Taken is a change of the table that was taken, in the form in which earlier
// versions kept it: the digest is in hexadecimal.
type Taken struct {
	Revision uint64 `json:"revision"`
	Digest   string `json:"digest"`
}

// Check finds the first thing wrong in a table and names it.
func (t *Table) Check() error {
	services := map[string]bool{}
	for i, s := range t.Services {
		f := fmt.Sprintf("services[%d]", i)
		switch {
		case s.Name == "" || services[s.Name]:
			return bad(f+".name", "%q is empty or stands twice", s.Name)
		case s.WarmupMs < 0 || s.WarmupRate < 0 || s.MaxConns < 0:
			return bad(f, "a negative figure")
		case s.Engine != nil && (s.Engine.Batch < 1 || s.Engine.TokensPerEvent < 1 || s.Engine.CacheTokens < 1):
			return bad(f+".engine", "batch, cache_tokens and tokens_per_event want 1 or more")
		}
		services[s.Name] = true
	}
	names, places := map[string]bool{}, map[string]string{}
	for i := range t.Paths {
		p := &t.Paths[i]
		f := fmt.Sprintf("paths[%d]", i)
		if p.Name == "" || names[p.Name] {
			return bad(f+".name", "%q is empty or stands twice", p.Name)
		}
		names[p.Name] = true
		f = "path " + p.Name
		if p.Authority == "" || strings.ContainsAny(p.Authority, " /") {
			return bad(f+".authority", "%q is no authority", p.Authority)
		}
		if !strings.HasPrefix(p.Prefix, "/") || !strings.HasSuffix(p.Prefix, "/") {
			return bad(f+".prefix", "%q does not begin and end with a slash", p.Prefix)
		}
		at := strings.ToLower(p.Authority) + " " + p.Prefix
		if o := places[at]; o != "" {
			return bad(f+".prefix", "%s is path %s's already", at, o)
		}
		places[at] = p.Name
		if p.Kind != Repeatable && p.Kind != Once && p.Kind != Stream && p.Kind != Keyed {
			return bad(f+".kind", "%q is not a kind", p.Kind)
		}
		if p.GuardMs <= 0 {
			return bad(f+".guard_ms", "%d is not positive", p.GuardMs)
		}
		if p.LatencyTargetMs < 0 || p.PauseMs < 0 || p.KeepMs < 0 || p.Tries < 0 || p.Rank < 0 {
			return bad(f, "a negative figure")
		}
		if p.Kept && (p.KeepMs == 0 || p.Kind != Stream) {
			return bad(f+".kept", "wants a stream and a keep_ms")
		}
		sum := int64(0)
		for _, s := range p.To {
			if !services[s.Service] {
				return bad(f+".to", "%q is no service", s.Service)
			}
			if s.Weight < 0 {
				return bad(f+".to", "weight %d is negative", s.Weight)
			}
			if sum += s.Weight; sum < 0 {
				return bad(f+".to", "the weights are beyond counting")
			}
		}
		if sum == 0 {
			return bad(f+".to", "the weights add up to 0")
		}
	}
	if err := checkTenants(t.Tenants); err != nil {
		return err
	}
	for _, n := range []int64{t.Limits.HeaderBytes, t.Limits.BodyBytes, t.Limits.HeaderMs, t.Limits.IdleMs} {
		if n < 0 {
			return bad("limits", "a negative figure")
		}
	}
	return nil
}

// Items are named items of a table.
type Items struct {
	Paths    []Path
	Services []Service
	Tenants  []Tenant
}

// Names name items of a table.
type Names struct{ Paths, Services, Tenants []string }

// With is the table after named items were put in or replaced, and others taken
// out.
func (t Table) With(put Items, drop Names) Table {
	t.Paths = merge(t.Paths, put.Paths, drop.Paths, func(p Path) string { return p.Name })
	t.Services = merge(t.Services, put.Services, drop.Services, func(s Service) string { return s.Name })
	t.Tenants = merge(t.Tenants, put.Tenants, drop.Tenants, func(n Tenant) string { return n.Name })
	return t
}

func merge[T any](old, put []T, drop []string, name func(T) string) []T {
	at := map[string]int{}
	out := make([]T, 0, len(old)+len(put))
	removed := map[string]bool{}
	for _, n := range drop {
		removed[n] = true
	}
	for _, o := range old {
		if !removed[name(o)] {
			at[name(o)] = len(out)
			out = append(out, o)
		}
	}
	for _, p := range put {
		if i, ok := at[name(p)]; ok {
			out[i] = p
			continue
		}
		at[name(p)] = len(out)
		out = append(out, p)
	}
	return out
}

// Index finds a path by authority and longest prefix, and a service by name, at a
// cost that does not grow with their number.
type Index struct {
	hosts    map[string]map[string]*Path
	lens     map[string][]int // lengths of a host's prefixes, longest first
	services map[string]*Service
	tenants  tenantIndex
}

// NewIndex indexes a table that is not changed any more.
func NewIndex(t *Table) *Index {
	x := &Index{hosts: map[string]map[string]*Path{}, lens: map[string][]int{}, services: map[string]*Service{}}
	for i := range t.Paths {
		p := &t.Paths[i]
		h := strings.ToLower(p.Authority)
		if x.hosts[h] == nil {
			x.hosts[h] = map[string]*Path{}
		}
		x.hosts[h][p.Prefix] = p
	}
	for h, ps := range x.hosts {
		seen := map[int]bool{}
		for p := range ps {
			if !seen[len(p)] {
				seen[len(p)] = true
				x.lens[h] = append(x.lens[h], len(p))
			}
		}
		sort.Sort(sort.Reverse(sort.IntSlice(x.lens[h])))
	}
	for i := range t.Services {
		x.services[t.Services[i].Name] = &t.Services[i]
	}
	x.tenants = newTenantIndex(t.Tenants)
	return x
}

// Path finds the path of a request.
func (x *Index) Path(authority, path string) *Path {
	h := strings.ToLower(authority)
	ps := x.hosts[h]
	for _, n := range x.lens[h] {
		if n <= len(path) {
			if p := ps[path[:n]]; p != nil {
				return p
			}
		}
	}
	return nil
}

// Service finds a service by name.
func (x *Index) Service(name string) *Service { return x.services[name] }
