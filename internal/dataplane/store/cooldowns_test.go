package store

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"

	"damsontiller/internal/proto/keys"
	"damsontiller/internal/proto/register"
	"damsontiller/internal/proto/wire"
	"damsontiller/internal/state/storage"
)

// TestCooldowns checks that a store counts a wait from the moment it accepted the value.
// Promises, write-backs under a higher ballot and writes of other keys don't change the
// remaining time; a later value does. After a crash no wait is shorter than before, and
// waits that expired long ago don't return.
func TestCooldowns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fs := vfs.NewCrashableMem()
		open := func() (*storage.Engine, *register.Acceptor, *cooldowns) {
			v, err := storage.Open(storage.Params{Dir: "/data", ID: "s1", Role: "store", FS: fs})
			if err != nil {
				t.Fatal(err)
			}
			c, err := newCooldowns(v)
			if err != nil {
				t.Fatal(err)
			}
			return v, register.NewAcceptor(c), c
		}
		v, a, c := open()
		n := uint64(0)
		acc := func(key string, ver, op uint64, ms int64) {
			t.Helper()
			n++
			b, _ := json.Marshal(map[string]int64{"step": 1, "wait_ms": ms})
			if _, err := a.Accept(&wire.Acc{Key: key, Ballot: &wire.Ballot{N: n, Node: 1}, Next: &wire.Ballot{N: n + 1, Node: 1}, Cell: &wire.Cell{Ver: ver, Val: b, Ops: []uint64{op}, Timed: true}}); err != nil {
				t.Fatal(err)
			}
			n++
		}
		prep := func(key string) {
			t.Helper()
			n++
			if _, err := a.Prepare(&wire.Prep{Key: key, Ballot: &wire.Ballot{N: n, Node: 1}}); err != nil {
				t.Fatal(err)
			}
		}
		// want checks the remaining cooldowns, in milliseconds.
		want := func(what string, want map[string]int64) {
			t.Helper()
			got := map[string]int64{}
			for _, x := range c.remaining() {
				got[x.Key] = x.LeftMs
			}
			if len(got) != len(want) {
				t.Errorf("%s: %v, want %v", what, got, want)
			}
			for k, w := range want {
				if d := got[k] - w; d < 0 || d > 1 {
					t.Errorf("%s: %v, want %v", what, got, want)
				}
			}
		}
		k := keys.Cooldown("runner/a")
		want("empty", nil)
		acc(k, 1, 7, 10000)
		acc("purse/x", 1, 8, 10000)
		time.Sleep(4 * time.Second)
		want("after 4 s", map[string]int64{k: 6000})
		prep(k)
		acc(k, 1, 7, 10000)
		want("promised and written back", map[string]int64{k: 6000})
		time.Sleep(7 * time.Second)
		want("over", nil)
		prep(k)
		acc(k, 1, 7, 10000)
		want("over, promised and written back", nil)
		acc(k, 2, 9, 60000)
		acc(keys.Cooldown("runner/b"), 1, 1, 3000)
		want("the next", map[string]int64{k: 60000, keys.Cooldown("runner/b"): 3000})
		time.Sleep(20 * time.Second)
		if err := v.SaveUptime(); err != nil {
			t.Fatal(err)
		}
		time.Sleep(3 * time.Second)
		want("after 23 s", map[string]int64{k: 37000})
		// The three seconds since the last tick of the uptime clock are lost in the crash.
		fs = fs.CrashClone(vfs.CrashCloneCfg{})
		v.Close()
		time.Sleep(time.Minute)
		v, a, c = open()
		want("after a crash and a minute", map[string]int64{k: 40000})
		c.reset()
		want("after a reset", nil)
		v.Close()
	})
}
