package sim

import (
	"net/http"

	"damsontiller/internal/kit/checker"
	"damsontiller/internal/kit/runner"
)

// Runner finds a stand-in.
func (s *Sim) Runner(name string) *runner.Runner {
	for _, r := range s.Runners {
		if r.P.Name == name {
			return r
		}
	}
	return nil
}

// RunnerUp starts a runner's process anew; RunnerDown ends it.
func (s *Sim) RunnerUp(name string) {
	r := s.Runner(name)
	h := r.Handler()
	s.mu.Lock()
	s.up[r.P.Addr] = h
	s.mu.Unlock()
	s.Record(checker.Back, name, 0)
}

// Serve puts any other HTTP server on the network.
func (s *Sim) Serve(addr string, h http.Handler) {
	s.mu.Lock()
	s.up[addr] = h
	s.mu.Unlock()
}

// RunnerDown ends a runner's process as a crash would.
func (s *Sim) RunnerDown(name string) {
	r := s.Runner(name)
	r.Stop()
	s.mu.Lock()
	delete(s.up, r.P.Addr)
	s.mu.Unlock()
}
