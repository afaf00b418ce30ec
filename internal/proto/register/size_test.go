package register_test

import (
	"context"
	"testing"

	"damsontiller/internal/proto/register"
	"damsontiller/internal/proto/wire"
)

// TestRecordSize checks that a voter's record of a key does not grow with the number of
// changes: it keeps the operation ids of the last changes, and no log.
func TestRecordSize(t *testing.T) {
	disk := newModelDisk()
	acceptor := register.NewAcceptor(disk)
	proposer := register.NewProposer(1, func(_ context.Context, _ string, q *wire.Req) (*wire.Resp, error) {
		view, err := acceptor.Answer(q)
		return &wire.Resp{Op: &wire.Resp_View{View: view}}, err
	})
	set := register.Set{{{Addr: "a", Ident: "i"}}}
	sizes := map[int]int{}
	for i := 1; i <= 10_000; i++ {
		if _, err := proposer.Change(t.Context(), set, "k", setTo("value")); err != nil {
			t.Fatal(err)
		}
		sizes[i] = len(disk.synced["k"])
	}
	// The version number itself takes one or two bytes more.
	if sizes[10_000] > sizes[100]+4 {
		t.Errorf("%d bytes after 100 changes, %d after 10,000", sizes[100], sizes[10_000])
	}
	t.Logf("%d bytes after 100 changes, %d after 10,000", sizes[100], sizes[10_000])
}
