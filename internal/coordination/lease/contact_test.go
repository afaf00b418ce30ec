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

// listed is what a table lists of a node.
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

// TestDeafMember: a member whose renewals are received, but that states to have heard
// nothing for the time of a lease, is not live, and counts as unresponsive since then. It is
// live again with the first renewal that shows that it hears. One of a release that states
// nothing is taken as it was.
func TestDeafMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := table(t, newMemoryDisk())
		deaf, older := node(1), node(2)
		heard := &wire.RenewAck{}
		renewal := func() *wire.Renew {
			return &wire.Renew{Self: deaf, StatesHeard: true, Table: heard.Table, HeardMs: heard.GrantedMs}
		}
		hears := true
		renewAll := func() {
			a := renew(t, tb, renewal())
			renew(t, tb, &wire.Renew{Self: older})
			if hears {
				heard = a
			}
		}
		check := func(at int, wantLive bool) {
			t.Helper()
			if l := listed(t, tb, deaf); l.Live != wantLive || !wantLive && l.SilentMs < DefaultParams.Duration.Milliseconds() {
				t.Errorf("after %d renewals: live %v, unresponsive for %d ms", at, l.Live, l.SilentMs)
			}
			if !listed(t, tb, older).Live {
				t.Errorf("after %d renewals the node that states nothing is not live", at)
			}
		}
		for i := range 5 {
			renewAll()
			check(i, true)
			time.Sleep(time.Second)
		}
		hears = false
		for i := range 10 {
			renewAll()
			// The last grant that it heard of was a second before.
			check(i, i < 2)
			time.Sleep(time.Second)
		}
		hears = true
		renewAll()
		check(10, false)
		renewAll()
		check(11, true)
	})
}

// TestDeafFromStart: a start that never hears anything is not live for longer than a
// lease, nor is one to a core machine that started anew, and what it states of another
// table or of a time to come does not count.
func TestDeafFromStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := table(t, newMemoryDisk())
		for i, q := range []*wire.Renew{
			{StatesHeard: true},
			{StatesHeard: true, Table: tb.id + 2, HeardMs: 1},
			{StatesHeard: true, Table: tb.id, HeardMs: 1 << 40},
			{StatesHeard: true, Table: tb.id, HeardMs: -5},
		} {
			q.Self = node(10 + i)
			for second := range 5 {
				renew(t, tb, q)
				if l := listed(t, tb, q.Self); l.Live != (second < 3) {
					t.Errorf("%v: live %v after %d s", q, l.Live, second)
				}
				time.Sleep(time.Second)
			}
		}
	})
}

// TestHungDisk: a member whose disk has answered nothing for long is not live, and is again
// once it answers. One that is merely slow stays.
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

// TestOutdatedFolder: a start whose folder had synced less when it was opened than an
// earlier start of the same identity has stated is refused, at any address, also by a core
// machine that has started anew; one that has as much or more is granted a lease.
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
			{member("a:1", "i1", 1, state(11, 0, 39)), code.OK}, // overtaken by a later renewal
			{member("a:1", "i1", 2, state(12, 39, 39)), code.FolderOutdated},
			{member("b:1", "i1", 2, state(12, 39, 39)), code.FolderOutdated},
			{member("a:1", "i2", 2, state(13, 0, 0)), code.OK},
			{member("a:1", "i1", 3, state(14, 40, 41)), code.OK},
			{member("a:1", "i1", 3, nil), code.OK}, // of an earlier release
			{member("a:1", "i1", 4, state(15, 40, 60)), code.FolderOutdated},
			// The same opening under a raised number is no other start.
			{member("a:1", "i1", 5, state(14, 40, 42)), code.OK},
		} {
			if got := ask(step.member); got != step.want {
				t.Errorf("step %d: %v, want %v", i, got, step.want)
			}
		}
		tb = table(t, disk)
		if got := ask(member("a:1", "i1", 9, state(16, 40, 40))); got != code.FolderOutdated {
			t.Errorf("after a start of the core machine: %v", got)
		}
	})
}

// TestRaisedAfterSilence: a node that has heard nothing from a core machine for the time of
// a lease renews again at once when it hears, so that it is live there without delay.
func TestRaisedAfterSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &roster{}
		if silence := o.hear(&wire.RenewAck{GrantedMs: 5}); silence != 0 {
			t.Errorf("the first answer came %v after the one before", silence)
		}
		time.Sleep(4 * time.Second)
		if silence := o.hear(&wire.RenewAck{GrantedMs: 3}); silence != 4*time.Second || o.heard != 5 {
			t.Errorf("%v, heard up to %d", silence, o.heard)
		}
	})
}

// ids are the members of a list.
func ids(members []*wire.Member) string {
	var out []string
	for _, m := range members {
		out = append(out, m.Id)
	}
	return fmt.Sprint(out)
}
