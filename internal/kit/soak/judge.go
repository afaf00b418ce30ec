package soak

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"
)

// A Breach is one broken rule.
type Breach struct {
	At   time.Time
	Rule string
	What string
}

// Report is the verdict on a run.
type Report struct {
	Begun                                time.Time
	Breaches                             []Breach
	Exits                                []Exit // those that were not expected
	Requests, Served, Refused, Cut, Runs int
	// Spoiled are requests of which a runner spoiled the answer.
	Spoiled int
	// OverQuota are requests that were refused because their tenant had sent too many.
	OverQuota int
	// BelowQuota are requests that were refused so although their tenant sends far less than it may.
	BelowQuota int
	// PeakMB is the highest memory of a process of each role.
	PeakMB memoryMB
	// NotKept are turns cut as over two stores were away.
	NotKept                              int
	Acknowledged, Unclear, Probes, Reads int
	// Early are processes that ended by a SIGHUP before they could take one.
	Early int
	// Recovered is how long after the start of all machines nine of ten requests of half a
	// second were served; 0: never.
	Recovered time.Duration
}

// Passed reports whether nothing was broken.
func (r *Report) Passed() bool { return len(r.Breaches) == 0 && len(r.Exits) == 0 }

// Write prints it.
func (r *Report) Write(w io.Writer) {
	slices.SortFunc(r.Breaches, func(a, b Breach) int { return a.At.Compare(b.At) })
	for _, b := range r.Breaches {
		fmt.Fprintf(w, "%7.2f s  %s: %s\n", b.At.Sub(r.Begun).Seconds(), b.Rule, b.What)
	}
	for _, x := range r.Exits {
		fmt.Fprintf(w, "%7.2f s  EXIT: %s, after %s: %s (%s)\n", x.At.Sub(r.Begun).Seconds(), x.Machine,
			x.Lived.Round(time.Millisecond), x.Why, x.How)
	}
	fmt.Fprintf(w, "soak: %d requests, %d served, %d refused, %d cut, %d of them not kept; %d runs; "+
		"%d changes acknowledged, %d unclear; %d probes, %d reads; %d ended before they took signals; "+
		"%d over their quota, %d refused below it; %d answers spoiled; at most %d MB an edge, %d a store, %d a core; "+
		"back %s after the closing fault; %d breaches, %d unexpected exits\n",
		r.Requests, r.Served, r.Refused, r.Cut, r.NotKept, r.Runs,
		r.Acknowledged, r.Unclear, r.Probes, r.Reads, r.Early,
		r.OverQuota, r.BelowQuota, r.Spoiled, r.PeakMB[roleEdge], r.PeakMB[roleStore], r.PeakMB[roleCore],
		r.Recovered.Round(time.Millisecond), len(r.Breaches), len(r.Exits))
}

func (r *Report) breach(at time.Time, rule, format string, a ...any) {
	r.Breaches = append(r.Breaches, Breach{at, rule, fmt.Sprintf(format, a...)})
}

func (r *Rig) judge(c closing, readBack bool) *Report {
	out := &Report{Begun: r.begun, Breaches: slices.Clone(r.operator.breaches), PeakMB: r.peaks()}
	var all []*exchange
	for _, client := range r.clients {
		all = append(all, client.exchanges...)
	}
	var bursting []*exchange
	for _, client := range r.bursting {
		bursting = append(bursting, client.exchanges...)
	}
	operations := map[string][]run{}
	for _, x := range all {
		if x.kind == keyedJob {
			operations[x.operation] = append(operations[x.operation], r.ledger.of(x.attempt)...)
		}
	}
	for operation, runs := range operations {
		if len(runs) > 1 {
			out.breach(runs[1].began, "TWICE", "operation %s ran %d times", operation, len(runs))
		}
	}
	for _, x := range slices.Concat(all, bursting) {
		r.judgeExchange(out, x, operations[x.operation])
	}
	r.judgeQuotas(out, all, bursting)
	for _, m := range r.fleet.ever() {
		for _, x := range m.exits {
			switch {
			case x.early:
				out.Early++
			case !x.Expected:
				out.Exits = append(out.Exits, x)
			}
		}
	}
	for _, change := range r.operator.changes {
		switch {
		case !change.acked.IsZero():
			out.Acknowledged++
		case !change.refused:
			out.Unclear++
		}
	}
	out.Probes, out.Reads = r.operator.probes, r.operator.reads
	if !readBack {
		out.breach(time.Now(), "CONFIG", "not to be read for %s at the end", contact)
	}
	out.Recovered = recovery(all, c.back)
	if out.Recovered == 0 || out.Recovered > recoverWithin {
		out.breach(c.back, "RECOVER", "nine of ten requests are served again after %s (0: never)", out.Recovered)
	}
	return out
}

// recovery is how long after a time nine of ten requests begun in half a second were served.
func recovery(all []*exchange, since time.Time) time.Duration {
	const window = 500 * time.Millisecond
	for from := time.Duration(0); from < 30*time.Second; from += window / 5 {
		sent, served := 0, 0
		for _, x := range all {
			if at := x.sent.Sub(since); at >= from && at < from+window {
				sent++
				if x.served() {
					served++
				}
			}
		}
		if sent >= 10 && 10*served >= 9*sent {
			return from + window
		}
	}
	return 0
}

func (x *exchange) served() bool { return x.err == nil && x.status == http.StatusOK }

func (x *exchange) String() string {
	return fmt.Sprintf("%s %s by %s", x.kind, x.attempt, x.edge.ID)
}

// judgeExchange judges a request; ofOperation are the runs of all requests of its operation.
func (r *Rig) judgeExchange(out *Report, x *exchange, ofOperation []run) {
	out.Requests++
	runs := r.ledger.of(x.attempt)
	out.Runs += len(runs)
	r.judgeRuns(out, x, runs)
	if slices.ContainsFunc(runs, func(run run) bool { return run.spoiled }) {
		out.Spoiled++
	}
	if strings.Contains(x.body, spoiledMark) || strings.Contains(x.seal, spoiledMark) {
		out.breach(x.ended, "SPOILED", "%s was shown bytes of a spoiled answer", x)
	}
	switch {
	case x.served():
		out.Served++
		if x.kind == keyedJob {
			runs = ofOperation
		}
		judgeAnswer(out, x, runs)
	case x.err != nil:
		out.Cut++
		r.judgeCut(out, x, runs)
	default:
		out.Refused++
		judgeRefusal(out, x, runs)
	}
}

// judgeRuns judges how often a request ran, and with what.
func (r *Rig) judgeRuns(out *Report, x *exchange, runs []run) {
	if x.kind != readJob && len(runs) > 1 {
		out.breach(x.sent, "TWICE", "%s ran %d times", x, len(runs))
	}
	for _, run := range runs {
		if run.body != x.want {
			out.breach(x.sent, "UNASKED", "%s ran with %q, want %q", x, run.body, x.want)
		}
		if run.tenant != x.tenant.name || run.secret {
			const what = "%s of %s ran for %q, credential shown: %v"
			out.breach(x.sent, "UNASKED", what, x, x.tenant.name, run.tenant, run.secret)
		}
		if (run.service == modelService) != (x.kind == turnJob) {
			out.breach(x.sent, "ROUTE", "%s ran at %s of %s", x, run.runner, run.service)
		}
	}
}

// judgeAnswer judges a success: it is the whole answer of a runner that ran it.
func judgeAnswer(out *Report, x *exchange, runs []run) {
	for _, run := range runs {
		// A repeat of an operation gets the answer to whichever request of it ran.
		want := plainBody(run.runner, run.attempt)
		if x.kind == turnJob {
			want = streamText(x.attempt)
		}
		if x.seal == sealOf(run.runner, run.attempt) && x.body == want {
			return
		}
	}
	out.breach(x.sent, "MIXED", "%s: no runner gave the answer %q, sealed %q", x, x.body, x.seal)
}

func streamText(attempt string) string {
	var s strings.Builder
	for i := 1; i <= events; i++ {
		fmt.Fprintf(&s, "id: %d\ndata: %s\n\n", i, eventData(attempt, i))
	}
	return s.String()
}

func judgeRefusal(out *Report, x *exchange, runs []run) {
	switch x.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable,
		http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if len(runs) > 0 && x.kind != readJob {
			out.breach(x.sent, "REFUSED", "%s ran and was answered %d: %s", x, x.status, x.body)
		}
	case http.StatusConflict:
		if x.kind != keyedJob {
			out.breach(x.sent, "DENIED", "%s: %d %s", x, x.status, x.body)
		}
	case http.StatusBadGateway, http.StatusGatewayTimeout:
		// They promise nothing. These runners never fail, but edges may not reach them.
	case http.StatusNotFound:
		if x.follows != "" {
			out.breach(x.sent, "LOST", "%s: the turn %s before it is not found", x, x.follows)
			return
		}
		out.breach(x.sent, "CONFIG", "%s: its route is not found", x)
	default:
		out.breach(x.sent, "DENIED", "%s: %d %s", x, x.status, x.body)
	}
}

// storesAway reports whether within a span more stores were in trouble than may be.
func (r *Rig) storesAway(from, to time.Time) bool {
	away := 0
	for _, m := range r.fleet.everOf(roleStore) {
		if _, in := m.happened(from, to, killed, frozen, ended, started); in {
			away++
		}
	}
	return away > diskBudget
}

// judgeCut judges a connection that ended without a whole answer. Whoever kills an edge, or
// makes it stand still, cuts its requests; nobody else may.
func (r *Rig) judgeCut(out *Report, x *exchange, runs []run) {
	if x.gaveUp() {
		out.Cut--
		return
	}
	if _, cut := x.edge.happened(x.sent.Add(-time.Second), x.ended.Add(lossSlack), killed, frozen, thawed); cut {
		return
	}
	stopped, stopping := x.edge.happened(x.sent.Add(-grace), x.ended, terminated)
	when := "in service"
	if stopping {
		when = fmt.Sprintf("sent %s, cut %s after a SIGTERM", x.sent.Sub(stopped).Round(time.Millisecond),
			x.ended.Sub(stopped).Round(time.Millisecond))
	}
	switch {
	case x.kind == turnJob && slices.ContainsFunc(runs, func(run run) bool { return run.spoiled }):
		// The runner broke its stream off.
	case len(runs) > 0 && stopping && x.sent.Sub(stopped) <= 3*time.Second && x.ended.Sub(stopped) > grace*5/6:
		// The runner was still at work when the time of the edge was over.
	case len(runs) > 0 && x.kind == turnJob && r.storesAway(x.sent.Add(-contact), x.ended):
		// What was said could not be kept, so the answer must not end as complete.
		out.NotKept++
	case len(runs) > 0:
		out.breach(x.ended, "LOST", "%s was passed on and cut after %s, %s: %v", x,
			x.ended.Sub(x.sent).Round(time.Millisecond), when, x.err)
	case !x.complete.IsZero() && x.ended.Sub(x.complete) > lossSlack:
		out.breach(x.ended, "LOST", "%s was read and cut after %s, %s: %v", x,
			x.ended.Sub(x.complete).Round(time.Millisecond), when, x.err)
	}
}
