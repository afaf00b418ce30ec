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

// maxKnownValues bounds the large values that a proposer keeps.
const maxKnownValues = 4

// knownValue is a large value and the ballot under which it was accepted.
type knownValue struct {
	ballot *wire.Ballot
	value  []byte
}

// knownValues are the large values that a proposer has seen last, by key.
type knownValues struct {
	mu    sync.Mutex
	byKey map[string]knownValue
}

// ballot is the one under which the value held of a key was accepted; nil if none is held.
func (k *knownValues) ballot(key string) *wire.Ballot {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.byKey[key].ballot
}

func (k *knownValues) get(key string, ballot *wire.Ballot) ([]byte, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	known, ok := k.byKey[key]
	return known.value, ok && wire.CompareBallots(known.ballot, ballot) == 0
}

// put keeps a value if it is large.
func (k *knownValues) put(key string, ballot *wire.Ballot, value []byte) {
	if len(value) < wire.CompressAbove {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.byKey == nil {
		k.byKey = map[string]knownValue{}
	}
	if _, held := k.byKey[key]; !held && len(k.byKey) >= maxKnownValues {
		for other := range k.byKey {
			delete(k.byKey, other)
			break
		}
	}
	k.byKey[key] = knownValue{ballot, value}
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
	p.values.put(key, v.Accepted, v.Cell.Val)
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
func (n *proposal) compressedRequest(key string, ballot, next *wire.Ballot) *wire.Acc {
	if len(n.cell.GetVal()) < wire.CompressAbove || len(n.compressTo) == 0 {
		return nil
	}
	return &wire.Acc{
		Key:             key,
		Ballot:          ballot,
		Cell:            withValue(n.cell, nil),
		Next:            next,
		CompressedValue: wire.Compress(n.cell.Val),
	}
}

// acceptingCompressed are the voters whose answers say that they accept compressed values.
func acceptingCompressed(got []reply) map[Replica]bool {
	all := map[Replica]bool{}
	for _, g := range got {
		if g.resp.GetView().GetAcceptsCompressed() {
			all[g.from] = true
		}
	}
	return all
}

// compressedValue is the compressed form of the value accepted under a ballot.
type compressedValue struct {
	ballot *wire.Ballot
	value  []byte
}

// compressedValues keeps the compressed form of large values that are asked for often.
type compressedValues struct {
	mu    sync.Mutex
	byKey map[string]compressedValue
}

// of is the compressed value of a record.
func (k *compressedValues) of(key string, r *wire.Rec) []byte {
	k.mu.Lock()
	defer k.mu.Unlock()
	if known, ok := k.byKey[key]; ok && wire.CompareBallots(known.ballot, r.Accepted) == 0 {
		return known.value
	}
	if k.byKey == nil || len(k.byKey) >= maxKnownValues {
		k.byKey = map[string]compressedValue{}
	}
	c := compressedValue{r.Accepted, wire.Compress(r.Cell.GetVal())}
	k.byKey[key] = c
	return c.value
}

// wanted is what an asker needs of a record's value.
type wanted struct {
	known             *wire.Ballot
	head              bool
	acceptsCompressed bool
}

// reduce leaves out of a view what the asker doesn't need of a large value.
func (a *Acceptor) reduce(v *wire.View, key string, r *wire.Rec, w wanted) *wire.View {
	v.AcceptsCompressed = true
	if len(r.Cell.GetVal()) < wire.CompressAbove {
		return v
	}
	holds := w.known != nil && wire.CompareBallots(w.known, r.Accepted) == 0
	switch {
	case w.head || holds:
		v.Cell, v.ValueOmitted = withValue(r.Cell, nil), true
	case w.acceptsCompressed:
		v.Cell, v.CompressedValue = withValue(r.Cell, nil), a.compressed.of(key, r)
	}
	return v
}

// withoutValue is the view of a record for an answer from which only ballots are read.
func (a *Acceptor) withoutValue(key string, r *wire.Rec) *wire.View {
	return a.reduce(a.view(key, r), key, r, wanted{head: true})
}
