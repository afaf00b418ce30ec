package scale

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"damsontiller/internal/proto/spec"
)

// Params shape a run.
type Params struct {
	Nodes      int // in all: 3 cores, 3 stores, the real edges, and hollow ones
	Edges      int // real ones
	Runners    int
	Routes     int           // that the runners are spread over
	Tenants    int           // each has a budget of its own in the spec
	Changes    int           // of the spec an hour, in the second half
	Failures   int           // of hollow nodes an hour, in the second half
	SettleTime time.Duration // after forming, before anything is measured
	Time       time.Duration
	Seed       uint64
	Kind       string // of hollow nodes
	Portion    int    // hollow nodes to a process
	Bin, Dir   string
	Net        int
	Self       []string // the command that runs Hollow
	Out        io.Writer
	File       string
}

// Check refuses what the machine can't hold, before anything starts.
func (p *Params) Check(m Machine) error {
	least := core3store3 + p.Edges + 1
	switch {
	case p.Edges < 2 || p.Edges > 6:
		return fmt.Errorf("-edges: %d is not within 2 and 6", p.Edges)
	case p.Nodes < least:
		return fmt.Errorf("-nodes: %d leaves no hollow node beside %d real ones; %d or more", p.Nodes, least-1, least)
	case p.Routes < 1 || p.Runners < p.Routes:
		return fmt.Errorf("-runners: %d can't serve %d routes", p.Runners, p.Routes)
	case p.Tenants < 0 || p.Changes < 0 || p.Failures < 0:
		return errors.New("a negative number of tenants, changes or failures")
	case p.Runners+p.Tenants+p.Routes+16 > spec.MaxNames:
		return fmt.Errorf(
			"%d runners, tenants and routes; a spec has at most %d entries",
			p.Runners+p.Tenants+p.Routes,
			spec.MaxNames-16,
		)
	case p.SettleTime < 0:
		return fmt.Errorf("-settle: %s is negative", p.SettleTime)
	case p.Time < 4*time.Second:
		return fmt.Errorf("-time: %s is less than 4s", p.Time)
	case p.Kind != Member && p.Kind != Edge:
		return fmt.Errorf("-kind: %q is neither %s nor %s", p.Kind, Member, Edge)
	case p.Portion < 1 || uint64(p.Portion)*nodeFiles > m.Files:
		return fmt.Errorf(
			"-share: %d nodes to a process want %d descriptors, %d may be open; %d would fit",
			p.Portion,
			p.Portion*nodeFiles,
			m.Files,
			m.Files/nodeFiles,
		)
	case p.processes() > maxProcesses:
		return fmt.Errorf(
			"-nodes: %d processes, at most %d; -share %d would fit",
			p.processes(),
			maxProcesses,
			(p.Nodes+maxProcesses/2-1)/(maxProcesses/2),
		)
	}
	if need := p.memory(); need > m.Memory/2 {
		q := *p
		for q.Nodes > least && q.memory() > m.Memory/2 {
			q.Nodes--
		}
		return fmt.Errorf(
			"-nodes: %d nodes want %d MiB, half of the machine's memory is %d MiB; %d would fit",
			p.Nodes,
			need>>20,
			m.Memory>>21,
			q.Nodes,
		)
	}
	if uint64(p.Runners)*4 > m.Files {
		return fmt.Errorf(
			"-runners: %d want %d descriptors, %d may be open; %d would fit",
			p.Runners,
			p.Runners*4,
			m.Files,
			m.Files/4,
		)
	}
	return nil
}

func (p *Params) hollows() int { return p.Nodes - core3store3 - p.Edges }

func (p *Params) processes() int {
	return core3store3 + p.Edges + (p.hollows()+p.Portion-1)/p.Portion
}

func (p *Params) memory() uint64 {
	node := uint64(nodeBytes)
	if p.Kind == Edge {
		node = edgeBytes
	}
	h := uint64(p.hollows())
	return uint64(
		core3store3+p.Edges,
	)*realBytes + (h+uint64(p.Portion)-1)/uint64(
		p.Portion,
	)*hollowBytes + h*node + h*uint64(
		p.Nodes,
	)*pairBytes + uint64(
		p.Runners,
	)*runnerBytes
}

// spec writes the first spec.
func (p *Params) spec(file string) (int, error) {
	s := spec.Spec{Name: "scale", Zones: []string{"a", "b", "c"}, Platform: "127.20.1.90:9900",
		Classes: []spec.Class{{Name: "live", Urgent: true, Reserve: 25}, {Name: "work"}},
		Keeping: []spec.Keeping{{Class: "work", KeepS: 3600}}, Budgets: []spec.Budget{{Programs: "*", Output: 2000}}}
	for i := range p.Routes {
		s.Routes = append(s.Routes, spec.Route{Name: fmt.Sprintf("model%d", i)})
	}
	s.Routes[0].Model = true
	for i := range p.Runners {
		s.Runners = append(
			s.Runners,
			spec.Runner{
				Name:  fmt.Sprintf("r%04d", i),
				Addr:  fmt.Sprintf("127.20.%d.%d:9000", 100+i/200, 1+i%200),
				Zone:  s.Zones[i%3],
				Route: s.Routes[i%p.Routes].Name,
			},
		)
	}
	for i := range p.Tenants {
		s.Budgets = append(s.Budgets, spec.Budget{Programs: fmt.Sprintf("tenant%03d", i), Output: 2000})
	}
	if err := s.Check(); err != nil {
		return 0, err
	}
	b, err := s.MarshalJSON()
	if err != nil {
		return 0, err
	}
	return len(b), os.WriteFile(file, b, 0o644)
}
