package storeclient

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"damsontiller/internal/proto/register"
	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport/code"
)

const (
	// blobPutTimeout bounds the writes of a blob to its stores, including those that continue after
	// a majority has acknowledged.
	blobPutTimeout = 5 * time.Second
	// contactWindow is how recently a store must have answered any call to count as within reach
	// while it has not answered a write. An edge in use hears each store several times in it.
	contactWindow = time.Second
	// contactCheckInterval is how often that is checked.
	contactCheckInterval = 100 * time.Millisecond
)

// ErrReachable means that a write failed although a majority of the stores is within reach: each of
// them has stored the value, answered with an error, refused the connection, or answers other calls.
// Their processes start or wait for their disks, and are likely to write soon.
var ErrReachable = errors.New("a majority is within reach")

// isSilent reports whether a call to a store failed without any sign of the machine.
func isSilent(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) ||
		errors.As(err, &timeout) && timeout.Timeout()
}

// PutBlob stores an immutable value at a majority of every group, retained for at least keep.
func (client *Client) PutBlob(ctx context.Context, key string, val []byte, keep time.Duration) error {
	return client.PutBlobWhileReachable(ctx, time.Time{}, key, val, keep)
}

// PutBlobWhileReachable is PutBlob, but gives up at the given time if no majority of the stores is
// within reach then, or later. A zero time means never. If it fails with ErrReachable, another try is
// likely to succeed.
func (client *Client) PutBlobWhileReachable(
	ctx context.Context,
	silentUntil time.Time,
	key string,
	val []byte,
	keep time.Duration,
) error {
	_, err := client.withVersion(
		ctx,
		key,
		false,
		func(ctx context.Context, set register.Set) error {
			return client.put(ctx, silentUntil, set, &wire.Put{Key: key, Val: val, KeepMs: keep.Milliseconds()})
		},
	)
	return err
}

// blobWrite is the progress of a write at the stores.
type blobWrite struct {
	client *Client
	set    register.Set
	done   chan error // receives the outcome

	mu       sync.Mutex
	answered map[register.Replica]bool // stores that have given any sign
}

func (client *Client) put(ctx context.Context, silentUntil time.Time, set register.Set, request *wire.Put) error {
	// Writes to the remaining stores go on after a majority has acknowledged, for redundancy.
	bg, stop := context.WithTimeout(context.WithoutCancel(ctx), blobPutTimeout)
	replies, count := client.sendAll(bg, set, func() *wire.Req {
		return &wire.Req{Op: &wire.Req_Put{Put: request}}
	})
	write := &blobWrite{client: client, set: set, done: make(chan error, 1), answered: map[register.Replica]bool{}}
	go func() {
		defer stop()
		write.collect(replies, count)
	}()
	check := time.NewTicker(contactCheckInterval)
	defer check.Stop()
	for {
		select {
		case err := <-write.done:
			if err != nil && code.Of(err) != code.StaleSpec {
				return code.New(code.StoresUnreachable, "put %s: %w", request.Key, err)
			}
			return err
		case <-ctx.Done():
			return code.New(code.StoresUnreachable, "put %s: %w", request.Key, write.explain(ctx.Err()))
		case now := <-check.C:
			if !silentUntil.IsZero() && now.After(silentUntil) && !write.withinReach() {
				return code.New(code.StoresUnreachable, "put %s: the stores are silent", request.Key)
			}
		}
	}
}

// collect receives the replies of all stores and reports the outcome as soon as it is known.
func (write *blobWrite) collect(replies <-chan storeReply, count int) {
	stored, last := map[register.Replica]bool{}, error(nil)
	report := func(err error) {
		select {
		case write.done <- err:
		default:
		}
	}
	for range count {
		reply := <-replies
		if !isSilent(reply.err) {
			write.recordAnswer(reply.from)
		}
		if reply.err != nil {
			if last = reply.err; code.Of(last) == code.StaleSpec {
				report(last)
			}
			continue
		}
		if stored[reply.from] = true; write.set.Quorum(stored) {
			report(nil)
		}
	}
	report(write.explain(fmt.Errorf("%d of %d stores: %w", len(stored), count, last)))
}

func (write *blobWrite) recordAnswer(from register.Replica) {
	write.mu.Lock()
	defer write.mu.Unlock()
	write.answered[from] = true
}

// withinReach reports whether a majority of the stores has answered, or has answered another call
// within contactWindow.
func (write *blobWrite) withinReach() bool {
	write.mu.Lock()
	defer write.mu.Unlock()
	reached := map[register.Replica]bool{}
	for _, replica := range write.set.All() {
		if write.answered[replica] || time.Since(write.client.Peer.LastReceived(replica.Addr)) < contactWindow {
			reached[replica] = true
		}
	}
	return write.set.Quorum(reached)
}

// explain adds ErrReachable to the error of a write if a majority is within reach.
func (write *blobWrite) explain(err error) error {
	if write.withinReach() {
		return fmt.Errorf("%w: %w", ErrReachable, err)
	}
	return err
}
