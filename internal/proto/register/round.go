package register

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport"
	"damsontiller/internal/transport/code"
)

// sharedCancel cancels a context shared by several calls once the last of them is done.
type sharedCancel struct {
	pending atomic.Int32
	cancel  context.CancelFunc
}

func (c *sharedCancel) done() {
	if c.pending.Add(-1) == 0 {
		c.cancel()
	}
}

// reply is one voter's response or the error in its place. An error reply may carry the voter's
// view.
type reply struct {
	from Replica
	resp *wire.Resp
	err  error
}

// minStragglerWait is the minimum time for which a round waits for the remaining voters once a
// quorum has answered or has become impossible.
const minStragglerWait = 20 * time.Millisecond

// round sends a request to every voter for which request returns one, and returns once sufficient reports true for the
// replies, or all voters have answered. When a quorum is no longer possible, or has answered
// and is not sufficient, it waits for the remaining voters only for as long again as the round
// has taken so far: if every voter has refused, it is certain that none has accepted, and a
// late reply may contain the reason.
func (p *Proposer) round(
	ctx context.Context,
	set Set,
	key string,
	request func(to Replica) *wire.Req,
	sufficient func(replies []reply) bool,
) []reply {
	messages := newMessages(set, request)
	if len(messages) == 0 {
		return nil
	}
	p.Rounds.Add(1)
	incoming, timedOut := p.sendAll(ctx, messages, p.roundTimeout(key))
	replies := make([]reply, 0, len(messages))
	sentAt := time.Now()
	var stragglerTimeout <-chan time.Time
	for range messages {
		select {
		case r := <-incoming:
			if replies = append(replies, r); sufficient(replies) {
				return replies
			}
			if stragglerTimeout != nil || !set.quorumLost(replies) && !set.Quorum(succeeded(replies)) {
				continue
			}
			timer := time.NewTimer(max(time.Since(sentAt), minStragglerWait))
			defer timer.Stop()
			stragglerTimeout = timer.C
		case <-stragglerTimeout:
			return replies
		case <-ctx.Done():
			return replies
		case <-timedOut:
			// Replies may have arrived at the same moment.
			replies = drainReplies(incoming, replies)
			p.roundTimedOut(set, key, replies)
			return replies
		}
	}
	return replies
}

// message is a request to one voter.
type message struct {
	to      Replica
	request *wire.Req
}

// newMessages returns a message to every voter for which request returns one.
func newMessages(set Set, request func(to Replica) *wire.Req) []message {
	var messages []message
	for _, voter := range set.All() {
		if r := request(voter); r != nil {
			messages = append(messages, message{voter, r})
		}
	}
	return messages
}

// sendAll sends the messages. The calls outlive an early return of the caller, so
// that slow voters still receive the request. timedOut is closed when the calls have ended or
// timed out.
func (p *Proposer) sendAll(
	ctx context.Context,
	messages []message,
	timeout time.Duration,
) (replies <-chan reply, timedOut <-chan struct{}) {
	received := make(chan reply, len(messages))
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	shared := &sharedCancel{cancel: cancel}
	shared.pending.Store(int32(len(messages)))
	for _, m := range messages {
		m.request.Ident = m.to.Ident
		SetVersion(ctx, m.request)
		go func() {
			resp, err := p.call(callCtx, m.to.Addr, m.request)
			received <- reply{m.to, resp, err}
			shared.done()
		}()
	}
	return received, callCtx.Done()
}

// drainReplies appends the replies that have already arrived.
func drainReplies(incoming <-chan reply, replies []reply) []reply {
	for {
		select {
		case r := <-incoming:
			replies = append(replies, r)
		default:
			return replies
		}
	}
}

// succeeded returns the voters that answered without an error.
func succeeded(replies []reply) map[Replica]bool {
	voters := map[Replica]bool{}
	for _, r := range replies {
		if r.err == nil {
			voters[r.from] = true
		}
	}
	return voters
}

// newestAcceptedView is the view with the highest accepted ballot among several replies. Its
// AgeMs is the lowest age that a replica reports for the value.
type newestAcceptedView struct {
	*wire.View
	maxAgeMs int64 // the highest age that a replica reports
}

// newestAccepted returns the cell with the highest accepted ballot among the successful
// replies, and the voters that have accepted it. A copy that a voter imported below its
// promised ballot is considered like any other cell but is not a vote for its ballot: the
// proposer with the higher promise may still have another cell accepted there.
func newestAccepted(replies []reply) (newestAcceptedView, map[Replica]bool) {
	var newest *wire.View
	for _, r := range replies {
		if r.err != nil {
			continue
		}
		// Some copies of the same value may have expired before others. If one has expired, the
		// value counts as expired.
		view := r.resp.GetView()
		if compared := wire.CompareBallots(view.GetAccepted(), newest.GetAccepted()); newest == nil || compared > 0 ||
			compared == 0 && view.GetCell().GetPast() {
			newest = view
		}
	}
	holders := map[Replica]bool{}
	minAge, maxAge := int64(-1), int64(0)
	for _, r := range replies {
		view := r.resp.GetView()
		if r.err == nil && wire.CompareBallots(view.GetAccepted(), newest.GetAccepted()) == 0 {
			if !view.GetCopied() {
				holders[r.from] = true
			}
			// The lowest age results in the longest wait.
			if minAge < 0 || view.GetAgeMs() < minAge {
				minAge = view.GetAgeMs()
			}
			maxAge = max(maxAge, view.GetAgeMs())
		}
	}
	if newest == nil {
		return newestAcceptedView{}, holders
	}
	view := &wire.View{
		Accepted:        newest.Accepted,
		Cell:            newest.Cell,
		AgeMs:           minAge,
		CompressedValue: newest.CompressedValue,
		ValueOmitted:    newest.ValueOmitted,
	}
	return newestAcceptedView{view, maxAge}, holders
}

// allRefused reports whether every voter has answered that it accepted nothing under the
// ballot. A lost reply or a disk failure leaves that open.
func allRefused(set Set, replies []reply, ballot *wire.Ballot) bool {
	for _, r := range replies {
		if !provesNotAccepted(r, ballot) {
			return false
		}
	}
	return len(replies) == len(set.All())
}

// provesNotAccepted reports whether a reply proves that the voter has not accepted under ballot
// and never will. This requires that no other copy of the request is in transit, which the
// transport guarantees by sending the frame of a call once. A reply that shows the ballot as
// accepted is no proof, whatever its error code.
func provesNotAccepted(r reply, ballot *wire.Ballot) bool {
	switch code.Of(r.err) {
	case code.OldBallot:
		return wire.CompareBallots(r.resp.GetView().GetAccepted(), ballot) != 0
	case code.StaleSpec, code.WrongIdentity, code.NotVoting, code.UnknownMessage, code.Overloaded:
		return true
	}
	return errors.Is(r.err, transport.ErrRefused)
}

// firstError returns the error to report for a round without a quorum. A stale spec takes
// precedence, since the caller can recover from that.
func firstError(replies []reply) error {
	for _, r := range replies {
		if code.Of(r.err) == code.StaleSpec {
			return r.err
		}
	}
	for _, r := range replies {
		if r.err != nil {
			return r.err
		}
	}
	return context.DeadlineExceeded
}

// refusedByPromise reports whether a voter has refused because of a higher ballot.
func refusedByPromise(replies []reply) bool {
	return slices.ContainsFunc(replies, func(r reply) bool { return code.Of(r.err) == code.OldBallot })
}
