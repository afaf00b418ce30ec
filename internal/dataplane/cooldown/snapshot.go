package cooldown

import (
	"context"
	"slices"
	"strings"
	"time"

	"damsontiller/internal/coordination/cluster"
	"damsontiller/internal/proto/register"
	"damsontiller/internal/proto/spec"
	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport/loop"
)

// WordParams are the times of the stores' word, on which a node that passes many
// jobs rests in place of a majority read for each.
type WordParams struct {
	Every time.Duration // between two askings
	Ask   time.Duration // deadline of one
	Old   time.Duration // an answer asked for longer ago is no word any more
	Idle  time.Duration // so long after the last job nobody is asked
	Look  time.Duration // deadline of a look where there is no fresh word
	Join  time.Duration // a look begun no longer ago serves the next job as well
	Wait  time.Duration // how long a refused job waits for its cooldown to be written
}

// DefaultWord are the design's.
var DefaultWord = WordParams{Every: 250 * time.Millisecond, Ask: 350 * time.Millisecond, Old: 600 * time.Millisecond, Idle: 2 * time.Second,
	Look: 100 * time.Millisecond, Join: 200 * time.Millisecond, Wait: 150 * time.Millisecond}

// word is what the stores said of late. Desk.mu guards it.
type word struct {
	at   map[register.Replica]time.Time // when the newest answer was asked for
	told map[string]*told               // by cooldown key

	// have are the stores whose answers are fresh, until one of them isn't; ok is
	// whether they are a majority of a key's holders, under one spec.
	have  map[register.Replica]bool
	until time.Time
	ver   uint64
	ok    map[string]bool

	asked time.Time // last
	used  time.Time // by a job, last
	looks map[string]*look
	// failed is when a look last failed, fails how many did in a row.
	failed time.Time
	fails  int
}

// told is one register as the stores tell of it. Every store counts from when it
// took the value, which is after the refusal: of one value the shortest count is
// long enough. A store that took it late, by repair, must not make it longer.
type told struct {
	ver  uint64
	ends map[uint64]time.Time // by the mark of the change: of one version there may be several values, one chosen
}

// remember is how long a cooldown that is over is known to be over.
const remember = 10 * time.Minute

func newWord() word {
	return word{at: map[register.Replica]time.Time{}, told: map[string]*told{}, ok: map[string]bool{}, looks: map[string]*look{}}
}

func (t *told) end() time.Time {
	var end time.Time
	if t == nil {
		return end
	}
	for _, e := range t.ends {
		if e.After(end) {
			end = e
		}
	}
	return end
}

// take notes one register of one store's answer, and tells whether it is news.
func (w *word) take(key string, ver, op uint64, end time.Time) bool {
	t := w.told[key]
	switch {
	case t == nil || ver > t.ver:
		w.told[key] = &told{ver, map[uint64]time.Time{op: end}}
		return true
	case ver < t.ver:
		return false
	}
	old, known := t.ends[op]
	if !known || end.Before(old) {
		t.ends[op] = end
	}
	return !known
}

// heard takes a store's answer. What is left counts from when it came, which is
// never too short.
func (d *Desk) heard(r register.Replica, asked time.Time, cools []*wire.Cool) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range cools {
		key, ok := strings.CutPrefix(c.Key, Prefix)
		if !ok || c.LeftMs <= 0 {
			continue
		}
		if d.word.take(key, c.Ver, c.Op, now.Add(time.Duration(c.LeftMs)*time.Millisecond)) && d.left(key) > 0 {
			d.narrow(key)
		}
	}
	if asked.After(d.word.at[r]) {
		d.word.at[r] = asked
	}
	if !d.word.have[r] {
		d.word.until = time.Time{}
	}
}

// fresh tells whether a majority of a key's holders have answered of late.
func (d *Desk) fresh(key string) bool {
	w, v, now := &d.word, d.n.Cluster.Now(), time.Now()
	if v.Version != w.ver || !now.Before(w.until) {
		have, until := map[register.Replica]bool{}, now.Add(d.p.Word.Old)
		for r, at := range w.at {
			end := at.Add(d.p.Word.Old)
			if !now.Before(end) {
				delete(w.at, r)
				continue
			}
			have[r] = true
			if end.Before(until) {
				until = end
			}
		}
		same := v.Version == w.ver && len(have) == len(w.have)
		for r := range have {
			same = same && w.have[r]
		}
		if !same || len(w.ok) > maxKeys {
			w.ok = map[string]bool{}
		}
		w.have, w.until, w.ver = have, until, v.Version
	}
	ok, known := w.ok[key]
	if !known {
		s := v.Stores(Prefix + key)
		ok = s.Quorum(w.have)
		w.ok[key] = ok
	}
	return ok
}

// maxKeys bounds what is remembered of keys by heart.
const maxKeys = 4096

// Word keeps the stores' word fresh while there are jobs, until ctx ends.
func (d *Desk) Word(ctx context.Context) {
	loop.Every(ctx, d.p.Word.Every, d.kick, func(ctx context.Context) {
		now := time.Now()
		d.mu.Lock()
		due := now.Sub(d.word.used) < d.p.Word.Idle && now.Sub(d.word.asked) >= d.p.Word.Every/2
		if due {
			d.word.asked = now
		}
		d.mu.Unlock()
		if due {
			d.askAll(ctx, d.n.Cluster.Now(), now)
		}
	})
}

// askAll asks every store at once and waits for none.
func (d *Desk) askAll(ctx context.Context, v *cluster.View, asked time.Time) {
	seen := map[string]bool{}
	ctx = register.WithVersion(ctx, v.Version, false)
	for _, m := range slices.Concat(v.Cluster.Stores, v.NextStores) {
		if m.Ident == "" || seen[m.Ident] {
			continue
		}
		seen[m.Ident] = true
		go d.askOne(ctx, m, asked)
	}
}

func (d *Desk) askOne(ctx context.Context, m spec.Machine, asked time.Time) {
	q := &wire.Req{Ident: m.Ident, Op: &wire.Req_Cools{Cools: &wire.Cools{}}}
	register.SetVersion(ctx, q)
	d.words.Add(1)
	a, err := d.n.Peer.CallFor(ctx, d.p.Word.Ask, m.Addr, q)
	if err != nil {
		// Away, or with another spec: it has no part in the word.
		return
	}
	d.heard(register.Replica{Addr: m.Addr, Ident: m.Ident}, asked, a.GetCools().GetCools())
}

// look is one majority read that several jobs wait for.
type look struct {
	at   time.Time
	done chan struct{}
}

// Clear gives the wait that a call of the key must still keep to, 0 for none. It
// rests on the stores' fresh word, or else on one look. A node whom the stores do
// not answer goes by what it knows: docs/cooldown.md says why. The job has so much
// time left.
func (d *Desk) Clear(ctx context.Context, key string, left time.Duration) time.Duration {
	d.mu.Lock()
	d.word.used = time.Now()
	if w := d.left(key); w > 0 || d.p.Alone {
		d.mu.Unlock()
		return w
	}
	if d.fresh(key) {
		d.mu.Unlock()
		return 0
	}
	if time.Since(d.word.failed) < d.p.Word.Join<<min(d.word.fails, 2) {
		d.mu.Unlock()
		d.kick.Notify()
		d.blind.Add(1)
		return 0
	}
	l := d.word.looks[key]
	if l == nil || time.Since(l.at) > d.p.Word.Join {
		l = &look{time.Now(), make(chan struct{})}
		d.word.looks[key] = l
		go d.look(ctx, key, l)
	}
	d.mu.Unlock()
	d.kick.Notify()
	wctx, stop := context.WithTimeout(ctx, min(d.p.Word.Look, left/10))
	defer stop()
	if !loop.Until(wctx, l.done) {
		d.blind.Add(1)
	}
	return d.Seen(key)
}

func (d *Desk) look(ctx context.Context, key string, l *look) {
	defer close(l.done)
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), d.p.Word.Look)
	defer stop()
	d.lookups.Add(1)
	_, _, err := d.Look(ctx, key)
	d.mu.Lock()
	defer d.mu.Unlock()
	if err == nil {
		d.word.fails, d.word.failed = 0, time.Time{}
		return
	}
	// While the stores are away one job in a while finds out whether they still
	// are. What the node knew of them before it slept is no ground to skip that.
	d.word.fails++
	d.word.failed = time.Now()
	d.n.Log.Debug("cooldown not read", "key", key, "err", err)
}

// Calm tells that this node knows of no cooldown at all, nor of one just over.
func (d *Desk) Calm() bool { return !d.hot.Load() }

// Open tells whether a call of the key may be made as far as this node knows.
func (d *Desk) Open(key string) bool {
	if d.Calm() {
		return true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	g := d.gates[key]
	return d.left(key) <= 0 && (g == nil || g.busy < g.most)
}

// Pass is the leave for one call of a key.
type Pass struct {
	d    *Desk
	key  string
	g    *gate // nil: there was no cooldown of late
	good bool
}

// Admit gives the leave for a call, where its key is clear and, right after a
// cooldown, few others are under way.
func (d *Desk) Admit(ctx context.Context, key string, left time.Duration) (*Pass, bool) {
	if d.Clear(ctx, key, left) > 0 {
		return nil, false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	g := d.gates[key]
	if g != nil {
		if g.busy >= g.most {
			return nil, false
		}
		g.busy++
	}
	return &Pass{d: d, key: key, g: g}, true
}

// Stands tells whether the leave is still good, right before the first byte: a dial
// takes a while, and a node that slept must ask anew.
func (p *Pass) Stands(ctx context.Context, left time.Duration) bool {
	return p.d.Clear(ctx, p.key, left) <= 0
}

// Good widens the gate: the call was taken.
func (p *Pass) Good() {
	if p.g == nil || p.good {
		return
	}
	p.good = true
	p.d.mu.Lock()
	defer p.d.mu.Unlock()
	p.d.widen(p.key, p.g)
}

// Leave ends the call.
func (p *Pass) Leave() {
	if p.g == nil {
		return
	}
	p.d.mu.Lock()
	defer p.d.mu.Unlock()
	p.g.busy--
	p.g.used = time.Now()
}

// write is one writing of a refusal that others may join.
type write struct {
	floor time.Duration
	done  chan struct{}
}

// Refused puts a refusal in force and gives the wait. This node stops at once. The
// caller waits for the stores for a moment only; the write goes on. Refusals of
// one key at once are one write, and none is needed while the stores have a
// cooldown in force that is long enough.
func (d *Desk) Refused(ctx context.Context, key string, floor time.Duration) time.Duration {
	c := &d.n.Cluster.Now().Spec.Cooldown
	d.see(key, max(floor, c.First()))
	d.mu.Lock()
	// Near its end the stores may call it over, and this refusal the next.
	if time.Until(d.wrote[key]) > floor+c.First()/4 {
		d.mu.Unlock()
		return d.Seen(key)
	}
	w := d.writes[key]
	if w == nil || w.floor < floor {
		w = &write{floor, make(chan struct{})}
		d.writes[key] = w
		go func() {
			d.Install(context.WithoutCancel(ctx), key, floor)
			d.mu.Lock()
			if d.writes[key] == w {
				delete(d.writes, key)
			}
			d.mu.Unlock()
			close(w.done)
		}()
	}
	away := d.word.fails > 0
	d.mu.Unlock()
	if away {
		// It has waited for them already.
		return d.Seen(key)
	}
	wctx, stop := context.WithTimeout(ctx, d.p.Word.Wait)
	defer stop()
	loop.Until(wctx, w.done)
	return d.Seen(key)
}

// sweep forgets what is over, so that keys that no runner has any more leave
// nothing behind.
func (d *Desk) sweep() {
	now, quiet := time.Now(), d.n.Cluster.Now().Spec.Cooldown.Quiet()
	d.mu.Lock()
	defer d.mu.Unlock()
	hot := false
	for k, u := range d.until {
		if !now.Before(u) {
			delete(d.until, k)
		}
	}
	for k, t := range d.word.told {
		if now.Sub(t.end()) > remember {
			delete(d.word.told, k)
		}
		hot = hot || now.Before(t.end())
	}
	for k, u := range d.wrote {
		if !now.Before(u) {
			delete(d.wrote, k)
		}
	}
	for k, l := range d.word.looks {
		if now.Sub(l.at) > time.Second {
			delete(d.word.looks, k)
		}
	}
	for k, g := range d.gates {
		if g.busy == 0 && d.left(k) <= 0 && now.Sub(g.used) > quiet {
			delete(d.gates, k)
		}
	}
	d.hot.Store(hot || len(d.until)+len(d.gates) > 0)
}

// Figures are counts since the start, for the cost of a job.
type Figures struct {
	Words uint64 // askings of single stores for their word
	Looks uint64 // majority reads where there was no fresh word
	Blind uint64 // jobs that went on without either
}

// Figures gives the counts.
func (d *Desk) Figures() Figures {
	return Figures{d.words.Load(), d.lookups.Load(), d.blind.Load()}
}
