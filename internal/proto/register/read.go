package register

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"time"

	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport/loop"
)

// errAwaitingProposer reports that voters have promised a ballot to another proposer, whose accept
// request the reader awaits.
var errAwaitingProposer = errors.New("voters have promised a higher ballot to another proposer")

// Read performs a linearizable read at a majority. If no majority is seen to have accepted the
// value, Read first completes it, so that no later read can miss it: it repeats the accept request
// under the ballot that the value was accepted under. Readers that do so at once don't compete. A
// ballot of its own, which would refuse all others, is the last resort, for when voters have
// promised a higher ballot to a proposer that does not go on. Read returns an error that wraps
// ErrNoQuorum if the value could not be read in time.
func (p *Proposer) Read(ctx context.Context, set Set, key string) (State, error) {
	for {
		startedAt := time.Now()
		replies := p.readRound(ctx, set, key)
		if !set.Quorum(succeeded(replies)) {
			p.attemptFailed(set, key, false, replies)
			return State{}, fmt.Errorf("read %s: %w: %w", key, ErrNoQuorum, firstError(replies))
		}
		roundTime := time.Since(startedAt)
		newest, holders := newestAccepted(replies)
		if p.fillValue(ctx, key, newest.View, holders) == nil {
			if set.Quorum(holders) {
				p.attemptSucceeded(key)
				return stateOf(newest), nil
			}
			if p.completeAccepted(ctx, set, key, newest, holders, &replies) {
				p.attemptSucceeded(key)
				state := stateOf(newest)
				// A majority has held the value only since now.
				state.Age = 0
				return state, nil
			}
		}
		p.attemptFailed(set, key, false, replies)
		p.observeReplies(replies)
		if wait := p.untilProposal(key, highestPromised(replies), roundTime); wait > 0 {
			// The other proposer may finish sooner.
			pause := max(awaitedRounds*roundTime, minProposalWindow)
			if !loop.Wait(ctx, min(wait, pause+time.Duration(p.Random()%uint64(pause)))) {
				return State{}, fmt.Errorf("read %s: %w: %w", key, ErrNoQuorum, errAwaitingProposer)
			}
			continue
		}
		rewrite := p.newChange(set, key, nil)
		if state, done, err := rewrite.attempt(ctx); done {
			if err != nil {
				err = fmt.Errorf("read %s: %w", key, err)
			}
			return state, err
		}
		if ctx.Err() != nil {
			return State{}, fmt.Errorf("read %s: %w: %w", key, ErrNoQuorum, ctx.Err())
		}
	}
}

// readRound asks all voters for the key's record without its large value.
func (p *Proposer) readRound(ctx context.Context, set Set, key string) []reply {
	known := p.values.ballot(key)
	request := func(Replica) *wire.Req {
		read := &wire.Look{Key: key, Known: known, Head: true, AcceptsCompressed: true}
		return &wire.Req{Op: &wire.Req_Look{Look: read}}
	}
	// If the round ended at the first quorum, a lagging voter would cause every reader to complete
	// the value. The round therefore waits briefly for up-to-date voters.
	return p.round(ctx, set, key, request, func(replies []reply) bool {
		_, holders := newestAccepted(replies)
		return set.Quorum(holders)
	})
}

// completeAccepted repeats the accept request for a value that some voters have accepted, to the
// voters that are not known to hold it, and reports whether a majority of every group holds it. It
// is a copy of the message that the ballot's proposer has sent, which voters may receive at any time
// and any number of times. It appends the replies to replies.
func (p *Proposer) completeAccepted(
	ctx context.Context,
	set Set,
	key string,
	newest newestAcceptedView,
	holders map[Replica]bool,
	replies *[]reply,
) bool {
	if newest.Accepted == nil || newest.Cell.GetPast() {
		// The copy of a voter that has expired the value differs from the one proposed.
		return false
	}
	p.Completions.Add(1)
	proposed := &proposal{
		cell:              newest.Cell,
		acceptsCompressed: votersAcceptingCompressed(*replies),
		alreadyAccepted:   holders,
	}
	allHolders := func(answers []reply) map[Replica]bool {
		all := maps.Clone(holders)
		for _, r := range answers {
			if holdsVote(r, newest.Accepted) {
				all[r.from] = true
			}
		}
		return all
	}
	answers := p.accept(ctx, set, key, newest.Accepted, nil, proposed, func(answers []reply) bool {
		return set.Quorum(allHolders(answers))
	})
	*replies = append(*replies, answers...)
	return set.Quorum(allHolders(answers))
}

// holdsVote reports whether a reply shows that the voter has accepted the value proposed under
// ballot. A voter that has promised a higher ballot since refuses to accept it again.
func holdsVote(r reply, ballot *wire.Ballot) bool {
	view := r.resp.GetView()
	return wire.CompareBallots(view.GetAccepted(), ballot) == 0 && !view.GetCopied() && !view.GetCell().GetPast()
}

// highestPromised returns the highest ballot that the replies show as promised.
func highestPromised(replies []reply) *wire.Ballot {
	var highest *wire.Ballot
	for _, r := range replies {
		if promised := r.resp.GetView().GetPromised(); wire.CompareBallots(promised, highest) > 0 {
			highest = promised
		}
	}
	return highest
}
