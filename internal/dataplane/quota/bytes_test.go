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

// TestExchangeBytes: what the exchange of counts costs an edge stays under a bound, at the size
// of today and at that of two years on, and so does what the collector bears. Tenants' shares
// of the requests fall as 1/rank; one is over its quota.
func TestExchangeBytes(t *testing.T) {
	for _, c := range []struct {
		edges, tenants int
		perS           float64
		edgeKBPerS     float64 // both ways
		collectorKB    float64 // a second, both ways
	}{
		{64, 81, 900, 2, 128},
		{450, 460, 13_000, 4, 1_800},
	} {
		t.Run(fmt.Sprintf("%d edges", c.edges), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				edge, collector := measureExchange(c.edges, c.tenants, c.perS)
				t.Logf("%d edges, %d tenants, %.0f requests/s: %.2f KB/s an edge, %.0f KB/s the collector",
					c.edges, c.tenants, c.perS, edge, collector)
				if edge > c.edgeKBPerS || collector > c.collectorKB {
					t.Errorf("%.2f KB/s an edge, %.0f the collector; %.2f and %.0f are allowed",
						edge, collector, c.edgeKBPerS, c.collectorKB)
				}
			})
		})
	}
}

// measureExchange plays requests for some seconds; it gives KB a second of an edge and of the
// collector.
func measureExchange(edges, tenants int, perS float64) (edgeKB, collectorKB float64) {
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
		rate := math.Ceil(1.6 * perS * w / sum)
		if i == 1 {
			rate /= 4
		}
		limitOf[fmt.Sprintf("tenant%04d", i)] = Limit{rate, rate}
	}
	draw := func() string {
		at := random.Float64() * sum
		for i, w := range weights {
			if at -= w; at < 0 {
				return fmt.Sprintf("tenant%04d", i)
			}
		}
		return "tenant0000"
	}
	bytes := 0
	for range seconds * 4 {
		for i, node := range nodes {
			report := node.Report()
			news := collector.Collect(fleet[i], 1, report, fleet, func(n string) Limit { return limitOf[n] })
			node.Merge(report, time.Now(), news)
			bytes += proto.Size(report) + proto.Size(news)
		}
		for range int(perS / 4) {
			tenant := draw()
			nodes[random.IntN(edges)].Admit(Request{Tenant: tenant, Limit: limitOf[tenant]})
		}
		time.Sleep(250 * time.Millisecond)
	}
	total := float64(bytes) / seconds / 1000
	return total / float64(edges), total
}
