package sim_test

import (
	"context"
	"encoding/binary"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"damsontiller/internal/coordination/cluster"
	"damsontiller/internal/coordination/storeclient"
	"damsontiller/internal/kit/sim"
	"damsontiller/internal/proto/register"
	"damsontiller/internal/proto/spec"
)

// syncTime is how long after a machine's return the next loss must be borne: the
// shorter of the platform's two figures (`sync-time-s`).
const syncTime = 4200 * time.Millisecond

// writePause is what a log's writer rests between two writes.
const writePause = 50 * time.Millisecond

// log writes registers and blobs through edges all the while, and remembers what was
// acknowledged.
type log struct {
	tiers    []*storeclient.Client
	stop     context.CancelFunc
	wait     sync.WaitGroup
	mu       sync.Mutex
	blobs    []string
	counters map[string]uint64
	failed   int
}

func newLog(ctx context.Context, s *sim.Sim) *log {
	l := &log{counters: map[string]uint64{}}
	ctx, l.stop = context.WithCancel(ctx)
	for i, id := range []string{"e1", "e4"} {
		t := storeClient(s, id)
		l.tiers = append(l.tiers, t)
		l.wait.Go(func() { l.write(ctx, t, i) })
	}
	return l
}

// storeClient is a client of the stores at an edge.
func storeClient(s *sim.Sim, edge string) *storeclient.Client {
	n := s.Edge(edge).Node
	return storeclient.New(n.Peer, n.Cluster, n.Proposer)
}

// write puts one blob and counts one register up at a time.
func (l *log) write(ctx context.Context, t *storeclient.Client, writer int) {
	for n := 0; ctx.Err() == nil; n++ {
		blob := fmt.Sprintf("turn/ledger%d-%d", writer, n)
		err := within(ctx, func(ctx context.Context) error { return t.PutBlob(ctx, blob, []byte(blob), time.Hour) })
		l.record(err, func() { l.blobs = append(l.blobs, blob) })
		counter := fmt.Sprintf("claim/ledger%d-%d", writer, n%7)
		var last uint64
		err = within(ctx, func(ctx context.Context) error {
			st, err := t.Change(ctx, counter, countUp)
			last = counted(st.Value)
			return err
		})
		l.record(err, func() { l.counters[counter] = last })
		time.Sleep(writePause)
	}
}

func (l *log) record(err error, acknowledged func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.failed++
		return
	}
	acknowledged()
}

func within(ctx context.Context, do func(context.Context) error) error {
	ctx, stop := context.WithTimeout(ctx, time.Second)
	defer stop()
	return do(ctx)
}

func counted(val []byte) uint64 {
	if len(val) < 8 {
		return 0
	}
	return binary.BigEndian.Uint64(val)
}

func countUp(st register.State) ([]byte, bool, error) {
	return binary.BigEndian.AppendUint64(nil, counted(st.Value)+1), false, nil
}

// check stops writing and reads back all that was acknowledged.
func (l *log) check(t *testing.T, ctx context.Context) {
	t.Helper()
	l.stop()
	l.wait.Wait()
	lost := 0
	for _, blob := range l.blobs {
		var got []byte
		if err := within(ctx, func(ctx context.Context) (err error) { got, err = l.tiers[0].GetBlob(ctx, blob); return err }); err != nil ||
			string(got) != blob {
			if lost++; lost == 1 {
				t.Errorf("%s was acknowledged and reads %q, %v", blob, got, err)
			}
		}
	}
	for counter, last := range l.counters {
		var st register.State
		if err := within(ctx, func(ctx context.Context) (err error) { st, err = l.tiers[1].Read(ctx, counter); return err }); err != nil ||
			counted(st.Value) < last {
			if lost++; lost == 1 {
				t.Errorf("%s was acknowledged at %d and reads %d, %v", counter, last, counted(st.Value), err)
			}
		}
	}
	t.Logf(
		"%d blobs and %d registers acknowledged, %d writes failed, %d lost",
		len(l.blobs),
		len(l.counters),
		l.failed,
		lost,
	)
}

// inForce waits until no set is changing and each machine of them is there as it is.
func inForce(t *testing.T, s *sim.Sim, most time.Duration, cores, stores string) {
	t.Helper()
	took := sets(t, s, most, cores, stores)
	t.Logf("%s; %s after %s", cores, stores, took)
}

// failureMode is what makes a living machine unresponsive, and what ends it.
type failureMode struct {
	name       string
	begin, end func(s *sim.Sim, id string)
}

var failureModes = []failureMode{
	{"frozen", func(s *sim.Sim, id string) { s.Freeze(id) }, func(s *sim.Sim, id string) { s.Thaw(id) }},
	{
		"can't send",
		func(s *sim.Sim, id string) { s.PartitionOneWay([]string{id}, s.Rest(id), true) },
		func(s *sim.Sim, id string) { s.PartitionOneWay([]string{id}, s.Rest(id), false) },
	},
	{
		"cut off",
		func(s *sim.Sim, id string) { s.Partition([]string{id}, s.Rest(id), true) },
		func(s *sim.Sim, id string) { s.Partition([]string{id}, s.Rest(id), false) },
	},
}

// partitionFrom cuts what all others send to a machine.
func partitionFrom(s *sim.Sim, id string, on bool) {
	for _, other := range s.Rest(id) {
		s.PartitionOneWay([]string{other}, []string{id}, on)
	}
}

// TestUnresponsiveStoreReplaced: a store taken in beside the others takes the place of one
// that lives and is unresponsive for 20 s. A second store is lost in that time, and a third
// once the second is back. The unresponsive one wakes with its half-made writes and its data:
// it comes back as a stranger, and nothing acknowledged is lost.
func TestUnresponsiveStoreReplaced(t *testing.T) {
	t.Parallel()
	for i, mode := range failureModes {
		selfManaged(t, uint64(40+i), func(ctx context.Context, s *sim.Sim) {
			l := newLog(ctx, s)
			time.Sleep(7 * time.Second)
			launch(t, ctx, s, false, "s4")
			inForce(t, s, 4*time.Second, "c1 c2 c3", "s1 s2 s3 s4")
			was := s.Ident("s2")
			mode.begin(s, "s2")
			at := time.Now()
			inForce(t, s, 10*time.Second, "c1 c2 c3", "s1 s3 s4")
			wipe(t, ctx, s, "s1", 500*time.Millisecond)
			time.Sleep(syncTime)
			sets(t, s, 0, "c1 c2 c3", "s1 s3 s4")
			wipe(t, ctx, s, "s3", 500*time.Millisecond)
			time.Sleep(syncTime)
			sets(t, s, 0, "c1 c2 c3", "s1 s3 s4")
			time.Sleep(20*time.Second - time.Since(at))
			mode.end(s, "s2")
			inForce(t, s, 10*time.Second, "c1 c2 c3", "s1 s2 s3 s4")
			if s.Ident("s2") == was {
				t.Errorf("%s: back under the identity that was let go", mode.name)
			}
			l.check(t, ctx)
		})
	}
}

// wipe ends a machine, takes its disk and starts it anew after a while.
func wipe(t *testing.T, ctx context.Context, s *sim.Sim, id string, down time.Duration) {
	t.Helper()
	s.Kill(id)
	s.Wipe(id)
	time.Sleep(down)
	launch(t, ctx, s, false, id)
}

// TestUnresponsiveCoreReplaced is the same for the cores, whose register must stay complete.
func TestUnresponsiveCoreReplaced(t *testing.T) {
	t.Parallel()
	for i, mode := range failureModes {
		selfManaged(t, uint64(50+i), func(ctx context.Context, s *sim.Sim) {
			time.Sleep(7 * time.Second)
			launch(t, ctx, s, false, "c4")
			// It stands outside, since a fourth would make the number even.
			time.Sleep(4 * time.Second)
			sets(t, s, 0, "c1 c2 c3", "s1 s2 s3")
			was := s.Ident("c2")
			mode.begin(s, "c2")
			at := time.Now()
			inForce(t, s, 10*time.Second, "c1 c3 c4", "s1 s2 s3")
			change(t, s, mode.name+", replaced")
			before := s.Cluster().Version
			wipe(t, ctx, s, "c3", 500*time.Millisecond)
			time.Sleep(syncTime)
			sets(t, s, 0, "c1 c3 c4", "s1 s2 s3")
			change(t, s, mode.name+", a second loss")
			time.Sleep(20*time.Second - time.Since(at))
			mode.end(s, "c2")
			if !sim.Until(12*time.Second, func() bool { return s.Ident("c2") != was && s.View("c2").Version > before }) {
				t.Errorf("%s: back under the identity that was removed", mode.name)
			}
			sets(t, s, 0, "c1 c3 c4", "s1 s2 s3")
			if v := s.View("c2").Version; v <= before {
				t.Errorf("%s: at version %d, before it was %d", mode.name, v, before)
			}
			change(t, s, mode.name+", back")
		})
	}
}

// deafReplaced bounds the time after which a machine that sends and hears nothing has been
// replaced by one that stands beside: a lease's time until its renewals don't count, and
// what replacing a silent machine takes.
const deafReplaced = 6 * time.Second

// TestDeafStoreReplaced: a store whose renewals are received, but that hears nothing itself,
// loses its place to one that stands beside, as a silent one does. Then a second store is
// lost. The deaf one comes back as a stranger once it hears, and nothing acknowledged is lost.
func TestDeafStoreReplaced(t *testing.T) {
	t.Parallel()
	selfManaged(t, 61, func(ctx context.Context, s *sim.Sim) {
		l := newLog(ctx, s)
		time.Sleep(7 * time.Second)
		launch(t, ctx, s, false, "s4")
		inForce(t, s, 4*time.Second, "c1 c2 c3", "s1 s2 s3 s4")
		was := s.Ident("s2")
		partitionFrom(s, "s2", true)
		inForce(t, s, deafReplaced, "c1 c2 c3", "s1 s3 s4")
		wipe(t, ctx, s, "s1", 500*time.Millisecond)
		inForce(t, s, syncTime, "c1 c2 c3", "s1 s3 s4")
		partitionFrom(s, "s2", false)
		inForce(t, s, 10*time.Second, "c1 c2 c3", "s1 s2 s3 s4")
		if s.Ident("s2") == was {
			t.Error("back under the identity that was removed")
		}
		l.check(t, ctx)
	})
}

// TestDeafCoreReplaced is the same for a core.
func TestDeafCoreReplaced(t *testing.T) {
	t.Parallel()
	selfManaged(t, 62, func(ctx context.Context, s *sim.Sim) {
		time.Sleep(7 * time.Second)
		launch(t, ctx, s, false, "c4")
		time.Sleep(2 * time.Second)
		partitionFrom(s, "c2", true)
		inForce(t, s, deafReplaced, "c1 c3 c4", "s1 s2 s3")
		change(t, s, "a deaf core replaced")
		wipe(t, ctx, s, "c3", 500*time.Millisecond)
		inForce(t, s, syncTime, "c1 c3 c4", "s1 s2 s3")
		change(t, s, "a second loss")
		partitionFrom(s, "c2", false)
		time.Sleep(syncTime)
		change(t, s, "it hears again")
	})
}

// TestSlowDiskStaysMember: a store whose syncs take long renews its lease and so keeps
// its place, though another stands beside.
func TestSlowDiskStaysMember(t *testing.T) {
	t.Parallel()
	selfManaged(t, 60, func(ctx context.Context, s *sim.Sim) {
		l := newLog(ctx, s)
		time.Sleep(7 * time.Second)
		launch(t, ctx, s, false, "s4")
		inForce(t, s, 4*time.Second, "c1 c2 c3", "s1 s2 s3 s4")
		s.Disk("s2", -1, 2*time.Second)
		time.Sleep(10 * time.Second)
		sets(t, s, 0, "c1 c2 c3", "s1 s2 s3 s4")
		s.Disk("s2", -1, 0)
		time.Sleep(3 * time.Second)
		l.check(t, ctx)
	})
}

// TestLossDuringChange: a store is retired, or one is added, and at each moment of that
// another loses its disk. Only one is lost, so nothing may be lost with it.
func TestLossDuringChange(t *testing.T) {
	t.Parallel()
	for i := range 6 {
		after := time.Duration(i*i) * 15 * time.Millisecond
		selfManaged(t, uint64(70+i), func(ctx context.Context, s *sim.Sim) {
			l := newLog(ctx, s)
			time.Sleep(2 * time.Second)
			launch(t, ctx, s, false, "s4")
			if i%2 == 0 {
				time.Sleep(after)
				wipe(t, ctx, s, "s1", 300*time.Millisecond)
				inForce(t, s, 8*time.Second, "c1 c2 c3", "s1 s2 s3 s4")
			} else {
				inForce(t, s, 4*time.Second, "c1 c2 c3", "s1 s2 s3 s4")
			}
			if err := s.Core("c2").Retire(ctx, "s3"); err != nil {
				t.Fatal(err)
			}
			time.Sleep(after)
			wipe(t, ctx, s, "s2", 300*time.Millisecond)
			inForce(t, s, 10*time.Second, "c1 c2 c3", "s1 s2 s4")
			time.Sleep(syncTime)
			wipe(t, ctx, s, "s4", 300*time.Millisecond)
			inForce(t, s, 5*time.Second, "c1 c2 c3", "s1 s2 s4")
			l.check(t, ctx)
		})
	}
}

// TestCoreLossDuringChange is the same for the cores: one that stands outside, or two that
// are taken in, are added, and at each moment of that another loses its disk; then one goes
// for good, and syncTime later the next loses its disk. Changes are acknowledged after each,
// and none is lost.
func TestCoreLossDuringChange(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		added                 []string
		with, without, atLast string
	}{
		{[]string{"c4"}, "c1 c2 c3", "c1 c3 c4", "c1 c3 c4"},
		{[]string{"c4", "c5"}, "c1 c2 c3 c4 c5", "c1 c2 c3 c4 c5", "c1 c2 c3 c4 c5"},
	} {
		for i := range 5 {
			after := time.Duration(i*i) * 20 * time.Millisecond
			selfManaged(t, uint64(120+i), func(ctx context.Context, s *sim.Sim) {
				time.Sleep(8 * time.Second)
				launch(t, ctx, s, false, tc.added...)
				time.Sleep(after)
				wipe(t, ctx, s, "c1", 300*time.Millisecond)
				inForce(t, s, 8*time.Second, tc.with, "s1 s2 s3")
				change(t, s, "some added, one wiped")
				before := s.Cluster().Version
				s.Kill("c2")
				inForce(t, s, 8*time.Second, tc.without, "s1 s2 s3")
				time.Sleep(after)
				wipe(t, ctx, s, "c3", 300*time.Millisecond)
				inForce(t, s, syncTime, tc.without, "s1 s2 s3")
				change(t, s, "one gone, one wiped")
				launch(t, ctx, s, false, "c2")
				time.Sleep(syncTime)
				inForce(t, s, 10*time.Second, tc.atLast, "s1 s2 s3")
				if v := s.View("c2").Version; v <= before {
					t.Errorf("c2 is at version %d, before it was %d", v, before)
				}
			})
		}
	}
}

// TestPowerDuringRepair: while one store brings its keys anew, another loses power and
// keeps its disk. For a moment there is no majority; once the second is back nothing
// that was acknowledged is missing.
func TestPowerDuringRepair(t *testing.T) {
	t.Parallel()
	for i := range 6 {
		selfManaged(t, uint64(90+i), func(ctx context.Context, s *sim.Sim) {
			l := newLog(ctx, s)
			time.Sleep(3 * time.Second)
			wipe(t, ctx, s, "s1", 300*time.Millisecond)
			time.Sleep(time.Duration(i*i) * 9 * time.Millisecond)
			s.Kill("s2")
			time.Sleep(time.Second)
			launch(t, ctx, s, false, "s2")
			inForce(t, s, 8*time.Second, "c1 c2 c3", "s1 s2 s3")
			l.check(t, ctx)
		})
	}
}

// TestNextLossFullStores: with tens of MB at each store, one after another loses its
// disk, each syncTime after the one before has returned.
func TestNextLossFullStores(t *testing.T) {
	t.Parallel()
	selfManaged(t, 100, func(ctx context.Context, s *sim.Sim) {
		const blobs, size = 400, 64 << 10
		n := s.Edge("e1").Node
		stores := storeclient.New(n.Peer, n.Cluster, n.Proposer)
		for i := range blobs {
			val := []byte(strings.Repeat(fmt.Sprintf("%08d", i), size/8))
			if err := stores.PutBlob(ctx, fmt.Sprint("turn/full", i), val, time.Hour); err != nil {
				t.Fatal(err)
			}
		}
		for _, id := range []string{"s1", "s2", "s1"} {
			cpu := cpuTime(t)
			wipe(t, ctx, s, id, 500*time.Millisecond)
			took := sets(t, s, syncTime, "c1 c2 c3", "s1 s2 s3")
			t.Logf(
				"%s: %d MB are back after %s of simulated time, %s of CPU",
				id,
				blobs*size>>20,
				took,
				cpuTime(t)-cpu,
			)
			time.Sleep(syncTime - took)
		}
		for i := range blobs {
			val, err := stores.GetBlob(ctx, fmt.Sprint("turn/full", i))
			if err != nil || len(val) != size {
				t.Fatalf("blob %d: %d bytes, %v", i, len(val), err)
			}
		}
	})
}

// cpuTime is what this process has used; all else is simulated.
func cpuTime(t *testing.T) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		t.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// forget has the register partition its list of identities that were removed.
func forget(t *testing.T, ctx context.Context, s *sim.Sim) {
	t.Helper()
	_, _, err := s.Core("c1").Cluster.Change(ctx, 0, func(c *spec.Cluster) error {
		for i := range cluster.MaxRemovedIdentities + 1 {
			c.Used = append(c.Used, fmt.Sprint("earlier", i))
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if v := s.Core("c1").Cluster.Now(); len(v.Used) > 0 || v.IdentityFloor != v.Version {
		t.Fatalf("%d listed, floor %d at version %d", len(v.Used), v.IdentityFloor, v.Version)
	}
}

// TestForgottenIdentity: machines whose identity was removed and is not listed any more
// come back as strangers: one that was off and has its disk, and ones that were frozen
// all the while. Members keep their identities across the partition and a restart, and
// newcomers are taken in.
func TestForgottenIdentity(t *testing.T) {
	t.Parallel()
	selfManaged(t, 110, func(ctx context.Context, s *sim.Sim) {
		l := newLog(ctx, s)
		was := map[string]string{}
		for _, id := range []string{"s1", "s2", "s3", "c3"} {
			was[id] = s.Ident(id)
		}
		s.Kill("s3")
		s.Freeze("c3")
		time.Sleep(3 * time.Second)
		launch(t, ctx, s, false, "s4", "c4")
		inForce(t, s, 6*time.Second, "c1 c2 c4", "s1 s2 s4")
		s.Freeze("s2")
		time.Sleep(3 * time.Second)
		launch(t, ctx, s, false, "s5")
		inForce(t, s, 6*time.Second, "c1 c2 c4", "s1 s4 s5")
		forget(t, ctx, s)
		s.Kill("s1")
		time.Sleep(200 * time.Millisecond)
		launch(t, ctx, s, false, "s1", "s3")
		s.Thaw("s2")
		s.Thaw("c3")
		inForce(t, s, 15*time.Second, "c1 c2 c4", "s1 s2 s3 s4 s5")
		sim.Until(5*time.Second, func() bool { return s.Ident("c3") != was["c3"] })
		for id, ident := range was {
			if same := s.Ident(id) == ident; same != (id == "s1") {
				t.Errorf("%s: identity the same as before: %t", id, same)
			}
		}
		made := s.Store("s3").Peer.IdentityVersion()
		s.Kill("s3")
		launch(t, ctx, s, false, "s3")
		time.Sleep(time.Second)
		if again := s.Store("s3").Peer.IdentityVersion(); again != made || made == 0 {
			t.Errorf("made under %d, after a restart %d", made, again)
		}
		l.check(t, ctx)
	})
}
