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

// connStats counts the calls on network connections, for both ends together.
type connStats struct {
	reads, writes, writtenBytes atomic.Int64
	startCPU                    time.Duration
}

// countingConn counts the calls on a connection.
type countingConn struct {
	net.Conn
	c *connStats
}

func (c countingConn) Read(b []byte) (int, error) {
	c.c.reads.Add(1)
	return c.Conn.Read(b)
}

func (c countingConn) Write(b []byte) (int, error) {
	c.c.writes.Add(1)
	c.c.writtenBytes.Add(int64(len(b)))
	return c.Conn.Write(b)
}

// countingListener returns connections that count their calls.
type countingListener struct {
	net.Listener
	c *connStats
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{c, l.c}, nil
}

// startStores starts three stores on loopback, and returns them as a replica set with a client.
func startStores(b *testing.B, fs func(i int) (vfs.FS, string)) (register.Set, wire.Caller, *connStats) {
	b.Helper()
	stats := &connStats{}
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
			countingListener{ln, stats},
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
		return countingConn{c, stats}, nil
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
	}, stats
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

// cpu returns the processor time used by this process.
func cpu() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// reportCosts reports the processor time and network calls per operation.
func reportCosts(b *testing.B, stats *connStats) {
	n := float64(b.N)
	b.ReportMetric(float64(cpu()-stats.startCPU)/n, "cpu-ns/op")
	b.ReportMetric(float64(stats.reads.Load())/n, "reads/op")
	b.ReportMetric(float64(stats.writes.Load())/n, "writes/op")
	b.ReportMetric(float64(stats.writtenBytes.Load())/n, "netB/op")
}

// BenchmarkChange measures sequential changes of one key by one proposer.
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
			set, call, stats := startStores(b, on.fs(b))
			p := register.NewProposer(1, call)
			value := make([]byte, 300)
			b.ReportAllocs()
			stats.startCPU = cpu()
			for b.Loop() {
				if _, err := p.Change(b.Context(), set, "k", func(register.State) ([]byte, bool, error) { return value, false, nil }); err != nil {
					b.Fatal(err)
				}
			}
			reportCosts(b, stats)
			b.ReportMetric(float64(p.Rounds.Load())/float64(b.N), "rounds/op")
		})
	}
}

// BenchmarkChanges measures concurrent changes of many keys. Each key is changed twice in a
// row, as at the start and the end of a job.
func BenchmarkChanges(b *testing.B) {
	set, call, stats := startStores(b, mem)
	p := register.NewProposer(1, call)
	value := make([]byte, 300)
	var n atomic.Int64
	b.SetParallelism(8)
	b.ReportAllocs()
	stats.startCPU = cpu()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			key := fmt.Sprintf("k%d", n.Add(1))
			for range 2 {
				if _, err := p.Change(b.Context(), set, key, func(register.State) ([]byte, bool, error) { return value, false, nil }); err != nil {
					b.Error(err)
				}
			}
		}
	})
	reportCosts(b, stats)
	b.ReportMetric(float64(p.Rounds.Load())/float64(b.N), "rounds/op")
}

// BenchmarkBlob stores a 4 KiB value at three stores and reads it from one.
func BenchmarkBlob(b *testing.B) {
	set, call, stats := startStores(b, mem)
	value := make([]byte, 4<<10)
	i := 0
	b.ReportAllocs()
	stats.startCPU = cpu()
	for b.Loop() {
		i++
		key := fmt.Sprintf("k%d", i)
		for _, r := range set.All() {
			if _, err := call(b.Context(), r.Addr, &wire.Req{Op: &wire.Req_Put{Put: &wire.Put{Key: key, Val: value, KeepMs: 1000}}}); err != nil {
				b.Fatal(err)
			}
		}
		if _, err := call(b.Context(), set[0][0].Addr, &wire.Req{Op: &wire.Req_Get{Get: &wire.Get{Key: key}}}); err != nil {
			b.Fatal(err)
		}
	}
	reportCosts(b, stats)
}

// fillEngine stores blobs, 4500 of which take 20 MB, and a register with each.
func fillEngine(b *testing.B, engine *storage.Engine, rng *rand.Rand, blobs int) {
	b.Helper()
	value := make([]byte, 4<<10)
	for i := range blobs {
		for j := range value {
			value[j] = byte(rng.Uint32())
		}
		// Random keys, since stored keys are hashes.
		if err := engine.PutBlob(fmt.Sprintf("%08x", rng.Uint32()), value, time.Hour); err != nil {
			b.Fatal(err)
		}
		if err := engine.Save(fmt.Sprintf("purse/%d", i%500), &wire.Rec{Cell: &wire.Cell{Ver: uint64(i), Val: value[:300]}}); err != nil {
			b.Fatal(err)
		}
	}
}

// usedBytes returns the disk space that a folder uses.
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

// BenchmarkOpen opens a folder of at least 20 MB after a crash. Each iteration crashes at a
// later point, since the recovery work depends on when the crash occurs.
func BenchmarkOpen(b *testing.B) {
	for _, disk := range []bool{false, true} {
		b.Run(map[bool]string{false: "mem", true: "disk"}[disk], func(b *testing.B) {
			m := vfs.NewCrashableMem()
			p := storage.Params{Dir: "/data", ID: "s1", Role: "store", FS: m}
			engine, err := storage.Open(p)
			if err != nil {
				b.Fatal(err)
			}
			rng := rand.New(rand.NewPCG(1, 1))
			fillEngine(b, engine, rng, 4500)
			var maxDiskBytes int64
			var totalCPU time.Duration
			for b.Loop() {
				b.StopTimer()
				fillEngine(b, engine, rng, 100)
				p.FS = m.CrashClone(vfs.CrashCloneCfg{})
				if disk {
					dir := b.TempDir()
					if _, err := vfs.Clone(p.FS, vfs.Default, "/data", dir, vfs.CloneSync); err != nil {
						b.Fatal(err)
					}
					maxDiskBytes = max(maxDiskBytes, usedBytes(b, dir))
					p.FS, p.Dir = nil, dir
				}
				startCPU := cpu()
				b.StartTimer()
				opened, err := storage.Open(p)
				if err != nil {
					b.Fatal(err)
				}
				b.StopTimer()
				totalCPU += cpu() - startCPU
				if err := opened.Close(); err != nil {
					b.Fatal(err)
				}
				p.Dir = "/data"
				b.StartTimer()
			}
			b.ReportMetric(float64(totalCPU)/float64(b.N), "cpu-ns/op")
			if disk {
				b.ReportMetric(float64(maxDiskBytes)/1e6, "MB-on-disk")
			}
			if err := engine.Close(); err != nil {
				b.Fatal(err)
			}
		})
	}
}
