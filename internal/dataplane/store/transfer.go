package store

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"damsontiller/internal/coordination/cluster"
	"damsontiller/internal/coordination/membership"
	"damsontiller/internal/proto/spec"
	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport/code"
	"damsontiller/internal/transport/loop"
)

// While the set of stores changes, each store of the next set brings the keys that
// will fall to it. It asks the stores of the present one, which answer only once
// they have that version in force and so take nothing more from anybody who acts
// under the present set alone. With what a majority of a key's present holders have,
// a store then has the key's value, if it has one: what is written meanwhile is
// written to majorities of both sets.

const (
	// pageBytes is about how much one answer carries.
	pageBytes = 512 << 10
	// pageKeys is how many keys are asked for by name at once.
	pageKeys = 500
	// pageWait is how long one of them may take.
	pageWait = 2 * time.Second
	// stragglerWait is how long a store is waited for once the others are enough.
	stragglerWait = 500 * time.Millisecond
	// transferHold is how long an order is held before it is given how far it is.
	transferHold = 2 * time.Second
)

// fills is the filling under way, or the last.
type fills struct {
	ready chan struct{} // closed once ctx is set
	ctx   context.Context
	mu    sync.Mutex
	now   *filling
}

type filling struct {
	spec, sets uint64
	done       chan struct{}
	stop       context.CancelFunc
	err        error
	keys       int64
	mu         sync.Mutex
}

func (f *filling) add(n int) {
	f.mu.Lock()
	f.keys += int64(n)
	f.mu.Unlock()
}

func (f *filling) count() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.keys
}

// forget is for when the disk has been changed for an empty one.
func (s *Store) forget() {
	s.acc.Reset()
	s.cool.forget()
	s.fills.mu.Lock()
	s.fills.now = nil
	s.fills.mu.Unlock()
}

// fill begins to bring what falls to this store, and tells once it has it.
func (s *Store) fill(ctx context.Context, q *wire.Req) (*wire.Resp, error) {
	select {
	case <-s.fills.ready:
	default:
		return nil, code.New(code.NotVoting, "%s has not joined yet", s.Peer.Self.Id)
	}
	f := q.GetFill()
	if s.Cluster.Now().Version < f.Spec {
		// The update of it has not come here yet.
		rctx, stop := context.WithTimeout(ctx, time.Second)
		defer stop()
		if err := s.Cluster.Read(rctx); err != nil {
			return nil, err
		}
	}
	v := s.Cluster.Now()
	if !membership.SameStores(v, f.Spec, f.Sets) || len(v.NextStores) == 0 {
		return nil, code.New(
			code.StaleSpec,
			"version %d of %d or of another change, %d stores to come",
			v.Version,
			f.Spec,
			len(v.NextStores),
		)
	}
	s.fills.mu.Lock()
	w := s.fills.now
	again := w == nil || w.spec != f.Spec || w.sets != v.StoresDigest()
	if !again {
		select {
		case <-w.done:
			again = w.err != nil
		default:
		}
	}
	if again {
		if s.fills.now != nil {
			s.fills.now.stop()
		}
		fctx, stop := context.WithCancel(s.fills.ctx)
		w = &filling{spec: f.Spec, sets: v.StoresDigest(), done: make(chan struct{}), stop: stop}
		s.fills.now = w
		s.Go(fctx, func(ctx context.Context) {
			defer close(w.done)
			defer stop()
			// What an earlier filling was let in to write is on the disk from here on.
			s.Gate.Drain()
			at := time.Now()
			w.err = s.bring(ctx, v, w, int(f.Rate))
			s.Log.Info(
				"keys brought",
				"keys",
				w.count(),
				"took",
				time.Since(at).Round(time.Millisecond),
				"err",
				w.err,
			)
		})
	}
	s.fills.mu.Unlock()
	t := time.NewTimer(transferHold)
	defer t.Stop()
	a := &wire.FillAck{}
	select {
	case <-w.done:
		if w.err != nil {
			return nil, w.err
		}
		a.Whole = true
	case <-t.C:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	a.Keys = w.count()
	return &wire.Resp{Op: &wire.Resp_Fill{Fill: a}}, nil
}

// lacking are the keys that an answer named without a copy, and who has each.
type lacking struct {
	mu  sync.Mutex
	all map[wire.List_Kind]map[string]lack
}

type lack struct {
	ballot *wire.Ballot
	from   spec.Machine
}

func (l *lacking) add(kind wire.List_Kind, c *wire.Copy, from spec.Machine) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if o, ok := l.all[kind][c.Key]; !ok || wire.CompareBallots(c.Ballot, o.ballot) > 0 {
		l.all[kind][c.Key] = lack{c.Ballot, from}
	}
}

// bring asks every store of the present set, all at once, for what falls to us.
func (s *Store) bring(ctx context.Context, v *cluster.View, f *filling, rate int) error {
	from, absent := s.sources(v)
	lacks := &lacking{all: map[wire.List_Kind]map[string]lack{wire.List_REGISTERS: {}, wire.List_BLOBS: {}}}
	failed, last := s.collect(ctx, v, f, from, absent, lacks, rate)
	absent = append(absent, failed...)
	if !membership.Readable(v.Cluster.Stores, absent, v.Copies()) {
		return code.New(
			code.StoresUnreachable,
			"%d of %d stores have not answered: %w",
			len(absent),
			len(v.Cluster.Stores),
			last,
		)
	}
	// What only its name has come of, since whoever was to send it has departed or has
	// an older one.
	for kind, all := range lacks.all {
		if err := s.rest(ctx, f, kind, all); err != nil {
			return err
		}
	}
	return nil
}

// sources are the other stores of the present set that live, and the identities of those
// that don't. Where too few seem to live all are asked: the cores have just come back
// and know of few.
func (s *Store) sources(v *cluster.View) (from []spec.Machine, absent []string) {
	live := map[string]bool{}
	for _, m := range s.Lease.Members() {
		live[m.Ident] = live[m.Ident] || m.Live
	}
	var others []spec.Machine
	for _, m := range v.Cluster.Stores {
		if m.Ident == s.Peer.Ident() || m.Ident == "" {
			continue
		}
		others = append(others, m)
		if live[m.Ident] {
			from = append(from, m)
		} else {
			absent = append(absent, m.Ident)
		}
	}
	if !membership.Readable(v.Cluster.Stores, absent, v.Copies()) {
		return others, nil
	}
	return from, absent
}

// collect takes what some stores have for us. Once those that have sent all they have
// are enough, the others are given a moment more: one that is frozen holds up nothing.
// It tells which have failed, and the last reason.
func (s *Store) collect(
	ctx context.Context,
	v *cluster.View,
	f *filling,
	from []spec.Machine,
	absent []string,
	lacks *lacking,
	rate int,
) (failed []string, last error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	type answer struct {
		ident string
		err   error
	}
	answers := make(chan answer, len(from))
	missing := slices.Clone(absent)
	for _, m := range from {
		missing = append(missing, m.Ident)
		s.Go(
			ctx,
			func(ctx context.Context) { answers <- answer{m.Ident, s.takeFrom(ctx, f, m, absent, lacks, rate)} },
		)
	}
	for range from {
		a := <-answers
		if a.err != nil {
			failed, last = append(failed, a.ident), a.err
			continue
		}
		missing = slices.DeleteFunc(missing, func(ident string) bool { return ident == a.ident })
		if membership.Readable(v.Cluster.Stores, missing, v.Copies()) {
			time.AfterFunc(stragglerWait, stop)
		}
	}
	return failed, last
}

// takeFrom takes all that one store has for us, of both kinds.
func (s *Store) takeFrom(
	ctx context.Context,
	f *filling,
	m spec.Machine,
	absent []string,
	lacks *lacking,
	rate int,
) error {
	for _, kind := range []wire.List_Kind{wire.List_REGISTERS, wire.List_BLOBS} {
		if err := s.pages(ctx, f, m, kind, absent, lacks, rate); err != nil {
			s.Log.Info("keys not transferred", "from", m.ID, "err", err)
			return err
		}
	}
	return nil
}

// pages takes all that one store has for us.
func (s *Store) pages(
	ctx context.Context,
	f *filling,
	m spec.Machine,
	kind wire.List_Kind,
	absent []string,
	lacks *lacking,
	rate int,
) error {
	q := &wire.Bulk{Kind: kind, Ident: s.Peer.Ident(), Spec: f.spec, Sets: f.sets, Absent: absent}
	for {
		cs, err := s.askBulk(ctx, m, q)
		if err != nil {
			return err
		}
		withValue := cs.Copies[:0:0]
		for _, c := range cs.Copies {
			if c.Rec == nil && c.Got == nil {
				lacks.add(kind, c, m)
			} else {
				withValue = append(withValue, c)
			}
		}
		if err := s.takeAll(f, kind, withValue); err != nil {
			return err
		}
		if rate > 0 && !loop.Wait(ctx, time.Duration(len(withValue))*time.Second/time.Duration(rate)) {
			return ctx.Err()
		}
		if q.After = cs.Last; q.After == "" {
			return nil
		}
	}
}

// takeAll keeps what has come, as long as the change it was asked for goes on: a value
// below what was promised may be taken no longer than that.
func (s *Store) takeAll(f *filling, kind wire.List_Kind, cs []*wire.Copy) error {
	if len(cs) == 0 {
		return nil
	}
	defer s.Gate.Begin()()
	if v := s.Cluster.Now(); !membership.SameStores(v, f.spec, f.sets) {
		return code.New(code.StaleSpec, "version %d, keys were brought for %d", v.Version, f.spec)
	}
	var n int
	var err error
	if kind == wire.List_BLOBS {
		n, err = s.v.PutBlobs(cs)
	} else {
		n, err = s.acc.Import(cs, s.cool.SaveAll)
	}
	f.add(n)
	return err
}

// rest asks for keys by name, each where it is newest.
func (s *Store) rest(ctx context.Context, f *filling, kind wire.List_Kind, all map[string]lack) error {
	by := map[spec.Machine][]string{}
	for k, l := range all {
		var here bool
		var err error
		if kind == wire.List_BLOBS {
			here, _, err = s.v.BlobTimeLeft(k)
		} else {
			var r *wire.Rec
			if r, err = s.v.Load(k); err == nil {
				here = wire.CompareBallots(r.Accepted, l.ballot) >= 0
			}
		}
		if err != nil {
			return err
		}
		if !here {
			by[l.from] = append(by[l.from], k)
		}
	}
	for _, m := range slices.SortedFunc(maps.Keys(by), func(a, b spec.Machine) int { return cmp.Compare(a.ID, b.ID) }) {
		keys := by[m]
		for len(keys) > 0 {
			q := &wire.Bulk{
				Kind:  kind,
				Ident: s.Peer.Ident(),
				Spec:  f.spec,
				Sets:  f.sets,
				Keys:  keys[:min(pageKeys, len(keys))],
			}
			cs, err := s.askBulk(ctx, m, q)
			if err != nil {
				return err
			}
			if err := s.takeAll(f, kind, cs.Copies); err != nil {
				return err
			}
			// The answer ends early where it is full.
			n := len(q.Keys)
			if cs.Last != "" {
				n = slices.Index(q.Keys, cs.Last) + 1
			}
			keys = keys[max(n, 1):]
		}
	}
	return nil
}
