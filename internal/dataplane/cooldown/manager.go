// Package cooldown is the shared cooldown: one deadline for each protected call,
// seen by every session worker, installed for all by any worker's refusal.
// docs/cooldown.md names the source and says what was kept and what changed.
package cooldown

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"damsontiller/internal/coordination/node"
	"damsontiller/internal/coordination/storeclient"
	"damsontiller/internal/dataplane/job"
	"damsontiller/internal/proto/register"
	"damsontiller/internal/proto/spec"
	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport/code"
	"damsontiller/internal/transport/loop"
)

// Params are the worker's times.
type Params struct {
	Read  time.Duration // deadline of a look at the deadline
	Write time.Duration // deadline of installing one
	Room  time.Duration // what a call itself needs after a wait
	Word  WordParams
	// Alone leaves each node to its own refusals. It is here for the measure of
	// what sharing is worth; no program sets it.
	Alone bool
}

// DefaultParams are the design's.
var DefaultParams = Params{Read: 150 * time.Millisecond, Write: time.Second, Room: 100 * time.Millisecond, Word: DefaultWord}

// Desk reads and installs cooldowns for the workers of this node.
type Desk struct {
	p Params
	n *node.Node
	t *storeclient.Client

	mu sync.Mutex
	// until is what this node has seen, on its own clock. It only ever saves
	// a look: a deadline seen is in force, one not seen proves nothing.
	until map[string]time.Time
	// gates let few through first once a cooldown has ended.
	gates map[string]*gate
	// kept are refusals that could not be written yet.
	kept map[string]time.Time
	// word is what the stores said of late; wrote is until when they have what this
	// node wrote, and writes what it is writing.
	word   word
	wrote  map[string]time.Time
	writes map[string]*write
	seq    uint64
	// installs counts cooldowns written.
	installs uint64

	kick                  loop.Wakeup // asks the stores for their word
	hot                   atomic.Bool // some cooldown or gate is known
	words, lookups, blind atomic.Uint64
}

// New makes the desk and listens for what others spread.
func New(p Params, n *node.Node, t *storeclient.Client) *Desk {
	d := &Desk{p: p, n: n, t: t, until: map[string]time.Time{}, gates: map[string]*gate{}, kept: map[string]time.Time{},
		word: newWord(), wrote: map[string]time.Time{}, writes: map[string]*write{}, kick: loop.NewWakeup()}
	n.Broadcast.Handle("cool", d.hear)
	return d
}

// value is what the register holds: how long to wait, counted by each store
// from when it took the value.
type value struct {
	Step   int   `json:"step"`
	WaitMs int64 `json:"wait_ms"`
}

// Prefix is what the registers' keys begin with.
const Prefix = "cool/"

func regKey(key string) string { return Prefix + key }

// Ceil is a wait in whole milliseconds, never shorter.
func Ceil(w time.Duration) int64 { return (w + time.Millisecond - 1).Milliseconds() }

func decode(b []byte) (value, error) {
	var v value
	if err := json.Unmarshal(b, &v); err != nil {
		return v, code.New(code.Garbled, "cooldown: %w", err)
	}
	return v, nil
}

// WaitOf is the wait that a register's value holds.
func WaitOf(b []byte) (time.Duration, error) {
	v, err := decode(b)
	return time.Duration(v.WaitMs) * time.Millisecond, err
}

// Key is the cooldown key of a call: the account where one is named, else the
// tool's route or the model server.
func Key(s *spec.Spec, r spec.Runner) string {
	acct, model := r.Account, false
	for _, t := range s.Routes {
		if t.Name == r.Route {
			model = t.Model
			if acct == "" {
				acct = t.Account
			}
		}
	}
	switch {
	case acct != "":
		return "account/" + acct
	case model:
		return "server/" + r.Name
	}
	return "route/" + r.Route
}

// Seen is the wait as far as this node knows without asking.
func (d *Desk) Seen(key string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return max(d.left(key), 0)
}

// left is the wait by the latest deadline known.
func (d *Desk) left(key string) time.Duration {
	u := d.until[key]
	if e := d.word.told[key].end(); e.After(u) {
		u = e
	}
	return time.Until(u)
}

func (d *Desk) see(key string, w time.Duration) {
	if w <= 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.narrow(key)
	// A merge never shortens.
	if u := time.Now().Add(w); u.After(d.until[key]) {
		d.until[key] = u
	}
}

// narrow lets one call of the key through at first, once its cooldown is over.
func (d *Desk) narrow(key string) {
	d.hot.Store(true)
	g := d.gates[key]
	if g == nil {
		g = &gate{used: time.Now()}
		d.gates[key] = g
	}
	g.most = 1
}

// widen lets twice as many through after a good answer, unless the key cools.
func (d *Desk) widen(key string, g *gate) {
	if d.left(key) > 0 {
		return
	}
	if g.most *= 2; g.most > gateOpen && d.gates[key] == g {
		delete(d.gates, key)
	}
}

// gate bounds the calls of one key that this node has under way at once, after
// a cooldown: one at first, twice as many with each good answer. A whole backlog
// let loose at once would only be refused again.
type gate struct {
	most, busy int
	used       time.Time
}

// gateOpen is where a gate is wide enough to be none.
const gateOpen = 16

// Free tells whether a call of the key may be made as far as this node knows.
func (d *Desk) Free(key string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	g := d.gates[key]
	return g == nil || g.busy < g.most
}

// Enter counts a call in that Free let through, Leave counts it out.
func (d *Desk) Enter(key string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if g := d.gates[key]; g != nil {
		g.busy++
	}
}

// Leave widens the gate after a good answer.
func (d *Desk) Leave(key string, good bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	g := d.gates[key]
	if g == nil {
		return
	}
	// Calls from before the gate were never counted in.
	g.busy = max(g.busy-1, 0)
	g.used = time.Now()
	if good {
		d.widen(key, g)
	}
}

// Look reads the deadline at a majority. Without one there is no answer, and
// the call must not be made. It tells under which spec it looked.
func (d *Desk) Look(ctx context.Context, key string) (time.Duration, uint64, error) {
	if w := d.Seen(key); w > 0 || d.p.Alone {
		return w, d.n.Cluster.Now().Version, nil
	}
	ctx, stop := context.WithTimeout(ctx, d.p.Read)
	defer stop()
	st, ver, err := d.t.ReadStrict(ctx, regKey(key))
	if err != nil {
		return 0, ver, err
	}
	w, _, err := remains(st)
	d.see(key, w)
	return w, ver, err
}

func remains(st register.State) (time.Duration, value, error) {
	if len(st.Value) == 0 {
		return 0, value{}, nil
	}
	v, err := decode(st.Value)
	if err != nil {
		return 0, v, err
	}
	return max(time.Duration(v.WaitMs)*time.Millisecond-st.Age, 0), v, nil
}

// Next works out the value after one more refusal. Refusals within one
// cooldown are one step; after a quiet spell the steps start again.
func next(c *spec.Cooldown, st register.State, floor time.Duration) (value, bool, error) {
	left, v, err := remains(st)
	if err != nil {
		return v, false, err
	}
	if left > 0 {
		// Retry-After is a floor: a longer one lengthens, none shortens.
		if floor <= left {
			return v, false, nil
		}
		return value{v.Step, Ceil(floor)}, true, nil
	}
	step := v.Step + 1
	if len(st.Value) == 0 || st.Age-time.Duration(v.WaitMs)*time.Millisecond > c.Quiet() {
		step = 1
	}
	wait := c.First()
	for i := 1; i < step && wait < c.Cap(); i++ {
		wait *= 2
	}
	wait = max(min(wait, c.Cap()), floor)
	return value{min(step, 30), Ceil(wait)}, true, nil
}

// Install puts a refusal in force for all and gives the wait. It returns once
// the cooldown is written, or once its writing has failed by the deadline; then
// it is spread by the tree, kept, and written when the tier is back.
func (d *Desk) Install(ctx context.Context, key string, floor time.Duration) time.Duration {
	c := d.n.Cluster.Now().Spec.Cooldown
	// This node stops at once, whatever becomes of the write.
	d.see(key, max(floor, c.First()))
	if d.p.Alone {
		return d.Seen(key)
	}
	w, err := d.write(ctx, key, floor)
	if err != nil {
		w = d.Seen(key)
		d.mu.Lock()
		d.kept[key] = time.Now().Add(w)
		d.mu.Unlock()
		d.n.Log.Warn("cooldown kept until the tier is back", "key", key, "wait", w, "err", err)
	}
	d.see(key, w)
	d.tell(key, w)
	return w
}

func (d *Desk) write(ctx context.Context, key string, floor time.Duration) (time.Duration, error) {
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), d.p.Write)
	defer stop()
	c := d.n.Cluster.Now().Spec.Cooldown
	var wait time.Duration
	st, err := d.t.Change(ctx, regKey(key), func(st register.State) ([]byte, bool, error) {
		v, changed, err := next(&c, st, floor)
		if err != nil {
			return nil, false, err
		}
		if !changed {
			wait, _, _ = remains(st)
			return nil, false, errInForce
		}
		b, err := json.Marshal(v)
		return b, true, err
	})
	if errors.Is(err, errInForce) {
		d.noteWrote(key, wait)
		return wait, nil
	}
	if err != nil {
		return 0, err
	}
	d.mu.Lock()
	d.installs++
	d.mu.Unlock()
	wait, _, err = remains(st)
	d.noteWrote(key, wait)
	return wait, err
}

// noteWrote remembers until when the stores have a cooldown in force.
func (d *Desk) noteWrote(key string, w time.Duration) {
	d.mu.Lock()
	d.wrote[key] = time.Now().Add(w)
	d.mu.Unlock()
}

var errInForce = code.New(code.Cooling, "a longer cooldown is in force")

type spread struct {
	Key    string `json:"key"`
	WaitMs int64  `json:"wait_ms"`
}

// tell spreads what was installed, so that others need not ask to know.
func (d *Desk) tell(key string, w time.Duration) {
	d.mu.Lock()
	d.seq++
	i := &wire.Item{Topic: "cool", Key: d.n.Peer.Self.Id + "/" + key, Epoch: d.n.Peer.Self.Inc, Seq: d.seq, Brief: true}
	d.mu.Unlock()
	i.Body, _ = json.Marshal(spread{key, Ceil(w)})
	go d.n.Broadcast.Publish(context.Background(), i)
}

func (d *Desk) hear(i *wire.Item) error {
	var s spread
	if err := json.Unmarshal(i.Body, &s); err != nil {
		return code.New(code.Garbled, "cool: %w", err)
	}
	d.see(s.Key, time.Duration(s.WaitMs)*time.Millisecond)
	return nil
}

// Run writes kept refusals once the tier takes them, and forgets what is over.
func (d *Desk) Run(ctx context.Context) {
	loop.Every(ctx, 250*time.Millisecond, nil, func(ctx context.Context) {
		d.sweep()
		d.mu.Lock()
		todo := map[string]time.Time{}
		for k, u := range d.kept {
			todo[k] = u
		}
		d.mu.Unlock()
		for k, u := range todo {
			left := time.Until(u)
			if left > 0 {
				if _, err := d.write(ctx, k, left); err != nil {
					continue
				}
			}
			d.mu.Lock()
			if d.kept[k].Equal(u) {
				delete(d.kept, k)
			}
			d.mu.Unlock()
		}
	})
}

// Door refuses at once, before anything is written, a job whose every runner
// is known to be cooling for longer than the job can wait.
type Door struct {
	D *Desk
	// Keys lists the cooldown keys that could serve the job.
	Keys func(*job.Ctx) []string
}

// Do is the policy.
func (p Door) Do(c *job.Ctx, next job.Next) job.Answer {
	least := time.Duration(-1)
	for _, k := range p.Keys(c) {
		if w := p.D.Seen(k); least < 0 || w < least {
			least = w
		}
	}
	if least > 0 && !c.Fits(least, p.D.p.Room) {
		return Cooling(least)
	}
	return next(c)
}

// Cooling is the answer that tells when to come back.
func Cooling(w time.Duration) job.Answer {
	a := job.Bad(code.Cooling, "cooling down for %d ms", w.Milliseconds())
	a.Wait = w
	return a
}

// Spec is the version in force here.
func (d *Desk) Spec() uint64 { return d.n.Cluster.Now().Version }

// Count is how many cooldowns this node has written.
func (d *Desk) Count() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.installs
}

// All lists the cooldowns this node knows to be in force.
func (d *Desk) All() map[string]int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := map[string]int64{}
	for k := range d.until {
		if w := d.left(k); w > 0 {
			out[k] = w.Milliseconds()
		}
	}
	for k := range d.word.told {
		if w := d.left(k); w > 0 {
			out[k] = w.Milliseconds()
		}
	}
	return out
}

var words = []string{"429", "rate limit", "ratelimit", "too many requests", "throttle", "quota exceeded"}

// Raised tells whether a raised failure is a rate limit, by its message or its
// type's name.
func Raised(typ, msg string) bool {
	for _, s := range []string{strings.ToLower(typ), strings.ToLower(msg)} {
		for _, w := range words {
			if strings.Contains(s, w) {
				return true
			}
		}
	}
	return false
}

// RetryAfter reads a Retry-After header, in seconds or as a date. A date is
// read against the same server's own Date, so that no two clocks are compared.
func RetryAfter(h http.Header) time.Duration {
	s := strings.TrimSpace(h.Get("Retry-After"))
	if s == "" {
		return 0
	}
	if n, err := strconv.ParseFloat(s, 64); err == nil {
		if n <= 0 || n != n {
			return 0
		}
		return time.Duration(min(n, 24*3600) * float64(time.Second))
	}
	at, err := http.ParseTime(s)
	if err != nil {
		return 0
	}
	from, err := http.ParseTime(h.Get("Date"))
	if err != nil {
		from = time.Now()
	}
	return min(max(at.Sub(from), 0), 24*time.Hour)
}
