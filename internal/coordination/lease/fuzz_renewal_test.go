package lease

import (
	"context"
	"testing"

	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport/code"
)

// FuzzRenewal checks that arbitrary bytes received as a renewal are either rejected with an
// error code or lead to a listed sender. In the latter case a restarted table must read the
// record, and an earlier incarnation of the sender must not be granted a lease.
func FuzzRenewal(f *testing.F) {
	f.Add(wire.MustEncode(&wire.Renew{Self: node(1)}))
	f.Add(wire.MustEncode(&wire.Renew{Self: node(2), Table: 7, Seen: 1 << 60}))
	f.Add(wire.MustEncode(&wire.Renew{}))
	f.Fuzz(func(t *testing.T, b []byte) {
		renewal := &wire.Renew{}
		if wire.Decode(b, renewal) != nil {
			return
		}
		disk := newMemoryDisk()
		leases, err := NewTable(DefaultParams, disk)
		if err != nil {
			t.Fatal(err)
		}
		grant := func(r *wire.Renew) (*wire.Resp, error) {
			return leases.Grant(context.Background(), &wire.Req{Op: &wire.Req_Renew{Renew: r}})
		}
		renew(t, leases, &wire.Renew{Self: node(1)})
		before := len(leases.List())
		answer, err := grant(renewal)
		if err != nil {
			if c := code.Of(err); c != code.Garbled && c != code.OldEpoch {
				t.Errorf("rejected with %v", err)
			}
			if len(leases.List()) != before {
				t.Errorf("rejected, but the list has changed: %v", leases.List())
			}
			return
		}
		if _, err := wire.Encode(answer); err != nil {
			t.Error(err)
		}
		if restarted, err := NewTable(DefaultParams, disk); err != nil || len(restarted.List()) != len(leases.List()) {
			t.Errorf("after a restart %v listed, %v", restarted.List(), err)
		}
		if inc := renewal.Self.Inc; inc > 0 {
			earlier := &wire.Member{Id: renewal.Self.Id, Addr: renewal.Self.Addr, Inc: inc - 1}
			if _, err := grant(&wire.Renew{Self: earlier}); code.Of(err) != code.OldEpoch {
				t.Errorf("an earlier incarnation is granted a lease: %v", err)
			}
		}
	})
}
