package store

import (
	"testing"
	"testing/synctest"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/hashicorp/go-hclog"

	"damsontiller/internal/coordination/broadcast"
	"damsontiller/internal/coordination/lease"
	"damsontiller/internal/coordination/node"
	"damsontiller/internal/proto/spec"
	"damsontiller/internal/proto/wire"
	"damsontiller/internal/state/storage"
	"damsontiller/internal/transport"
	"damsontiller/internal/transport/code"
	"damsontiller/internal/transport/memnet"
)

// newChangingStore returns a single store whose set has been changing since version 5.
func newChangingStore(t *testing.T) *Store {
	t.Helper()
	v, err := storage.Open(storage.Params{Dir: "/data", ID: "s1", Role: "store", FS: vfs.NewCrashableMem()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = v.Close() })
	self := &wire.Member{Id: "s1", Role: "store", Addr: "10.0.0.1:7100", Zone: "a", Ident: v.Ident()}
	s, err := New(
		node.Params{
			Self:      self,
			Net:       memnet.New(1).Host(self.Addr),
			Transport: transport.DefaultParams,
			Lease:     lease.DefaultParams,
			Broadcast: broadcast.DefaultParams,
			Log:       hclog.NewNullLogger(),
		},
		v,
	)
	if err != nil {
		t.Fatal(err)
	}
	applyStoreChange(t, s, 5, "i4")
	return s
}

// applyStoreChange applies a version that begins a change to a set with a new store of the given
// identity.
func applyStoreChange(t *testing.T, s *Store, ver uint64, newIdent string) {
	t.Helper()
	self := spec.Machine{ID: "s1", Addr: "10.0.0.1:7100", Zone: "a", Ident: s.Peer.Ident()}
	current := []spec.Machine{
		self,
		{ID: "s2", Addr: "s2", Zone: "b", Ident: "i2"},
		{ID: "s3", Addr: "s3", Zone: "c", Ident: "i3"},
	}
	next := []spec.Machine{self, current[1], {ID: "s4", Addr: "s4", Zone: "c", Ident: newIdent}}
	c := spec.Cluster{Stores: current, NextStores: next, StoresSince: ver, CoresSince: 1}
	raw, err := c.MarshalJSON()
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Cluster.Apply(ver, raw); err != nil {
		t.Fatal(err)
	}
}

// TestBulkWaits checks that requests admitted under the previous set are on disk before the
// first page of this store's records is read. Otherwise the page would miss their writes.
func TestBulkWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newChangingStore(t)
		// A request that was admitted and is not written yet.
		finish := s.Gate.Begin()
		done := make(chan error, 1)
		go func() {
			_, err := s.handleBulk(
				t.Context(),
				&wire.Req{
					Op: &wire.Req_Bulk{Bulk: &wire.Bulk{Ident: "i4", Spec: 5, Sets: s.Cluster.Now().StoresDigest()}},
				},
			)
			done <- err
		}()
		synctest.Wait()
		select {
		case err := <-done:
			t.Fatalf("answered while a request was not on the disk: %v", err)
		default:
		}
		finish()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

// TestBulkOtherChange checks that a store answers only for the change named in the request,
// and rejects it once a later change between the same sets is in force.
func TestBulkOtherChange(t *testing.T) {
	s := newChangingStore(t)
	sets := s.Cluster.Now().StoresDigest()
	requestCopies := func() error {
		_, err := s.handleBulk(
			t.Context(),
			&wire.Req{Op: &wire.Req_Bulk{Bulk: &wire.Bulk{Ident: "i4", Spec: 5, Sets: sets}}},
		)
		return err
	}
	if err := requestCopies(); err != nil {
		t.Error(err)
	}
	applyStoreChange(t, s, 7, "i4")
	if err := requestCopies(); code.Of(err) != code.StaleSpec {
		t.Errorf("a later change between the same sets: %v", err)
	}
}

// TestSaveCopiesAfterChange checks that copies fetched for a change that has ended are not
// saved: they may have a lower ballot than was promised since.
func TestSaveCopiesAfterChange(t *testing.T) {
	s := newChangingStore(t)
	f := &transfer{spec: 5, sets: s.Cluster.Now().StoresDigest()}
	save := func(key string) error {
		ballot := &wire.Ballot{N: 3, Node: 1}
		return s.saveCopies(
			f,
			wire.List_REGISTERS,
			[]*wire.Copy{{Key: key, Ballot: ballot, Rec: &wire.Rec{Accepted: ballot, Cell: &wire.Cell{Ver: 1}}}},
		)
	}
	if err := save("claim/a"); err != nil {
		t.Error(err)
	}
	applyStoreChange(t, s, 7, "i4")
	if err := save("claim/b"); code.Of(err) != code.StaleSpec {
		t.Errorf("after the change: %v", err)
	}
	if r, err := s.engine.Load("claim/b"); err != nil || r.Accepted != nil {
		t.Errorf("saved after the change: %v, %v", r, err)
	}
}
