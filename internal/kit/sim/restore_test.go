package sim_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"

	"damsontiller/internal/kit/sim"
	"damsontiller/internal/proto/register"
)

// strangerSoon waits until a machine that has started has taken another identity.
func strangerSoon(t *testing.T, s *sim.Sim, id, was string) {
	t.Helper()
	began := time.Now()
	if !sim.Until(time.Second, func() bool { ident := s.Ident(id); return ident != "" && ident != was }) {
		t.Fatalf("%s goes on under the identity whose votes are forgotten", id)
	}
	t.Logf("%s has taken another identity after %s", id, time.Since(began))
}

// TestRestoredStore: a store whose disk is put back from a copy is noticed by the cores when
// it starts. It votes under its old identity no more, comes back as a stranger, and nothing
// acknowledged is lost, also where another store loses its disk afterwards.
func TestRestoredStore(t *testing.T) {
	t.Parallel()
	selfManaged(t, 141, func(ctx context.Context, s *sim.Sim) {
		l := newLog(ctx, s)
		time.Sleep(3 * time.Second)
		backup := s.FS("s2").CrashClone(vfs.CrashCloneCfg{})
		time.Sleep(3 * time.Second)
		was := s.Ident("s2")
		s.Kill("s2")
		time.Sleep(500 * time.Millisecond)
		s.Restore("s2", backup)
		launch(t, ctx, s, false, "s2")
		strangerSoon(t, s, "s2", was)
		inForce(t, s, syncTime, "c1 c2 c3", "s1 s2 s3")
		wipe(t, ctx, s, "s3", 500*time.Millisecond)
		inForce(t, s, syncTime, "c1 c2 c3", "s1 s2 s3")
		l.check(t, ctx)
	})
}

// TestRestoredVoteLost: a value chosen by a store and one other, whose disk is then put back
// from a copy from before, is not lost to the third: the restored store does not vote.
func TestRestoredVoteLost(t *testing.T) {
	t.Parallel()
	selfManaged(t, 142, func(ctx context.Context, s *sim.Sim) {
		time.Sleep(2 * time.Second)
		client := storeClient(s, "e1")
		for i := range 20 {
			backup := s.FS("s2").CrashClone(vfs.CrashCloneCfg{})
			// Only s1 and s2 hear of the change.
			s.Partition([]string{"s3"}, s.Rest("s3"), true)
			var want uint64
			if err := within(ctx, func(ctx context.Context) error {
				st, err := client.Change(ctx, "claim/restored", countUp)
				want = counted(st.Value)
				return err
			}); err != nil {
				t.Fatal(err)
			}
			time.Sleep(1500 * time.Millisecond)
			s.Kill("s2")
			s.Partition([]string{"s3"}, s.Rest("s3"), false)
			s.Restore("s2", backup)
			launch(t, ctx, s, false, "s2")
			// And now s1 is away.
			s.Partition([]string{"s1"}, s.Rest("s1"), true)
			var st register.State
			err := within(ctx, func(ctx context.Context) (err error) {
				st, err = client.Read(ctx, "claim/restored")
				return err
			})
			if err == nil && counted(st.Value) < want {
				t.Fatalf("round %d: %d was acknowledged and %d is read", i, want, counted(st.Value))
			}
			s.Partition([]string{"s1"}, s.Rest("s1"), false)
			inForce(t, s, 3*syncTime, "c1 c2 c3", "s1 s2 s3")
		}
	})
}

// TestRestoredCore is the same for a core machine.
func TestRestoredCore(t *testing.T) {
	t.Parallel()
	selfManaged(t, 143, func(ctx context.Context, s *sim.Sim) {
		time.Sleep(7 * time.Second)
		backup := s.FS("c2").CrashClone(vfs.CrashCloneCfg{})
		change(t, s, "after the copy")
		time.Sleep(2 * time.Second)
		was := s.Ident("c2")
		s.Kill("c2")
		s.Restore("c2", backup)
		launch(t, ctx, s, false, "c2")
		strangerSoon(t, s, "c2", was)
		inForce(t, s, syncTime, "c1 c2 c3", "s1 s2 s3")
		change(t, s, "back")
		wipe(t, ctx, s, "c1", 500*time.Millisecond)
		inForce(t, s, syncTime, "c1 c2 c3", "s1 s2 s3")
		change(t, s, "another loss")
	})
}

// TestHungDiskReplaced: a store whose disk answers nothing for long says so and loses its
// place to one that stands beside, so that a second loss can be borne. Once the disk answers
// again the store comes back as a stranger.
func TestHungDiskReplaced(t *testing.T) {
	t.Parallel()
	selfManaged(t, 144, func(ctx context.Context, s *sim.Sim) {
		l := newLog(ctx, s)
		time.Sleep(7 * time.Second)
		launch(t, ctx, s, false, "s4")
		inForce(t, s, 4*time.Second, "c1 c2 c3", "s1 s2 s3 s4")
		was := s.Ident("s2")
		s.DiskStall("s2", true)
		// Ten seconds without an answer, and what replacing a silent machine takes.
		inForce(t, s, 18*time.Second, "c1 c2 c3", "s1 s3 s4")
		wipe(t, ctx, s, "s1", 500*time.Millisecond)
		inForce(t, s, syncTime, "c1 c2 c3", "s1 s3 s4")
		s.DiskStall("s2", false)
		inForce(t, s, 40*time.Second, "c1 c2 c3", "s1 s2 s3 s4")
		if s.Ident("s2") == was {
			t.Error("back under the identity that was removed")
		}
		l.check(t, ctx)
	})
}
