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

// storeSet is a set of stores of these names.
func storeSet(ids ...string) []spec.Machine {
	var set []spec.Machine
	for _, id := range ids {
		set = append(set, spec.Machine{ID: id, Addr: id, Zone: "a", Ident: "i" + id})
	}
	return set
}

// membersOf are live members of these names, but for those that are away.
func membersOf(away string, ids ...string) map[string]*wire.Member {
	members := map[string]*wire.Member{}
	for _, id := range ids {
		members[id] = &wire.Member{Id: id, Addr: id, Role: "store", Ident: "i" + id, Live: id != away}
	}
	return members
}

// TestRetireStore: refused for good is what the sets can't bear; who is away at the
// moment only puts it off.
func TestRetireStore(t *testing.T) {
	for _, tc := range []struct {
		name  string
		state spec.Cluster
		known map[string]*wire.Member
		want  code.Code
	}{
		{
			"as many as the copies",
			spec.Cluster{Stores: storeSet("s1", "s2", "s3")},
			membersOf("", "s1", "s2", "s3"),
			code.BelowCopies,
		},
		{
			"one more",
			spec.Cluster{Stores: storeSet("s1", "s2", "s3", "s4")},
			membersOf("", "s1", "s2", "s3", "s4"),
			code.OK,
		},
		{
			"one more, and another away",
			spec.Cluster{Stores: storeSet("s1", "s2", "s3", "s4")},
			membersOf("s3", "s1", "s2", "s3", "s4"),
			code.FewLive,
		},
		{
			"one more, and another never heard",
			spec.Cluster{Stores: storeSet("s1", "s2", "s3", "s4")},
			membersOf("", "s1", "s2", "s4"),
			code.FewLive,
		},
		{
			"one more, and it is away itself",
			spec.Cluster{Stores: storeSet("s1", "s2", "s3", "s4")},
			membersOf("s1", "s1", "s2", "s3", "s4"),
			code.OK,
		},
		{
			"another retired before",
			spec.Cluster{Stores: storeSet("s1", "s2", "s3", "s4"), Retired: []string{"s2"}},
			membersOf("", "s1", "s2", "s3", "s4"),
			code.BelowCopies,
		},
		{
			"another being taken in",
			spec.Cluster{Stores: storeSet("s1", "s2", "s3"), NextStores: storeSet("s1", "s2", "s3", "s4")},
			membersOf("", "s1", "s2", "s3", "s4"),
			code.FewLive,
		},
		{
			"another heard of, and not taken in yet",
			spec.Cluster{Stores: storeSet("s1", "s2", "s3")},
			membersOf("", "s1", "s2", "s3", "s4"),
			code.FewLive,
		},
		{
			"another whose identity was let go",
			spec.Cluster{Stores: storeSet("s1", "s2", "s3"), Used: []string{"is4"}},
			membersOf("", "s1", "s2", "s3", "s4"),
			code.BelowCopies,
		},
		{
			"a stranger",
			spec.Cluster{Stores: storeSet("s5", "s2", "s3", "s4")},
			membersOf("", "s5", "s2", "s3", "s4"),
			code.NotSeen,
		},
		{
			"in no set, and heard of",
			spec.Cluster{Stores: storeSet("s5", "s2", "s3")},
			membersOf("", "s1", "s5", "s2", "s3"),
			code.OK,
		},
		{
			"five copies",
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

// TestRetiredBounded: the names that are remembered have a bound, and one that is
// still in a set is never forgotten.
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
		t.Errorf("%d names are remembered", len(state.Retired))
	}
}

// TestTouch: a process is steady only a second after it was last out of contact or
// stood still, whether its monotonic clock stood still with it or not.
func TestTouch(t *testing.T) {
	synctest.Test(t, testTouch)
}

func testTouch(t *testing.T) {
	start := time.Now()
	// Of a suspended machine the time of day alone goes on.
	var suspended time.Duration
	at := func(ms int) clock.Moment {
		time.Sleep(time.Until(start.Add(time.Duration(ms) * time.Millisecond)))
		return clock.Now(func() time.Time { return time.Now().Add(suspended) })
	}
	expectEstablished := func(tc *contactTracker, ms int, valid, want bool) {
		t.Helper()
		if got := tc.established(at(ms), valid); got != want {
			t.Errorf("at %d ms, lease %t: steady %t", ms, valid, got)
		}
	}
	tracker := &contactTracker{}
	for ms := 500; ms <= 2000; ms += 500 {
		tracker.check(at(ms), true)
	}
	expectEstablished(tracker, 2400, true, true)
	expectEstablished(tracker, 2400, false, false)
	// It stood still: seen before the next check, and after it.
	expectEstablished(tracker, 22000, true, false)
	tracker.check(at(22000), true)
	expectEstablished(tracker, 22001, true, false)
	for ms := 22500; ms <= 24000; ms += 500 {
		tracker.check(at(ms), true)
		expectEstablished(tracker, ms+1, true, ms+1 > 23000)
	}
	// It was out of contact.
	tracker.check(at(24500), false)
	tracker.check(at(25000), true)
	expectEstablished(tracker, 25400, true, false)
	tracker.check(at(25500), true)
	expectEstablished(tracker, 25501, true, true)
	// It was suspended: seen before the next check, and after it.
	suspended = time.Minute
	expectEstablished(tracker, 25600, true, false)
	tracker.check(at(26000), true)
	for ms := 26500; ms <= 28000; ms += 500 {
		tracker.check(at(ms), true)
		expectEstablished(tracker, ms+1, true, ms+1 > 27000)
	}
	// Its time of day was set back.
	suspended = -time.Hour
	expectEstablished(tracker, 28100, true, true)
}

// TestAdmitRefusals: who is away or unknown at the moment, and who can't be admitted.
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
