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

// broadcastSpec broadcasts a version and returns the ids of the nodes that confirmed it.
func (c *Core) broadcastSpec(ctx context.Context, version uint64, raw []byte) map[string]bool {
	confirmed := map[string]bool{}
	for _, id := range c.Broadcast.Publish(ctx, &wire.Item{Topic: keys.SpecTopic, Seq: version, Body: raw}) {
		confirmed[id] = true
	}
	return confirmed
}

// membersTimeout bounds a query of all core machines for the members they know.
const membersTimeout = time.Second

// membersAnswer is the answer of one core machine to a query for members.
type membersAnswer struct {
	core register.Replica
	ack  *wire.MembersAck
	err  error
}

// queryMembers asks all core machines for the members they know. The channel has capacity for every
// answer.
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

// memberList holds the members known to a majority of the core machines, by id@addr.
type memberList struct {
	members map[string]*wire.Member
	// complete is true if the list contains every node that was ever granted a lease and may still
	// act.
	complete bool
}

// queryMemberList merges the members known to a majority of the core machines. Of each member it
// keeps the latest incarnation, the highest confirmed version and the shortest time without
// contact.
func (c *Core) queryMemberList(ctx context.Context) (*memberList, error) {
	set := c.Cluster.Newest().Cores()
	ctx, cancel := context.WithTimeout(ctx, membersTimeout)
	defer cancel()
	cores := set.All()
	answers := c.queryMembers(ctx, cores)
	list := &memberList{members: map[string]*wire.Member{}}
	answered, complete := map[register.Replica]bool{}, map[register.Replica]bool{}
	// A lease is granted by a majority, so any majority knows every node. The remaining core
	// machines get a little more time, as they may hold more recent contacts.
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

// mergeMembers merges the members known to one more core machine into members.
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

// stragglerWait is how long to wait for the remaining core machines once a majority has answered.
const stragglerWait = 50 * time.Millisecond

// unconfirmedNodes returns the nodes that could still act on a version older than the given one.
// The result is empty once the stores act as the fence: enough of them have confirmed the version
// that no key has a majority of replicas below it, and reads made before that have expired. If the
// cores do not list every node, only this fence allows an empty result.
func (c *Core) unconfirmedNodes(ctx context.Context, version uint64, confirmed map[string]bool) ([]string, error) {
	list, err := c.queryMemberList(ctx)
	if err != nil {
		return nil, err
	}
	members := list.members
	// The read window of the fence elapses while the unresponsive nodes are probed.
	var fenceElapsed <-chan time.Time
	if c.fencedByStores(members, version, confirmed) {
		timer := time.NewTimer(storeclient.ReadWindow)
		defer timer.Stop()
		fenceElapsed = timer.C
	}
	type probeResult struct {
		id      string
		refused bool
	}
	probes := make(chan probeResult, len(members))
	probeCount := 0
	for _, m := range members {
		if m.SpecVer >= version || confirmed[m.Id] {
			continue
		}
		probeCount++
		go func() {
			// If the port refuses connections, the process has exited. A new process reads the spec
			// at a majority before it serves.
			probes <- probeResult{m.Id, c.portRefused(ctx, m.Addr)}
		}()
	}
	unconfirmed := []string{}
	if !list.complete {
		unconfirmed = append(unconfirmed, unlistedNodes)
	}
	for range probeCount {
		select {
		case probe := <-probes:
			if !probe.refused {
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

// fencedByStores reports whether, in neither set of stores, the stores that have not confirmed the
// version could form a majority of any key's replicas.
func (c *Core) fencedByStores(known map[string]*wire.Member, version uint64, confirmed map[string]bool) bool {
	view := c.Cluster.Newest()
	return membership.Fenced(&view.Cluster, func(m spec.Machine) bool {
		member := known[m.ID+"@"+m.Addr]
		return member.GetIdent() == m.Ident && (member.GetSpecVer() >= version || confirmed[m.ID])
	})
}

// unlistedNodes stands for nodes that are no longer listed by the cores in the list of nodes that
// an acknowledgement waits for.
const unlistedNodes = "(nodes no longer listed)"

func (c *Core) portRefused(ctx context.Context, addr string) bool {
	return singleton.PortRefused(ctx, c.Peer, addr)
}
