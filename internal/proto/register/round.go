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

// sharedCancel ends what several calls share, with the last of them.
type sharedCancel struct {
	left atomic.Int32
	stop context.CancelFunc
}

func (a *sharedCancel) done() {
	if a.left.Add(-1) == 0 {
		a.stop()
	}
}

// reply is one voter's answer, or the failure in its place. A refusal may come with
// the voter's view.
type reply struct {
	from Replica
	resp *wire.Resp
	err  error
}

// minStragglerWait is the least time that a lost round waits for what the rest have to say.
const minStragglerWait = 20 * time.Millisecond

// round asks every voter and returns as soon as done says so or all answered. Once
// no quorum can be had any more it waits for the rest only for as long again: what
// every voter has refused was surely taken by none, and one of them may know why.
func (p *Proposer) round(
	ctx context.Context,
	set Set,
	request func() *wire.Req,
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
			if enough != nil || !set.quorumLost(got) {
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

// ask sends the request to every voter. The calls outlive an early return: a laggard
// should still receive it. over is closed when no answer is waited for any more.
func (p *Proposer) ask(
	ctx context.Context,
	all []Replica,
	request func() *wire.Req,
) (replies <-chan reply, over <-chan struct{}) {
	ch := make(chan reply, len(all))
	callCtx, stop := context.WithTimeout(context.WithoutCancel(ctx), p.RoundTimeout)
	last := &sharedCancel{stop: stop}
	last.left.Store(int32(len(all)))
	for _, r := range all {
		q := request()
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

// drainReplies adds the replies that are there already.
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

// succeeded are the voters that did not refuse or fail.
func succeeded(got []reply) map[Replica]bool {
	m := map[Replica]bool{}
	for _, g := range got {
		if g.err == nil {
			m[g.from] = true
		}
	}
	return m
}

// highest finds the newest cell among good answers, and who has accepted it. A copy
// that its voter took below a promise is found like any cell, but is no vote: the
// proposer that was promised may still have another cell accepted there.
func highest(got []reply) (*wire.View, map[Replica]bool) {
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
	age := int64(-1)
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
		}
	}
	if top == nil {
		return nil, holders
	}
	return &wire.View{Accepted: top.Accepted, Cell: top.Cell, AgeMs: age}, holders
}

// allRefused tells whether every voter has said that it took nothing under a ballot. A
// loss, or a disk that failed, leaves it open.
func allRefused(set Set, got []reply, ballot *wire.Ballot) bool {
	for _, g := range got {
		if !provesNotAccepted(g, ballot) {
			return false
		}
	}
	return len(got) == len(set.All())
}

// provesNotAccepted tells whether an answer proves that its voter has not accepted under b
// and never will. That the refused request is the only one rests on the transport,
// which sends the frame of a call once. An answer that shows the ballot as accepted is
// no proof whatever its code.
func provesNotAccepted(g reply, ballot *wire.Ballot) bool {
	switch code.Of(g.err) {
	case code.OldBallot:
		return wire.CompareBallots(g.resp.GetView().GetAccepted(), ballot) != 0
	case code.StaleSpec, code.WrongIdentity, code.NotVoting:
		return true
	}
	return errors.Is(g.err, transport.ErrRefused)
}

// firstError is a failure that stood in the way; a stale spec first, for that is
// the caller's to cure.
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
