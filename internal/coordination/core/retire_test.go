package core

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"damsontiller/internal/coordination/membership"
	"damsontiller/internal/proto/spec"
	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport/clock"
	"damsontiller/internal/transport/code"
)

// storeSet returns a set of stores with the given names.
func storeSet(ids ...string) []spec.Machine {
	var set []spec.Machine
	for _, id := range ids {
		set = append(set, spec.Machine{ID: id, Addr: id, Zone: "a", Ident: "i" + id})
	}
	return set
}

// membersOf returns live members with the given names, except for the one that is away.
func membersOf(away string, ids ...string) map[string]*wire.Member {
	members := map[string]*wire.Member{}
	for _, id := range ids {
		members[id] = &wire.Member{Id: id, Addr: id, Role: "store", Ident: "i" + id, Live: id != away}
	}
	return members
}

// TestRetireStore checks that a removal is rejected permanently if the sets would become too small,
// and only temporarily if too few stores are live at the moment.
func TestRetireStore(t *testing.T) {
	for _, tc := range []struct {
		name  string
		state spec.Cluster
		known map[string]*wire.Member
		want  code.Code
	}{
		{
			"as many stores as copies",
			spec.Cluster{Stores: storeSet("s1", "s2", "s3")},
			membersOf("", "s1", "s2", "s3"),
			code.BelowCopies,
		},
		{
			"one store more than copies",
			spec.Cluster{Stores: storeSet("s1", "s2", "s3", "s4")},
			membersOf("", "s1", "s2", "s3", "s4"),
			code.OK,
		},
		{
			"one more, another store away",
			spec.Cluster{Stores: storeSet("s1", "s2", "s3", "s4")},
			membersOf("s3", "s1", "s2", "s3", "s4"),
			code.FewLive,
		},
		{
			"one more, another store never seen",
			spec.Cluster{Stores: storeSet("s1", "s2", "s3", "s4")},
			membersOf("", "s1", "s2", "s4"),
			code.FewLive,
		},
		{
			"one more, the store itself away",
			spec.Cluster{Stores: storeSet("s1", "s2", "s3", "s4")},
			membersOf("s1", "s1", "s2", "s3", "s4"),
			code.OK,
		},
		{
			"another store already retired",
			spec.Cluster{Stores: storeSet("s1", "s2", "s3", "s4"), Retired: []string{"s2"}},
			membersOf("", "s1", "s2", "s3", "s4"),
			code.BelowCopies,
		},
		{
			"another store being admitted",
			spec.Cluster{Stores: storeSet("s1", "s2", "s3"), NextStores: storeSet("s1", "s2", "s3", "s4")},
			membersOf("", "s1", "s2", "s3", "s4"),
			code.FewLive,
		},
		{
			"another store seen but not admitted yet",
			spec.Cluster{Stores: storeSet("s1", "s2", "s3")},
			membersOf("", "s1", "s2", "s3", "s4"),
			code.FewLive,
		},
		{
			"another store with a removed identity",
			spec.Cluster{Stores: storeSet("s1", "s2", "s3"), Used: []string{"is4"}},
			membersOf("", "s1", "s2", "s3", "s4"),
			code.BelowCopies,
		},
		{
			"an unknown store",
			spec.Cluster{Stores: storeSet("s5", "s2", "s3", "s4")},
			membersOf("", "s5", "s2", "s3", "s4"),
			code.NotSeen,
		},
		{
			"in no set, but seen",
			spec.Cluster{Stores: storeSet("s5", "s2", "s3")},
			membersOf("", "s1", "s5", "s2", "s3"),
			code.OK,
		},
		{
			"five stores for five copies",
			spec.Cluster{Copies: 5, Stores: storeSet("s1", "s2", "s3", "s4", "s5")},
			membersOf("", "s1", "s2", "s3", "s4", "s5"),
			code.BelowCopies,
		},
	} {
		err := retireStore(&tc.state, "s1", tc.known)
		if got := code.Of(err); got != tc.want || slices.Contains(tc.state.Retired, "s1") != (tc.want == code.OK) {
			t.Errorf("%s: %v, retired %v; want %s", tc.name, err, tc.state.Retired, tc.want.Name())
		}
	}
}

// TestRetiredBounded checks that the number of retired names is bounded and that a name still in a
// set is never dropped.
func TestRetiredBounded(t *testing.T) {
	state := spec.Cluster{Stores: storeSet("s0", "s1", "s2", "s3")}
	if err := retireStore(&state, "s0", membersOf("", "s0", "s1", "s2", "s3")); err != nil {
		t.Fatal(err)
	}
	for i := range 3 * maxRetired {
		id := fmt.Sprint("gone", i)
		if err := retireStore(&state, id, membersOf("", id)); err != nil {
			t.Fatal(id, err)
		}
		if !slices.Contains(state.Retired, "s0") || !slices.Contains(state.Retired, id) {
			t.Fatalf("after %s: %v", id, state.Retired)
		}
	}
	if len(state.Retired) != maxRetired {
		t.Errorf("%d retired names are kept", len(state.Retired))
	}
}

// TestContactTracker checks that contact counts as established only one second after the process
// was last out of contact or paused, whether or not its monotonic clock was paused with it.
func TestContactTracker(t *testing.T) {
	synctest.Test(t, testContactTracker)
}

func testContactTracker(t *testing.T) {
	start := time.Now()
	// On a suspended machine only the wall clock advances.
	var suspended time.Duration
	at := func(ms int) clock.Moment {
		time.Sleep(time.Until(start.Add(time.Duration(ms) * time.Millisecond)))
		return clock.Now(func() time.Time { return time.Now().Add(suspended) })
	}
	expectEstablished := func(tc *contactTracker, ms int, valid, want bool) {
		t.Helper()
		if got := tc.established(at(ms), valid); got != want {
			t.Errorf("at %d ms, lease %t: established %t", ms, valid, got)
		}
	}
	tracker := &contactTracker{}
	for ms := 500; ms <= 2000; ms += 500 {
		tracker.check(at(ms), true)
	}
	expectEstablished(tracker, 2400, true, true)
	expectEstablished(tracker, 2400, false, false)
	// The process was paused: detected before the next check, and after it.
	expectEstablished(tracker, 22000, true, false)
	tracker.check(at(22000), true)
	expectEstablished(tracker, 22001, true, false)
	for ms := 22500; ms <= 24000; ms += 500 {
		tracker.check(at(ms), true)
		expectEstablished(tracker, ms+1, true, ms+1 > 23000)
	}
	// The process was out of contact.
	tracker.check(at(24500), false)
	tracker.check(at(25000), true)
	expectEstablished(tracker, 25400, true, false)
	tracker.check(at(25500), true)
	expectEstablished(tracker, 25501, true, true)
	// The machine was suspended: detected before the next check, and after it.
	suspended = time.Minute
	expectEstablished(tracker, 25600, true, false)
	tracker.check(at(26000), true)
	for ms := 26500; ms <= 28000; ms += 500 {
		tracker.check(at(ms), true)
		expectEstablished(tracker, ms+1, true, ms+1 > 27000)
	}
	// The wall clock was set back.
	suspended = -time.Hour
	expectEstablished(tracker, 28100, true, true)
}

// TestAdmitRefusals checks the error codes for machines that are away or unknown at the moment and
// for machines that cannot be admitted.
func TestAdmitRefusals(t *testing.T) {
	known := func(away string) []*wire.Member {
		var out []*wire.Member
		for _, m := range membersOf(away, "s1", "s4", "s5") {
			out = append(out, m)
		}
		return out
	}
	for _, tc := range []struct {
		id, away string
		want     code.Code
	}{
		{"s4", "", code.OK},
		{"s4", "s4", code.NotSeen},
		{"s6", "", code.NoMember},
		{"s1", "", code.InSet},
		{"s5", "", code.UsedIdentity},
	} {
		state := spec.Cluster{Stores: storeSet("s1", "s2", "s3"), Used: []string{"is5"}}
		if err := (&Core{}).admit(&state, membership.Stores, setRequest{ID: tc.id}, known(tc.away)); code.Of(
			err,
		) != tc.want {
			t.Errorf("%s with %q away: %v, want %s", tc.id, tc.away, err, tc.want.Name())
		}
	}
}
