package lease

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport/code"
)

// listed returns a table's entry for a node.
func listed(t *testing.T, tb *Table, m *wire.Member) *wire.Member {
	t.Helper()
	for _, l := range tb.List() {
		if key(l) == key(m) {
			return l
		}
	}
	t.Fatalf("%s is not listed", key(m))
	return nil
}

// TestMemberWithoutGrants checks that a member whose renewals arrive, but which reports no
// received grant for the lease duration, is not live and counts as unresponsive since its last
// received grant. It is live again with the first renewal that reports a new grant. A node of
// an older release, which reports no grants, stays live.
func TestMemberWithoutGrants(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := table(t, newMemoryDisk())
		reporting, older := node(1), node(2)
		lastReceived := &wire.RenewAck{}
		renewal := func() *wire.Renew {
			return &wire.Renew{Self: reporting, StatesHeard: true, Table: lastReceived.Table, HeardMs: lastReceived.GrantedMs}
		}
		receives := true
		renewAll := func() {
			answer := renew(t, tb, renewal())
			renew(t, tb, &wire.Renew{Self: older})
			if receives {
				lastReceived = answer
			}
		}
		check := func(at int, wantLive bool) {
			t.Helper()
			if l := listed(t, tb, reporting); l.Live != wantLive || !wantLive && l.SilentMs < DefaultParams.Duration.Milliseconds() {
				t.Errorf("after %d renewals: live %v, unresponsive for %d ms", at, l.Live, l.SilentMs)
			}
			if !listed(t, tb, older).Live {
				t.Errorf("after %d renewals the node that reports no grants is not live", at)
			}
		}
		for i := range 5 {
			renewAll()
			check(i, true)
			time.Sleep(time.Second)
		}
		receives = false
		for i := range 10 {
			renewAll()
			// The last grant was received a second before the first of these renewals.
			check(i, i < 2)
			time.Sleep(time.Second)
		}
		receives = true
		renewAll()
		check(10, false)
		renewAll()
		check(11, true)
	})
}

// TestNoGrantFromStart checks that a process that has never received a grant is live for no
// longer than one lease duration, and that reports of grants from another table, for example
// of an earlier run of the core machine, or from the future are ignored.
func TestNoGrantFromStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := table(t, newMemoryDisk())
		for i, renewal := range []*wire.Renew{
			{StatesHeard: true},
			{StatesHeard: true, Table: tb.id + 2, HeardMs: 1},
			{StatesHeard: true, Table: tb.id, HeardMs: 1 << 40},
			{StatesHeard: true, Table: tb.id, HeardMs: -5},
		} {
			renewal.Self = node(10 + i)
			for second := range 5 {
				renew(t, tb, renewal)
				if l := listed(t, tb, renewal.Self); l.Live != (second < 3) {
					t.Errorf("%v: live %v after %d s", renewal, l.Live, second)
				}
				time.Sleep(time.Second)
			}
		}
	})
}

// TestHungDisk checks that a member whose disk has not responded for HungDiskTimeout is not
// live until the disk responds again, and that a member with a slow disk stays live.
func TestHungDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := table(t, newMemoryDisk())
		for _, step := range []struct {
			hung time.Duration
			live bool
		}{{0, true}, {2 * time.Second, true}, {HungDiskTimeout - time.Millisecond, true}, {HungDiskTimeout, false}, {HungDiskTimeout + time.Minute, false}, {0, true}} {
			m := node(1)
			m.DiskHungMs = step.hung.Milliseconds()
			renew(t, tb, &wire.Renew{Self: m})
			l := listed(t, tb, m)
			if l.Live != step.live || !step.live && l.SilentMs < step.hung.Milliseconds() {
				t.Errorf("hung for %v: live %v, unresponsive for %d ms", step.hung, l.Live, l.SilentMs)
			}
			time.Sleep(time.Second)
		}
	})
}

// TestOutdatedFolder checks that a process is rejected if its folder held fewer synced write
// groups when it was opened than an earlier process of the same identity has reported. This
// holds at any address and after a restart of the core machine. A process with as many groups
// or more is granted a lease.
func TestOutdatedFolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		disk := newMemoryDisk()
		tb := table(t, disk)
		member := func(addr, ident string, inc uint64, folder *wire.FolderState) *wire.Member {
			return &wire.Member{Id: "s1", Addr: addr, Role: "store", Ident: ident, Inc: inc, Folder: folder}
		}
		ask := func(m *wire.Member) code.Code {
			_, err := tb.Grant(context.Background(), &wire.Req{Op: &wire.Req_Renew{Renew: &wire.Renew{Self: m}}})
			return code.Of(err)
		}
		state := func(start, opened, synced uint64) *wire.FolderState {
			return &wire.FolderState{Start: start, Opened: opened, Synced: synced}
		}
		for i, step := range []struct {
			member *wire.Member
			want   code.Code
		}{
			{member("a:1", "i1", 1, state(11, 0, 4)), code.OK},
			{member("a:1", "i1", 1, state(11, 0, 40)), code.OK},
			{member("a:1", "i1", 1, state(11, 0, 39)), code.OK}, // arrives after a later renewal
			{member("a:1", "i1", 2, state(12, 39, 39)), code.FolderOutdated},
			{member("b:1", "i1", 2, state(12, 39, 39)), code.FolderOutdated},
			{member("a:1", "i2", 2, state(13, 0, 0)), code.OK},
			{member("a:1", "i1", 3, state(14, 40, 41)), code.OK},
			{member("a:1", "i1", 3, nil), code.OK}, // from an older release
			{member("a:1", "i1", 4, state(15, 40, 60)), code.FolderOutdated},
			// A raised incarnation with the same opening of the folder is the same process.
			{member("a:1", "i1", 5, state(14, 40, 42)), code.OK},
		} {
			if got := ask(step.member); got != step.want {
				t.Errorf("step %d: %v, want %v", i, got, step.want)
			}
		}
		tb = table(t, disk)
		if got := ask(member("a:1", "i1", 9, state(16, 40, 40))); got != code.FolderOutdated {
			t.Errorf("after a restart of the core machine: %v", got)
		}
	})
}

// TestRaisedAfterSilence checks that recordAnswer returns the time since the previous answer. A
// node that has received no answer from a core machine for the lease duration uses it to renew
// again immediately, so that it is live there without delay.
func TestRaisedAfterSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := &memberList{}
		if silence := list.recordAnswer(&wire.RenewAck{GrantedMs: 5}); silence != 0 {
			t.Errorf("the first answer arrived %v after a previous one", silence)
		}
		time.Sleep(4 * time.Second)
		if silence := list.recordAnswer(&wire.RenewAck{GrantedMs: 3}); silence != 4*time.Second || list.grantedMs != 5 {
			t.Errorf("%v since the previous answer, received grants up to %d", silence, list.grantedMs)
		}
	})
}

// ids formats the ids of a list of members.
func ids(members []*wire.Member) string {
	var out []string
	for _, m := range members {
		out = append(out, m.Id)
	}
	return fmt.Sprint(out)
}
