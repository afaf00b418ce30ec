package proxy

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"damsontiller/internal/coordination/cluster"
	"damsontiller/internal/coordination/web"
	"damsontiller/internal/dataplane/cooldown"
	"damsontiller/internal/dataplane/endpoints"
	"damsontiller/internal/proto/spec"
	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport/code"
	"damsontiller/internal/transport/loop"
)

func itoa(n int64) string { return strconv.FormatInt(n, 10) }

// Params are the settings of raw jobs.
type Params struct {
	Body    int64         // bytes of a body taken where the table says nothing
	Margin  time.Duration // the deadline lies so far before the caller's
	Door    time.Duration // how long a job waits for a node that has just come up
	Hold    float64       // part of its aim that a job is held for a free place
	Avoid   time.Duration // how long a runner that could not be reached is kept away from
	Over    float64       // times its room that a runner may be sent, where all are full
	Idle    float64       // part of its room under which a runner has no reason to refuse
	List    time.Duration // how old a reading of the list may be to prove a runner warm
	Turns   TurnParams
	Budgets BudgetParams
	Pool    PoolParams
}

// DefaultParams are the design's.
var DefaultParams = Params{Body: 4 << 20, Margin: 15 * time.Millisecond, Door: time.Second, Hold: 0.25, Avoid: time.Second, Over: 3, Idle: 0.7, List: 2 * time.Second,
	Turns: DefaultTurns, Budgets: DefaultBudgets, Pool: DefaultPool}

// Parts are what a door is joined to.
type Parts struct {
	Self    *wire.Member
	View    func() *cluster.View
	Members func() []*wire.Member
	Ready   func() error
	Roll    *endpoints.Roll
	Load    *Load
	Pool    *Pool
	Cool    *cooldown.Desk
	Dialect Dialect
	Log     hclog.Logger
	Way     []Policy // before the send, outermost first
}

// Door takes raw jobs and sees each to its answer.
type Door struct {
	p    Params
	pt   Parts
	next Next
	ix   atomic.Pointer[index]
	free *broadcast
	zone refills

	mu     sync.Mutex
	counts map[string]int64
}

type index struct {
	ver uint64
	*spec.Index
}

// New makes a door.
func New(p Params, pt Parts) *Door {
	d := &Door{p: p, pt: pt, free: newBroadcast(), counts: map[string]int64{}}
	d.next = Chain(d.pass, pt.Way...)
	return d
}

// index is that of the table in force, made once a version.
func (d *Door) index(v *cluster.View) *spec.Index {
	x := d.ix.Load()
	if x == nil || x.ver != v.Version {
		x = &index{v.Version, spec.NewIndex(&v.Table)}
		d.ix.Store(x)
	}
	return x.Index
}

// Counts is how many jobs were answered with each code.
func (d *Door) Counts() map[string]int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := map[string]int64{}
	for k, n := range d.counts {
		out[k] = n
	}
	return out
}

// ServeHTTP takes one job.
func (d *Door) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	j := &Job{Context: r.Context(), Arrived: time.Now(), View: d.pt.View(), Req: r}
	o := &Out{w: w}
	a := d.do(j, o)
	d.mu.Lock()
	d.counts[code.Of(a.Err).Name()]++
	d.mu.Unlock()
	if a.Err == nil {
		return
	}
	d.pt.Log.Debug("job not served", "job", j.Try, "code", int(code.Of(a.Err)), "why", a.Err, "took", time.Since(j.Arrived))
	if o.begun || j.Err() != nil {
		// What has begun must not look whole.
		panic(http.ErrAbortHandler)
	}
	d.refuse(w, a)
}

// refuse tells a caller what became of a job, and when to come back.
func (d *Door) refuse(w http.ResponseWriter, a Answer) {
	p := web.Of(a.Err)
	if a.Wait > 0 {
		// Fractions are understood, and rounded up: never back too early.
		w.Header().Set("Retry-After", strconv.FormatFloat(float64(cooldown.Ceil(a.Wait))/1000, 'f', 3, 64))
		p.WaitMs = cooldown.Ceil(a.Wait)
		p.NotBefore = time.Now().Add(a.Wait + time.Millisecond - 1).UTC().Format("2006-01-02T15:04:05.000Z")
	}
	b, _ := json.Marshal(p)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(code.Code(p.Code).Status())
	_, _ = w.Write(b)
}

func (d *Door) do(j *Job, o *Out) Answer {
	if err := d.open(j); err != nil {
		return Refuse(err, 200*time.Millisecond)
	}
	j.View = d.pt.View()
	if j.View.Table.Revision == 0 {
		return Refuse(code.New(code.NotReady, "no table of routes yet"), 200*time.Millisecond)
	}
	x := d.index(j.View)
	j.Path = x.Path(j.Req.Host, rawPath(j.Req))
	if j.Path == nil {
		if h, _, err := net.SplitHostPort(j.Req.Host); err == nil {
			j.Path = x.Path(h, rawPath(j.Req))
		}
	}
	if j.Path == nil {
		return Answer{Err: code.New(code.NoRoute, "no route for %s%s", j.Req.Host, rawPath(j.Req))}
	}
	if err := d.pt.Dialect.Read(j.Req, j); err != nil {
		return Answer{Err: err}
	}
	most := d.p.Body
	if n := j.View.Table.Limits.BodyBytes; n > 0 {
		most = n
	}
	b, err := body(j.Req, most)
	if err != nil {
		return Answer{Err: err}
	}
	j.Body = b
	hold := time.Duration(j.Path.GuardMs) * time.Millisecond
	if j.Wait > 0 {
		hold = min(hold, j.Wait-d.p.Margin)
	}
	j.AnswerBy = j.Arrived.Add(hold)
	if hold <= 0 {
		return Refuse(code.New(code.DeadlinePassed, "no time is left"), 0)
	}
	j.Service = x.Service(pickShare(j.Path.To, j.lot()))
	return d.next(j, o)
}

// open waits a moment for a node that has just come up to be ready: after a loss of
// power all callers come back at once, and a refusal would cost each a try.
func (d *Door) open(j *Job) error {
	for {
		err := d.pt.Ready()
		if code.Of(err) != code.NotReady || time.Since(j.Arrived) > d.p.Door {
			return err
		}
		if !loop.Wait(j, 10*time.Millisecond) {
			return err
		}
	}
}

// rawPath is the path as it came, not unescaped.
func rawPath(r *http.Request) string {
	p, _, _ := strings.Cut(r.RequestURI, "?")
	return p
}

// body reads a whole body.
func body(r *http.Request, most int64) ([]byte, error) {
	if r.ContentLength > most {
		return nil, code.New(code.TooLarge, "more than %d bytes", most)
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	var b []byte
	var err error
	if r.ContentLength > 0 {
		b = make([]byte, r.ContentLength)
		_, err = io.ReadFull(r.Body, b)
	} else {
		b, err = io.ReadAll(io.LimitReader(r.Body, most+1))
	}
	if err != nil {
		return nil, code.New(code.BadJSON, "body can't be read: %w", err)
	}
	if int64(len(b)) > most {
		return nil, code.New(code.TooLarge, "more than %d bytes", most)
	}
	return b, nil
}

// lot is a job's lot where a path has several services: the same for all jobs of
// one program, so that what a runner holds of it stays of use.
func (j *Job) lot() uint64 {
	k := j.Program
	if k == "" {
		k = j.Try
	}
	return weigh(k, j.Path.Name)
}

// perEvent is the output that one event counts for.
func (j *Job) perEvent() int64 {
	if j.Service == nil || j.Service.Engine == nil {
		return 1
	}
	return j.Service.Engine.TokensPerEvent
}

// noRunner refuses a job that no runner may be sent now.
func noRunner(j *Job, why string) Answer {
	return Refuse(code.New(code.NoRunner, "no runner of %s: %s", j.Service.Name, why), 150*time.Millisecond)
}

func broken(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout() || errors.Is(err, context.DeadlineExceeded)
}
