package register

import (
	"context"
	"fmt"
	"sync"
	"time"

	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport/code"
)

// A value may be large: the spec with its table of routes. Rounds ask every voter, and so
// large values stay out of them where they can: an acceptor leaves out the value that the
// asker holds already, and all large values of a read, whose proposer then fetches the
// value from one voter. This rests on the invariant of the protocol that at most one value
// is ever accepted under a ballot. What is sent is compressed.

// maxLargeValues bounds the large values that a process keeps of registers.
const maxLargeValues = 4

// largeValue is bytes that belong to the ballot under which a value was accepted.
type largeValue struct {
	ballot *wire.Ballot
	bytes  []byte
}

// largeValues keeps the last large value of a few keys. Which key goes for another does not
// matter: there are few that hold such values. Its methods may be called concurrently.
type largeValues struct {
	mu    sync.Mutex
	byKey map[string]largeValue
}

// ballot is the one under which the value kept of a key was accepted; nil if none is kept.
func (l *largeValues) ballot(key string) *wire.Ballot {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byKey[key].ballot
}

// get is what is kept of a key for a ballot.
func (l *largeValues) get(key string, ballot *wire.Ballot) ([]byte, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	kept, ok := l.byKey[key]
	return kept.bytes, ok && wire.CompareBallots(kept.ballot, ballot) == 0
}

// put keeps what belongs to a ballot in place of what was kept of the key.
func (l *largeValues) put(key string, ballot *wire.Ballot, b []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byKey == nil {
		l.byKey = map[string]largeValue{}
	}
	if _, kept := l.byKey[key]; !kept && len(l.byKey) >= maxLargeValues {
		for other := range l.byKey {
			delete(l.byKey, other)
			break
		}
	}
	l.byKey[key] = largeValue{ballot, b}
}

// remember keeps a value that this proposer has seen accepted, if it is large.
func (p *Proposer) remember(key string, ballot *wire.Ballot, value []byte) {
	if len(value) >= wire.CompressAbove {
		p.values.put(key, ballot, value)
	}
}

// complete puts the value into a view that came without it or compressed. It fetches the
// value from one of the holders if it must, and fails where none of them has it any more.
func (p *Proposer) complete(ctx context.Context, key string, v *wire.View, holders map[Replica]bool) error {
	switch {
	case v == nil || v.Cell == nil:
		return nil
	case len(v.CompressedValue) > 0:
		value, err := wire.Decompress(v.CompressedValue)
		if err != nil {
			return err
		}
		v.Cell, v.CompressedValue = withValue(v.Cell, value), nil
	case v.ValueOmitted:
		value, ok := p.values.get(key, v.Accepted)
		if !ok {
			return p.fetch(ctx, key, v, holders)
		}
		v.Cell, v.ValueOmitted = withValue(v.Cell, value), false
	}
	p.remember(key, v.Accepted, v.Cell.Val)
	return nil
}

// withValue is a copy of a cell with a value put in: cells are shared and never modified.
func withValue(c *wire.Cell, value []byte) *wire.Cell {
	return &wire.Cell{Ver: c.GetVer(), Val: value, Ops: c.GetOps(), Timed: c.GetTimed(), Past: c.GetPast()}
}

// fetchHedge is how long a voter that is asked for a value is waited for before the next
// one is asked as well.
const fetchHedge = 100 * time.Millisecond

// fetch gets the value of a view from one of its holders. Each that fails or takes long
// has the next one asked beside it.
func (p *Proposer) fetch(ctx context.Context, key string, v *wire.View, holders map[Replica]bool) error {
	ctx, stop := context.WithTimeout(ctx, p.RoundTimeout)
	defer stop()
	answers := make(chan reply, len(holders))
	// A map's order is random, which spreads the load over the holders.
	var left []Replica
	for r := range holders {
		left = append(left, r)
	}
	pending := 0
	askNext := func() {
		if len(left) == 0 {
			return
		}
		from := left[0]
		left = left[1:]
		pending++
		go func() {
			q := &wire.Req{Ident: from.Ident, Op: &wire.Req_Look{Look: &wire.Look{Key: key, AcceptsCompressed: true}}}
			SetVersion(ctx, q)
			resp, err := p.call(ctx, from.Addr, q)
			answers <- reply{from, resp, err}
		}()
	}
	askNext()
	hedge := time.NewTicker(fetchHedge)
	defer hedge.Stop()
	var failure error = code.New(code.CoreUnreachable, "no voter has the value of %s", key)
	for pending > 0 {
		select {
		case g := <-answers:
			pending--
			got := g.resp.GetView()
			if g.err != nil || wire.CompareBallots(got.GetAccepted(), v.Accepted) != 0 {
				if g.err != nil {
					failure = g.err
				}
				askNext()
				continue
			}
			v.Cell, v.CompressedValue, v.ValueOmitted = got.Cell, got.CompressedValue, false
			return p.complete(ctx, key, v, nil)
		case <-hedge.C:
			askNext()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return fmt.Errorf("fetch %s: %w", key, failure)
}

// compressedRequest is the accept request with the proposal's value compressed; nil where
// the value is not large or no voter accepts that.
func (n *proposal) compressedRequest(key string, ballot, next *wire.Ballot) *wire.AccCompressed {
	if len(n.cell.GetVal()) < wire.CompressAbove || len(n.compressTo) == 0 {
		return nil
	}
	return &wire.AccCompressed{Acc: &wire.Acc{
		Key:             key,
		Ballot:          ballot,
		Cell:            withValue(n.cell, nil),
		Next:            next,
		CompressedValue: wire.Compress(n.cell.Val),
	}}
}

// acceptingCompressed are the voters whose answers say that they accept compressed values
// in an operation of its own. A voter may be started anew as an earlier release before the
// accept reaches it: it then refuses the operation, and so takes no cell without its value.
func acceptingCompressed(got []reply) map[Replica]bool {
	all := map[Replica]bool{}
	for _, g := range got {
		if g.resp.GetView().GetAcceptsCompressedOp() {
			all[g.from] = true
		}
	}
	return all
}

// compressed is the compressed value of a record. It is asked for often.
func (a *Acceptor) compressed(key string, r *wire.Rec) []byte {
	if kept, ok := a.compressedValues.get(key, r.Accepted); ok {
		return kept
	}
	b := wire.Compress(r.Cell.GetVal())
	a.compressedValues.put(key, r.Accepted, b)
	return b
}

// wanted is what an asker needs of a record's value.
type wanted struct {
	known             *wire.Ballot
	head              bool
	acceptsCompressed bool
}

// reduce leaves out of a view what the asker doesn't need of a large value.
func (a *Acceptor) reduce(v *wire.View, key string, r *wire.Rec, w wanted) *wire.View {
	// AcceptsCompressed is not stated: a proposer of an earlier release would then send a
	// compressed value in an accept that this voter, started anew as a release before it,
	// takes without its value.
	v.AcceptsCompressedOp = true
	if len(r.Cell.GetVal()) < wire.CompressAbove {
		return v
	}
	holds := w.known != nil && wire.CompareBallots(w.known, r.Accepted) == 0
	switch {
	case w.head || holds:
		v.Cell, v.ValueOmitted = withValue(r.Cell, nil), true
	case w.acceptsCompressed:
		v.Cell, v.CompressedValue = withValue(r.Cell, nil), a.compressed(key, r)
	}
	return v
}

// withoutValue is the view of a record for an answer from which only ballots are read.
func (a *Acceptor) withoutValue(key string, r *wire.Rec) *wire.View {
	return a.reduce(a.view(key, r), key, r, wanted{head: true})
}
