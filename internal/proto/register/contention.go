package register

import (
	"slices"
	"sync"
	"time"

	"damsontiller/internal/proto/wire"
)

// Contention describes a spell in which the reads and changes of a key by this proposer do not
// complete. It begins with the first attempt that fails and ends with the first that succeeds.
type Contention struct {
	Key       string
	Since     time.Time
	Attempts  int // attempts that failed
	Proposals int // those in which this proposer prepared a ballot of its own
	Refused   int // those in which a voter had promised a higher ballot to another proposer
	// Promised is the highest ballot that a voter has promised. Its Node is the start of the
	// process that proposed it.
	Promised *wire.Ballot
	// Holders of the newest value among the voters that answered the last attempt.
	Holders, Answered, Voters int
	// Completed is set once the spell is over.
	Completed bool
}

const (
	// contentionReportAfter is how long a spell has lasted when it is reported.
	contentionReportAfter = 2 * time.Second
	// maxContentions bounds the keys with a spell; an arbitrary one is evicted.
	maxContentions = 1024
)

// contentions holds the spells of a proposer by key. Its methods may be called concurrently.
type contentions struct {
	mu    sync.Mutex
	byKey map[string]*spell
}

// spell is a Contention in progress.
type spell struct {
	Contention
	reported bool
	// A read may propose a ballot of its own at proposeAt if the highest promised ballot is then
	// still awaited. collisions counts the ballots that were awaited before it.
	awaited    *wire.Ballot
	proposeAt  time.Time
	collisions int
	// slowRounds counts the rounds that ended before a majority had answered.
	slowRounds int
	// lastRefused is set if the last attempt met a higher ballot.
	lastRefused bool
}

// get returns the spell of a key, which begins now if there is none. The caller holds mu.
func (c *contentions) get(key string) *spell {
	if s := c.byKey[key]; s != nil {
		return s
	}
	if c.byKey == nil {
		c.byKey = map[string]*spell{}
	}
	if len(c.byKey) >= maxContentions {
		for other := range c.byKey {
			delete(c.byKey, other)
			break
		}
	}
	s := &spell{Contention: Contention{Key: key, Since: time.Now()}}
	c.byKey[key] = s
	return s
}

// attemptFailed records an attempt that did not complete, with the voters' replies. proposed is
// set if the proposer prepared a ballot of its own.
func (p *Proposer) attemptFailed(set Set, key string, proposed bool, replies []reply) {
	refused := refusedByPromise(replies)
	if refused {
		p.Refused.Add(1)
	}
	newest, holders := newestAccepted(replies)
	if newest.View == nil {
		holders = nil
	}
	p.contentions.mu.Lock()
	s := p.contentions.get(key)
	s.Attempts++
	s.Proposals += count(proposed)
	s.Refused += count(refused)
	s.lastRefused = refused
	s.Holders, s.Answered, s.Voters = len(holders), len(succeeded(replies)), len(set.All())
	for _, r := range replies {
		if promised := r.resp.GetView().GetPromised(); wire.CompareBallots(promised, s.Promised) > 0 {
			s.Promised = promised
		}
	}
	due := !s.reported && time.Since(s.Since) >= contentionReportAfter
	s.reported = s.reported || due
	report := s.Contention
	p.contentions.mu.Unlock()
	if due && p.OnContention != nil {
		p.OnContention(report)
	}
}

const (
	// minProposalWindow and maxProposalWindow bound the time from which the start of a proposal is
	// drawn.
	minProposalWindow = 10 * time.Millisecond
	maxProposalWindow = 2 * time.Second
	// awaitedRounds is the time that the proposer of an awaited ballot has for its accept request,
	// in rounds.
	awaitedRounds = 2
)

// untilProposal returns how long a read has to wait before it may propose a ballot of its own, given
// the highest ballot that voters have promised and the time that a round takes; 0 means now. As in
// carrier sensing with exponential backoff, a read first lets the proposer of that ballot finish
// for a random time, whose range doubles each time another proposer is at work.
func (p *Proposer) untilProposal(key string, promised *wire.Ballot, roundTime time.Duration) time.Duration {
	now := time.Now()
	p.contentions.mu.Lock()
	defer p.contentions.mu.Unlock()
	s := p.contentions.get(key)
	if s.proposeAt.IsZero() || wire.CompareBallots(promised, s.awaited) > 0 {
		window := min(max(roundTime, minProposalWindow)<<min(s.collisions, maxCollisions), maxProposalWindow)
		s.awaited = promised
		s.proposeAt = now.Add(awaitedRounds*roundTime + time.Duration(p.Random()%uint64(window)))
		s.collisions++
	}
	return s.proposeAt.Sub(now)
}

// collisions reports whether the last attempt at a key met a higher ballot, and how many have done
// so in the present spell.
func (p *Proposer) collisions(key string) (lastRefused bool, refused int) {
	p.contentions.mu.Lock()
	defer p.contentions.mu.Unlock()
	s := p.contentions.byKey[key]
	if s == nil {
		return false, 0
	}
	return s.lastRefused, s.Refused
}

// maxSlowRounds bounds the doublings of the timeout of a round.
const maxSlowRounds = 2

// roundTimeout returns the time for which a round of a key may wait. Voters that are slow because
// many ask them would otherwise be asked again and again for answers that nobody awaits.
func (p *Proposer) roundTimeout(key string) time.Duration {
	p.contentions.mu.Lock()
	defer p.contentions.mu.Unlock()
	if s := p.contentions.byKey[key]; s != nil {
		return p.RoundTimeout << min(s.slowRounds, maxSlowRounds)
	}
	return p.RoundTimeout
}

// roundTimedOut records a round that has ended with these replies. If some voters have answered,
// the others may only be slow.
func (p *Proposer) roundTimedOut(set Set, key string, replies []reply) {
	answered := slices.ContainsFunc(replies, func(r reply) bool { return r.resp != nil })
	if !answered || set.Quorum(succeeded(replies)) {
		return
	}
	p.contentions.mu.Lock()
	p.contentions.get(key).slowRounds++
	p.contentions.mu.Unlock()
}

// maxCollisions bounds the doublings of the window.
const maxCollisions = 10

// attemptSucceeded ends the spell of a key.
func (p *Proposer) attemptSucceeded(key string) {
	p.contentions.mu.Lock()
	s := p.contentions.byKey[key]
	delete(p.contentions.byKey, key)
	p.contentions.mu.Unlock()
	if s != nil && s.reported && p.OnContention != nil {
		s.Completed = true
		p.OnContention(s.Contention)
	}
}

// count returns 1 for true.
func count(condition bool) int {
	if condition {
		return 1
	}
	return 0
}

// Counts are totals of a proposer since its start.
type Counts struct{ Rounds, Proposals, Refused, Completions uint64 }

// Counts returns the proposer's totals.
func (p *Proposer) Counts() Counts {
	return Counts{
		Rounds:      p.Rounds.Load(),
		Proposals:   p.Proposals.Load(),
		Refused:     p.Refused.Load(),
		Completions: p.Completions.Load(),
	}
}

// Node returns the node number of the proposer's ballots.
func (p *Proposer) Node() uint64 { return p.node }
