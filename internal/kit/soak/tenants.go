package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"damsontiller/internal/transport/loop"
)

// tenant is one of those whose clients send requests.
type tenant struct{ name, credential string }

// tenants send far less than they may.
var tenants = []tenant{{"north", "k-north"}, {"south", "k-south"}}

func tenantOf(client int) tenant { return tenants[client%len(tenants)] }

// tenantRate is a quota far above what clients send: what is refused by it is a fault.
const tenantRate = 5000

const (
	// burstingTenants is the number of tenants that send more than they may, in bursts.
	burstingTenants = 6
	// burstingClients is the number of clients of each of them.
	burstingClients = 3
)

func burstingTenant(i int) tenant { return tenant{fmt.Sprint("burst", i), fmt.Sprint("k-burst", i)} }

// tenantLimits are the quotas in a configuration.
type tenantLimits struct {
	none bool // no tenant has a quota
	// bursting holds the requests a second of each bursting tenant; 0: it has no quota.
	bursting []float64
}

// burstRates are the quotas that a bursting tenant may get.
var burstRates = []float64{1, 1, 2, 5, 20, 0}

// limitChanges is the number of changes of the configuration for each that changes quotas.
const limitChanges = 6

// next draws the quotas of the next configuration, which mostly are the same.
func (l tenantLimits) next(random *rand.Rand) tenantLimits {
	if random.IntN(limitChanges) > 0 {
		return l
	}
	changed := tenantLimits{none: random.IntN(4) == 0, bursting: slices.Clone(l.bursting)}
	for i := range changed.bursting {
		if random.IntN(2) == 0 {
			changed.bursting[i] = burstRates[random.IntN(len(burstRates))]
		}
	}
	return changed
}

func (l tenantLimits) equal(other tenantLimits) bool {
	return l.none == other.none && slices.Equal(l.bursting, other.bursting)
}

// rate is the quota of a bursting tenant in requests a second; 0: it has none.
func (l tenantLimits) rate(bursting int) float64 {
	if l.none {
		return 0
	}
	return l.bursting[bursting]
}

// subscribers are the tenants as the operator writes them.
func (l tenantLimits) subscribers() []subscriber {
	rate := float64(tenantRate)
	if l.none {
		rate = 0
	}
	var out []subscriber
	for _, n := range tenants {
		out = append(out, subscriber{n.name, []string{n.credential}, rate, rate})
	}
	for i := range l.bursting {
		n := burstingTenant(i)
		out = append(out, subscriber{n.name, []string{n.credential}, l.rate(i), 0})
	}
	return out
}

func (s subscriber) equal(other subscriber) bool {
	return s.Name == other.Name && slices.Equal(s.Credentials, other.Credentials) &&
		s.RatePerS == other.RatePerS && s.Burst == other.Burst
}

// burst tells the clients of a tenant when to send. They begin one after the other, so that the edge
// of the last one mostly refuses, and then none sends for longer than a quota's window, so that counts
// end while processes that held them have been replaced.
type burst struct {
	random *rand.Rand
	// sending is the number of clients that send now.
	sending atomic.Int32
	// refusing is the edge that the last client used last.
	refusing atomic.Pointer[Machine]
}

// burstStep is the time between two clients of a tenant that begin to send.
const burstStep = 600 * time.Millisecond

// run begins and ends bursts until ctx ends.
func (b *burst) run(ctx context.Context) {
	defer b.sending.Store(0)
	for {
		for n := range burstingClients {
			b.sending.Store(int32(n + 1))
			if !loop.Wait(ctx, burstStep) {
				return
			}
		}
		if !loop.Wait(ctx, time.Duration(b.random.IntN(1500))*time.Millisecond) {
			return
		}
		b.sending.Store(0)
		pause := 6000 + b.random.IntN(6000)
		if b.random.IntN(4) == 0 {
			pause = 1000 + b.random.IntN(3000)
		}
		if !loop.Wait(ctx, time.Duration(pause)*time.Millisecond) {
			return
		}
	}
}

// addBursting adds the tenants that send more than they may, and their clients.
func (r *Rig) addBursting() {
	for i := range burstingTenants {
		b := &burst{random: r.random(uint64(1000 + i))}
		r.bursts = append(r.bursts, b)
		r.operator.limits.bursting = append(r.operator.limits.bursting, burstRates[i%2])
		for k := range burstingClients {
			number := r.params.Clients + i*burstingClients + k
			c := newClient(number, r.entry, r.ledger, r.random(uint64(100+number)))
			c.tenant, c.burst, c.burstRank = burstingTenant(i), b, int32(k)
			r.bursting = append(r.bursting, c)
		}
	}
}

// runBursts sends requests while the tenant's burst lasts, until ctx ends.
func (c *client) runBursts(ctx context.Context) {
	for loop.Wait(ctx, time.Duration(15+c.random.IntN(45))*time.Millisecond) {
		if c.burst.sending.Load() <= c.burstRank {
			continue
		}
		if x := c.once(ctx, readJob); x != nil && c.burstRank == burstingClients-1 {
			c.burst.refusing.Store(x.edge)
		}
	}
}
