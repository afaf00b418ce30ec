package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
)

// TestExchangeBytes checks that the traffic of the exchange stays below a bound for an edge and for
// the collector, at the current fleet size and at the size expected in two years. The request rates
// of the tenants are proportional to 1/rank, and one tenant is over its quota.
func TestExchangeBytes(t *testing.T) {
	for _, c := range []struct {
		edges, tenants  int
		ratePerS        float64 // requests of all tenants
		edgeKBPerS      float64 // both directions
		collectorKBPerS float64 // both directions
	}{
		{64, 81, 900, 2, 128},
		{450, 460, 13_000, 4, 1_800},
	} {
		t.Run(fmt.Sprintf("%d edges", c.edges), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				edge, collector := measureExchange(c.edges, c.tenants, c.ratePerS)
				t.Logf("%d edges, %d tenants, %.0f requests/s: %.2f KB/s an edge, %.0f KB/s the collector",
					c.edges, c.tenants, c.ratePerS, edge, collector)
				if edge > c.edgeKBPerS || collector > c.collectorKBPerS {
					t.Errorf("%.2f KB/s an edge, %.0f the collector; %.2f and %.0f are allowed",
						edge, collector, c.edgeKBPerS, c.collectorKBPerS)
				}
			})
		})
	}
}

// measureExchange simulates requests for a few seconds and returns the traffic of an edge and of the
// collector in KB per second.
func measureExchange(edges, tenants int, ratePerS float64) (edgeKBPerS, collectorKBPerS float64) {
	const seconds = 8
	random := rand.New(rand.NewPCG(1, 0))
	var fleet Fleet
	var nodes []*Node
	for i := range edges {
		fleet, nodes = append(fleet, fmt.Sprintf("e%03d", i)), append(nodes, NewNode(DefaultParams))
	}
	collector := NewCollector(DefaultParams)
	weights, sum := make([]float64, tenants), 0.0
	for i := range weights {
		weights[i] = 1 / float64(i+1)
		sum += weights[i]
	}
	limitOf := map[string]Limit{}
	for i, w := range weights {
		rate := math.Ceil(1.6 * ratePerS * w / sum)
		if i == 1 {
			rate /= 4
		}
		limitOf[fmt.Sprintf("tenant%04d", i)] = Limit{rate, rate}
	}
	pickTenant := func() string {
		position := random.Float64() * sum
		for i, w := range weights {
			if position -= w; position < 0 {
				return fmt.Sprintf("tenant%04d", i)
			}
		}
		return "tenant0000"
	}
	bytes := 0
	for range seconds * 4 {
		for i, node := range nodes {
			report := node.Report()
			answer := collector.Collect(fleet[i], 1, report, fleet, func(tenant string) Limit { return limitOf[tenant] })
			node.Merge(report, time.Now(), answer)
			bytes += proto.Size(report) + proto.Size(answer)
		}
		for range int(ratePerS / 4) {
			tenant := pickTenant()
			nodes[random.IntN(edges)].Admit(Request{Tenant: tenant, Limit: limitOf[tenant]})
		}
		time.Sleep(250 * time.Millisecond)
	}
	total := float64(bytes) / seconds / 1000
	return total / float64(edges), total
}
