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

// Anti-entropy between replicas: two stores compare digests of the keys that both hold,
// grouped by hash into buckets. Each store polls one peer at a time and pulls only the
// records that it is missing or holds in an older version.

// Buckets is the number of key buckets that are compared by digest.
const Buckets = 256

// MaxRepairKeys bounds the keys pulled per comparison, so that repair doesn't delay traffic.
const MaxRepairKeys = 2000

// bucket returns the bucket of a key.
func bucket(key string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(key))
	return h.Sum32() % Buckets
}

// allStores returns the stores of the current set and of the next one, if the set is changing.
func (s *Store) allStores() []spec.Machine {
	v := s.Cluster.Now()
	return slices.Concat(v.Cluster.Stores, v.NextStores)
}

// heldByBoth returns a predicate for the keys that both this store and the store at addr hold.
func (s *Store) heldByBoth(addr string) func(key string) bool {
	v := s.Cluster.Now()
	return func(key string) bool {
		here, there := false, false
		for _, r := range v.Stores(key).All() {
			here = here || r.Ident == s.Peer.Ident()
			there = there || r.Addr == addr
		}
		return here && there
	}
}

// bucketDigests returns one digest per bucket over the keys shared with the store at addr.
func (s *Store) bucketDigests(kind wire.List_Kind, addr string) ([]uint64, error) {
	out := make([]uint64, Buckets)
	include := s.heldByBoth(addr)
	after := ""
	for {
		rows, err := s.engine.Keys(kind, after, core.MaxKeysPerPage, include)
		if err != nil {
			return nil, err
		}
		for _, r := range rows {
			h := fnv.New64a()
			h.Write([]byte(r.Key))
			h.Write(wire.MustEncode(&wire.Ballot{N: r.Ballot.GetN(), Node: r.Ballot.GetNode()}))
			// A sum is independent of the order, and equal hashes don't cancel out as with XOR.
			out[bucket(r.Key)] += h.Sum64()
		}
		if len(rows) < core.MaxKeysPerPage {
			return out, nil
		}
		after = rows[len(rows)-1].Key
	}
}

// handleSum returns the digests of the keys shared with the requesting store.
func (s *Store) handleSum(_ context.Context, q *wire.Req) (*wire.Resp, error) {
	sums, err := s.bucketDigests(q.GetSum().GetKind(), q.From)
	if err != nil {
		return nil, err
	}
	return &wire.Resp{Op: &wire.Resp_Sums{Sums: &wire.Sums{Sums: sums}}}, nil
}

// handleList lists keys; if the request names buckets, only their keys shared with the
// requesting store.
func (s *Store) handleList(_ context.Context, q *wire.Req) (*wire.Resp, error) {
	l := q.GetList()
	if len(l.Buckets) == 0 {
		return core.ListKeys(s.engine, l, nil)
	}
	var requested [Buckets]bool
	for _, b := range l.Buckets {
		if b < Buckets {
			requested[b] = true
		}
	}
	shared := s.heldByBoth(q.From)
	return core.ListKeys(s.engine, l, func(k string) bool { return requested[bucket(k)] && shared(k) })
}

// repair compares this store with one other, chosen at random, and pulls the newer records.
func (s *Store) repair(ctx context.Context) {
	var others []spec.Machine
	for _, m := range s.allStores() {
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
			s.Log.Debug("comparison with replica failed", "with", m.ID, "err", err)
			return
		}
	}
}

// pull compares one kind of records with another store, pulls the newer ones and returns
// how many keys it updated.
func (s *Store) pull(ctx context.Context, m spec.Machine, kind wire.List_Kind) (int, error) {
	call := func(q *wire.Req) (*wire.Resp, error) {
		q.Ident = m.Ident
		return s.Peer.CallWithTimeout(ctx, 2*time.Second, m.Addr, q)
	}
	r, err := call(&wire.Req{Op: &wire.Req_Sum{Sum: &wire.Sum{Kind: kind}}})
	if err != nil {
		return 0, err
	}
	theirs := r.GetSums().GetSums()
	mine, err := s.bucketDigests(kind, m.Addr)
	if err != nil {
		return 0, err
	}
	if len(theirs) != len(mine) {
		return 0, code.New(code.Garbled, "%d digests, want %d", len(theirs), len(mine))
	}
	list := &wire.List{Kind: kind, Limit: core.MaxKeysPerPage}
	for i := range mine {
		if mine[i] != theirs[i] {
			list.Buckets = append(list.Buckets, uint32(i))
		}
	}
	n := 0
	for len(list.Buckets) > 0 && n < MaxRepairKeys {
		r, err := call(&wire.Req{Op: &wire.Req_List{List: list}})
		if err != nil {
			return n, err
		}
		rows := r.GetRows().GetRows()
		for _, row := range rows {
			pulled, err := s.pullOne(ctx, call, kind, row)
			if err != nil {
				return n, err
			}
			if pulled {
				n++
			}
		}
		if len(rows) < core.MaxKeysPerPage {
			break
		}
		list.After = rows[len(rows)-1].Key
	}
	s.repaired.Add(int64(n))
	return n, nil
}

// pullOne copies one key from another store if that store has a newer version. It reports
// whether the key was updated.
func (s *Store) pullOne(
	ctx context.Context,
	call func(*wire.Req) (*wire.Resp, error),
	kind wire.List_Kind,
	row *wire.Row,
) (bool, error) {
	if kind == wire.List_BLOBS {
		g, err := s.engine.GetBlob(row.Key)
		if err != nil || g.State != wire.Got_NONE {
			return false, err
		}
		r, err := call(&wire.Req{Op: &wire.Req_Get{Get: &wire.Get{Key: row.Key}}})
		if err != nil {
			return false, err
		}
		got := r.GetGot()
		if remainingMs := got.GetKeepMs() - got.GetAgeMs(); got.GetState() == wire.Got_HERE && remainingMs > 0 {
			return true, s.engine.PutBlob(row.Key, got.Val, time.Duration(remainingMs)*time.Millisecond)
		}
		return false, nil
	}
	rec, err := s.engine.Load(row.Key)
	if err != nil || wire.CompareBallots(row.Ballot, rec.Accepted) <= 0 {
		return false, err
	}
	r, err := call(&wire.Req{Op: &wire.Req_Look{Look: &wire.Look{Key: row.Key}}})
	if err != nil {
		return false, err
	}
	err = s.acceptor.Adopt(row.Key, r.GetView())
	if code.Of(err) == code.OldBallot {
		// A higher ballot was promised here since, and may have chosen a newer value.
		cctx, stop := context.WithTimeout(ctx, 2*time.Second)
		defer stop()
		// The version is pinned: a round under a replaced store set could overwrite
		// newer values of the present one.
		v := s.Cluster.Now()
		_, err = s.Proposer.Read(register.WithVersion(cctx, v.Version, false), v.Stores(row.Key), row.Key)
	}
	return err == nil, err
}
