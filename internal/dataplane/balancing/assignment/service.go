package assignment

import (
	"context"
	"net/http"
	"sync"
	"time"

	"damsontiller/internal/coordination/node"
	"damsontiller/internal/coordination/singleton"
	"damsontiller/internal/dataplane/request/runnerapi"
	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport/code"
	"damsontiller/internal/transport/loop"
)

// Service handles Deal and Tell requests on behalf of the current tenure, if this node holds the
// assigner role.
type Service struct {
	params  Params
	node    *node.Node
	epochs  *singleton.EpochGuard
	mu      sync.Mutex
	current *Assigner
}

// New returns a Service and registers its handlers.
func New(p Params, n *node.Node, epochs *singleton.EpochGuard) *Service {
	service := &Service{params: p, node: n, epochs: epochs}
	n.Peer.Handle(&wire.Req_Deal{}, service.assign)
	n.Peer.Handle(&wire.Req_Tell{}, service.handleDeparture)
	return service
}

func (service *Service) currentAssigner() (*Assigner, error) {
	service.mu.Lock()
	defer service.mu.Unlock()
	if service.current == nil {
		return nil, code.New(code.NotHolder, "%s does not hold the assigner role", service.node.Peer.Self.Id)
	}
	return service.current, nil
}

func (service *Service) setCurrent(assigner *Assigner) {
	service.mu.Lock()
	service.current = assigner
	service.mu.Unlock()
}

// Work runs one tenure until ctx ends.
func (service *Service) Work(ctx context.Context, epoch uint64) {
	transport := service.params.Transport
	if transport == nil {
		transport = runnerapi.NewTransport()
	}
	assigner := &Assigner{
		params:  service.params,
		node:    service.node,
		epoch:   epoch,
		start:   time.Now(),
		wakeup:  loop.NewWakeup(),
		runners: map[string]*trackedRunner{},
		edges:   map[uint64]*edge{},
		client:  &http.Client{Timeout: service.params.PollInterval, Transport: transport},
	}
	defer assigner.client.CloseIdleConnections()
	assigner.poll(ctx)
	service.setCurrent(assigner)
	defer service.setCurrent(nil)
	loop.Every(ctx, service.params.PollInterval, assigner.wakeup, assigner.poll)
}

func (service *Service) assign(_ context.Context, q *wire.Req) (*wire.Resp, error) {
	assigner, err := service.currentAssigner()
	if err != nil {
		return &wire.Resp{
			Op: &wire.Resp_Deal{
				Deal: &wire.DealAck{
					Epoch:   service.epochs.Highest(),
					QuietMs: min(service.epochs.SinceContact(), time.Hour).Milliseconds(),
				},
			},
		}, err
	}
	if e := q.GetDeal().GetEpoch(); e > assigner.epoch {
		// The edge has received slots from a later holder: this tenure has ended.
		service.epochs.Observe(e)
		service.setCurrent(nil)
		return nil, code.New(code.OldEpoch, "epoch %d is over", assigner.epoch)
	}
	// An assigner may have been superseded by a higher epoch that it has not received. It
	// stops raising shares well before the shares of edges that use the new assigner expire here.
	ack := assigner.Report(q.Id, q.Inc, q.GetDeal(), service.params.SinceConfirmed() < service.params.Term*3/4)
	return &wire.Resp{Op: &wire.Resp_Deal{Deal: ack}}, nil
}

func (service *Service) handleDeparture(_ context.Context, _ *wire.Req) (*wire.Resp, error) {
	assigner, err := service.currentAssigner()
	if err != nil {
		return nil, err
	}
	// The sender may be wrong about the cause, so only trigger an immediate poll of the reports.
	assigner.wakeup.Notify()
	return nil, nil
}
