package register

import (
	"context"
	"fmt"
	"sync"
	"time"

	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport/code"
)

// A value may be large, for instance the spec with its table of routes. Since rounds send
// requests to every voter, large values are left out of them where possible: an acceptor omits
// a value that the proposer already has, and omits every large value from the replies to a
// read, whose proposer then fetches the value from one voter. This relies on the protocol's
// invariant that at most one value is ever accepted under a ballot. Large values are sent
// compressed.

// maxLargeValues bounds the number of large register values that a process caches.
const maxLargeValues = 4

// largeValue is the value accepted under a ballot, plain or compressed.
type largeValue struct {
	ballot *wire.Ballot
	bytes  []byte
}

// largeValueCache caches the last large value of a few keys. It evicts an arbitrary key, since
// only a few keys have large values. Its methods may be called concurrently.
type largeValueCache struct {
	mu    sync.Mutex
	byKey map[string]largeValue
}

// ballot returns the ballot of the cached value of a key; nil if there is none.
func (c *largeValueCache) ballot(key string) *wire.Ballot {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byKey[key].ballot
}

// get returns the cached value of a key if it belongs to the ballot.
func (c *largeValueCache) get(key string, ballot *wire.Ballot) ([]byte, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cached, ok := c.byKey[key]
	return cached.bytes, ok && wire.CompareBallots(cached.ballot, ballot) == 0
}

// put replaces the cached value of a key.
func (c *largeValueCache) put(key string, ballot *wire.Ballot, value []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byKey == nil {
		c.byKey = map[string]largeValue{}
	}
	if _, cached := c.byKey[key]; !cached && len(c.byKey) >= maxLargeValues {
		for other := range c.byKey {
			delete(c.byKey, other)
			break
		}
	}
	c.byKey[key] = largeValue{ballot, value}
}

// cacheValue caches a value that this proposer has seen accepted, if it is large.
func (p *Proposer) cacheValue(key string, ballot *wire.Ballot, value []byte) {
	if len(value) >= wire.CompressAbove {
		p.values.put(key, ballot, value)
	}
}

// fillValue fills in the value of a view that was received compressed or without it. If the
// value is not cached, it is fetched from one of the holders; fillValue fails if none of them
// has it anymore.
func (p *Proposer) fillValue(ctx context.Context, key string, view *wire.View, holders map[Replica]bool) error {
	switch {
	case view == nil || view.Cell == nil:
		return nil
	case len(view.CompressedValue) > 0:
		value, err := wire.Decompress(view.CompressedValue)
		if err != nil {
			return err
		}
		view.Cell, view.CompressedValue = withValue(view.Cell, value), nil
	case view.ValueOmitted:
		value, ok := p.values.get(key, view.Accepted)
		if !ok {
			return p.fetch(ctx, key, view, holders)
		}
		view.Cell, view.ValueOmitted = withValue(view.Cell, value), false
	}
	p.cacheValue(key, view.Accepted, view.Cell.Val)
	return nil
}

// withValue returns a copy of a cell with another value. Cells are shared and never modified.
func withValue(cell *wire.Cell, value []byte) *wire.Cell {
	return &wire.Cell{Ver: cell.GetVer(), Val: value, Ops: cell.GetOps(), Timed: cell.GetTimed(), Past: cell.GetPast()}
}

// fetchHedgeDelay is how long a fetch waits for one voter before it also asks the next one.
const fetchHedgeDelay = 100 * time.Millisecond

// fetch obtains the value of a view from one of its holders. When a holder fails or is slow,
// the next one is asked concurrently.
func (p *Proposer) fetch(ctx context.Context, key string, view *wire.View, holders map[Replica]bool) error {
	ctx, cancel := context.WithTimeout(ctx, p.RoundTimeout)
	defer cancel()
	replies := make(chan reply, len(holders))
	// The random iteration order of a map spreads the load over the holders.
	var remaining []Replica
	for r := range holders {
		remaining = append(remaining, r)
	}
	pending := 0
	sendNext := func() {
		if len(remaining) == 0 {
			return
		}
		to := remaining[0]
		remaining = remaining[1:]
		pending++
		go func() {
			request := &wire.Req{Ident: to.Ident, Op: &wire.Req_Look{
				Look: &wire.Look{Key: key, AcceptsCompressed: true},
			}}
			SetVersion(ctx, request)
			resp, err := p.call(ctx, to.Addr, request)
			replies <- reply{to, resp, err}
		}()
	}
	sendNext()
	hedgeTicker := time.NewTicker(fetchHedgeDelay)
	defer hedgeTicker.Stop()
	var lastErr error = code.New(code.CoreUnreachable, "no voter has the value of %s", key)
	for pending > 0 {
		select {
		case r := <-replies:
			pending--
			received := r.resp.GetView()
			if r.err != nil || wire.CompareBallots(received.GetAccepted(), view.Accepted) != 0 {
				if r.err != nil {
					lastErr = r.err
				}
				sendNext()
				continue
			}
			view.Cell, view.CompressedValue, view.ValueOmitted = received.Cell, received.CompressedValue, false
			return p.fillValue(ctx, key, view, nil)
		case <-hedgeTicker.C:
			sendNext()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return fmt.Errorf("fetch %s: %w", key, lastErr)
}

// compressedRequest returns the accept request with the proposal's value compressed; nil if the
// value is not large or no voter accepts compressed values.
func (p *proposal) compressedRequest(key string, ballot, next *wire.Ballot) *wire.AccCompressed {
	if len(p.cell.GetVal()) < wire.CompressAbove || len(p.acceptsCompressed) == 0 {
		return nil
	}
	return &wire.AccCompressed{Acc: &wire.Acc{
		Key:             key,
		Ballot:          ballot,
		Cell:            withValue(p.cell, nil),
		Next:            next,
		CompressedValue: wire.Compress(p.cell.Val),
	}}
}

// votersAcceptingCompressed returns the voters whose replies state that they accept
// AccCompressed. A voter may be restarted with an earlier release before the accept request
// reaches it. It then refuses this request type as unknown, and so never accepts a cell without
// its value.
func votersAcceptingCompressed(replies []reply) map[Replica]bool {
	voters := map[Replica]bool{}
	for _, r := range replies {
		if r.resp.GetView().GetAcceptsCompressedOp() {
			voters[r.from] = true
		}
	}
	return voters
}

// compressed returns the compressed value of a record, cached because it is requested often.
func (a *Acceptor) compressed(key string, record *wire.Rec) []byte {
	if cached, ok := a.compressedValues.get(key, record.Accepted); ok {
		return cached
	}
	value := wire.Compress(record.Cell.GetVal())
	a.compressedValues.put(key, record.Accepted, value)
	return value
}

// viewOptions states what a proposer needs of a record's value.
type viewOptions struct {
	known             *wire.Ballot // ballot of the value that the proposer already has
	head              bool         // any large value is to be left out
	acceptsCompressed bool
}

// omitLargeValue removes or compresses a large value in a view according to the options.
func (a *Acceptor) omitLargeValue(view *wire.View, key string, record *wire.Rec, options viewOptions) *wire.View {
	// AcceptsCompressed is not set: a proposer of an earlier release would then send a
	// compressed value in a plain accept request, and this voter, if restarted with a still
	// earlier release, would accept the cell without its value.
	view.AcceptsCompressedOp = true
	if len(record.Cell.GetVal()) < wire.CompressAbove {
		return view
	}
	alreadyKnown := options.known != nil && wire.CompareBallots(options.known, record.Accepted) == 0
	switch {
	case options.head || alreadyKnown:
		view.Cell, view.ValueOmitted = withValue(record.Cell, nil), true
	case options.acceptsCompressed:
		view.Cell, view.CompressedValue = withValue(record.Cell, nil), a.compressed(key, record)
	}
	return view
}

// withoutValue returns a record's view for a reply of which only the ballots are read.
func (a *Acceptor) withoutValue(key string, record *wire.Rec) *wire.View {
	return a.omitLargeValue(a.view(key, record), key, record, viewOptions{head: true})
}
