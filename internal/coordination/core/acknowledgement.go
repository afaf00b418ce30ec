package core

import (
	"context"
	"slices"
	"time"

	"damsontiller/internal/coordination/membership"
	"damsontiller/internal/coordination/singleton"
	"damsontiller/internal/coordination/storeclient"
	"damsontiller/internal/proto/keys"
	"damsontiller/internal/proto/register"
	"damsontiller/internal/proto/spec"
	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport/code"
)

// broadcastSpec sends a version down the tree and gives the ids that took it.
func (c *Core) broadcastSpec(ctx context.Context, version uint64, raw []byte) map[string]bool {
	confirmed := map[string]bool{}
	for _, id := range c.Broadcast.Publish(ctx, &wire.Item{Topic: keys.SpecTopic, Seq: version, Body: raw}) {
		confirmed[id] = true
	}
	return confirmed
}

// membersTimeout is how long the core machines have to say which members they know.
const membersTimeout = time.Second

// membersAnswer is what one core machine knows of the members.
type membersAnswer struct {
	core register.Replica
	ack  *wire.MembersAck
	err  error
}

// queryMembers asks all core machines which members they know. The channel has a place for
// each answer.
func (c *Core) queryMembers(ctx context.Context, cores []register.Replica) <-chan membersAnswer {
	answers := make(chan membersAnswer, len(cores))
	for _, replica := range cores {
		go func() {
			request := &wire.Req{Ident: replica.Ident, Op: &wire.Req_Members{Members: &wire.MembersAsk{}}}
			response, err := c.Peer.Call(ctx, replica.Addr, request)
			answers <- membersAnswer{replica, response.GetMembers(), err}
		}()
	}
	return answers
}

// memberList is what a majority of core machines know of the members, by id@addr.
type memberList struct {
	members map[string]*wire.Member
	// complete: every node that was ever granted a lease and may still act is listed.
	complete bool
}

// queryMemberList merges the members that a majority of core machines know: the newest
// start of each, its highest confirmation, its shortest time without contact.
func (c *Core) queryMemberList(ctx context.Context) (*memberList, error) {
	set := c.Cluster.Newest().Cores()
	ctx, cancel := context.WithTimeout(ctx, membersTimeout)
	defer cancel()
	cores := set.All()
	answers := c.queryMembers(ctx, cores)
	list := &memberList{members: map[string]*wire.Member{}}
	answered, complete := map[register.Replica]bool{}, map[register.Replica]bool{}
	// A lease is granted by a majority, so any majority knows of every node. The
	// others are given a moment more: they may have seen some later.
	var stragglers <-chan time.Time
	for range cores {
		select {
		case answer := <-answers:
			if answer.err == nil {
				answered[answer.core] = true
				complete[answer.core] = !answer.ack.GetIncomplete()
				mergeMembers(list.members, answer.ack.GetMembers())
				list.complete = set.Quorum(complete)
			}
		case <-stragglers:
			return list, nil
		}
		if stragglers == nil && set.Quorum(answered) {
			timer := time.NewTimer(stragglerWait)
			defer timer.Stop()
			stragglers = timer.C
		}
	}
	if !set.Quorum(answered) {
		return nil, code.New(code.CoreUnreachable, "%d of %d core machines answered", len(answered), len(cores))
	}
	return list, nil
}

// mergeMembers adds what one more core machine knows to what others do.
func mergeMembers(members map[string]*wire.Member, more []*wire.Member) {
	for _, m := range more {
		key := m.Id + "@" + m.Addr
		known := members[key]
		switch {
		case known == nil || m.Inc > known.Inc:
			members[key] = m
		case m.Inc == known.Inc:
			known.SpecVer = max(known.SpecVer, m.SpecVer)
			known.SilentMs = min(known.SilentMs, m.SilentMs)
			known.Live = known.Live || m.Live
		}
	}
}

// stragglerWait is how long a core machine that is slower than a majority is waited for.
const stragglerWait = 50 * time.Millisecond

// unconfirmedNodes lists the nodes that could still act on a version older than ver. It
// is none where the stores are the fence: so many have confirmed that no key
// finds a majority below it, and what was looked at before is too old by now. Where the
// cores do not list every node, only that fence will do.
func (c *Core) unconfirmedNodes(ctx context.Context, version uint64, confirmed map[string]bool) ([]string, error) {
	list, err := c.queryMemberList(ctx)
	if err != nil {
		return nil, err
	}
	members := list.members
	// The fence's time runs while the unresponsive are asked for.
	var fenceElapsed <-chan time.Time
	if c.fencedByStores(members, version, confirmed) {
		timer := time.NewTimer(storeclient.ReadWindow)
		defer timer.Stop()
		fenceElapsed = timer.C
	}
	type probed struct {
		id  string
		yes bool
	}
	probes := make(chan probed, len(members))
	probeCount := 0
	for _, m := range members {
		if m.SpecVer >= version || confirmed[m.Id] {
			continue
		}
		probeCount++
		go func() {
			// A refused port: the process has exited, and a new one reads the
			// spec at a majority before it serves.
			probes <- probed{m.Id, c.portRefused(ctx, m.Addr)}
		}()
	}
	unconfirmed := []string{}
	if !list.complete {
		unconfirmed = append(unconfirmed, unlistedNodes)
	}
	for range probeCount {
		select {
		case probe := <-probes:
			if !probe.yes {
				unconfirmed = append(unconfirmed, probe.id)
			}
		case <-fenceElapsed:
			return []string{}, nil
		}
	}
	slices.Sort(unconfirmed)
	if len(unconfirmed) > 0 && fenceElapsed != nil {
		select {
		case <-fenceElapsed:
			return []string{}, nil
		case <-ctx.Done():
		}
	}
	return unconfirmed, nil
}

// fencedByStores reports whether in neither set of stores could those that have not confirmed ver
// make a majority of some key's copies.
func (c *Core) fencedByStores(known map[string]*wire.Member, version uint64, confirmed map[string]bool) bool {
	view := c.Cluster.Newest()
	return membership.Fenced(&view.Cluster, func(m spec.Machine) bool {
		member := known[m.ID+"@"+m.Addr]
		return member.GetIdent() == m.Ident && (member.GetSpecVer() >= version || confirmed[m.ID])
	})
}

// unlistedNodes stands for nodes that the cores do not list any more, among those that an
// acknowledgement waits for.
const unlistedNodes = "(nodes no longer listed)"

func (c *Core) portRefused(ctx context.Context, addr string) bool {
	return singleton.PortRefused(ctx, c.Peer, addr)
}
