package register

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport/clock"
)

// ErrNoQuorum reports that too few voters answered, and that nothing was changed.
var ErrNoQuorum = errors.New("no majority answered")

// ErrUncertain reports that the change may be chosen, now or later. It must never be
// reported as not done.
var ErrUncertain = errors.New("the change may have been chosen")

// State is a register as read. Its value is shared and must not be modified.
type State struct {
	Version uint64
	Value   []byte
	// Age is the least time that a majority has held a timed value, GreatestAge the greatest
	// that any replica of it has. A replica counts from when it took the value, so neither is
	// more than the time since the value was proposed.
	Age         time.Duration
	GreatestAge time.Duration
	// Expired: there was a value, and it is past its keeping time.
	Expired bool
}

func stateOf(v newestView) State {
	return State{
		Version: v.GetCell().GetVer(),
		Value:   v.GetCell().GetVal(),
		Age:     time.Duration(v.GetAgeMs()) * time.Millisecond,

		GreatestAge: time.Duration(v.greatestAgeMs) * time.Millisecond,
		Expired:     v.GetCell().GetPast(),
	}
}

// Proposer runs the protocol's two rounds, or the second alone where it made the key's
// last change. Each start of a process has its own node number, so no two proposers ever
// share a ballot. Its methods may be called concurrently.
type Proposer struct {
	node        uint64
	call        wire.Caller
	highestSeen atomic.Uint64
	// Rounds counts rounds sent, for the cost of a job.
	Rounds atomic.Uint64
	// OneRound counts changes that took one round, Missed those that tried to.
	OneRound, OneRoundMissed atomic.Uint64
	// RoundTimeout is how long one round waits for a majority.
	RoundTimeout time.Duration
	// Clock gives the time of day that ballots follow, Random the operation ids of changes
	// and the lengths of pauses. Tests replace them before the first call.
	Clock    clock.TimeOfDay
	Random   func() uint64
	prepared preparedCache
	queues   keyQueues
	values   largeValues
}

// NewProposer makes a proposer that sends requests by call. node must be unique to this
// start of the process.
func NewProposer(node uint64, call wire.Caller) *Proposer {
	return &Proposer{
		node:         node,
		call:         call,
		RoundTimeout: 500 * time.Millisecond,
		Clock:        time.Now,
		Random:       rand.Uint64,
	}
}

// Read is a linearizable read at a majority. A value that no majority is seen to have
// accepted is written back first, so that no later read can miss it. It returns an error
// that wraps ErrNoQuorum where too few voters answered.
func (p *Proposer) Read(ctx context.Context, set Set, key string) (State, error) {
	known := p.values.ballot(key)
	request := func(Replica) *wire.Req {
		read := &wire.Look{Key: key, Known: known, Head: true, AcceptsCompressed: true}
		return &wire.Req{Op: &wire.Req_Look{Look: read}}
	}
	// A voter that lags would have the value written back by every reader; those that
	// don't are waited for a moment instead.
	got := p.round(ctx, set, request, func(got []reply) bool {
		_, holders := highest(got)
		return set.Quorum(holders)
	})
	if !set.Quorum(succeeded(got)) {
		return State{}, fmt.Errorf("read %s: %w: %w", key, ErrNoQuorum, firstError(got))
	}
	top, holders := highest(got)
	if set.Quorum(holders) && p.complete(ctx, key, top.View, holders) == nil {
		return stateOf(top), nil
	}
	st, err := p.Change(ctx, set, key, nil)
	if errors.Is(err, ErrUncertain) {
		// A write-back changes nothing, so its uncertainty is only a failed read.
		err = fmt.Errorf("read %s: %w", key, ErrNoQuorum)
	}
	return st, err
}

// prepare is the first round. It returns no replies where there is no quorum.
func (p *Proposer) prepare(ctx context.Context, set Set, key string) (*wire.Ballot, []reply, error) {
	ballot, known := p.ballot(), p.values.ballot(key)
	got := p.round(
		ctx,
		set,
		func(Replica) *wire.Req {
			return &wire.Req{Op: &wire.Req_Prep{
				Prep: &wire.Prep{Key: key, Ballot: ballot, Known: known, AcceptsCompressed: true},
			}}
		},
		func(got []reply) bool { return set.Quorum(succeeded(got)) },
	)
	p.observeReplies(got)
	if !set.Quorum(succeeded(got)) {
		return ballot, nil, firstError(got)
	}
	return ballot, got, nil
}

// accept is the second round; next is promised along with it. It returns once enough
// reports so, or all have answered.
func (p *Proposer) accept(
	ctx context.Context,
	set Set,
	key string,
	ballot, next *wire.Ballot,
	proposed *proposal,
	enough func([]reply) bool,
) []reply {
	compressed := proposed.compressedRequest(key, ballot, next)
	got := p.round(ctx, set, func(to Replica) *wire.Req {
		if compressed != nil && proposed.compressTo[to] {
			return &wire.Req{Op: &wire.Req_AccCompressed{AccCompressed: compressed}}
		}
		return &wire.Req{Op: &wire.Req_Acc{Acc: &wire.Acc{Key: key, Ballot: ballot, Cell: proposed.cell, Next: next}}}
	}, enough)
	p.observeReplies(got)
	return got
}
