package storage_test

import (
	"context"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"net"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"

	"damsontiller/internal/proto/register"
	"damsontiller/internal/proto/wire"
	"damsontiller/internal/state/storage"
	"damsontiller/internal/transport"
	"damsontiller/internal/transport/listen"
)

// counts are the calls to the network's connections, both ends together.
type counts struct {
	reads, writes, wrote atomic.Int64
	at                   time.Duration // processor time at the start
}

type counted struct {
	net.Conn
	c *counts
}

func (c counted) Read(b []byte) (int, error) {
	c.c.reads.Add(1)
	return c.Conn.Read(b)
}

func (c counted) Write(b []byte) (int, error) {
	c.c.writes.Add(1)
	c.c.wrote.Add(int64(len(b)))
	return c.Conn.Write(b)
}

type countedListener struct {
	net.Listener
	c *counts
}

func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return counted{c, l.c}, nil
}

// stores starts three stores on loopback and a caller of them.
func stores(b *testing.B, fs func(i int) (vfs.FS, string)) (register.Set, wire.Caller, *counts) {
	b.Helper()
	cs := &counts{}
	tcp := transport.TCP(transport.DefaultParams, listen.Opener{})
	var g []register.Replica
	for i := range 3 {
		f, dir := fs(i)
		id := fmt.Sprintf("s%d", i)
		engine, err := storage.Open(storage.Params{Dir: dir, ID: id, Role: "store", FS: f})
		if err != nil {
			b.Fatal(err)
		}
		a := register.NewAcceptor(engine)
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		s := transport.Serve(
			b.Context(),
			countedListener{ln, cs},
			transport.DefaultParams,
			func(_ context.Context, call *transport.Call) []byte {
				body := call.Body
				q := &wire.Req{}
				if err := wire.Decode(body, q); err != nil {
					return wire.MustEncode(wire.ErrorResponse(err))
				}
				r, err := answer(a, engine, q)
				if err != nil {
					f := wire.ErrorResponse(err)
					f.Op = r.GetOp()
					r = f
				}
				return wire.MustEncode(r)
			},
			func(error) {},
		)
		b.Cleanup(func() {
			s.Close()
			if err := engine.Close(); err != nil {
				b.Error(err)
			}
		})
		g = append(g, register.Replica{Addr: ln.Addr().String(), Ident: engine.Ident()})
	}
	h := transport.NewClient(transport.Net{Dial: func(ctx context.Context, addr string) (net.Conn, error) {
		c, err := tcp.Dial(ctx, addr)
		if err != nil {
			return nil, err
		}
		return counted{c, cs}, nil
	}}, transport.DefaultParams, nil)
	b.Cleanup(h.Close)
	return register.Set{g}, func(ctx context.Context, addr string, q *wire.Req) (*wire.Resp, error) {
		body, err := h.Call(ctx, addr, wire.MustEncode(q))
		if err != nil {
			return nil, err
		}
		r := &wire.Resp{}
		if err := wire.Decode(body, r); err != nil {
			return nil, err
		}
		return r, r.Err()
	}, cs
}

func answer(a *register.Acceptor, engine *storage.Engine, q *wire.Req) (*wire.Resp, error) {
	switch {
	case q.GetPut() != nil:
		p := q.GetPut()
		return wire.OKResponse(), engine.PutBlob(p.Key, p.Val, time.Duration(p.KeepMs)*time.Millisecond)
	case q.GetGet() != nil:
		g, err := engine.GetBlob(q.GetGet().Key)
		return &wire.Resp{Op: &wire.Resp_Got{Got: g}}, err
	}
	view, err := a.Answer(q)
	return &wire.Resp{Op: &wire.Resp_View{View: view}}, err
}

func mem(int) (vfs.FS, string) { return vfs.NewMem(), "/data" }

// cpu is the processor time that this process has used.
func cpu() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// tell adds what one operation cost in processor time and on the network.
func tell(b *testing.B, cs *counts) {
	n := float64(b.N)
	b.ReportMetric(float64(cpu()-cs.at)/n, "cpu-ns/op")
	b.ReportMetric(float64(cs.reads.Load())/n, "reads/op")
	b.ReportMetric(float64(cs.writes.Load())/n, "writes/op")
	b.ReportMetric(float64(cs.wrote.Load())/n, "netB/op")
}

// BenchmarkChange is one proposer's changes of a key, one after another.
func BenchmarkChange(b *testing.B) {
	for _, on := range []struct {
		name string
		fs   func(b *testing.B) func(int) (vfs.FS, string)
	}{
		{"mem", func(*testing.B) func(int) (vfs.FS, string) { return mem }},
		{"disk", func(b *testing.B) func(int) (vfs.FS, string) {
			return func(int) (vfs.FS, string) { return nil, b.TempDir() }
		}},
	} {
		b.Run(on.name, func(b *testing.B) {
			set, call, cs := stores(b, on.fs(b))
			p := register.NewProposer(1, call)
			val := make([]byte, 300)
			b.ReportAllocs()
			cs.at = cpu()
			for b.Loop() {
				if _, err := p.Change(b.Context(), set, "k", func(register.State) ([]byte, bool, error) { return val, false, nil }); err != nil {
					b.Fatal(err)
				}
			}
			tell(b, cs)
			b.ReportMetric(float64(p.Rounds.Load())/float64(b.N), "rounds/op")
		})
	}
}

// BenchmarkChanges is many keys at once, each changed twice in a row, as a job's
// start and its end do.
func BenchmarkChanges(b *testing.B) {
	set, call, cs := stores(b, mem)
	p := register.NewProposer(1, call)
	val := make([]byte, 300)
	var n atomic.Int64
	b.SetParallelism(8)
	b.ReportAllocs()
	cs.at = cpu()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			key := fmt.Sprintf("k%d", n.Add(1))
			for range 2 {
				if _, err := p.Change(b.Context(), set, key, func(register.State) ([]byte, bool, error) { return val, false, nil }); err != nil {
					b.Error(err)
				}
			}
		}
	})
	tell(b, cs)
	b.ReportMetric(float64(p.Rounds.Load())/float64(b.N), "rounds/op")
}

// BenchmarkBlob puts a value of 4 KiB at three stores and gets it from one.
func BenchmarkBlob(b *testing.B) {
	set, call, cs := stores(b, mem)
	val := make([]byte, 4<<10)
	i := 0
	b.ReportAllocs()
	cs.at = cpu()
	for b.Loop() {
		i++
		key := fmt.Sprintf("k%d", i)
		for _, r := range set.All() {
			if _, err := call(b.Context(), r.Addr, &wire.Req{Op: &wire.Req_Put{Put: &wire.Put{Key: key, Val: val, KeepMs: 1000}}}); err != nil {
				b.Fatal(err)
			}
		}
		if _, err := call(b.Context(), set[0][0].Addr, &wire.Req{Op: &wire.Req_Get{Get: &wire.Get{Key: key}}}); err != nil {
			b.Fatal(err)
		}
	}
	tell(b, cs)
}

// fill keeps turns, 4500 of which are 20 MB, and a register with each.
func fill(b *testing.B, engine *storage.Engine, rnd *rand.Rand, turns int) {
	b.Helper()
	val := make([]byte, 4<<10)
	for i := range turns {
		for j := range val {
			val[j] = byte(rnd.Uint32())
		}
		// A turn here and there in the order of keys, as hashed names are.
		if err := engine.PutBlob(fmt.Sprintf("%08x", rnd.Uint32()), val, time.Hour); err != nil {
			b.Fatal(err)
		}
		if err := engine.Save(fmt.Sprintf("purse/%d", i%500), &wire.Rec{Cell: &wire.Cell{Ver: uint64(i), Val: val[:300]}}); err != nil {
			b.Fatal(err)
		}
	}
}

// usedBytes is what a folder has on disk.
func usedBytes(b *testing.B, dir string) (n int64) {
	err := filepath.WalkDir(dir, func(_ string, e fs.DirEntry, err error) error {
		if err != nil || e.IsDir() {
			return err
		}
		i, err := e.Info()
		if err == nil {
			n += i.Sys().(*syscall.Stat_t).Blocks * 512
		}
		return err
	})
	if err != nil {
		b.Fatal(err)
	}
	return n
}

// BenchmarkOpen opens a folder of 20 MB and more that a crash left behind, each time
// a little further on: what there is to be done depends on when it comes.
func BenchmarkOpen(b *testing.B) {
	for _, disk := range []bool{false, true} {
		b.Run(map[bool]string{false: "mem", true: "disk"}[disk], func(b *testing.B) {
			m := vfs.NewCrashableMem()
			p := storage.Params{Dir: "/data", ID: "s1", Role: "store", FS: m}
			engine, err := storage.Open(p)
			if err != nil {
				b.Fatal(err)
			}
			rnd := rand.New(rand.NewPCG(1, 1))
			fill(b, engine, rnd, 4500)
			var most int64
			var did time.Duration
			for b.Loop() {
				b.StopTimer()
				fill(b, engine, rnd, 100)
				p.FS = m.CrashClone(vfs.CrashCloneCfg{})
				if disk {
					dir := b.TempDir()
					if _, err := vfs.Clone(p.FS, vfs.Default, "/data", dir, vfs.CloneSync); err != nil {
						b.Fatal(err)
					}
					most = max(most, usedBytes(b, dir))
					p.FS, p.Dir = nil, dir
				}
				at := cpu()
				b.StartTimer()
				w, err := storage.Open(p)
				if err != nil {
					b.Fatal(err)
				}
				b.StopTimer()
				did += cpu() - at
				if err := w.Close(); err != nil {
					b.Fatal(err)
				}
				p.Dir = "/data"
				b.StartTimer()
			}
			b.ReportMetric(float64(did)/float64(b.N), "cpu-ns/op")
			if disk {
				b.ReportMetric(float64(most)/1e6, "MB-on-disk")
			}
			if err := engine.Close(); err != nil {
				b.Fatal(err)
			}
		})
	}
}
