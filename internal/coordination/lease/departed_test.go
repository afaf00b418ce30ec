package lease

import (
	"errors"
	"fmt"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"damsontiller/internal/proto/register"
	"damsontiller/internal/proto/wire"
)

func keepNone(*wire.Member) bool { return false }

// TestDepartedRemoved checks that departed members in excess of MaxDeparted are removed, those
// unresponsive for longest first, and that members that are wanted, live or only recently
// departed stay. The marker that the table is incomplete is written to disk before the first
// removal.
func TestDepartedRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		disk := newMemoryDisk()
		tb := table(t, disk)
		const departed = MaxDeparted + 10
		for i := range departed {
			renew(t, tb, &wire.Renew{Self: node(i)})
			time.Sleep(10 * time.Millisecond)
		}
		wanted := node(2)
		keep := func(m *wire.Member) bool { return m.Id == wanted.Id }
		time.Sleep(DefaultParams.OrphanTimeout - 3*time.Second)
		renew(t, tb, &wire.Renew{Self: node(5000)})
		if err := tb.RemoveDeparted(keep); err != nil || tb.Incomplete() || len(tb.List()) != departed+1 {
			t.Errorf("%v; incomplete %v, %d listed", err, tb.Incomplete(), len(tb.List()))
		}
		time.Sleep(4 * time.Second)
		renew(t, tb, &wire.Renew{Self: node(5000)})
		// A member that has renewed again is not departed.
		renew(t, tb, &wire.Renew{Self: node(0)})
		disk.failDeletes = true
		if err := tb.RemoveDeparted(keep); err == nil || !tb.Incomplete() {
			t.Errorf("the disk fails to delete: %v, incomplete %v", err, tb.Incomplete())
		}
		disk.failDeletes = false
		if err := tb.RemoveDeparted(keep); err != nil {
			t.Error(err)
		}
		left := map[string]bool{}
		for _, m := range tb.List() {
			left[m.Id] = true
		}
		if len(left) != MaxDeparted+2 {
			t.Errorf("%d members are left", len(left))
		}
		for i, want := range map[int]bool{0: true, 1: false, 2: true, 3: false, 10: false, 11: true, departed - 1: true, 5000: true} {
			if left[node(i).Id] != want {
				t.Errorf("%s is listed: %v", node(i).Id, !want)
			}
		}
		restarted := table(t, disk)
		// The member whose record could not be deleted is listed again after a restart.
		if n := len(restarted.List()); n != MaxDeparted+3 || !restarted.Incomplete() {
			t.Errorf("after a restart %d listed, incomplete %v", n, restarted.Incomplete())
		}
	})
}

// TestIncompleteNoteFirst checks that no member is removed if the incomplete marker cannot be
// synced.
func TestIncompleteNoteFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		disk := newMemoryDisk()
		tb := table(t, disk)
		for i := range MaxDeparted + 5 {
			renew(t, tb, &wire.Renew{Self: node(i)})
		}
		time.Sleep(time.Minute)
		disk.failSaves = true
		if err := tb.RemoveDeparted(keepNone); err == nil || tb.Incomplete() || len(tb.List()) != MaxDeparted+5 {
			t.Errorf("%v, incomplete %v, %d listed", err, tb.Incomplete(), len(tb.List()))
		}
	})
}

// TestListFollowsRemovals checks that a node's list matches the table when members are removed
// or return, and when more members were removed than are kept for incremental answers.
func TestListFollowsRemovals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core := register.Replica{Addr: "c", Ident: "i"}
		tb := table(t, newMemoryDisk())
		h := testHolder()
		me := node(9999)
		follow := func(when string, maxBytes int) {
			t.Helper()
			answer := renew(t, tb, h.newRequest(core, me))
			h.updateMemberList(core, answer)
			if size := proto.Size(answer); size > maxBytes {
				t.Errorf("%s: an answer of %d bytes", when, size)
			}
			l := h.lists[core]
			if want := tb.List(); ids(l.members) != ids(want) || l.table != tb.id {
				t.Errorf("%s: %d listed, %d in the table", when, len(l.members), len(want))
			}
		}
		arrive := func(from, count int) {
			for i := range count {
				renew(t, tb, &wire.Renew{Self: node(from + i)})
			}
		}
		arrive(0, MaxDeparted+20)
		follow("all live", 100_000)
		time.Sleep(time.Minute)
		follow("all departed", 100_000)
		if err := tb.RemoveDeparted(keepNone); err != nil {
			t.Fatal(err)
		}
		follow("some removed", 2000)
		arrive(0, 2)
		follow("two have returned", 500)
		time.Sleep(time.Minute)
		for range 10 {
			arrive(1000, 60)
			time.Sleep(time.Minute)
			if err := tb.RemoveDeparted(keepNone); err != nil {
				t.Fatal(err)
			}
			arrive(2000, 1)
		}
		for from := 3000; from < 3000+maxRemovals+80; from += 40 {
			arrive(from, 40)
			time.Sleep(time.Minute)
			if err := tb.RemoveDeparted(keepNone); err != nil {
				t.Fatal(err)
			}
		}
		follow("more removed than are kept", 100_000)
	})
}

// TestRemovedWhileStarting checks that a member that starts while its old record is being
// deleted is recorded after the deletion.
func TestRemovedWhileStarting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		disk := newMemoryDisk()
		tb := table(t, disk)
		for i := range MaxDeparted + 1 {
			renew(t, tb, &wire.Renew{Self: node(i)})
			time.Sleep(time.Millisecond)
		}
		time.Sleep(time.Minute)
		disk.deleteDelay = time.Second
		go func() {
			if err := tb.RemoveDeparted(keepNone); err != nil {
				t.Error(err)
			}
		}()
		time.Sleep(500 * time.Millisecond)
		restarted := node(0)
		restarted.Inc = 2
		renew(t, tb, &wire.Renew{Self: restarted})
		if l := listed(t, table(t, disk), restarted); l.Inc != 2 {
			t.Errorf("recorded member is %v", l)
		}
	})
}

// TestComplete checks that an incomplete table adds and records the members that others list,
// keeps its own more recent entries and is complete from then on, also after a restart.
func TestComplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		disk := newMemoryDisk()
		tb := table(t, disk)
		if err := tb.MarkIncomplete(); err != nil {
			t.Fatal(err)
		}
		if !table(t, disk).Incomplete() {
			t.Error("the table is complete after a restart")
		}
		renew(t, tb, &wire.Renew{Self: node(1)})
		older := node(1)
		older.Inc = 0
		if err := tb.MarkComplete([]*wire.Member{older, node(2), node(3)}); err != nil {
			t.Fatal(err)
		}
		for _, at := range []*Table{tb, table(t, disk)} {
			if at.Incomplete() || ids(at.List()) != "[n0001 n0002 n0003]" || listed(t, at, older).Inc != 1 {
				t.Errorf("incomplete %v, listed %v", at.Incomplete(), at.List())
			}
		}
		disk.records = map[string][]byte{}
		if err := tb.PersistAll(); err != nil {
			t.Fatal(err)
		}
		if restarted := table(t, disk); !restarted.Incomplete() || len(restarted.List()) != 3 {
			t.Errorf("on an empty disk: incomplete %v, %d listed", restarted.Incomplete(), len(restarted.List()))
		}
	})
}

// replacedMachines is the number of machines that start and depart in TestManyReplaced.
const replacedMachines = 50_000

// TestManyReplaced starts machines at new addresses, a hundred at a time, each of which renews
// once and departs. Memory, records and the size of answers must not grow with the number of
// machines that have departed.
func TestManyReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		disk := newMemoryDisk()
		tb := table(t, disk)
		h, core, me := testHolder(), register.Replica{Addr: "c"}, node(0)
		bytes, largest := 0, 0
		heap := func() uint64 {
			var m runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&m)
			return m.HeapAlloc
		}
		var after1000 uint64
		for batch := range replacedMachines / 100 {
			for i := range 100 {
				m := node(1)
				m.Id = fmt.Sprintf("m%06d", batch*100+i)
				m.Addr = fmt.Sprintf("10.%d.%d.%d:7100", batch/250, batch%250, i)
				renew(t, tb, &wire.Renew{Self: m})
			}
			answer := renew(t, tb, h.newRequest(core, me))
			h.updateMemberList(core, answer)
			bytes, largest = bytes+proto.Size(answer), max(largest, proto.Size(answer))
			for range 4 {
				time.Sleep(10 * time.Second)
				renew(t, tb, &wire.Renew{Self: me})
				if err := tb.RemoveDeparted(keepNone); err != nil {
					t.Fatal(err)
				}
			}
			if batch == 10 {
				after1000 = heap()
			}
		}
		n, records, last := len(tb.List()), len(disk.records), heap()
		t.Logf("%d listed, %d records, answers of %d bytes on average and %d at most, heap %d KB after 1,000 and %d KB at the end",
			n, records, bytes/(replacedMachines/100), largest, after1000>>10, last>>10)
		if n > MaxDeparted+200 || records > MaxDeparted+201 || len(tb.folders) > n {
			t.Errorf("%d listed, %d records, %d folders", n, records, len(tb.folders))
		}
		if largest > 40_000 {
			t.Errorf("an answer of %d bytes", largest)
		}
		if last > after1000+(4<<20) {
			t.Errorf("the heap grew from %d to %d KB", after1000>>10, last>>10)
		}
	})
}

var errDisk = errors.New("simulated disk failure")
