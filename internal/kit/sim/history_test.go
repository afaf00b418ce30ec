package sim_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"

	"damsontiller/internal/kit/sim"
	"damsontiller/internal/proto/spec"
)

// diskState is how a machine's disk comes back.
type diskState int

const (
	diskOld      diskState = iota // as it was when power went
	diskTorn                      // its database can't be read any more
	diskLost                      // empty
	diskRestored                  // a copy from before anything that followed
)

var diskNames = map[diskState]string{
	diskOld:      "an old disk",
	diskTorn:     "a torn disk",
	diskLost:     "no disk",
	diskRestored: "a restored disk",
}

// caughtUp bounds the time in which a machine that is back has in force what is; it
// does not depend on how much has changed meanwhile.
const caughtUp = time.Second

// changes makes so many changes of the spec, one after another.
func changes(t *testing.T, ctx context.Context, s *sim.Sim, core string, count int) {
	t.Helper()
	for i := range count {
		if _, _, err := s.Core(core).Cluster.Change(ctx, 0, func(c *spec.Cluster) error {
			c.Spec.Cooldown.FirstMs = int64(1000 + i%1000)
			return nil
		}); err != nil {
			t.Fatalf("change %d: %v", i, err)
		}
	}
}

// damage makes a database unreadable and leaves the identity as it was.
func damage(t *testing.T, fs *vfs.MemFS) {
	t.Helper()
	names, err := fs.List("/data/db")
	if err != nil {
		t.Fatal(err)
	}
	damaged := false
	for _, name := range names {
		if !strings.HasPrefix(name, "MANIFEST") {
			continue
		}
		f, err := fs.Create("/data/db/"+name, vfs.WriteCategoryUnspecified)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := f.Write([]byte("not a manifest, and longer than the head of one")); err != nil {
			t.Fatal(err)
		}
		if err := f.Sync(); err != nil {
			t.Fatal(err)
		}
		f.Close()
		damaged = true
	}
	if !damaged {
		t.Fatalf("no manifest among %v", names)
	}
}

// back starts a machine again, and tells how long it took until it had in force the
// version that was acknowledged last. While it has not, it says so to operators and
// leads nothing.
func back(t *testing.T, ctx context.Context, s *sim.Sim, id string, acked uint64) time.Duration {
	t.Helper()
	at := time.Now()
	launch(t, ctx, s, false, id)
	for s.View(id).Version < acked {
		if time.Since(at) > 10*time.Second {
			t.Fatalf("%s has version %d of %d after %s", id, s.View(id).Version, acked, time.Since(at))
		}
		if id == "c1" {
			answersOld(t, s, acked)
		}
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(at)
}

// answersOld asks the first core: an answer of success must show what was acknowledged.
func answersOld(t *testing.T, s *sim.Sim, acked uint64) {
	t.Helper()
	var shown struct {
		Version uint64 `json:"version"`
	}
	status, err := s.Operate(http.MethodGet, "/v1/spec", nil, &shown)
	if err == nil && status == http.StatusOK && shown.Version < acked {
		t.Errorf("version %d is shown, %d was acknowledged", shown.Version, acked)
	}
}

// history lets a machine be away while so many changes are made, and brings it back.
func history(
	t *testing.T,
	ctx context.Context,
	s *sim.Sim,
	id string,
	disk diskState,
	count int,
) (took time.Duration, size int) {
	t.Helper()
	restored := s.FS(id).CrashClone(vfs.CrashCloneCfg{})
	change(t, s, "after the copy")
	s.Kill(id)
	changes(t, ctx, s, "c2", count)
	change(t, s, "the last")
	acked := s.View("c2").Version
	switch disk {
	case diskTorn:
		damage(t, s.FS(id))
	case diskLost:
		s.Wipe(id)
	case diskRestored:
		s.Restore(id, restored)
	}
	took = back(t, ctx, s, id, acked)
	sets(t, s, 5*time.Second, "c1 c2 c3", "s1 s2 s3")
	change(t, s, "with all back")
	return took, len(s.View("c2").Raw())
}

// TestHistory: a core and a store that were away while the spec changed hundreds of
// times are current soon after they are back, with whatever disk; how soon, and how
// large the register's value is, does not depend on the number of changes.
func TestHistory(t *testing.T) {
	t.Parallel()
	for _, disk := range []diskState{diskOld, diskTorn, diskLost, diskRestored} {
		t.Run(diskNames[disk], func(t *testing.T) {
			t.Parallel()
			selfManaged(t, 11, func(ctx context.Context, s *sim.Sim) {
				turns := talk(t, s, "h", 20)
				sizes := map[int]int{}
				for _, count := range []int{0, 500} {
					for _, id := range []string{"c1", "s2"} {
						took, size := history(t, ctx, s, id, disk, count)
						t.Logf(
							"%s with %s after %d changes: current after %s, the value has %d bytes",
							id,
							diskNames[disk],
							count,
							took,
							size,
						)
						if took > caughtUp {
							t.Errorf("%s took %s", id, took)
						}
						sizes[count] = size
					}
				}
				if sizes[500] > sizes[0]+200 {
					t.Errorf("the value grows with the changes: %v", sizes)
				}
				kept(t, s, "h", turns)
			})
		})
	}
}

// TestHistoryFrozen: the core that leads stands still while the spec and the stores
// change, and wakes: what it does on its old state has no effect, and it is current at
// once.
func TestHistoryFrozen(t *testing.T) {
	t.Parallel()
	selfManaged(t, 12, func(ctx context.Context, s *sim.Sim) {
		turns := talk(t, s, "f", 20)
		s.Freeze("c1")
		changes(t, ctx, s, "c2", 200)
		s.Kill("s2")
		time.Sleep(500 * time.Millisecond)
		launch(t, ctx, s, false, "s5")
		if !sim.Until(10*time.Second, func() bool {
			v := s.View("c2")
			return names(v.Cluster.Stores) == "s1 s5 s3 " && len(v.NextStores) == 0
		}) {
			t.Fatalf("the set is %s, next %s", names(s.View("c2").Cluster.Stores), names(s.View("c2").NextStores))
		}
		before := s.View("c2").Version
		at := time.Now()
		s.Thaw("c1")
		for s.View("c1").Version < before && time.Since(at) < 10*time.Second {
			answersOld(t, s, before)
			time.Sleep(5 * time.Millisecond)
		}
		t.Logf("current after %s", time.Since(at))
		if took := time.Since(at); took > 2*time.Second {
			t.Errorf("current after %s", took)
		}
		time.Sleep(3 * time.Second)
		if got := names(s.View("c2").Cluster.Stores); got != "s1 s5 s3 " {
			t.Errorf("the core that woke made the set %s", got)
		}
		change(t, s, "with the core awake")
		kept(t, s, "f", turns)
	})
}

// TestHistoryLong: the register's value and the time to be current after a thousand
// changes are those after one; a thousand identities removed are the one thing that
// makes it larger.
func TestHistoryLong(t *testing.T) {
	t.Parallel()
	selfManaged(t, 13, func(ctx context.Context, s *sim.Sim) {
		change(t, s, "the first")
		small := len(s.View("c2").Raw())
		took, size := history(t, ctx, s, "c1", diskOld, 1000)
		t.Logf("after 1000 changes: current after %s, %d bytes, %d at first", took, size, small)
		if took > caughtUp || size > small+200 {
			t.Errorf("%s, %d bytes, %d at first", took, size, small)
		}
		if _, _, err := s.Core("c2").Cluster.Change(ctx, 0, func(c *spec.Cluster) error {
			for i := range 1000 {
				c.Used = append(c.Used, fmt.Sprintf("%024x", i))
			}
			return nil
		}); err != nil {
			t.Fatal(err)
		}
		took, size = history(t, ctx, s, "c1", diskOld, 0)
		t.Logf("after 1000 replaced machines: current after %s, %d bytes", took, size)
		if took > caughtUp {
			t.Errorf("after 1000 replaced machines: %s", took)
		}
	})
}

// TestHistoryUnspread: a change was chosen and is in force nowhere but at the core that
// made it, which then stands still. A store that comes back has it all the same: it reads
// the register at a majority, whatever the cores that grant its lease have in force.
func TestHistoryUnspread(t *testing.T) {
	t.Parallel()
	selfManaged(t, 14, func(ctx context.Context, s *sim.Sim) {
		s.Kill("s2")
		time.Sleep(time.Second)
		changes(t, ctx, s, "c2", 1)
		acked := s.View("c2").Version
		s.Freeze("c2")
		if c1, c3 := s.View("c1").Version, s.View("c3").Version; c1 >= acked || c3 >= acked {
			t.Fatalf("version %d has come to c1 (%d) or c3 (%d)", acked, c1, c3)
		}
		if took := back(t, ctx, s, "s2", acked); took > caughtUp {
			t.Errorf("current after %s", took)
		}
		s.Thaw("c2")
	})
}
