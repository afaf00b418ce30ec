package sim_test

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"damsontiller/internal/kit/sim"
	"damsontiller/internal/state/storage/faultfs"
)

// changing makes operators' changes all the while; each must come to an end, and
// the spec must move on.
func changing(t *testing.T, s *sim.Sim, d time.Duration) {
	t.Helper()
	done := 0
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(300 * time.Millisecond) {
		st, _, err := s.Change(
			http.MethodPatch,
			"/v1/spec",
			map[string]any{"cooldown": map[string]any{"first_ms": 1000 + done}},
		)
		if err == nil && (st == http.StatusOK || st == http.StatusAccepted) {
			done++
		}
	}
	if done < int(d/time.Second)/2 {
		t.Errorf("%d changes in %s", done, d)
	}
}

// convergedAgain waits until machines' disks are well and they have the spec of the others.
func convergedAgain(t *testing.T, s *sim.Sim, ids ...string) {
	t.Helper()
	for _, id := range ids {
		ok := func() bool {
			for _, w := range s.Wrong() {
				if len(w) > len(id) && w[:len(id)+1] == id+":" {
					return false
				}
			}
			return s.View(id).Version == s.Cluster().Version
		}
		if !sim.Until(20*time.Second, ok) {
			t.Errorf("%s is not back: version %d of %d, %v", id, s.View(id).Version, s.Cluster().Version, s.Wrong())
		}
	}
}

// TestDisks: the disk of a core, of a store and of both is full, answers nothing, is
// slow or fails a write or a sync, again and again, with changes of the configuration
// going on. The fleet goes on, no process ends, and the machines are back by themselves.
// Without DISK_SEARCHES only full and stalled disks of both are run.
func TestDisks(t *testing.T) {
	faults := map[string]func(s *sim.Sim, id string, on bool){
		"full":  func(s *sim.Sim, id string, on bool) { s.DiskFull(id, on) },
		"stall": func(s *sim.Sim, id string, on bool) { s.DiskStall(id, on) },
		"slow": func(s *sim.Sim, id string, on bool) {
			s.DiskSlow(id, map[bool]time.Duration{true: 60 * time.Millisecond}[on])
		},
		"write fails": func(s *sim.Sim, id string, _ bool) { s.DiskFails(id, faultfs.Write, syscall.EIO) },
		"sync fails":  func(s *sim.Sim, id string, _ bool) { s.DiskFails(id, faultfs.Sync, syscall.EIO) },
	}
	n := uint64(900)
	all, cycles, traffic := os.Getenv("DISK_SEARCHES") != "", 1, 12*time.Second
	if all {
		cycles, traffic = 2, 22*time.Second
	}
	for name, fault := range faults {
		for _, ids := range [][]string{{"c2"}, {"s1"}, {"c1", "s2"}} {
			n++
			if !all && (len(ids) < 2 || name != "full" && name != "stall") {
				continue
			}
			t.Run(fmt.Sprint(name, " ", ids), func(t *testing.T) {
				t.Parallel()
				run(t, "tsehay", n, traffic, func(_ context.Context, s *sim.Sim) {
					for range cycles {
						for _, id := range ids {
							fault(s, id, true)
						}
						changing(t, s, 3*time.Second)
						for _, id := range ids {
							fault(s, id, false)
						}
						changing(t, s, 2*time.Second)
					}
					convergedAgain(t, s, ids...)
				})
			})
		}
	}
}

// TestFullDiskReadsThrough: a core whose disk takes nothing answers every question with what
// a majority of the others has chosen, also after the set of cores has changed without it.
// It confirms none of that, and is right by itself once there is room.
func TestFullDiskReadsThrough(t *testing.T) {
	t.Parallel()
	for _, cut := range []func(s *sim.Sim, on bool){
		func(s *sim.Sim, on bool) { s.DiskFull("c2", on) },
		func(s *sim.Sim, on bool) { s.DiskStall("c2", on) },
	} {
		selfManaged(t, 151, func(ctx context.Context, s *sim.Sim) {
			launch(t, ctx, s, false, "c4", "c5")
			inForce(t, s, 4*time.Second, "c1 c2 c3 c4 c5", "s1 s2 s3")
			cut(s, true)
			had := s.View("c2").Version
			for i := range 3 {
				if i == 1 {
					wipe(t, ctx, s, "c3", 300*time.Millisecond)
					time.Sleep(2 * time.Second)
				}
				revision := 10 * (i + 1)
				if r := replaceAt(s, "c1", 10*i, revision, fmt.Sprint("r", i)); r.status != http.StatusOK {
					t.Fatalf("revision %d: %+v", revision, r)
				}
				for _, path := range []string{"/v1/configuration/retrieve", "/v1/spec", "/v1/sets", "/v1/members", "/v1/health"} {
					r := order(s, "c2", http.MethodGet, path, "", "")
					if r.status != http.StatusOK {
						t.Errorf("revision %d, %s: %+v", revision, path, r)
					}
					if path == "/v1/configuration/retrieve" && !strings.Contains(r.body, fmt.Sprintf(`"revision":%d`, revision)) {
						t.Errorf("revision %d was acknowledged, %s is told", revision, r.body)
					}
				}
			}
			if v := s.View("c2").Version; v != had {
				t.Errorf("version %d came into force without being kept, %d was", v, had)
			}
			cut(s, false)
			convergedAgain(t, s, "c2")
		})
	}
}
