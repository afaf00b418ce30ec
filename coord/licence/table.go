package licence

import (
	"context"
	"hash/fnv"
	"sort"
	"sync"
	"time"

	"damsontiller/proto/wire"
	"damsontiller/xport/code"
)

// Table is a core machine's side: who has asked it, and when last. That a node
// exists is kept on disk before its first licence is granted, so that no
// acknowledgement forgets it; when it last renewed is memory only.
type Table struct {
	p    Params
	note func(key string, b []byte) error
	mu   sync.Mutex
	all  map[string]*entry
}

type entry struct {
	m  *wire.Member
	at time.Time
	// heard tells a renewal in this run from a note of an earlier one.
	heard bool
}

// NewTable makes a table from what was noted on disk before. Every node known
// counts as heard of now: how long it had been silent is not known.
func NewTable(p Params, noted map[string][]byte, note func(string, []byte) error) (*Table, error) {
	t := &Table{p: p, note: note, all: map[string]*entry{}}
	for _, b := range noted {
		m := &wire.Member{}
		if err := wire.Decode(b, m); err != nil {
			return nil, err
		}
		t.all[key(m)] = &entry{m: m, at: time.Now()}
	}
	return t, nil
}

// NotePrefix is where members are noted.
const NotePrefix = "member/"

func key(m *wire.Member) string { return m.Id + "@" + m.Addr }

// Grant answers a renewal.
func (t *Table) Grant(_ context.Context, q *wire.Req) (*wire.Resp, error) {
	m := q.GetRenew().GetSelf()
	if m.GetId() == "" || m.GetAddr() == "" {
		return nil, code.New(code.Garbled, "a renewal without id or address")
	}
	t.mu.Lock()
	e := t.all[key(m)]
	if e != nil && m.Inc < e.m.Inc {
		t.mu.Unlock()
		return nil, code.New(code.OldEpoch, "a later start of %s holds the licence", m.Id)
	}
	known := e != nil && e.m.Inc == m.Inc
	t.mu.Unlock()
	if !known {
		if err := t.note(NotePrefix+key(m), wire.Encode(m)); err != nil {
			return nil, err
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e = t.all[key(m)]
	if e == nil || m.Inc > e.m.Inc || m.Inc == e.m.Inc && m.SpecVer >= e.m.SpecVer {
		t.all[key(m)] = &entry{m: m, at: time.Now(), heard: true}
	} else if m.Inc == e.m.Inc {
		// Renewals can overtake each other; a confirmation is not taken back.
		e.at, e.heard = time.Now(), true
	}
	list, sum := t.list()
	a := &wire.RenewAck{LastsMs: t.p.Lasts.Milliseconds(), MembersSum: sum}
	a.Members = list
	return &wire.Resp{Op: &wire.Resp_Renew{Renew: a}}, nil
}

// List is every node known, with how long it has been silent.
func (t *Table) List() []*wire.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	l, _ := t.list()
	return l
}

func (t *Table) list() ([]*wire.Member, uint64) {
	now := time.Now()
	out := make([]*wire.Member, 0, len(t.all))
	for _, e := range t.all {
		m := e.m
		silent := now.Sub(e.at)
		out = append(out, &wire.Member{Id: m.Id, Role: m.Role, Addr: m.Addr, Http: m.Http, Zone: m.Zone, Ident: m.Ident, Inc: m.Inc,
			SpecVer: m.SpecVer, Status: m.Status, SilentMs: silent.Milliseconds(), Live: e.heard && silent < t.p.Lasts})
	}
	sort.Slice(out, func(i, j int) bool { return key(out[i]) < key(out[j]) })
	h := fnv.New64a()
	for _, m := range out {
		h.Write([]byte(key(m)))
		h.Write([]byte{byte(m.Inc), byte(m.Inc >> 8), 0})
		if m.Live {
			h.Write([]byte{1})
		}
	}
	return out, h.Sum64()
}
