package scale

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"damsontiller/internal/proto/wire"
)

// TestWireSizes: the bytes an entry of each list takes on the wire, from which
// docs/CAPACITY.md works out what has not been run. Run with -v to see them.
func TestWireSizes(t *testing.T) {
	const n = 1000
	member := func(i int) *wire.Member {
		return &wire.Member{
			Id:   fmt.Sprintf("edge-%04d", i),
			Role: "edge",
			Addr: fmt.Sprintf("10.20.%d.%d:7100", i/200, 100+i%100),
			Http: fmt.Sprintf("10.20.%d.%d:7200", i/200, 100+i%100),
			Zone: "region-a1",
			Inc:  1 << 56,
			Live: true,
		}
	}
	target := func(i int) *wire.Member {
		m := member(i)
		return &wire.Member{Id: m.Id, Addr: m.Addr, Zone: m.Zone}
	}
	runner := func(i int) string { return fmt.Sprintf("model-%02d-runner-%04d", i%34, i) }
	ack, news, loadReport, deal := &wire.RenewAck{}, &wire.News{}, &wire.LoadReportAck{}, &wire.Deal{}
	took, heads := &wire.NewsAck{}, &wire.Digest{}
	for i := range n {
		ack.Members = append(ack.Members, member(i))
		news.Targets = append(news.Targets, target(i))
		took.Took = append(took.Took, member(i).Id)
		loadReport.Others = append(loadReport.Others, &wire.Busy{Runner: runner(i), Jobs: 112, Tokens: 1 << 20})
		deal.Held = append(
			deal.Held,
			&wire.Slot{Runner: runner(i), Plain: 2, Urgent: 1, Busy: 1, Mark: "0123456789abcdef"},
		)
		heads.Heads = append(heads.Heads, &wire.Item{Topic: "runner", Key: runner(i), Epoch: 12, Seq: 1 << 20})
	}
	for _, tc := range []struct {
		what string
		m    proto.Message
		most float64
	}{
		{"a member in a renewal's answer", ack, 100},
		{"a target of news", news, 50},
		{"an id that took news", took, 12},
		{"a runner in a load report's answer", loadReport, 34},
		{"a slot held", deal, 58},
		{"a head in a digest", heads, 44},
	} {
		per := float64(proto.Size(tc.m)) / n
		t.Logf("%-32s %6.1f B", tc.what, per)
		if per > tc.most {
			t.Errorf("%s takes %.1f B, docs/CAPACITY.md counts on %.0f", tc.what, per, tc.most)
		}
	}
}

// BenchmarkLoadReportAnswer is the making of one answer about as many runners.
func BenchmarkLoadReportAnswer(b *testing.B) {
	for _, n := range []int{40, 400, 1300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			a := &wire.LoadReportAck{}
			for i := range n {
				a.Others = append(
					a.Others,
					&wire.Busy{Runner: fmt.Sprintf("model-%02d-runner-%04d", i%34, i), Jobs: 112, Tokens: 1 << 20},
				)
			}
			for b.Loop() {
				wire.MustEncode(a)
			}
		})
	}
}
