package scale

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

func good() Params {
	return Params{Nodes: 50, Edges: 2, Runners: 12, Routes: 2, Time: 4 * time.Second, Kind: Member, Portion: 50}
}

// TestCheck: what the machine can't hold is refused, naming the flag and what would
// fit, before anything starts.
func TestCheck(t *testing.T) {
	big := Machine{Memory: 24 << 30, Files: 20000}
	for _, tc := range []struct {
		what string
		p    func(*Params)
		m    Machine
		want string
	}{
		{"as it is", func(*Params) {}, big, ""},
		{"the letter's size", func(p *Params) { p.Nodes, p.Runners, p.Tenants = 450, 1300, 460 }, big, ""},
		{"no hollow node", func(p *Params) { p.Nodes = 8 }, big, "9 or more"},
		{"one edge", func(p *Params) { p.Edges = 1 }, big, "-edges"},
		{"fewer runners than routes", func(p *Params) { p.Routes = 13 }, big, "-runners"},
		{"negative", func(p *Params) { p.Failures = -1 }, big, "negative"},
		{"a spec too long", func(p *Params) { p.Tenants = 5000 }, big, "4080 entries"},
		{"no time", func(p *Params) { p.Time = time.Second }, big, "-time"},
		{"an unknown kind", func(p *Params) { p.Kind = "ghost" }, big, "-kind"},
		{"nobody to a process", func(p *Params) { p.Portion = 0 }, big, "-share"},
		{
			"descriptors of nodes",
			func(p *Params) { p.Portion = 50 },
			Machine{Memory: 24 << 30, Files: 1024},
			"10 would fit",
		},
		{
			"descriptors of runners",
			func(p *Params) { p.Runners, p.Portion = 1300, 10 },
			Machine{Memory: 24 << 30, Files: 1024},
			"256 would fit",
		},
		{"processes", func(p *Params) { p.Nodes, p.Portion = 1000, 2 }, big, "-share 10 would fit"},
		{"memory", func(p *Params) { p.Nodes = 450 }, Machine{Memory: 2 << 30, Files: 20000}, "would fit"},
		{
			"a petabyte",
			func(p *Params) { p.Nodes, p.Portion = 100000, 1000 },
			Machine{Memory: 24 << 30, Files: 1 << 20},
			"would fit",
		},
	} {
		p := good()
		tc.p(&p)
		err := p.Check(tc.m)
		switch {
		case tc.want == "" && err != nil:
			t.Errorf("%s: %v", tc.what, err)
		case tc.want != "" && (err == nil || !strings.Contains(err.Error(), tc.want)):
			t.Errorf("%s: %v, want %q", tc.what, err, tc.want)
		}
	}
}

// TestWouldFit: what a refusal says would fit does.
func TestWouldFit(t *testing.T) {
	p := good()
	p.Nodes = 3000
	m := Machine{Memory: 4 << 30, Files: 20000}
	if p.Check(m) == nil {
		t.Fatal("3000 nodes in 2 GiB are taken")
	}
	q := p
	for q.Nodes > 9 && q.Check(m) != nil {
		q.Nodes--
	}
	if err := p.Check(m); err == nil || !strings.Contains(err.Error(), fmt.Sprintf(" %d would fit", q.Nodes)) {
		t.Errorf("%d would fit: %v", q.Nodes, err)
	}
}

// TestSpec: the spec of the letter's size is a good one.
func TestSpec(t *testing.T) {
	p := good()
	p.Runners, p.Routes, p.Tenants = 1300, 34, 460
	f := filepath.Join(t.TempDir(), "spec.json")
	n, err := p.spec(f)
	if err != nil {
		t.Fatal(err)
	}
	if st, err := os.Stat(f); err != nil || int(st.Size()) != n || n < 100_000 {
		t.Errorf("%d bytes, %v, %v", n, st, err)
	}
}

// TestHollowBadInput: a hollow process ends on what it can't read, and answers an
// order that it does not know.
func TestHollowBadInput(t *testing.T) {
	for _, in := range []string{"", "nonsense\n", `{"kind":"member","nodes":[]}` + "\nnonsense\n"} {
		if err := Hollow(strings.NewReader(in), io.Discard); err == nil {
			t.Errorf("%q is taken", in)
		}
	}
	var out bytes.Buffer
	if err := Hollow(strings.NewReader(`{"kind":"member","nodes":[]}`+"\n"+`{"do":"dance"}`+"\n"+`{"do":"kill","id":"h1"}`+"\n"+`{"do":"stat"}`+"\n"), &out); err != nil {
		t.Fatal(err)
	}
	l := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(l) != 3 || !strings.Contains(l[0], "no order dance") || !strings.Contains(l[1], "no node h1") ||
		strings.Contains(l[2], "problem") {
		t.Errorf("%q", l)
	}
}

// TestUsage: this process has used something.
func TestUsage(t *testing.T) {
	u, err := usage(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	if u.rss < 1<<20 || u.peak < u.rss || u.anon > u.rss || u.fds < 3 || u.io == 0 {
		t.Errorf("%+v", u)
	}
	if _, err := usage(1 << 30); err == nil {
		t.Error("a process that is not there has used something")
	}
	if m, err := Here(); err != nil || m.Memory < 1<<28 || m.Files < 64 {
		t.Errorf("%+v, %v", m, err)
	}
}
