package register

import (
	"damsontiller/internal/proto/wire"
)

// ballot is one that this proposer has never used. Its number follows the clock,
// so that who comes later goes over the one before at the first try, also after a
// restart; a clock that is wrong costs tries and nothing else.
func (p *Proposer) ballot() *wire.Ballot {
	now := uint64(max(p.Clock().UnixMilli(), 0))
	for {
		t := p.top.Load()
		if n := max(t+1, now); p.top.CompareAndSwap(t, n) {
			return &wire.Ballot{N: n, Node: p.node}
		}
	}
}

// absurd is a ballot's number that no clock gives. Whoever went over it would soon
// count past the highest number and begin anew with ballots used before.
const absurd = 1 << 63

// saw lifts the next ballot above one that beat ours.
func (p *Proposer) saw(b *wire.Ballot) {
	if b.GetN() >= absurd {
		return
	}
	for {
		t := p.top.Load()
		if b.GetN() <= t || p.top.CompareAndSwap(t, b.GetN()) {
			return
		}
	}
}

// learn lifts the next ballot above what a round has shown to be promised.
func (p *Proposer) learn(got []reply) {
	for _, g := range got {
		if g.resp != nil {
			p.saw(g.resp.GetView().GetPromised())
		}
	}
}
