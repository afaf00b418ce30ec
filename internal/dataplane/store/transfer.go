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

// State transfer: while the set of stores changes, each store of the next set fetches the
// keys it will hold from the stores of the present set. Those answer only once the version
// with the change is in force on them, after which they reject writes made under the present
// set alone. The copies of a majority of a key's present holders include its value, if it
// has one, since writes made during the change go to majorities of both sets.

const (
	// pageBytes is the approximate size of one answer.
	pageBytes = 512 << 10
	// pageKeys is the largest number of keys in one request by name.
	pageKeys = 500
	// pageTimeout is the timeout of one request.
	pageTimeout = 2 * time.Second
	// stragglerTimeout is how long the remaining stores have to finish once those that have
	// finished form a quorum for every key.
	stragglerTimeout = 500 * time.Millisecond
	// maxFillWait is how long a fill request is held open before it is answered with the
	// progress so far.
	maxFillWait = 2 * time.Second
)

// transfers holds the state transfer in progress, or the last one.
type transfers struct {
	ready   chan struct{} // closed once ctx is set
	ctx     context.Context
	mu      sync.Mutex
	current *transfer
}

// transfer is one state transfer to this store.
type transfer struct {
	spec, sets uint64
	done       chan struct{}
	stop       context.CancelFunc
	err        error
	keys       int64
	mu         sync.Mutex
}

func (t *transfer) add(n int) {
	t.mu.Lock()
	t.keys += int64(n)
	t.mu.Unlock()
}

func (t *transfer) count() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.keys
}

// resetState drops all in-memory state, after the data directory was replaced by an empty one.
func (s *Store) resetState() {
	s.acceptor.Reset()
	s.cooldowns.reset()
	s.transfers.mu.Lock()
	s.transfers.current = nil
	s.transfers.mu.Unlock()
}

// handleFill starts a transfer of the keys that this store will hold, unless one for the same
// change is in progress or has succeeded, and reports its progress.
func (s *Store) handleFill(ctx context.Context, q *wire.Req) (*wire.Resp, error) {
	select {
	case <-s.transfers.ready:
	default:
		return nil, code.New(code.NotVoting, "%s has not joined yet", s.Peer.Self.Id)
	}
	request := q.GetFill()
	if s.Cluster.Now().Version < request.Spec {
		// The update with that version has not arrived here yet.
		rctx, stop := context.WithTimeout(ctx, time.Second)
		defer stop()
		if err := s.Cluster.Read(rctx); err != nil {
			return nil, err
		}
	}
	v := s.Cluster.Now()
	if !membership.SameStores(v, request.Spec, request.Sets) || len(v.NextStores) == 0 {
		return nil, code.New(
			code.StaleSpec,
			"version %d of %d or of another change, %d stores to come",
			v.Version,
			request.Spec,
			len(v.NextStores),
		)
	}
	s.transfers.mu.Lock()
	active := s.transfers.current
	restart := active == nil || active.spec != request.Spec || active.sets != v.StoresDigest()
	if !restart {
		select {
		case <-active.done:
			restart = active.err != nil
		default:
		}
	}
	if restart {
		if s.transfers.current != nil {
			s.transfers.current.stop()
		}
		transferCtx, stop := context.WithCancel(s.transfers.ctx)
		active = &transfer{spec: request.Spec, sets: v.StoresDigest(), done: make(chan struct{}), stop: stop}
		s.transfers.current = active
		s.Go(transferCtx, func(ctx context.Context) {
			defer close(active.done)
			defer stop()
			// Writes admitted for an earlier transfer must be on disk before this one starts.
			s.Gate.Drain()
			started := time.Now()
			active.err = s.fetchKeys(ctx, v, active, int(request.Rate))
			s.Log.Info(
				"state transfer finished",
				"keys",
				active.count(),
				"took",
				time.Since(started).Round(time.Millisecond),
				"err",
				active.err,
			)
		})
	}
	s.transfers.mu.Unlock()
	t := time.NewTimer(maxFillWait)
	defer t.Stop()
	answer := &wire.FillAck{}
	select {
	case <-active.done:
		if active.err != nil {
			return nil, active.err
		}
		answer.Whole = true
	case <-t.C:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	answer.Keys = active.count()
	return &wire.Resp{Op: &wire.Resp_Fill{Fill: answer}}, nil
}

// missingCopies collects the keys that answers named without a copy, and for each the store
// that reported the highest ballot.
type missingCopies struct {
	mu  sync.Mutex
	all map[wire.List_Kind]map[string]missingCopy
}

// missingCopy is the highest ballot reported for a key, and the store that reported it.
type missingCopy struct {
	ballot *wire.Ballot
	from   spec.Machine
}

func (missing *missingCopies) add(kind wire.List_Kind, c *wire.Copy, from spec.Machine) {
	missing.mu.Lock()
	defer missing.mu.Unlock()
	if known, ok := missing.all[kind][c.Key]; !ok || wire.CompareBallots(c.Ballot, known.ballot) > 0 {
		missing.all[kind][c.Key] = missingCopy{c.Ballot, from}
	}
}

// fetchKeys requests the keys that this store will hold from every store of the present set
// in parallel.
func (s *Store) fetchKeys(ctx context.Context, v *cluster.View, t *transfer, rate int) error {
	from, absent := s.sources(v)
	missing := &missingCopies{
		all: map[wire.List_Kind]map[string]missingCopy{wire.List_REGISTERS: {}, wire.List_BLOBS: {}},
	}
	failed, last := s.collect(ctx, v, t, from, absent, missing, rate)
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
	// Keys that were listed without a copy: the store that should send the copy has departed or
	// has an older version.
	for kind, all := range missing.all {
		if err := s.fetchMissing(ctx, t, kind, all); err != nil {
			return err
		}
	}
	return nil
}

// sources returns the live stores of the present set, apart from this one, and the identities
// of the others. If too few of them appear live for a quorum of every key, it returns all of
// them as live: cores that have just restarted don't know most members yet.
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

// collect fetches this store's keys from several stores in parallel. Once those that have
// finished form a quorum for every key, the others have stragglerTimeout left, so that a
// frozen store doesn't block the transfer. It returns the stores that failed, and the last
// error.
func (s *Store) collect(
	ctx context.Context,
	v *cluster.View,
	t *transfer,
	from []spec.Machine,
	absent []string,
	missing *missingCopies,
	rate int,
) (failed []string, lastErr error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	type answer struct {
		ident string
		err   error
	}
	answers := make(chan answer, len(from))
	unfinished := slices.Clone(absent)
	for _, m := range from {
		unfinished = append(unfinished, m.Ident)
		s.Go(
			ctx,
			func(ctx context.Context) { answers <- answer{m.Ident, s.fetchFrom(ctx, t, m, absent, missing, rate)} },
		)
	}
	for range from {
		a := <-answers
		if a.err != nil {
			failed, lastErr = append(failed, a.ident), a.err
			continue
		}
		unfinished = slices.DeleteFunc(unfinished, func(ident string) bool { return ident == a.ident })
		if membership.Readable(v.Cluster.Stores, unfinished, v.Copies()) {
			time.AfterFunc(stragglerTimeout, stop)
		}
	}
	return failed, lastErr
}

// fetchFrom fetches this store's registers and blobs from one store.
func (s *Store) fetchFrom(
	ctx context.Context,
	t *transfer,
	m spec.Machine,
	absent []string,
	missing *missingCopies,
	rate int,
) error {
	for _, kind := range []wire.List_Kind{wire.List_REGISTERS, wire.List_BLOBS} {
		if err := s.fetchPages(ctx, t, m, kind, absent, missing, rate); err != nil {
			s.Log.Info("keys not transferred", "from", m.ID, "err", err)
			return err
		}
	}
	return nil
}

// fetchPages fetches this store's keys of one kind from one store, page by page, at up to
// rate keys per second if rate is positive.
func (s *Store) fetchPages(
	ctx context.Context,
	t *transfer,
	m spec.Machine,
	kind wire.List_Kind,
	absent []string,
	missing *missingCopies,
	rate int,
) error {
	q := &wire.Bulk{Kind: kind, Ident: s.Peer.Ident(), Spec: t.spec, Sets: t.sets, Absent: absent}
	for {
		cs, err := s.requestBulk(ctx, m, q)
		if err != nil {
			return err
		}
		withValue := cs.Copies[:0:0]
		for _, c := range cs.Copies {
			if c.Rec == nil && c.Got == nil {
				missing.add(kind, c, m)
			} else {
				withValue = append(withValue, c)
			}
		}
		if err := s.saveCopies(t, kind, withValue); err != nil {
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

// saveCopies saves fetched copies while the change that they were requested for is in
// progress. After it they must be rejected: they may have a lower ballot than was promised
// since.
func (s *Store) saveCopies(t *transfer, kind wire.List_Kind, cs []*wire.Copy) error {
	if len(cs) == 0 {
		return nil
	}
	defer s.Gate.Begin()()
	if v := s.Cluster.Now(); !membership.SameStores(v, t.spec, t.sets) {
		return code.New(code.StaleSpec, "version %d, keys were brought for %d", v.Version, t.spec)
	}
	var n int
	var err error
	if kind == wire.List_BLOBS {
		n, err = s.engine.PutBlobs(cs)
	} else {
		n, err = s.acceptor.Import(cs, s.cooldowns.SaveAll)
	}
	t.add(n)
	return err
}

// fetchMissing requests keys by name, each from the store that reported its highest ballot.
func (s *Store) fetchMissing(ctx context.Context, t *transfer, kind wire.List_Kind, all map[string]missingCopy) error {
	missingByStore := map[spec.Machine][]string{}
	for k, l := range all {
		var present bool
		var err error
		if kind == wire.List_BLOBS {
			present, _, err = s.engine.BlobRetentionLeft(k)
		} else {
			var r *wire.Rec
			if r, err = s.engine.Load(k); err == nil {
				present = wire.CompareBallots(r.Accepted, l.ballot) >= 0
			}
		}
		if err != nil {
			return err
		}
		if !present {
			missingByStore[l.from] = append(missingByStore[l.from], k)
		}
	}
	for _, m := range slices.SortedFunc(
		maps.Keys(missingByStore),
		func(a, b spec.Machine) int { return cmp.Compare(a.ID, b.ID) },
	) {
		pending := missingByStore[m]
		for len(pending) > 0 {
			q := &wire.Bulk{
				Kind:  kind,
				Ident: s.Peer.Ident(),
				Spec:  t.spec,
				Sets:  t.sets,
				Keys:  pending[:min(pageKeys, len(pending))],
			}
			cs, err := s.requestBulk(ctx, m, q)
			if err != nil {
				return err
			}
			if err := s.saveCopies(t, kind, cs.Copies); err != nil {
				return err
			}
			// A full answer ends before the last requested key.
			n := len(q.Keys)
			if cs.Last != "" {
				n = slices.Index(q.Keys, cs.Last) + 1
			}
			pending = pending[max(n, 1):]
		}
	}
	return nil
}
