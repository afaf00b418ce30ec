package store

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"damsontiller/internal/coordination/core"
	"damsontiller/internal/proto/register"
	"damsontiller/internal/proto/spec"
	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport/code"
)

// Copies are compared by digests over ranges and repaired from the newer. A range
// is a bucket of keys by hash, of those that both stores hold. Each store asks
// one other at a time, and only for what it lacks itself.

// Buckets is the number of ranges.
const Buckets = 256

// MaxRepairKeys bounds what one comparison brings, so that traffic goes first.
const MaxRepairKeys = 2000

func bucket(key string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(key))
	return h.Sum32() % Buckets
}

// machines are the stores of the set, and of the one it changes to.
func (s *Store) machines() []spec.Machine {
	v := s.Cluster.Now()
	return slices.Concat(v.Cluster.Stores, v.NextStores)
}

// shared tells for each key whether the store at addr holds it as well as we.
func (s *Store) shared(addr string) func(key string) bool {
	v := s.Cluster.Now()
	return func(key string) bool {
		me, other := false, false
		for _, r := range v.Stores(key).All() {
			me = me || r.Ident == s.Peer.Ident()
			other = other || r.Addr == addr
		}
		return me && other
	}
}

// sums digests all buckets of the keys shared with the store at addr.
func (s *Store) sums(kind wire.List_Kind, addr string) ([]uint64, error) {
	out := make([]uint64, Buckets)
	want := s.shared(addr)
	after := ""
	for {
		rows, err := s.v.Keys(kind, after, core.MaxKeysPerPage, want)
		if err != nil {
			return nil, err
		}
		for _, r := range rows {
			h := fnv.New64a()
			h.Write([]byte(r.Key))
			h.Write(wire.MustEncode(&wire.Ballot{N: r.Ballot.GetN(), Node: r.Ballot.GetNode()}))
			// Sums do not hang on the order, and do not cancel out as XOR would.
			out[bucket(r.Key)] += h.Sum64()
		}
		if len(rows) < core.MaxKeysPerPage {
			return out, nil
		}
		after = rows[len(rows)-1].Key
	}
}

func (s *Store) answerSums(_ context.Context, q *wire.Req) (*wire.Resp, error) {
	sums, err := s.sums(q.GetSum().GetKind(), q.From)
	if err != nil {
		return nil, err
	}
	return &wire.Resp{Op: &wire.Resp_Sums{Sums: &wire.Sums{Sums: sums}}}, nil
}

func (s *Store) answerList(_ context.Context, q *wire.Req) (*wire.Resp, error) {
	l := q.GetList()
	if len(l.Buckets) == 0 {
		return core.ListKeys(s.v, l, nil)
	}
	var in [Buckets]bool
	for _, b := range l.Buckets {
		if b < Buckets {
			in[b] = true
		}
	}
	shared := s.shared(q.From)
	return core.ListKeys(s.v, l, func(k string) bool { return in[bucket(k)] && shared(k) })
}

// repair compares with one other store and pulls what is newer there.
func (s *Store) repair(ctx context.Context) {
	var others []spec.Machine
	for _, m := range s.machines() {
		if m.Ident != "" && m.Ident != s.Peer.Ident() {
			others = append(others, m)
		}
	}
	if len(others) == 0 {
		return
	}
	m := others[rand.IntN(len(others))]
	for _, kind := range []wire.List_Kind{wire.List_REGISTERS, wire.List_BLOBS} {
		n, err := s.pull(ctx, m, kind)
		if n > 0 {
			s.Log.Info("replicas repaired", "from", m.ID, "kind", kind, "keys", n)
		}
		if err != nil {
			s.Log.Debug("replicas not compared", "with", m.ID, "err", err)
			return
		}
	}
}

func (s *Store) pull(ctx context.Context, m spec.Machine, kind wire.List_Kind) (int, error) {
	ask := func(q *wire.Req) (*wire.Resp, error) {
		q.Ident = m.Ident
		return s.Peer.CallFor(ctx, 2*time.Second, m.Addr, q)
	}
	r, err := ask(&wire.Req{Op: &wire.Req_Sum{Sum: &wire.Sum{Kind: kind}}})
	if err != nil {
		return 0, err
	}
	theirs := r.GetSums().GetSums()
	mine, err := s.sums(kind, m.Addr)
	if err != nil {
		return 0, err
	}
	if len(theirs) != len(mine) {
		return 0, code.New(code.Garbled, "%d digests, want %d", len(theirs), len(mine))
	}
	l := &wire.List{Kind: kind, Limit: core.MaxKeysPerPage}
	for i := range mine {
		if mine[i] != theirs[i] {
			l.Buckets = append(l.Buckets, uint32(i))
		}
	}
	n := 0
	for len(l.Buckets) > 0 && n < MaxRepairKeys {
		r, err := ask(&wire.Req{Op: &wire.Req_List{List: l}})
		if err != nil {
			return n, err
		}
		rows := r.GetRows().GetRows()
		for _, row := range rows {
			did, err := s.pullOne(ctx, ask, kind, row)
			if err != nil {
				return n, err
			}
			if did {
				n++
			}
		}
		if len(rows) < core.MaxKeysPerPage {
			break
		}
		l.After = rows[len(rows)-1].Key
	}
	s.repaired.Add(int64(n))
	return n, nil
}

// pullOne takes one key from another store, if it is newer there.
func (s *Store) pullOne(
	ctx context.Context,
	ask func(*wire.Req) (*wire.Resp, error),
	kind wire.List_Kind,
	row *wire.Row,
) (bool, error) {
	if kind == wire.List_BLOBS {
		g, err := s.v.GetBlob(row.Key)
		if err != nil || g.State != wire.Got_NONE {
			return false, err
		}
		r, err := ask(&wire.Req{Op: &wire.Req_Get{Get: &wire.Get{Key: row.Key}}})
		if err != nil {
			return false, err
		}
		got := r.GetGot()
		if left := got.GetKeepMs() - got.GetAgeMs(); got.GetState() == wire.Got_HERE && left > 0 {
			return true, s.v.PutBlob(row.Key, got.Val, time.Duration(left)*time.Millisecond)
		}
		return false, nil
	}
	rec, err := s.v.Load(row.Key)
	if err != nil || wire.CompareBallots(row.Ballot, rec.Accepted) <= 0 {
		return false, err
	}
	r, err := ask(&wire.Req{Op: &wire.Req_Look{Look: &wire.Look{Key: row.Key}}})
	if err != nil {
		return false, err
	}
	err = s.acc.Adopt(row.Key, r.GetView())
	if code.Of(err) == code.OldBallot {
		// Something higher was promised here since; only a new round may go
		// over that.
		cctx, stop := context.WithTimeout(ctx, 2*time.Second)
		defer stop()
		// Under sets that are no more it would go over what the new ones hold.
		v := s.Cluster.Now()
		_, err = s.Proposer.Change(register.WithVersion(cctx, v.Version, false), v.Stores(row.Key), row.Key, nil)
	}
	return err == nil, err
}
