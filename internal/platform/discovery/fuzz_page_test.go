package discovery

import (
	"testing"
	"time"
	"unicode/utf8"

	"damsontiller/internal/proto/spec"
)

// FuzzPage checks that any page is either rejected or gives runners with names that can be encoded,
// valid addresses and numbers within their bounds.
func FuzzPage(f *testing.F) {
	f.Add([]byte(`{"instances":[` + item("i-1") + `,{"instance-id":"i-9"}],"next-token":"p&2"}`))
	f.Add(
		[]byte(
			`{"instances":[{"instance-id":"i","target-service":"s","address":"10.1.1.1:80","capacity":6.5,"cold-remaining-ms":-1,"model-list":[{"name":"m","revision":3}]}],"next-token":null}`,
		),
	)
	f.Add([]byte(`{"instances":[` + item("i\xff") + `]}`))
	f.Add([]byte(`{"instances":"none"}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		p := &page{}
		if p.UnmarshalJSON(b) != nil {
			return
		}
		for i := range p.Runners {
			r, ok := p.Runners[i].runner()
			if !ok {
				continue
			}
			if r.ID == "" || r.Service == "" || spec.Addr(r.Addr) != nil {
				t.Errorf("runner without ID, service or valid address: %+v", r)
			}
			if !utf8.ValidString(r.ID) || !utf8.ValidString(r.Service) || !utf8.ValidString(r.Zone) {
				t.Errorf("runner names are not UTF-8: %+v", r)
			}
			if warmup := time.Duration(r.WarmupRemainingMs) * time.Millisecond; r.Capacity < 1 ||
				r.Capacity > maxCapacity ||
				warmup < 0 ||
				warmup > 24*time.Hour {
				t.Errorf("capacity %d, warm-up time %s", r.Capacity, warmup)
			}
		}
	})
}
