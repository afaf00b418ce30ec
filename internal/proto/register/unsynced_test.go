package register_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"damsontiller/internal/proto/register"
	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport/code"
)

// TestFailedWrite checks that an acceptor that finds a record whose write failed answers only
// after it has synced that record, whether the answer states a promise, a value, or that a copy
// is already stored.
func TestFailedWrite(t *testing.T) {
	ballot := func(n uint64) *wire.Ballot { return &wire.Ballot{N: n, Node: 1} }
	cell := &wire.Cell{Ver: 1, Val: []byte("v")}
	for _, tc := range []struct {
		name    string
		write   func(*register.Acceptor, *modelDisk) error // fails
		request func(*register.Acceptor, *modelDisk) (*wire.View, error)
	}{
		{"a promise", func(acceptor *register.Acceptor, _ *modelDisk) error {
			_, err := acceptor.Prepare(&wire.Prep{Key: "k", Ballot: ballot(5)})
			return err
		}, func(acceptor *register.Acceptor, _ *modelDisk) (*wire.View, error) {
			view, err := acceptor.Prepare(&wire.Prep{Key: "k", Ballot: ballot(4)})
			if code.Of(err) == code.OldBallot {
				err = nil
			}
			return view, err
		}},
		{"a value", func(acceptor *register.Acceptor, _ *modelDisk) error {
			_, err := acceptor.Accept(&wire.Acc{Key: "k", Ballot: ballot(5), Cell: cell})
			return err
		}, func(acceptor *register.Acceptor, _ *modelDisk) (*wire.View, error) {
			return acceptor.Read(&wire.Look{Key: "k"})
		}},
		{"an adopted copy", func(acceptor *register.Acceptor, _ *modelDisk) error {
			return acceptor.Adopt("k", &wire.View{Accepted: ballot(5), Cell: cell})
		}, func(acceptor *register.Acceptor, _ *modelDisk) (*wire.View, error) {
			err := acceptor.Adopt("k", &wire.View{Accepted: ballot(5), Cell: cell})
			return &wire.View{Promised: ballot(5)}, err
		}},
		{"an imported copy", func(acceptor *register.Acceptor, disk *modelDisk) error {
			return importRecord(acceptor, disk, ballot(5), cell)
		},
			func(acceptor *register.Acceptor, disk *modelDisk) (*wire.View, error) {
				err := importRecord(acceptor, disk, ballot(5), cell)
				return &wire.View{Promised: ballot(5)}, err
			}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			disk := newModelDisk()
			acceptor := register.NewAcceptor(disk)
			disk.nextSave = saveVisible
			if err := tc.write(acceptor, disk); code.Of(err) != code.DiskFailure {
				t.Fatalf("the write: %v", err)
			}
			// Nothing is answered while the disk keeps failing.
			disk.nextSave = saveVisible
			if _, err := tc.request(acceptor, disk); code.Of(err) != code.DiskFailure {
				t.Errorf("request while the disk fails: %v", err)
			}
			view, err := tc.request(acceptor, disk)
			if err != nil {
				t.Fatal(err)
			}
			disk.reopen(true, false)
			record, err := disk.Load("k")
			if err != nil || wire.CompareBallots(record.Promised, view.Promised) < 0 ||
				wire.CompareBallots(record.Accepted, view.Accepted) < 0 {
				t.Errorf("answered %v, but after the power loss the disk has %v, %v", view, record, err)
			}
			// A synced record needs no further write.
			disk.nextSave = saveNothing
			if _, err := tc.request(register.NewAcceptor(disk), disk); err != nil {
				t.Errorf("request after the sync: %v", err)
			}
		})
	}
}

func importRecord(acceptor *register.Acceptor, disk *modelDisk, ballot *wire.Ballot, cell *wire.Cell) error {
	_, err := acceptor.Import(
		[]*wire.Copy{{Key: "k", Rec: &wire.Rec{Accepted: ballot, Cell: cell}}},
		func(records map[string]*wire.Rec) error {
			return disk.Save("k", records["k"])
		},
	)
	return err
}

// TestFailedWritesAreUncertain checks that a change whose accept failed at every voter's disk
// is not reported as not made, since it may be on any of them.
func TestFailedWritesAreUncertain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster, set := newTestCluster(1, 3, 0)
		var failed atomic.Bool
		call := func(ctx context.Context, addr string, q *wire.Req) (*wire.Resp, error) {
			if failed.Load() && q.Accept() == nil {
				// No further reply reaches the proposer.
				<-ctx.Done()
				return nil, ctx.Err()
			}
			resp, err := cluster.call(ctx, addr, q)
			if q.Accept() != nil && err == nil {
				failed.Store(true)
				return nil, code.New(code.DiskFailure, "write failed")
			}
			return resp, err
		}
		ctx, stop := context.WithTimeout(t.Context(), time.Second)
		defer stop()
		if _, err := register.NewProposer(1, call).Change(ctx, set, "k", setTo("v")); !errors.Is(
			err,
			register.ErrUncertain,
		) {
			t.Errorf("every voter may have accepted it: %v", err)
		}
		time.Sleep(time.Second)
	})
}

// TestRefusedTwice checks that an accept that was accepted and is then refused as a duplicate,
// because it promised the next ballot, leaves the change uncertain and not refused.
func TestRefusedTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster, set := newTestCluster(1, 3, 0)
		var repeated atomic.Int32
		call := func(ctx context.Context, addr string, q *wire.Req) (*wire.Resp, error) {
			if repeated.Load() > 0 {
				// No further reply reaches the proposer.
				<-ctx.Done()
				return nil, ctx.Err()
			}
			if q.Accept() == nil {
				return cluster.call(ctx, addr, q)
			}
			if addr == "a0" {
				_, _ = cluster.call(ctx, addr, q)
			} else {
				// Reply after a0, so that the round waits for its replies.
				time.Sleep(200 * time.Millisecond)
				return nil, code.New(code.NotVoting, "not admitted")
			}
			resp, err := cluster.call(ctx, addr, q)
			if code.Of(err) == code.OldBallot {
				repeated.Add(1)
			}
			return resp, err
		}
		ctx, stop := context.WithTimeout(t.Context(), time.Second)
		defer stop()
		if _, err := register.NewProposer(1, call).Change(ctx, set, "k", setTo("v")); !errors.Is(
			err,
			register.ErrUncertain,
		) {
			t.Errorf("one voter has accepted it: %v", err)
		}
		if repeated.Load() == 0 {
			t.Error("no duplicate was refused")
		}
		time.Sleep(time.Second)
	})
}
