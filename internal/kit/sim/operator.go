package sim

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"damsontiller/internal/kit/checker"
)

// Operate sends an operator's request to the first core that runs.
func (s *Sim) Operate(method, path string, body, into any) (int, error) {
	return s.OperateAt(0, method, path, body, into)
}

// OperateAt sends it to the first core that runs from number n on.
func (s *Sim) OperateAt(n int, method, path string, body, into any) (int, error) {
	b, err := json.Marshal(body)
	if err != nil {
		return 0, err
	}
	for _, m := range s.Machines {
		s.mu.Lock()
		l := m.live
		s.mu.Unlock()
		if m.Role != "core" || l == nil {
			continue
		}
		if n--; n >= 0 {
			continue
		}
		q, err := http.NewRequest(method, "http://"+m.HTTP+path, bytes.NewReader(b))
		if err != nil {
			return 0, err
		}
		r, err := s.RoundTrip(q)
		if err != nil {
			continue
		}
		got, err := io.ReadAll(r.Body)
		if err == nil && into != nil {
			err = json.Unmarshal(got, into)
		}
		return r.StatusCode, err
	}
	return 0, errors.New("no core runs")
}

// Ack is the answer to an operator's change.
type Ack struct {
	Version uint64   `json:"version"`
	Code    int      `json:"code"`
	Failure string   `json:"problem"`
	Waiting []string `json:"waiting"`
}

// Change makes an operator's change and notes its acknowledgement.
func (s *Sim) Change(method, path string, body any) (int, Ack, error) {
	var a Ack
	st, err := s.Operate(method, path, body, &a)
	if err == nil && st == http.StatusOK {
		s.Record(checker.Acked, path, a.Version)
	}
	return st, a, err
}

// Zone empties or refills a zone.
func (s *Sim) Zone(zone string, empty bool) (int, Ack, error) {
	if !empty {
		s.Record(checker.Refill, zone, 0)
		return s.Change(http.MethodPost, "/v1/zones/"+zone+"/refill", nil)
	}
	st, a, err := s.Change(http.MethodPost, "/v1/zones/"+zone+"/empty", nil)
	if err == nil && st == http.StatusOK {
		s.Record(checker.Empty, zone, 0)
	}
	return st, a, err
}

// Wrong is what the operators' health page finds wrong.
func (s *Sim) Wrong() []string {
	var h struct {
		Wrong []string `json:"wrong"`
	}
	if _, err := s.Operate(http.MethodGet, "/v1/health", nil, &h); err != nil {
		return []string{err.Error()}
	}
	return h.Wrong
}
