package spec_test

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"damsontiller/internal/proto/spec"
	"damsontiller/internal/transport/code"
)

// good is a table with one of everything.
func good() spec.Table {
	return spec.Table{Revision: 7,
		Services: []spec.Service{
			{
				Name:       "llm",
				WarmupMs:   3000,
				WarmupRate: 22,
				MaxConns:   360,
				Engine:     &spec.Engine{Batch: 64, CacheTokens: 1000, TokensPerEvent: 4},
			},
			{Name: "api"},
		},
		Paths: []spec.Path{
			{
				Name:            "turn",
				Authority:       "a.test",
				Prefix:          "/t/",
				Kind:            spec.Stream,
				GuardMs:         4000,
				LatencyTargetMs: 200,
				Kept:            true,
				KeepMs:          60000,
				To:              []spec.Share{{Service: "llm", Weight: 90}, {Service: "api", Weight: 10}},
			},
			{
				Name:      "get",
				Authority: "a.test",
				Prefix:    "/",
				Kind:      spec.Repeatable,
				GuardMs:   1,
				To:        []spec.Share{{Service: "api", Weight: 1}},
			},
			{
				Name:      "put",
				Authority: "b.test",
				Prefix:    "/t/",
				Kind:      spec.Once,
				GuardMs:   1,
				To:        []spec.Share{{Service: "api", Weight: 1}, {Service: "llm"}},
			},
		}}
}

// TestTableBad: each fault of a table is refused, and the message names the place.
func TestTableBad(t *testing.T) {
	ok := good()
	if err := ok.Check(); err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct {
		what  string
		spoil func(*spec.Table)
		names string
	}{
		{"service without a name", func(t *spec.Table) { t.Services[1].Name = "" }, "services[1].name"},
		{"service twice", func(t *spec.Table) { t.Services[1].Name = "llm" }, "services[1].name"},
		{"cold time below 0", func(t *spec.Table) { t.Services[0].WarmupMs = -1 }, "services[0]"},
		{"cold rate below 0", func(t *spec.Table) { t.Services[0].WarmupRate = -1 }, "services[0]"},
		{"connections below 0", func(t *spec.Table) { t.Services[0].MaxConns = -1 }, "services[0]"},
		{"engine without a batch", func(t *spec.Table) { t.Services[0].Engine.Batch = 0 }, "services[0].engine"},
		{"engine without memory", func(t *spec.Table) { t.Services[0].Engine.CacheTokens = 0 }, "services[0].engine"},
		{"engine without tokens", func(t *spec.Table) { t.Services[0].Engine.TokensPerEvent = 0 }, "services[0].engine"},
		{"path without a name", func(t *spec.Table) { t.Paths[0].Name = "" }, "paths[0].name"},
		{"path twice", func(t *spec.Table) { t.Paths[1].Name = "turn" }, "paths[1].name"},
		{"no authority", func(t *spec.Table) { t.Paths[0].Authority = "" }, "authority"},
		{"authority with a path", func(t *spec.Table) { t.Paths[0].Authority = "a/b" }, "authority"},
		{"no prefix", func(t *spec.Table) { t.Paths[0].Prefix = "" }, "prefix"},
		{"prefix without a first slash", func(t *spec.Table) { t.Paths[0].Prefix = "t/" }, "prefix"},
		{"prefix without a last slash", func(t *spec.Table) { t.Paths[0].Prefix = "/t" }, "prefix"},
		{"same place", func(t *spec.Table) { t.Paths[2].Authority = "A.Test" }, "prefix"},
		{"no kind", func(t *spec.Table) { t.Paths[0].Kind = "" }, "kind"},
		{"guard 0", func(t *spec.Table) { t.Paths[0].GuardMs = 0 }, "guard_ms"},
		{"guard below 0", func(t *spec.Table) { t.Paths[0].GuardMs = -5 }, "guard_ms"},
		{"aim below 0", func(t *spec.Table) { t.Paths[0].LatencyTargetMs = -1 }, "path turn"},
		{"pause below 0", func(t *spec.Table) { t.Paths[0].PauseMs = -1 }, "path turn"},
		{"keep below 0", func(t *spec.Table) { t.Paths[0].KeepMs = -1 }, "path turn"},
		{"tries below 0", func(t *spec.Table) { t.Paths[0].Tries = -1 }, "path turn"},
		{"rank below 0", func(t *spec.Table) { t.Paths[0].Rank = -1 }, "path turn"},
		{"kept for no time", func(t *spec.Table) { t.Paths[0].KeepMs = 0 }, "kept"},
		{"kept, and no stream", func(t *spec.Table) { t.Paths[0].Kind = spec.Once }, "kept"},
		{"unknown service", func(t *spec.Table) { t.Paths[0].To[1].Service = "who" }, "who"},
		{"weight below 0", func(t *spec.Table) { t.Paths[0].To[1].Weight = -1 }, "to"},
		{"weights of 0", func(t *spec.Table) { t.Paths[1].To[0].Weight = 0 }, "to"},
		{"no share", func(t *spec.Table) { t.Paths[1].To = nil }, "to"},
		{
			"weights beyond counting",
			func(t *spec.Table) { t.Paths[0].To[0].Weight, t.Paths[0].To[1].Weight = math.MaxInt64, math.MaxInt64 },
			"to",
		},
		{"headers below 0", func(t *spec.Table) { t.Limits.HeaderBytes = -1 }, "limits"},
		{"body below 0", func(t *spec.Table) { t.Limits.BodyBytes = -1 }, "limits"},
		{"header time below 0", func(t *spec.Table) { t.Limits.HeaderMs = -1 }, "limits"},
		{"idle time below 0", func(t *spec.Table) { t.Limits.IdleMs = -1 }, "limits"},
	} {
		x := good()
		tc.spoil(&x)
		err := x.Check()
		if code.Of(err) != code.BadSpec || !strings.Contains(code.Text(err), tc.names) {
			t.Errorf("%s: %v, want one that names %s", tc.what, err, tc.names)
		}
		r := spec.Cluster{Table: spec.Table{Revision: 6}}
		if _, err := r.Replace(6, 7, spec.OrderDigest{1}, x); err == nil || r.Table.Revision != 6 ||
			len(r.TakenLog) > 0 {
			t.Errorf("%s: taken, %v", tc.what, err)
		}
	}
}

// TestReplace: one change on each revision, a change sent again is good again, and
// nothing else is.
func TestReplace(t *testing.T) {
	var r spec.Cluster
	step := func(base, rev uint64, digest byte, same bool, want code.Code) {
		t.Helper()
		before := r.Table.Revision
		got, err := r.Replace(base, rev, spec.OrderDigest{digest}, good())
		if got != same || code.Of(err) != want {
			t.Errorf("%d on %d (%c): same %v, %v", rev, base, digest, got, err)
		}
		if moved := r.Table.Revision != before; moved != (want == code.OK && !same) {
			t.Errorf("%d on %d (%c): revision %d after %d", rev, base, digest, r.Table.Revision, before)
		}
	}
	step(0, 3, 'a', false, code.OK)
	step(0, 3, 'a', true, code.OK)
	step(0, 3, 'b', false, code.SpecConflict)
	step(0, 4, 'c', false, code.SpecConflict)
	step(3, 3, 'c', false, code.BadSpec)
	step(3, 2, 'c', false, code.BadSpec)
	step(3, 9, 'c', false, code.OK)
	step(3, 9, 'd', false, code.SpecConflict)
	step(0, 3, 'a', true, code.OK)
	for i := range uint64(3 * spec.MaxTaken) {
		step(9+i, 10+i, 'e', false, code.OK)
	}
	last := uint64(9 + 3*spec.MaxTaken)
	oldest := last - spec.MaxTaken + 1
	step(last-1, last, 'e', true, code.OK)
	// All that are remembered are known again; of those before it can't be said.
	for rev := oldest; rev <= last; rev++ {
		step(rev-1, rev, 'e', true, code.OK)
		step(rev-1, rev, 'f', false, code.SpecConflict)
	}
	for rev := uint64(3); rev < oldest; rev++ {
		step(rev-1, rev, 'e', false, code.Forgotten)
	}
	step(0, 3, 'a', false, code.Forgotten)
	// What no state could take is refused, however old it is.
	step(last, 3, 'a', false, code.BadSpec)
	step(3, 3, 'a', false, code.SpecConflict)
	step(3, last+1, 'a', false, code.SpecConflict)
}

// TestWith: items are put in, replaced and taken out by name; the table it came
// from stays as it was.
func TestWith(t *testing.T) {
	old := good()
	was, _ := json.Marshal(old)
	got := old.With(
		spec.Items{
			Paths:    []spec.Path{{Name: "get", Prefix: "/new/"}, {Name: "more"}},
			Services: []spec.Service{{Name: "third"}, {Name: "api", MaxConns: 5}},
		},
		spec.Names{Paths: []string{"turn", "nobody"}, Services: []string{"llm"}},
	)
	var names []string
	for _, p := range got.Paths {
		names = append(names, p.Name+p.Prefix)
	}
	for _, s := range got.Services {
		names = append(names, fmt.Sprint(s.Name, s.MaxConns))
	}
	if s := strings.Join(names, " "); s != "get/new/ put/t/ more api5 third0" {
		t.Error(s)
	}
	if now, _ := json.Marshal(old); string(now) != string(was) {
		t.Errorf("the old table changed:\n%s\n%s", was, now)
	}
	// Taken out and put in by one change: it is in.
	if got := old.With(spec.Items{Paths: []spec.Path{{Name: "turn"}}}, spec.Names{Paths: []string{"turn"}}); len(got.Paths) != 3 {
		t.Errorf("%d paths", len(got.Paths))
	}
}

// slow finds a path by looking at all.
func slow(t *spec.Table, authority, path string) *spec.Path {
	var best *spec.Path
	for i := range t.Paths {
		p := &t.Paths[i]
		if strings.EqualFold(p.Authority, authority) && strings.HasPrefix(path, p.Prefix) &&
			(best == nil || len(p.Prefix) > len(best.Prefix)) {
			best = p
		}
	}
	return best
}

// TestIndex: the longest prefix of the authority, as by looking at all paths.
func TestIndex(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		target := rapid.StringMatching(`/([ab]{0,2}/){0,3}`)
		var tab spec.Table
		seen := map[string]bool{}
		for i, p := range rapid.SliceOfN(target, 0, 20).Draw(rt, "prefixes") {
			h := rapid.SampledFrom([]string{"a.test", "B.Test"}).Draw(rt, "authority")
			if !seen[h+p] {
				seen[h+p] = true
				tab.Paths = append(tab.Paths, spec.Path{Name: fmt.Sprint(i), Authority: h, Prefix: p})
			}
		}
		x := spec.NewIndex(&tab)
		for range 10 {
			h := rapid.SampledFrom([]string{"a.test", "A.TEST", "b.test", "c.test", ""}).Draw(rt, "host")
			p := target.Draw(rt, "path") + rapid.SampledFrom([]string{"", "a", "a%2F", "é"}).Draw(rt, "rest")
			if got, want := x.Path(h, p), slow(&tab, h, p); got != want {
				rt.Fatalf("%s%s: %+v, want %+v", h, p, got, want)
			}
		}
	})
}

// many is a table of so many paths, on a few authorities.
func many(n int) spec.Table {
	t := spec.Table{Services: []spec.Service{{Name: "s"}}}
	for i := range n {
		t.Paths = append(
			t.Paths,
			spec.Path{Name: fmt.Sprint(i), Authority: fmt.Sprintf("h%d.test", i%5), Prefix: fmt.Sprintf("/p%d/", i)},
		)
	}
	return t
}

// BenchmarkIndex: what one check-up costs among ten paths and among thousands.
func BenchmarkIndex(b *testing.B) {
	for _, n := range []int{10, 1000, 10000} {
		t := many(n)
		x := spec.NewIndex(&t)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for i := range b.N {
				k := i % n
				if x.Path(t.Paths[k].Authority, t.Paths[k].Prefix+"some/thing") != &t.Paths[k] {
					b.Fatal(k)
				}
			}
		})
	}
}
