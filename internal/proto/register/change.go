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

// maxOperations bounds the operation ids kept in a cell. After that many later changes a
// proposer can no longer determine whether its own change was made, and reports ErrUncertain.
const maxOperations = 32

// UpdateFunc computes the new value from the current one. An error leaves the register
// unchanged and is returned to the caller of Change. The function may be called several times,
// so it must have no side effects that matter.
type UpdateFunc func(State) (value []byte, timed bool, err error)

// change is one change of a key in progress.
type change struct {
	proposer  *Proposer
	set       Set
	key       string
	update    UpdateFunc
	operation uint64 // identifies the change in a cell
	// maybeAccepted is set once a voter may have accepted the change, which was first computed
	// from the version baseVersion.
	maybeAccepted bool
	baseVersion   uint64
}

// Change replaces the value of key with the result of update; if update is nil, it writes the
// current value back. It returns the chosen state, which contains this change and possibly
// later ones. Callers must take the outcome from that state: side effects of update may come
// from a call whose value was not chosen.
//
// It returns an error that wraps ErrNoQuorum if nothing was changed, ErrUncertain if the change
// may be chosen now or later, or the error of update.
func (p *Proposer) Change(ctx context.Context, set Set, key string, update UpdateFunc) (State, error) {
	defer p.queues.acquire(ctx, key, p.RoundTimeout)()
	c := p.newChange(set, key, update)
	if state, chosen := c.changeInOneRound(ctx); chosen {
		p.attemptSucceeded(key)
		return state, nil
	}
	for attempt := 1; ctx.Err() == nil; attempt++ {
		startedAt := time.Now()
		if state, done, err := c.attempt(ctx); done {
			return state, err
		}
		if !loop.Wait(ctx, p.retryPause(key, attempt, time.Since(startedAt))) {
			break
		}
	}
	return c.fail(fmt.Errorf("%w: %w", ErrNoQuorum, ctx.Err()))
}

// newChange returns a change of a key that has not been attempted.
func (p *Proposer) newChange(set Set, key string, update UpdateFunc) *change {
	// 49 bits, so that the id takes at most seven bytes as a varint: a cell carries many ids.
	return &change{proposer: p, set: set, key: key, update: update, operation: p.Random()>>15 | 1}
}

// attempt runs both rounds once. It reports whether the change is done or has failed for good.
func (c *change) attempt(ctx context.Context) (state State, done bool, err error) {
	p := c.proposer
	ballot, replies, err := p.prepare(ctx, c.set, c.key)
	if code.Of(err) == code.StaleSpec {
		// Retrying is useless, since the same voters would refuse again.
		state, err = c.fail(fmt.Errorf("%w: %w", ErrNoQuorum, err))
		return state, true, err
	}
	if replies == nil {
		return State{}, false, nil
	}
	newest, holders := newestAccepted(replies)
	if p.fillValue(ctx, c.key, newest.View, holders) != nil {
		return State{}, false, nil
	}
	proposed, err := c.propose(newest, holders)
	if err != nil {
		state, err = c.fail(err)
		return state, true, err
	}
	proposed.acceptsCompressed = votersAcceptingCompressed(replies)
	if proposed.cell == nil || c.set.Quorum(proposed.holders) || c.acceptProposal(ctx, ballot, proposed) {
		p.attemptSucceeded(c.key)
		return proposed.state, true, proposed.updateErr
	}
	return State{}, false, nil
}

// fail returns the error of a change that was not observed to be chosen.
func (c *change) fail(err error) (State, error) {
	if c.maybeAccepted {
		return State{}, fmt.Errorf("change %s: %w: %w", c.key, ErrUncertain, err)
	}
	return State{}, fmt.Errorf("change %s: %w", c.key, err)
}

// changeInOneRound skips the prepare round if this proposer made the key's last change and a
// quorum promised its next ballot with it. A strict change always prepares, because a voter
// with a newer spec refuses its prepare request but would accept a ballot that was prepared
// before.
func (c *change) changeInOneRound(ctx context.Context) (State, bool) {
	p := c.proposer
	prepared := p.prepared.take(c.key, c.set, clock.Now(p.Clock))
	sender, _ := ctx.Value(specVersionKey{}).(specVersion)
	if prepared == nil || c.update == nil || sender.strict || ctx.Err() != nil {
		return State{}, false
	}
	// A result computed from a state that may be outdated counts only once it is chosen. If
	// update fails, the caller runs both rounds and calls it again with the state of a
	// majority.
	if cell, err := prepared.next(c.update, c.operation); err == nil {
		c.baseVersion = prepared.cell.GetVer()
		chosen, notAccepted := p.choose(ctx, c.set, c.key, prepared.ballot, &proposal{cell: cell, isNew: true})
		if chosen {
			p.OneRound.Add(1)
			return State{Version: cell.Ver, Value: cell.Val}, true
		}
		c.maybeAccepted = !notAccepted
	}
	p.OneRoundMissed.Add(1)
	return State{}, false
}

// proposal is the cell that is sent to the voters in an accept round.
type proposal struct {
	state     State
	cell      *wire.Cell
	holders   map[Replica]bool // voters that have already accepted the cell
	isNew     bool             // the cell contains a new change by this proposer
	updateErr error            // error of the update function
	// alreadyAccepted holds the voters that have accepted the cell under the ballot to be sent.
	alreadyAccepted map[Replica]bool
	// acceptsCompressed holds the voters that accept AccCompressed.
	acceptsCompressed map[Replica]bool
}

// propose computes the proposal from a quorum's replies to a prepare request. It fails if it
// can no longer be determined whether this change was made.
func (c *change) propose(newest newestAcceptedView, holders map[Replica]bool) (*proposal, error) {
	proposed := &proposal{state: stateOf(newest), cell: newest.GetCell(), holders: holders}
	if c.update == nil || slices.Contains(proposed.cell.GetOps(), c.operation) {
		// The change is already made, or there is none to make: only ensure that the cell is
		// chosen.
		return proposed, nil
	}
	if c.maybeAccepted && proposed.state.Version >= c.baseVersion+maxOperations {
		return nil, fmt.Errorf("the register has moved on to version %d", proposed.state.Version)
	}
	value, timed, err := c.update(proposed.state)
	if err == nil {
		proposed.isNew, proposed.holders, proposed.cell = true, nil, nextCell(proposed.cell, c.operation, value, timed)
		return proposed, nil
	}
	proposed.updateErr = err
	if c.maybeAccepted {
		// A slow voter may still hold the cell of an earlier attempt, and another proposer
		// could complete it. Before the change is reported as failed, the current cell must be
		// chosen under a higher ballot.
		proposed.holders = nil
		if proposed.cell == nil {
			proposed.cell = &wire.Cell{}
		}
	}
	return proposed, nil
}

// acceptProposal runs the accept round of a proposal and reports whether it was chosen.
func (c *change) acceptProposal(ctx context.Context, ballot *wire.Ballot, proposed *proposal) bool {
	chosen, notAccepted := c.proposer.choose(ctx, c.set, c.key, ballot, proposed)
	switch {
	case chosen && proposed.isNew:
		proposed.state = State{Version: proposed.cell.Ver, Value: proposed.cell.Val}
	case !chosen && proposed.isNew && !c.maybeAccepted && !notAccepted:
		c.maybeAccepted, c.baseVersion = true, proposed.state.Version
	}
	return chosen
}

// nextCell returns the cell that follows c after one more change.
func nextCell(c *wire.Cell, operation uint64, value []byte, timed bool) *wire.Cell {
	previous := c.GetOps()
	previous = previous[max(0, len(previous)+1-maxOperations):]
	ops := append(append(make([]uint64, 0, len(previous)+1), previous...), operation)
	return &wire.Cell{Ver: c.GetVer() + 1, Val: value, Ops: ops, Timed: timed}
}

// choose runs the accept round for a proposal. If the proposal is a new change, it also asks
// the voters to promise the proposer's next ballot. It reports whether the cell is chosen; if
// not, notAccepted reports whether it is certain that no voter has accepted it.
func (p *Proposer) choose(
	ctx context.Context,
	set Set,
	key string,
	ballot *wire.Ballot,
	proposed *proposal,
) (chosen, notAccepted bool) {
	var next *wire.Ballot
	if proposed.isNew {
		next = p.ballot()
	}
	replies := p.accept(ctx, set, key, ballot, next, proposed, func(replies []reply) bool {
		return set.Quorum(succeeded(replies))
	})
	if !set.Quorum(succeeded(replies)) {
		p.attemptFailed(set, key, true, replies)
		return false, allRefused(set, replies, ballot)
	}
	p.cacheValue(key, ballot, proposed.cell.GetVal())
	if !proposed.isNew {
		return true, false
	}
	// The next change may skip the prepare round only if a quorum reported, in the same replies
	// that chose this cell, that it promised the next ballot: these replies then are equivalent
	// to those of a prepare round. Voters of a release without this feature report the accepted
	// ballot as promised.
	promised := map[Replica]bool{}
	for _, r := range replies {
		if view := r.resp.GetView(); r.err == nil && wire.CompareBallots(view.GetPromised(), next) == 0 &&
			wire.CompareBallots(view.GetAccepted(), ballot) == 0 {
			promised[r.from] = true
		}
	}
	if set.Quorum(promised) {
		p.prepared.put(&preparedBallot{
			key: key, set: set, ballot: next, cell: proposed.cell, preparedAt: clock.Now(p.Clock),
		})
	}
	return true, false
}

const (
	// minRetryUnit and maxRetryUnit bound the range of the first pause, which doubles
	// maxRetryDoublings times at most.
	minRetryUnit      = time.Millisecond
	maxRetryUnit      = 32 * time.Millisecond
	maxRetryDoublings = 6
)

// retryPause returns a random pause whose range grows with the attempts, so that competing proposers
// do not collide again. After a collision it is in units of the time that the attempt took, and
// counts the collisions of earlier calls as well.
func (p *Proposer) retryPause(key string, attempt int, attemptTime time.Duration) time.Duration {
	unit := minRetryUnit
	if refused, collisions := p.collisions(key); refused {
		unit = min(max(unit, attemptTime), maxRetryUnit)
		attempt = max(attempt, collisions)
	}
	pauseRange := unit << min(attempt, maxRetryDoublings)
	return minRetryUnit + time.Duration(p.Random()%uint64(pauseRange))
}
