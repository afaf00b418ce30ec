package register

import (
	"context"
	"fmt"
	"slices"
	"time"

	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport/clock"
	"damsontiller/internal/transport/code"
	"damsontiller/internal/transport/loop"
)

// maxOperations bounds the operation ids kept in a cell. A proposer whose id has been
// pushed out by that many later changes can no longer tell whether its own change was
// made, and reports ErrUncertain.
const maxOperations = 32

// UpdateFunc computes the new value from the present one. An error leaves the register
// unchanged and is returned to the caller of Change. It may be called several times, so it
// must have no side effects that count.
type UpdateFunc func(State) (value []byte, timed bool, err error)

// change is one change of a key on its way to being chosen.
type change struct {
	proposer  *Proposer
	set       Set
	key       string
	update    UpdateFunc
	operation uint64 // by which it is recognised in a cell
	// maybeAccepted: a voter may have accepted it, made first from the version base.
	maybeAccepted bool
	baseVersion   uint64
}

// Change replaces the value of key by what f computes from it; a nil f only writes the
// present value back. It returns the state that was chosen, which contains this change and
// perhaps later ones. Callers must read the outcome from that state: what f recorded on
// the side may come from a call whose value was not chosen.
//
// It returns an error that wraps ErrNoQuorum where nothing was changed, ErrUncertain where
// the change may be chosen now or later, or the error of f.
func (p *Proposer) Change(ctx context.Context, set Set, key string, f UpdateFunc) (State, error) {
	defer p.queues.acquire(ctx, key, p.RoundTimeout)()
	// Short enough for seven bytes: a cell carries many.
	c := &change{proposer: p, set: set, key: key, update: f, operation: p.Random()>>15 | 1}
	if st, chosen := c.inOneRound(ctx); chosen {
		return st, nil
	}
	for attempt := 0; ; attempt++ {
		if attempt > 0 && !loop.Wait(ctx, p.retryPause(attempt)) || ctx.Err() != nil {
			return c.fail(fmt.Errorf("%w: %w", ErrNoQuorum, ctx.Err()))
		}
		ballot, got, err := p.prepare(ctx, set, key)
		if code.Of(err) == code.StaleSpec {
			// The same voters would refuse again.
			return c.fail(fmt.Errorf("%w: %w", ErrNoQuorum, err))
		}
		if got == nil {
			continue
		}
		found, holders := highest(got)
		if p.complete(ctx, key, found.View, holders) != nil {
			continue
		}
		next, err := c.propose(found, holders)
		if err != nil {
			return c.fail(err)
		}
		next.compressTo = acceptingCompressed(got)
		if next.cell == nil || set.Quorum(next.holders) || c.accepted(ctx, ballot, next) {
			return next.state, next.refusal
		}
	}
}

// fail makes the error of a change that was not seen to be chosen.
func (c *change) fail(err error) (State, error) {
	if c.maybeAccepted {
		return State{}, fmt.Errorf("change %s: %w: %w", c.key, ErrUncertain, err)
	}
	return State{}, fmt.Errorf("change %s: %w", c.key, err)
}

// inOneRound skips the prepare round where this proposer made the key's last change and a
// quorum promised its next ballot along with it. A strict change always prepares: a voter
// with a newer spec refuses to prepare it, but accepts what was prepared before.
func (c *change) inOneRound(ctx context.Context) (State, bool) {
	p := c.proposer
	a := p.prepared.take(c.key, c.set, clock.Now(p.Clock))
	s, _ := ctx.Value(senderVersionKey{}).(senderVersion)
	if a == nil || c.update == nil || s.strict || ctx.Err() != nil {
		return State{}, false
	}
	// What is worked out from a state that may be old counts only once it is chosen: a
	// refusal is asked for again from what a majority says.
	if cell, err := a.next(c.update, c.operation); err == nil {
		c.baseVersion = a.cell.GetVer()
		chosen, untouched := p.choose(ctx, c.set, c.key, a.ballot, &proposal{cell: cell, made: true})
		if chosen {
			p.OneRound.Add(1)
			return State{Version: cell.Ver, Value: cell.Val}, true
		}
		c.maybeAccepted = !untouched
	}
	p.OneRoundMissed.Add(1)
	return State{}, false
}

// proposal is what a prepared change is to have accepted.
type proposal struct {
	state   State
	cell    *wire.Cell
	holders map[Replica]bool // who has accepted the cell already
	made    bool             // the cell is a new one of ours
	refusal error            // of the function that makes the new value
	// compressTo are the voters that accept AccCompressed.
	compressTo map[Replica]bool
}

// propose computes the proposal from what a quorum's answers to a prepare show. It fails
// where it can no longer be determined whether this change was made.
func (c *change) propose(found newestView, holders map[Replica]bool) (*proposal, error) {
	n := &proposal{state: stateOf(found), cell: found.GetCell(), holders: holders}
	if c.update == nil || slices.Contains(n.cell.GetOps(), c.operation) {
		// Ours already, or nothing to change: only make it safe.
		return n, nil
	}
	if c.maybeAccepted && n.state.Version >= c.baseVersion+maxOperations {
		return nil, fmt.Errorf("the register has moved on to version %d", n.state.Version)
	}
	value, timed, err := c.update(n.state)
	if err == nil {
		n.made, n.holders, n.cell = true, nil, nextCell(n.cell, c.operation, value, timed)
		return n, nil
	}
	n.refusal = err
	if c.maybeAccepted {
		// What a straggler still holds of our earlier try could be picked up
		// by a rival; before we say no, a higher ballot must bury it.
		n.holders = nil
		if n.cell == nil {
			n.cell = &wire.Cell{}
		}
	}
	return n, nil
}

// accepted runs the accept round of a proposal, and reports whether it is chosen.
func (c *change) accepted(ctx context.Context, ballot *wire.Ballot, n *proposal) bool {
	chosen, untouched := c.proposer.choose(ctx, c.set, c.key, ballot, n)
	switch {
	case chosen && n.made:
		n.state = State{Version: n.cell.Ver, Value: n.cell.Val}
	case !chosen && n.made && !c.maybeAccepted && !untouched:
		c.maybeAccepted, c.baseVersion = true, n.state.Version
	}
	return chosen
}

// nextCell is the cell after one more change.
func nextCell(c *wire.Cell, operation uint64, value []byte, timed bool) *wire.Cell {
	old := c.GetOps()
	old = old[max(0, len(old)+1-maxOperations):]
	ops := append(append(make([]uint64, 0, len(old)+1), old...), operation)
	return &wire.Cell{Ver: c.GetVer() + 1, Val: value, Ops: ops, Timed: timed}
}

// choose runs the accept round for a proposal's cell and, where the cell is a new change of
// ours, has a next ballot promised along with it. It reports whether the cell is chosen; if
// not, untouched reports whether it is certain that no voter has accepted it.
func (p *Proposer) choose(
	ctx context.Context,
	set Set,
	key string,
	ballot *wire.Ballot,
	proposed *proposal,
) (chosen, untouched bool) {
	var next *wire.Ballot
	if proposed.made {
		next = p.ballot()
	}
	got := p.accept(ctx, set, key, ballot, next, proposed, func(got []reply) bool { return set.Quorum(succeeded(got)) })
	if !set.Quorum(succeeded(got)) {
		return false, allRefused(set, got, ballot)
	}
	p.remember(key, ballot, proposed.cell.GetVal())
	if !proposed.made {
		return true, false
	}
	// The next change may go without preparing only if a quorum has said, in the
	// very answers that chose this cell, that it promised the next ballot: then
	// these answers are what preparing it would have brought. Voters of a version
	// that knows no such promise answer with the ballot they have taken.
	promised := map[Replica]bool{}
	for _, g := range got {
		if v := g.resp.GetView(); g.err == nil && wire.CompareBallots(v.GetPromised(), next) == 0 &&
			wire.CompareBallots(v.GetAccepted(), ballot) == 0 {
			promised[g.from] = true
		}
	}
	if set.Quorum(promised) {
		p.prepared.put(&preparedBallot{
			key: key, set: set, ballot: next, cell: proposed.cell, preparedAt: clock.Now(p.Clock),
		})
	}
	return true, false
}

// retryPause is a random pause that grows with the attempts, so that rival proposers do
// not collide again.
func (p *Proposer) retryPause(attempt int) time.Duration {
	top := min(attempt, 6)
	return time.Duration(1+p.Random()%(1<<top)) * time.Millisecond
}
