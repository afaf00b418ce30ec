package register

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport"
	"damsontiller/internal/transport/code"
)

// sharedCancel cancels the context that several calls share, once the last of them is
// done.
type sharedCancel struct {
	left atomic.Int32
	stop context.CancelFunc
}

func (a *sharedCancel) done() {
	if a.left.Add(-1) == 0 {
		a.stop()
	}
}

// reply is one voter's answer, or the failure in its place. A refusal may carry the
// voter's view.
type reply struct {
	from Replica
	resp *wire.Resp
	err  error
}

// minStragglerWait is the least time that a round without a possible quorum waits for the
// remaining voters.
const minStragglerWait = 20 * time.Millisecond

// round sends a request to every voter and returns once done reports that the replies are
// enough, or all have answered. When a quorum is no longer possible, or has answered and
// is not enough, it waits for the rest only for as long again as it has taken so far: if
// every voter has refused, it is certain that none has accepted, and one of them may know
// the reason.
func (p *Proposer) round(
	ctx context.Context,
	set Set,
	request func(to Replica) *wire.Req,
	done func(got []reply) bool,
) []reply {
	all := set.All()
	if len(all) == 0 {
		return nil
	}
	p.Rounds.Add(1)
	replies, over := p.ask(ctx, all, request)
	got := make([]reply, 0, len(all))
	asked := time.Now()
	var enough <-chan time.Time
	for range all {
		select {
		case g := <-replies:
			if got = append(got, g); done(got) {
				return got
			}
			if enough != nil || !set.quorumLost(got) && !set.Quorum(succeeded(got)) {
				continue
			}
			t := time.NewTimer(max(time.Since(asked), minStragglerWait))
			defer t.Stop()
			enough = t.C
		case <-enough:
			return got
		case <-ctx.Done():
			return got
		case <-over:
			// All may have answered at this very moment.
			return drainReplies(replies, got)
		}
	}
	return got
}

// ask sends the request to every voter. The calls outlive an early return, so that slow
// voters still receive it. over is closed when no answer is awaited any more.
func (p *Proposer) ask(
	ctx context.Context,
	all []Replica,
	request func(to Replica) *wire.Req,
) (replies <-chan reply, over <-chan struct{}) {
	ch := make(chan reply, len(all))
	callCtx, stop := context.WithTimeout(context.WithoutCancel(ctx), p.RoundTimeout)
	last := &sharedCancel{stop: stop}
	last.left.Store(int32(len(all)))
	for _, r := range all {
		q := request(r)
		q.Ident = r.Ident
		SetVersion(ctx, q)
		go func() {
			resp, err := p.call(callCtx, r.Addr, q)
			ch <- reply{r, resp, err}
			last.done()
		}()
	}
	return ch, callCtx.Done()
}

// drainReplies adds the replies that have arrived already.
func drainReplies(replies <-chan reply, got []reply) []reply {
	for {
		select {
		case g := <-replies:
			got = append(got, g)
		default:
			return got
		}
	}
}

// succeeded are the voters that neither refused nor failed.
func succeeded(got []reply) map[Replica]bool {
	m := map[Replica]bool{}
	for _, g := range got {
		if g.err == nil {
			m[g.from] = true
		}
	}
	return m
}

// newestView is the value accepted under the highest ballot among some answers. Its AgeMs is
// the least that a replica states of it.
type newestView struct {
	*wire.View
	greatestAgeMs int64 // that a replica states
}

// highest finds the newest accepted cell among the successful replies, and who has
// accepted it. A copy that a voter imported below its promise is found like any cell but
// is no vote for its ballot: the proposer that was promised may still have another cell
// accepted there.
func highest(got []reply) (newestView, map[Replica]bool) {
	var top *wire.View
	for _, g := range got {
		if g.err != nil {
			continue
		}
		// Of one value some copies may have expired before the others; what one has
		// expired is past for all.
		v := g.resp.GetView()
		if n := wire.CompareBallots(v.GetAccepted(), top.GetAccepted()); top == nil || n > 0 ||
			n == 0 && v.GetCell().GetPast() {
			top = v
		}
	}
	holders := map[Replica]bool{}
	age, greatest := int64(-1), int64(0)
	for _, g := range got {
		v := g.resp.GetView()
		if g.err == nil && wire.CompareBallots(v.GetAccepted(), top.GetAccepted()) == 0 {
			if !v.GetCopied() {
				holders[g.from] = true
			}
			// The youngest count is the longest wait.
			if age < 0 || v.GetAgeMs() < age {
				age = v.GetAgeMs()
			}
			greatest = max(greatest, v.GetAgeMs())
		}
	}
	if top == nil {
		return newestView{}, holders
	}
	view := &wire.View{
		Accepted:        top.Accepted,
		Cell:            top.Cell,
		AgeMs:           age,
		CompressedValue: top.CompressedValue,
		ValueOmitted:    top.ValueOmitted,
	}
	return newestView{view, greatest}, holders
}

// allRefused reports whether every voter has answered that it accepted nothing under a
// ballot. A lost answer, or a disk that failed, leaves that open.
func allRefused(set Set, got []reply, ballot *wire.Ballot) bool {
	for _, g := range got {
		if !provesNotAccepted(g, ballot) {
			return false
		}
	}
	return len(got) == len(set.All())
}

// provesNotAccepted reports whether an answer proves that its voter has not accepted under
// ballot and never will. That no other copy of the request is on its way rests on the
// transport, which sends the frame of a call once. An answer that shows the ballot as
// accepted is no proof, whatever its code.
func provesNotAccepted(g reply, ballot *wire.Ballot) bool {
	switch code.Of(g.err) {
	case code.OldBallot:
		return wire.CompareBallots(g.resp.GetView().GetAccepted(), ballot) != 0
	case code.StaleSpec, code.WrongIdentity, code.NotVoting, code.UnknownMessage, code.Overloaded:
		return true
	}
	return errors.Is(g.err, transport.ErrRefused)
}

// firstError is the failure to report for a round without a quorum: a stale spec before
// any other, since the caller can recover from that.
func firstError(got []reply) error {
	for _, g := range got {
		if code.Of(g.err) == code.StaleSpec {
			return g.err
		}
	}
	for _, g := range got {
		if g.err != nil {
			return g.err
		}
	}
	return context.DeadlineExceeded
}
