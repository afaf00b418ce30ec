package discovery

import (
	"testing"
	"time"
	"unicode/utf8"

	"damsontiller/internal/proto/spec"
)

// FuzzPage: whatever a page of the platform's list holds, it is refused or gives
// runners that can be named on the wire, reached and counted with.
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
				t.Errorf("a runner that can't be named or reached: %+v", r)
			}
			if !utf8.ValidString(r.ID) || !utf8.ValidString(r.Service) || !utf8.ValidString(r.Zone) {
				t.Errorf("names that the wire can't carry: %+v", r)
			}
			if warmup := time.Duration(r.WarmupRemainingMs) * time.Millisecond; r.Capacity < 1 ||
				r.Capacity > maxCapacity ||
				warmup < 0 ||
				warmup > 24*time.Hour {
				t.Errorf("room %d, cold for %s", r.Capacity, warmup)
			}
		}
	})
}
