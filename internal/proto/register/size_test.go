package register_test

import (
	"context"
	"testing"

	"damsontiller/internal/proto/register"
	"damsontiller/internal/proto/wire"
)

// TestRecordSize: what a voter keeps of a key does not grow with the number of its
// changes: the operation ids of the last ones are kept, and no log.
func TestRecordSize(t *testing.T) {
	d := newModelDisk()
	a := register.NewAcceptor(d)
	p := register.NewProposer(1, func(_ context.Context, _ string, q *wire.Req) (*wire.Resp, error) {
		v, err := a.Answer(q)
		return &wire.Resp{Op: &wire.Resp_View{View: v}}, err
	})
	set := register.Set{{{Addr: "a", Ident: "i"}}}
	sizes := map[int]int{}
	for i := 1; i <= 10_000; i++ {
		if _, err := p.Change(t.Context(), set, "k", put("value")); err != nil {
			t.Fatal(err)
		}
		sizes[i] = len(d.synced["k"])
	}
	// A byte or two more for the version, whose number is longer.
	if sizes[10_000] > sizes[100]+4 {
		t.Errorf("%d bytes after 100 changes, %d after 10,000", sizes[100], sizes[10_000])
	}
	t.Logf("%d bytes after 100 changes, %d after 10,000", sizes[100], sizes[10_000])
}
