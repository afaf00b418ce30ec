package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"damsontiller/internal/transport/loop"
)

// probeInterval is the time between two looks at which configuration an edge goes by.
const probeInterval = 40 * time.Millisecond

// life is one process of a machine.
type life struct {
	machine *Machine
	begun   time.Time
}

// sighting is when a life of an edge was first seen to serve a route.
type sighting struct {
	revision uint64
	at       time.Time
}

// probe asks edges by turns for routes that were just added or removed, until ctx ends.
func (o *operator) probe(ctx context.Context) {
	seen := map[life]sighting{}
	slots := make(chan struct{}, 8)
	for i := 0; loop.Wait(ctx, probeInterval); i++ {
		edges := o.edges()
		edge := edges[i%len(edges)]
		begun, up := edge.runsSince()
		if !up {
			continue
		}
		if i%25 == 0 {
			o.retrieve(ctx)
		}
		newest := o.newestAcked(time.Now())
		if newest == nil || newest.added == "" {
			continue
		}
		slots <- struct{}{}
		o.probeEdge(ctx, life{edge, begun}, newest, seen)
		<-slots
	}
}

func (o *operator) probeEdge(ctx context.Context, l life, newest *change, seen map[life]sighting) {
	sent := time.Now()
	status := o.get(ctx, l.machine, newest.added, sent)
	if status == 0 || status >= http.StatusInternalServerError {
		return
	}
	o.mu.Lock()
	o.probes++
	o.mu.Unlock()
	if _, up := l.machine.runsSince(); !up || l.machine.disturbedSince(sent.Add(-contact)) {
		return
	}
	if status == http.StatusUnauthorized {
		o.breach("DENIED", "%s does not know a credential that every configuration has", l.machine.ID)
	}
	if status != http.StatusNotFound {
		if _, ok := seen[l]; !ok || seen[l].revision < newest.revision {
			seen[l] = sighting{newest.revision, time.Now()}
		}
	} else if s, ok := seen[l]; ok && s.revision >= newest.revision && sent.Sub(s.at) > revertSlack {
		o.breach("CONFIG", "%s went back: revision %d was in force there %s ago",
			l.machine.ID, s.revision, sent.Sub(s.at).Round(time.Millisecond))
	}
	late := sent.Sub(newest.acked)
	if late < configApply || (late < configApply+stretch && !o.coresQuiet(sent.Add(-contact-configApply))) {
		return
	}
	if status == http.StatusNotFound && !o.removedLater(newest) {
		o.breach("CONFIG", "%s answers 404 on route %s, %s after revision %d was acknowledged",
			l.machine.ID, newest.added, late.Round(time.Millisecond), newest.revision)
	}
	if newest.removed == "" {
		return
	}
	if status := o.get(ctx, l.machine, newest.removed, sent); status == http.StatusOK {
		o.breach("CONFIG", "%s serves route %s, %s after revision %d without it was acknowledged",
			l.machine.ID, newest.removed, late.Round(time.Millisecond), newest.revision)
	}
}

// removedLater reports whether a change that was sent removes what another added.
func (o *operator) removedLater(c *change) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, later := range o.changes {
		if later.removed == c.added {
			return true
		}
	}
	return false
}

// get asks an edge for a route; 0 means that no answer came.
func (o *operator) get(ctx context.Context, edge *Machine, name string, at time.Time) int {
	url := fmt.Sprintf("http://%s/%s/w5", edge.addr(frontPort), name)
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0
	}
	q.Host = authority
	q.Header.Set(headerAttempt, fmt.Sprintf("probe-%s-%s-%d", edge.ID, name, at.UnixNano()))
	q.Header.Set(headerRemaining, "1500")
	q.Header.Set(headerCredential, tenants[0].credential)
	r, err := o.web.Do(q)
	if err != nil {
		return 0
	}
	defer r.Body.Close()
	_, _ = io.Copy(io.Discard, r.Body)
	return r.StatusCode
}
