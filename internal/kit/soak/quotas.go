package soak

import (
	"cmp"
	"math"
	"net"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"time"
)

// The users' rule for quotas: in each window a tenant may send as many requests as its limit allows,
// and some more.
const (
	quotaWindow = 5 * time.Second
	quotaExcess = 0.1
	quotaSlack  = 20
	// limitSlack is the time after the acknowledgement of a change in which an edge may still go by
	// the limits before it: it may have been out of touch.
	limitSlack = configApply + stretch + contact
)

// quotaKinds are the failures of a run with tenants over their limits.
func (t *troubles) quotaKinds() []troubleKind {
	return []troubleKind{
		{6, t.restartRefusing}, {4, t.rollEdges}, {2, t.leave}, {2, t.cutHalfOpen}, {2, t.freezeEdges},
		{1, t.stopSeries}, {2, t.reloadSeries}, {1, t.killFew}, {1, t.killMany},
	}
}

// restartRefusing restarts the edge that refuses most of a tenant's requests, after more and more of
// them have come, as a rolling restart does.
func (t *troubles) restartRefusing() {
	bursts := t.rig.bursts
	b := bursts[t.random.IntN(len(bursts))]
	delay := t.draw(0, 1500*time.Millisecond)
	t.under.Go(func() {
		for end := time.Now().Add(10 * time.Second); b.sending.Load() < burstingClients; {
			if time.Now().After(end) {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(delay)
		if m := b.refusing.Load(); m != nil {
			t.say("%s is restarted under a burst", m.ID)
			m.Signal(syscall.SIGTERM, terminated)
		}
	})
}

// rollEdges restarts several edges in turn.
func (t *troubles) rollEdges() {
	edges := t.rig.fleet.role(roleEdge)
	t.random.Shuffle(len(edges), func(i, j int) { edges[i], edges[j] = edges[j], edges[i] })
	edges = edges[:1+t.random.IntN(len(edges))]
	gap := t.draw(200*time.Millisecond, 1500*time.Millisecond)
	t.say("%d edges are restarted in turn, each %s", len(edges), gap.Round(time.Millisecond))
	t.under.Go(func() {
		for _, m := range edges {
			m.Signal(syscall.SIGTERM, terminated)
			time.Sleep(gap)
		}
	})
}

// mostEdgesGone bounds the edges that leave in a run.
const mostEdgesGone = 12

// leave takes an edge away for good, in good order; another of its zone comes after a while.
func (t *troubles) leave() {
	if t.rig.made[roleEdge] >= mostEdgesGone {
		return
	}
	old := t.oneEdge()
	next := t.rig.newcomer(roleEdge, old.Zone)
	span := t.draw(0, 4*time.Second)
	t.say("%s leaves, %s comes in its place", old.ID, next.ID)
	t.under.Go(func() {
		old.Leave()
		t.rig.fleet.remove(old)
		time.Sleep(span)
		t.rig.fleet.add(next)
		next.Start()
	})
}

// oneEdge draws an edge; every third time the first in order, which merges the counts of all.
func (t *troubles) oneEdge() *Machine {
	edges := t.rig.fleet.role(roleEdge)
	if t.random.IntN(3) == 0 {
		return slices.MinFunc(edges, func(a, b *Machine) int { return cmp.Compare(a.ID, b.ID) })
	}
	return edges[t.random.IntN(len(edges))]
}

// freezeEdges lets edges stand still, perhaps for longer than a quota's window.
func (t *troubles) freezeEdges() {
	span := t.draw(500*time.Millisecond, 6500*time.Millisecond)
	t.freeze(append(t.some(roleEdge, 1), t.oneEdge()), span)
}

// cutHalfOpen kills an edge; while it is down, connections to it are taken and nothing is answered
// on them.
func (t *troubles) cutHalfOpen() {
	m, span := t.oneEdge(), t.draw(300*time.Millisecond, 6*time.Second)
	t.say("%s killed; connections to it are half-open for %s", m.ID, span.Round(time.Millisecond))
	t.under.Go(func() {
		m.Kill("half-open")
		release, err := takeSilently(m.addr(internalPort))
		if err != nil {
			t.say("%s: its connections are not taken: %v", m.ID, err)
			release = func() {}
		}
		time.Sleep(span)
		release()
		m.Start()
	})
}

// takeSilently accepts connections at an address and neither reads nor answers, until release.
func takeSilently(addr string) (release func(), err error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		var taken []net.Conn
		for {
			conn, err := listener.Accept()
			if err != nil {
				break
			}
			taken = append(taken, conn)
		}
		for _, conn := range taken {
			conn.Close()
		}
	}()
	return func() {
		listener.Close()
		<-ended
	}, nil
}

// overQuotaName names the refusal of a request by its tenant's quota.
const overQuotaName = `"over_quota"`

func (x *exchange) overQuota() bool {
	return x.err == nil && x.status == http.StatusTooManyRequests && strings.Contains(x.body, overQuotaName)
}

// judgeQuotas counts who was refused for its tenant's quota, and judges who ran in spite of it. What
// is refused below a quota breaks no rule, but is lost to the tenant.
func (r *Rig) judgeQuotas(out *Report, usual, bursting []*exchange) {
	for _, x := range usual {
		if x.overQuota() {
			out.BelowQuota++
		}
	}
	sent := map[string][]quotaUse{}
	for _, x := range bursting {
		if x.overQuota() {
			out.OverQuota++
		}
		for _, run := range r.ledger.of(x.attempt) {
			sent[x.tenant.name] = append(sent[x.tenant.name], quotaUse{x.sent, run.began})
		}
	}
	for i := range r.operator.limits.bursting {
		r.judgeExcess(out, i, sent[burstingTenant(i).name])
	}
}

// quotaUse is a request that ran.
type quotaUse struct{ sent, began time.Time }

// judgeExcess judges whether a tenant's requests ran beyond every limit that may have been in force.
func (r *Rig) judgeExcess(out *Report, bursting int, uses []quotaUse) {
	slices.SortFunc(uses, func(a, b quotaUse) int { return a.sent.Compare(b.sent) })
	for i, first := range uses {
		end := first.sent.Add(quotaWindow)
		rate := r.highestRate(bursting, first.sent, end)
		if math.IsInf(rate, 1) {
			continue
		}
		ran := 0
		for _, use := range uses[i:] {
			if !use.began.After(end) {
				ran++
			}
		}
		if most := rate*quotaWindow.Seconds()*(1+quotaExcess) + quotaSlack; float64(ran) > most {
			const what = "%d requests of %s ran in %s, %.0f are the most"
			out.breach(end, "QUOTA", what, ran, burstingTenant(bursting).name, quotaWindow, most)
			return
		}
	}
}

// highestRate is the highest limit of a tenant that may have been in force in a span of time.
func (r *Rig) highestRate(bursting int, from, to time.Time) float64 {
	highest := 0.0
	all := append([]*change{r.operator.initial}, r.operator.changes...)
	for _, c := range all {
		if c.refused || c.sent.After(to) || superseded(c, all, from.Add(-limitSlack-quotaWindow)) {
			continue
		}
		rate := c.limits.rate(bursting)
		if rate == 0 {
			return math.Inf(1)
		}
		highest = max(highest, rate)
	}
	return highest
}

// superseded reports whether a later configuration was acknowledged before a time.
func superseded(c *change, all []*change, before time.Time) bool {
	return slices.ContainsFunc(all, func(later *change) bool {
		return later.revision > c.revision && !later.acked.IsZero() && later.acked.Before(before)
	})
}
