package store

import (
	"context"
	"fmt"
	"strings"
	"time"

	"damsontiller/internal/coordination/membership"
	"damsontiller/internal/proto/keys"
	"damsontiller/internal/proto/spec"
	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport/code"
	"damsontiller/internal/transport/loop"
)

const (
	// maxBulkRetries is how often a failed request for copies is retried.
	maxBulkRetries = 3
	// bulkRetryDelay is the delay between two attempts.
	bulkRetryDelay = 50 * time.Millisecond
)

// requestBulk requests copies from another store. It retries after every error but a wrong
// identity, since the answer may have been lost or the other store may not have the requested
// version yet.
func (s *Store) requestBulk(ctx context.Context, m spec.Machine, q *wire.Bulk) (*wire.Copies, error) {
	for attempt := 0; ; attempt++ {
		r, err := s.Peer.CallWithTimeout(
			ctx,
			pageTimeout,
			m.Addr,
			&wire.Req{Ident: m.Ident, Op: &wire.Req_Bulk{Bulk: q}},
		)
		if err == nil {
			return r.GetCopies(), nil
		}
		if attempt == maxBulkRetries || code.Of(err) == code.WrongIdentity || !loop.Wait(ctx, bulkRetryDelay) {
			return nil, fmt.Errorf("%s: %w", m.ID, err)
		}
	}
}

// handleBulk returns copies of the records that another store will hold under the next set,
// by name or page by page.
func (s *Store) handleBulk(_ context.Context, q *wire.Req) (*wire.Resp, error) {
	b := q.GetBulk()
	v := s.Cluster.Now()
	if !membership.SameStores(v, b.Spec, b.Sets) {
		return nil, code.New(code.StaleSpec, "version %d of %d, or of other sets", v.Version, b.Spec)
	}
	if b.After == "" {
		// Writes admitted under the previous set must be on disk before the first page is read.
		s.Gate.Drain()
	}
	answer := &wire.Copies{}
	if len(b.Keys) > 0 {
		size := 0
		for i, k := range b.Keys {
			c, err := s.engine.Copy(b.Kind, k)
			if err != nil {
				return nil, err
			}
			if c != nil {
				answer.Copies = append(answer.Copies, c)
				size += len(c.Rec.GetCell().GetVal()) + len(c.Got.GetVal()) + len(k)
			}
			if size >= pageBytes && i+1 < len(b.Keys) {
				answer.Last = k
				break
			}
		}
		return &wire.Resp{Op: &wire.Resp_Copies{Copies: answer}}, nil
	}
	sender := membership.Sender{View: v, Self: s.Peer.Ident(), To: b.Ident, Absent: b.Absent}
	var err error
	answer.Copies, answer.Last, err = s.engine.Copies(b.Kind, b.After, pageBytes, sender.Sends)
	if err != nil {
		return nil, err
	}
	return &wire.Resp{Op: &wire.Resp_Copies{Copies: answer}}, nil
}

// SaveAll saves many records at once. It returns once they are synced.
func (c *cooldowns) SaveAll(recs map[string]*wire.Rec) error {
	if err := c.Engine.SaveAll(recs); err != nil {
		return err
	}
	for k, r := range recs {
		if strings.HasPrefix(k, keys.CooldownPrefix) {
			c.track(k, r, time.Now())
		}
	}
	return nil
}

// reset drops all entries, after the data directory was replaced by an empty one.
func (c *cooldowns) reset() {
	c.mu.Lock()
	clear(c.all)
	clear(c.active)
	c.mu.Unlock()
}
