package assignment

import (
	"context"
	"net/http"
	"sync"
	"time"

	"damsontiller/internal/coordination/node"
	"damsontiller/internal/coordination/singleton"
	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport/code"
	"damsontiller/internal/transport/loop"
)

// Service answers Deal and Tell calls for whichever tenure runs here.
type Service struct {
	params  Params
	node    *node.Node
	epochs  *singleton.EpochGuard
	mu      sync.Mutex
	current *Assigner
}

// New makes the role's local end.
func New(p Params, n *node.Node, f *singleton.EpochGuard) *Service {
	d := &Service{params: p, node: n, epochs: f}
	n.Peer.Handle(&wire.Req_Deal{}, d.assign)
	n.Peer.Handle(&wire.Req_Tell{}, d.suspect)
	return d
}

func (d *Service) now() (*Assigner, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.current == nil {
		return nil, code.New(code.NotHolder, "%s does not hold the assigner role", d.node.Peer.Self.Id)
	}
	return d.current, nil
}

func (d *Service) set(assigner *Assigner) {
	d.mu.Lock()
	d.current = assigner
	d.mu.Unlock()
}

// Work is one tenure.
func (d *Service) Work(ctx context.Context, epoch uint64) {
	assigner := &Assigner{
		params:  d.params,
		node:    d.node,
		epoch:   epoch,
		start:   time.Now(),
		wakeup:  loop.NewWakeup(),
		runners: map[string]*runner{},
		edges:   map[uint64]*edge{},
		client:  &http.Client{Timeout: d.params.PollInterval, Transport: d.params.Transport},
	}
	defer assigner.client.CloseIdleConnections()
	assigner.poll(ctx)
	d.set(assigner)
	defer d.set(nil)
	loop.Every(ctx, d.params.PollInterval, assigner.wakeup, assigner.poll)
}

func (d *Service) assign(_ context.Context, q *wire.Req) (*wire.Resp, error) {
	assigner, err := d.now()
	if err != nil {
		return &wire.Resp{
			Op: &wire.Resp_Deal{
				Deal: &wire.DealAck{
					Epoch:   d.epochs.Highest(),
					QuietMs: min(d.epochs.SinceContact(), time.Hour).Milliseconds(),
				},
			},
		}, err
	}
	if e := q.GetDeal().GetEpoch(); e > assigner.epoch {
		// The asker has assigned with a later holder: this tenure is over.
		d.epochs.Observe(e)
		d.set(nil)
		return nil, code.New(code.OldEpoch, "epoch %d is over", assigner.epoch)
	}
	// An assigner is replaced by a higher epoch, which it may not have seen. It
	// stops raising well before the shares of edges that left it run out here.
	a := assigner.Report(q.Id, q.Inc, q.GetDeal(), d.params.SinceConfirmed() < d.params.Term*3/4)
	return &wire.Resp{Op: &wire.Resp_Deal{Deal: a}}, nil
}

func (d *Service) suspect(_ context.Context, _ *wire.Req) (*wire.Resp, error) {
	assigner, err := d.now()
	if err != nil {
		return nil, err
	}
	// Whoever tells may be wrong about the cause; the report decides, at once.
	assigner.wakeup.Notify()
	return nil, nil
}
