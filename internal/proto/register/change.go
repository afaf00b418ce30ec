package register

import (
	"context"
	"fmt"
	"slices"
	"time"

	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport/code"
	"damsontiller/internal/transport/loop"
)

// keepOps bounds the marks in a cell. A proposer that finds its mark gone from
// a cell that many versions on can't tell, and says so.
const keepOps = 32

// Func works out the new value from the present one. An error leaves the
// register as it is and is handed back. It may be called several times.
type Func func(State) (val []byte, timed bool, err error)

// change is one change of a key on its way to being chosen.
type change struct {
	proposer *Proposer
	set      Set
	key      string
	make     Func
	mark     uint64 // by which it is recognised in a cell
	// sent: a voter may have accepted it, made first from the version base.
	sent bool
	base uint64
}

// Change replaces the value by what f makes of it. A nil f only writes back.
// An error that wraps ErrMaybe means the change may be in force. The state
// handed back has the change in it, and perhaps later ones; what f noted on the
// side may come from a call of f whose value was not the one chosen, so a
// caller reads what was decided from the state.
func (p *Proposer) Change(ctx context.Context, set Set, key string, f Func) (State, error) {
	defer p.turns.enter(ctx, key, p.Retry)()
	// Short enough for seven bytes: a cell carries many.
	c := &change{proposer: p, set: set, key: key, make: f, mark: p.Random()>>15 | 1}
	if st, done := c.inOneRound(ctx); done {
		return st, nil
	}
	for try := 0; ; try++ {
		if try > 0 && !loop.Wait(ctx, p.pause(try)) || ctx.Err() != nil {
			return c.fail(fmt.Errorf("%w: %w", ErrNoQuorum, ctx.Err()))
		}
		b, got, err := p.prepare(ctx, set, key)
		if code.Of(err) == code.StaleSpec {
			// The same voters would refuse again.
			return c.fail(fmt.Errorf("%w: %w", ErrNoQuorum, err))
		}
		if got == nil {
			continue
		}
		next, err := c.propose(got)
		if err != nil {
			return c.fail(err)
		}
		if next.cell == nil || set.Quorum(next.holders) || c.accepted(ctx, b, next) {
			return next.state, next.refusal
		}
	}
}

// fail is the answer of a change that was not seen to be chosen.
func (c *change) fail(err error) (State, error) {
	if c.sent {
		return State{}, fmt.Errorf("change %s: %w: %w", c.key, ErrMaybe, err)
	}
	return State{}, fmt.Errorf("change %s: %w", c.key, err)
}

// inOneRound accepts without preparing, where this proposer made the key's last
// change. A strict change always prepares: a voter of a newer spec refuses to prepare
// it, but takes what was begun.
func (c *change) inOneRound(ctx context.Context) (State, bool) {
	p := c.proposer
	a := p.aheads.take(c.key, c.set)
	s, _ := ctx.Value(stampKey{}).(stamp)
	if a == nil || c.make == nil || s.strict || ctx.Err() != nil {
		return State{}, false
	}
	// What is worked out from a state that may be old counts only once it is chosen: a
	// refusal is asked for again from what a majority says.
	if cell, err := a.next(c.make, c.mark); err == nil {
		c.base = a.cell.GetVer()
		done, none := p.settle(ctx, c.set, c.key, a.b, cell, true)
		if done {
			p.Short.Add(1)
			return State{Ver: cell.Ver, Val: cell.Val}, true
		}
		c.sent = !none
	}
	p.Missed.Add(1)
	return State{}, false
}

// proposal is what a prepared change is to have accepted.
type proposal struct {
	state   State
	cell    *wire.Cell
	holders map[Replica]bool // who has accepted the cell already
	made    bool             // the cell is a new one of ours
	refusal error            // of the function that makes the new value
}

// propose works out the proposal from what a quorum has answered to preparing. It
// fails where it can't be told any more whether the change was made.
func (c *change) propose(got []reply) (*proposal, error) {
	found, holders := highest(got)
	n := &proposal{state: stateOf(found), cell: found.GetCell(), holders: holders}
	if c.make == nil || slices.Contains(n.cell.GetOps(), c.mark) {
		// Ours already, or nothing to change: only make it safe.
		return n, nil
	}
	if c.sent && n.state.Ver >= c.base+keepOps {
		return nil, fmt.Errorf("the register has moved on to version %d", n.state.Ver)
	}
	val, timed, err := c.make(n.state)
	if err == nil {
		n.made, n.holders, n.cell = true, nil, add(n.cell, c.mark, val, timed)
		return n, nil
	}
	n.refusal = err
	if c.sent {
		// What a straggler still holds of our earlier try could be picked up
		// by a rival; before we say no, a higher ballot must bury it.
		n.holders = nil
		if n.cell == nil {
			n.cell = &wire.Cell{}
		}
	}
	return n, nil
}

// accepted has a proposal accepted, and tells whether it is chosen.
func (c *change) accepted(ctx context.Context, b *wire.Ballot, n *proposal) bool {
	done, none := c.proposer.settle(ctx, c.set, c.key, b, n.cell, n.made)
	switch {
	case done && n.made:
		n.state = State{Ver: n.cell.Ver, Val: n.cell.Val}
	case !done && n.made && !c.sent && !none:
		c.sent, c.base = true, n.state.Ver
	}
	return done
}

// add is the cell after one more change.
func add(c *wire.Cell, op uint64, val []byte, timed bool) *wire.Cell {
	old := c.GetOps()
	old = old[max(0, len(old)+1-keepOps):]
	ops := append(append(make([]uint64, 0, len(old)+1), old...), op)
	return &wire.Cell{Ver: c.GetVer() + 1, Val: val, Ops: ops, Timed: timed}
}

// settle has a cell accepted and, where it is a change of ours, a next ballot
// promised along with it. It tells whether the cell is chosen and, if not, whether
// surely no voter has taken it.
func (p *Proposer) settle(ctx context.Context, set Set, key string, b *wire.Ballot, c *wire.Cell, made bool) (done, none bool) {
	var next *wire.Ballot
	if made {
		next = p.ballot()
	}
	got := p.accept(ctx, set, key, b, next, c, func(got []reply) bool { return set.Quorum(good(got)) })
	if !set.Quorum(good(got)) {
		return false, refused(set, got, b)
	}
	if !made {
		return true, false
	}
	// The next change may go without preparing only if a quorum has said, in the
	// very answers that chose this cell, that it promised the next ballot: then
	// these answers are what preparing it would have brought. Voters of a version
	// that knows no such promise answer with the ballot they have taken.
	sure := map[Replica]bool{}
	for _, g := range got {
		if v := g.resp.GetView(); g.err == nil && wire.Cmp(v.GetPromised(), next) == 0 && wire.Cmp(v.GetAccepted(), b) == 0 {
			sure[g.from] = true
		}
	}
	if set.Quorum(sure) {
		p.aheads.put(&ahead{key: key, set: set, b: next, cell: c, at: time.Now()})
	}
	return true, false
}

// pause spreads rivals apart.
func (p *Proposer) pause(try int) time.Duration {
	top := min(try, 6)
	return time.Duration(1+p.Random()%(1<<top)) * time.Millisecond
}
