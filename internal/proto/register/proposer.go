package register

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport/clock"
)

// ErrNoQuorum reports that too few voters answered and that nothing was changed.
var ErrNoQuorum = errors.New("no majority answered")

// ErrUncertain reports that the change may be chosen, now or later. It must never be presented
// as a change that was not made.
var ErrUncertain = errors.New("the change may have been chosen")

// State is the state of a register as read. Its value is shared and must not be modified.
type State struct {
	Version uint64
	Value   []byte
	// Age is a lower bound of the time for which a majority has held a timed value, and
	// GreatestAge the longest time that any replica reports. A replica counts from the time at
	// which it accepted the value, so neither exceeds the time since the value was proposed.
	Age         time.Duration
	GreatestAge time.Duration
	// Expired is set if there was a value that is past its retention period.
	Expired bool
}

func stateOf(view newestAcceptedView) State {
	return State{
		Version: view.GetCell().GetVer(),
		Value:   view.GetCell().GetVal(),
		Age:     time.Duration(view.GetAgeMs()) * time.Millisecond,

		GreatestAge: time.Duration(view.maxAgeMs) * time.Millisecond,
		Expired:     view.GetCell().GetPast(),
	}
}

// Proposer runs the protocol's two rounds, or only the second if it made the key's last change.
// Each start of a process has its own node number, so no two proposers ever share a ballot. Its
// methods may be called concurrently.
type Proposer struct {
	node        uint64
	call        wire.Caller
	highestSeen atomic.Uint64
	// Rounds counts the rounds sent, which measure the cost of a job.
	Rounds atomic.Uint64
	// OneRound counts the changes that took one round, OneRoundMissed those that attempted it
	// but needed both rounds.
	OneRound, OneRoundMissed atomic.Uint64
	// Proposals counts the ballots prepared, and Refused the attempts in which a voter had
	// promised a higher ballot to another proposer.
	Proposals, Refused atomic.Uint64
	// Completions counts the reads that repeated another proposer's accept request.
	Completions atomic.Uint64
	// OnContention is called once for a key whose reads or changes have not completed for
	// contentionReportAfter, and again when they complete. It is set before the first call.
	OnContention func(Contention)
	// RoundTimeout bounds the time for which one round waits for a majority. It doubles, up to four
	// times, for a key whose voters have answered later than that.
	RoundTimeout time.Duration
	// Clock returns the time of day that ballot numbers follow. Random returns the bits for
	// operation ids and retry pauses. Tests replace them before the first call.
	Clock       clock.TimeOfDay
	Random      func() uint64
	prepared    preparedCache
	queues      keyQueues
	values      largeValueCache
	contentions contentions
}

// NewProposer returns a proposer that sends its requests through call. node must be unique to
// this start of the process.
func NewProposer(node uint64, call wire.Caller) *Proposer {
	return &Proposer{
		node:         node,
		call:         call,
		RoundTimeout: 500 * time.Millisecond,
		Clock:        time.Now,
		Random:       rand.Uint64,
	}
}

// prepare runs the first round. It returns no replies if there is no quorum.
func (p *Proposer) prepare(ctx context.Context, set Set, key string) (*wire.Ballot, []reply, error) {
	ballot, known := p.ballot(), p.values.ballot(key)
	p.Proposals.Add(1)
	replies := p.round(
		ctx,
		set,
		key,
		func(Replica) *wire.Req {
			return &wire.Req{Op: &wire.Req_Prep{
				Prep: &wire.Prep{Key: key, Ballot: ballot, Known: known, AcceptsCompressed: true},
			}}
		},
		func(replies []reply) bool { return set.Quorum(succeeded(replies)) },
	)
	p.observeReplies(replies)
	if !set.Quorum(succeeded(replies)) {
		p.attemptFailed(set, key, true, replies)
		return ballot, nil, firstError(replies)
	}
	return ballot, replies, nil
}

// accept runs the second round and asks the voters to promise next with it. It returns once
// sufficient reports true, or all voters have answered. Voters that have accepted it under
// this ballot are not asked.
func (p *Proposer) accept(
	ctx context.Context,
	set Set,
	key string,
	ballot, next *wire.Ballot,
	proposed *proposal,
	sufficient func([]reply) bool,
) []reply {
	compressed := proposed.compressedRequest(key, ballot, next)
	replies := p.round(ctx, set, key, func(to Replica) *wire.Req {
		if proposed.alreadyAccepted[to] {
			return nil
		}
		if compressed != nil && proposed.acceptsCompressed[to] {
			return &wire.Req{Op: &wire.Req_AccCompressed{AccCompressed: compressed}}
		}
		return &wire.Req{Op: &wire.Req_Acc{Acc: &wire.Acc{Key: key, Ballot: ballot, Cell: proposed.cell, Next: next}}}
	}, sufficient)
	p.observeReplies(replies)
	return replies
}
