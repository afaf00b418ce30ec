package lease

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"damsontiller/internal/coordination/cluster"
	"damsontiller/internal/coordination/peer"
	"damsontiller/internal/proto/register"
	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport"
	"damsontiller/internal/transport/code"
	"damsontiller/internal/transport/memnet"
)

// node returns the i-th node of a test cluster.
func node(i int) *wire.Member {
	return &wire.Member{
		Id:      fmt.Sprintf("n%04d", i),
		Role:    "edge",
		Addr:    fmt.Sprintf("10.0.%d.%d:7100", i/200, i%200),
		Http:    fmt.Sprintf("10.0.%d.%d:7200", i/200, i%200),
		Zone:    "a",
		Inc:     1,
		SpecVer: 1,
	}
}

// memoryDisk stores a table's records in memory and simulates failures and delays.
type memoryDisk struct {
	mu      sync.Mutex
	records map[string][]byte

	failSaves, failDeletes bool
	deleteDelay            time.Duration
}

func newMemoryDisk() *memoryDisk { return &memoryDisk{records: map[string][]byte{}} }

func (d *memoryDisk) SaveMetadata(key string, b []byte) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.failSaves {
		return errDisk
	}
	d.records[key] = b
	return nil
}

func (d *memoryDisk) LoadMetadata(key string) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.records[key], nil
}

func (d *memoryDisk) DeleteMetadata(key string) error {
	time.Sleep(d.deleteDelay)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.failDeletes {
		return errDisk
	}
	delete(d.records, key)
	return nil
}

func (d *memoryDisk) ListMetadata(prefix string) (map[string][]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := map[string][]byte{}
	for key, b := range d.records {
		if strings.HasPrefix(key, prefix) {
			out[key] = b
		}
	}
	return out, nil
}

// table creates a table on a disk.
func table(t interface{ Fatal(...any) }, disk Disk) *Table {
	out, err := NewTable(DefaultParams, disk)
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// testHolder creates a holder that makes no calls.
func testHolder() *Holder {
	self := &wire.Member{Id: "me", Addr: "m"}
	pr := peer.New(self, memnet.New(1).Host("m"), transport.DefaultParams, hclog.NewNullLogger())
	return NewHolder(DefaultParams, pr, cluster.New(nil, nil))
}

// renew passes a renewal to a table and returns the answer.
func renew(t interface{ Fatal(...any) }, tb *Table, renewal *wire.Renew) *wire.RenewAck {
	r, err := tb.Grant(context.Background(), &wire.Req{Op: &wire.Req_Renew{Renew: renewal}})
	if err != nil {
		t.Fatal(err)
	}
	return r.GetRenew()
}

// TestAnswerSize checks that the size of an answer to a renewal depends on the number of
// changes since the previous one and not on the number of nodes or the time that has passed.
func TestAnswerSize(t *testing.T) {
	sizes := map[int][2]int{}
	for _, n := range []int{12, 450, 2000} {
		synctest.Test(t, func(t *testing.T) {
			tb := table(t, newMemoryDisk())
			for i := range n {
				renew(t, tb, &wire.Renew{Self: node(i)})
			}
			first := renew(t, tb, &wire.Renew{Self: node(0)})
			if first.Part || len(first.Members) != n {
				t.Fatalf("the first answer has %d of %d members, part %v", len(first.Members), n, first.Part)
			}
			for range 5 {
				time.Sleep(time.Second)
				for i := range n {
					m := node(i)
					m.SpecVer = uint64(time.Now().Unix())
					renew(t, tb, &wire.Renew{Self: m, Table: first.Table, Seen: first.Seen})
				}
			}
			unchanged := renew(t, tb, &wire.Renew{Self: node(0), Table: first.Table, Seen: first.Seen})
			if len(unchanged.Members) != 0 || unchanged.Seen != first.Seen {
				t.Errorf("%d nodes: no changes, but %d members in the answer", n, len(unchanged.Members))
			}
			// One node restarts and another one becomes unresponsive.
			restarted := node(3)
			restarted.Inc = 2
			renew(t, tb, &wire.Renew{Self: restarted})
			time.Sleep(DefaultParams.Duration - 500*time.Millisecond)
			for i := range n {
				if m := node(i); i != 5 {
					if i == 3 {
						m = restarted
					}
					renew(t, tb, &wire.Renew{Self: m})
				}
			}
			time.Sleep(time.Second)
			changed := renew(t, tb, &wire.Renew{Self: node(0), Table: first.Table, Seen: first.Seen})
			if !changed.Part || len(changed.Members) != 2 || changed.Members[0].Id != "n0005" || changed.Members[0].Live ||
				changed.Members[1].Inc != 2 {
				t.Errorf("%d nodes: after two changes: %v", n, changed.Members)
			}
			sizes[n] = [2]int{proto.Size(unchanged), proto.Size(changed)}
		})
	}
	if small, large := sizes[12], sizes[2000]; large[0] > small[0]+4 || large[1] > small[1]+8 {
		t.Errorf("answers grow with the number of nodes: %v", sizes)
	}
}

// TestListFollows checks that a node's list matches the table as soon as an answer is received,
// even if earlier answers were lost or reordered, nodes join, leave or restart, or the core
// machine restarts.
func TestListFollows(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(*testing.T) {
			core := register.Replica{Addr: "c", Ident: "i"}
			h := testHolder()
			disk := newMemoryDisk()
			tb := table(rt, disk)
			me := node(9999)
			incs := map[int]uint64{}
			var delayed []*wire.RenewAck
			follow := func() {
				h.updateMemberList(core, renew(rt, tb, h.newRequest(core, me)))
				h.mu.Lock()
				defer h.mu.Unlock()
				h.publishMembers([]register.Replica{core}, map[register.Replica]bool{core: true})
				want := tb.List()
				if len(want) != len(h.members) {
					rt.Fatalf("%d listed, %d in the table", len(h.members), len(want))
				}
				for i, w := range want {
					if m := h.members[i]; m.Id != w.Id || m.Inc != w.Inc || m.Live != w.Live || m.Addr != w.Addr ||
						m.Ident != w.Ident ||
						m.Status != w.Status {
						rt.Fatalf("listed %v, in the table %v", m, w)
					}
				}
			}
			for range rapid.IntRange(1, 60).Draw(rt, "steps") {
				i := rapid.IntRange(0, 12).Draw(rt, "node")
				m := node(i)
				m.Inc += incs[i]
				switch rapid.SampledFrom([]string{"renew", "restart node", "status", "wait", "delay answer", "deliver answer", "restart core", "follow"}).Draw(rt, "step") {
				case "renew":
					renew(rt, tb, &wire.Renew{Self: m})
				case "restart node":
					incs[i]++
					m.Inc++
					renew(rt, tb, &wire.Renew{Self: m})
				case "status":
					m.Status = rapid.SampledFrom([]string{"", "disk is slow"}).Draw(rt, "status")
					renew(rt, tb, &wire.Renew{Self: m})
				case "wait":
					time.Sleep(time.Duration(rapid.IntRange(0, 4000).Draw(rt, "ms")) * time.Millisecond)
				case "delay answer":
					delayed = append(delayed, renew(rt, tb, h.newRequest(core, me)))
				case "deliver answer":
					if len(delayed) > 0 {
						n := rapid.IntRange(0, len(delayed)-1).Draw(rt, "which")
						h.updateMemberList(core, delayed[n])
						delayed = append(delayed[:n], delayed[n+1:]...)
					}
				case "restart core":
					tb = table(rt, disk)
				case "follow":
					follow()
				}
			}
			follow()
			if l := h.lists[core]; l.table != tb.id {
				rt.Fatalf("the checksum of the list does not match")
			}
		})
	})
}

// TestOlderReleaseWithoutTables checks compatibility with the previous release: a core machine
// sends the full list to such a node every time, and a node accepts the full lists that such a
// core machine sends.
func TestOlderReleaseWithoutTables(t *testing.T) {
	tb := table(t, newMemoryDisk())
	renew(t, tb, &wire.Renew{Self: node(1)})
	for range 2 {
		if a := renew(t, tb, &wire.Renew{Self: node(2), MembersSum: 77}); a.Part || len(a.Members) != 2 {
			t.Errorf("a node of an older release receives %v", a)
		}
	}
	h := testHolder()
	core := register.Replica{Addr: "c"}
	for n := range 3 {
		answer := &wire.RenewAck{LastsMs: 3000, MembersSum: 5}
		for i := range 3 - n {
			m := node(i)
			m.Live = true
			answer.Members = append(answer.Members, m)
		}
		h.updateMemberList(core, answer)
		if l := h.lists[core]; len(l.members) != 3-n || l.live != 3-n {
			t.Errorf("%d members sent by an older core machine, %d in the list", 3-n, len(l.members))
		}
	}
}

// TestClockSetBack checks the restart of a node whose wall clock was set back, so that its
// incarnation is lower than the previous one. It is rejected until the lease of the previous
// incarnation has expired and is then granted a lease, also by a restarted core machine.
func TestClockSetBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		disk := newMemoryDisk()
		tb := table(t, disk)
		before, after := node(1), node(1)
		before.Inc, before.SpecVer, after.Inc, after.SpecVer = 1000, 7, 10, 8
		renew(t, tb, &wire.Renew{Self: before})
		request := func(tb *Table) error {
			_, err := tb.Grant(t.Context(), &wire.Req{Op: &wire.Req_Renew{Renew: &wire.Renew{Self: after}}})
			return err
		}
		time.Sleep(DefaultParams.Duration - time.Millisecond)
		if err := request(tb); code.Of(err) != code.OldEpoch {
			t.Errorf("while the lease of the higher incarnation is valid: %v", err)
		}
		time.Sleep(time.Millisecond)
		if err := request(tb); err != nil {
			t.Errorf("after its expiry: %v", err)
		}
		if m := tb.List()[0]; m.Inc != 10 || m.SpecVer != 8 || !m.Live {
			t.Errorf("listed member is %v", m)
		}
		// A delayed renewal of the previous process is granted, and its entry is replaced once
		// the running process renews.
		renew(t, tb, &wire.Renew{Self: before})
		time.Sleep(DefaultParams.Duration)
		restarted := table(t, disk)
		if err := request(restarted); code.Of(err) != code.OldEpoch {
			t.Errorf("right after a restart of the core machine: %v", err)
		}
		time.Sleep(DefaultParams.Duration)
		if err := request(restarted); err != nil {
			t.Errorf("one lease duration after a restart of the core machine: %v", err)
		}
	})
}
