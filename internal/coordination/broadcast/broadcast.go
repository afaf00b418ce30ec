// Package broadcast disseminates versioned items to every member: down a tree of relays
// that is formed anew for each message, and by anti-entropy. The sender splits its
// targets, in zone order, among up to Params.Fanout children, and each child does the
// same with its part. A child that does not answer in time is skipped and its part goes
// on through the next node in it. Digests exchanged with a few random members repair
// whatever a lost message left behind.
package broadcast

import (
	"context"
	"encoding/binary"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"slices"
	"sort"
	"sync"
	"time"

	"damsontiller/internal/coordination/peer"
	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport/loop"
)

// Params are the tree's shape and times.
type Params struct {
	Fanout int
	Wait   time.Duration // for a child and all below it
	Step   time.Duration // less of it at each level
	Least  time.Duration
	Digest time.Duration
	// Partners is how many members a node compares digests with, at any one time;
	// after so many digests (Change) one of them is replaced.
	Partners, Change int
}

// DefaultParams are the design's.
var DefaultParams = Params{Fanout: 4, Wait: 400 * time.Millisecond, Step: 40 * time.Millisecond, Least: 150 * time.Millisecond, Digest: 500 * time.Millisecond, Partners: 8, Change: 16}

// Board is what a node has heard.
type Board struct {
	p       Params
	peer    *peer.Peer
	members func() []*wire.Member
	mu      sync.Mutex
	all     map[string]*wire.Item
	sum     uint64 // over the heads of all
	on      map[string]func(*wire.Item) error
	queue   chan struct{} // full while somebody takes items
	// The digest loop's own.
	partners []string
	ticks    int
}

// New makes a board and answers News and Digest calls on pr.
func New(p Params, pr *peer.Peer, members func() []*wire.Member) *Board {
	b := &Board{p: p, peer: pr, members: members, all: map[string]*wire.Item{}, on: map[string]func(*wire.Item) error{}, queue: make(chan struct{}, 1)}
	pr.On(&wire.Req_News{}, b.relay)
	pr.On(&wire.Req_Digest{}, b.digest)
	return b
}

// On sets what happens with new items of a topic. An item whose handler fails
// is not taken, nor confirmed, and will be offered again.
func (b *Board) On(topic string, f func(*wire.Item) error) { b.on[topic] = f }

func name(i *wire.Item) string { return i.Topic + "/" + i.Key }

// Take keeps newer items; it tells whether all are now here.
func (b *Board) Take(items []*wire.Item) bool {
	// One taker at a time, so that handlers see each topic in rising order.
	b.queue <- struct{}{}
	defer func() { <-b.queue }()
	all := true
	for _, i := range items {
		b.mu.Lock()
		old := b.all[name(i)]
		b.mu.Unlock()
		if old != nil && !wire.Newer(i, old) {
			continue
		}
		if f := b.on[i.Topic]; f != nil {
			if err := f(i); err != nil {
				b.peer.Log.Warn("news not taken", "topic", i.Topic, "key", i.Key, "err", err)
				all = false
				continue
			}
		}
		if !i.Brief {
			b.mu.Lock()
			if old != nil {
				v, _ := head(old)
				b.sum -= v
			}
			v, _ := head(i)
			b.sum += v
			b.all[name(i)] = i
			b.mu.Unlock()
		}
	}
	return all
}

// Head finds the item last heard.
func (b *Board) Head(topic, key string) *wire.Item {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.all[topic+"/"+key]
}

// Publish takes the items here and sends them to all other members. It gives
// the ids known to have taken them.
func (b *Board) Publish(ctx context.Context, items ...*wire.Item) []string {
	var took []string
	if b.Take(items) {
		took = append(took, b.peer.Self.Id)
	}
	return append(took, b.push(ctx, items, b.others(), b.p.Wait)...)
}

func (b *Board) others() []*wire.Member {
	var out []*wire.Member
	for _, m := range b.members() {
		if m.Live && m.Id != b.peer.Self.Id {
			out = append(out, &wire.Member{Id: m.Id, Addr: m.Addr, Zone: m.Zone})
		}
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Zone != out[j].Zone {
			return out[i].Zone < out[j].Zone
		}
		return out[i].Id < out[j].Id
	})
	return out
}

// relay takes items and hands them on.
func (b *Board) relay(ctx context.Context, q *wire.Req) (*wire.Resp, error) {
	n := q.GetNews()
	var took []string
	if b.Take(n.Items) {
		took = append(took, b.peer.Self.Id)
	}
	wait := max(time.Duration(n.WaitMs)*time.Millisecond-b.p.Step, b.p.Least)
	took = append(took, b.push(ctx, n.Items, n.Targets, wait)...)
	return &wire.Resp{Op: &wire.Resp_News{News: &wire.NewsAck{Took: took}}}, nil
}

// push splits targets among children and gathers who took the items. It
// answers in time even if a child hangs; the child's share is then reached in
// the background through the next node in it.
func (b *Board) push(ctx context.Context, items []*wire.Item, targets []*wire.Member, wait time.Duration) []string {
	parts := split(targets, b.p.Fanout)
	ch := make(chan []string, len(targets)+len(parts))
	bg := context.WithoutCancel(ctx)
	for _, part := range parts {
		go func() {
			for len(part) > 0 {
				child, rest := part[0], part[1:]
				r, err := b.peer.CallFor(bg, wait, child.Addr, &wire.Req{Op: &wire.Req_News{News: &wire.News{Items: items, Targets: rest, WaitMs: wait.Milliseconds()}}})
				if err == nil {
					ch <- r.GetNews().GetTook()
					return
				}
				b.peer.Log.Debug("relay passed over", "child", child.Id, "err", err)
				part = rest
			}
			ch <- nil
		}()
	}
	var took []string
	t := time.NewTimer(wait)
	defer t.Stop()
	for range parts {
		select {
		case ids := <-ch:
			took = append(took, ids...)
		case <-t.C:
			return took
		case <-ctx.Done():
			return took
		}
	}
	return took
}

// split cuts a list in zone order into at most n runs of like length.
func split(list []*wire.Member, n int) [][]*wire.Member {
	var out [][]*wire.Member
	for i := 0; i < n && len(list) > 0; i++ {
		k := (len(list) + n - i - 1) / (n - i)
		out = append(out, list[:k])
		list = list[k:]
	}
	return out
}

// Run compares digests with one of a few partners at each period.
func (b *Board) Run(ctx context.Context) {
	loop.Every(ctx, b.p.Digest, nil, func(ctx context.Context) {
		if m := b.partner(); m != nil {
			b.mend(ctx, m.Addr)
		}
	})
}

// partner draws one. Partners are a few random members, so that the connections
// of a node do not grow with their number; now and then one is replaced, so that
// in time every two nodes compare.
func (b *Board) partner() *wire.Member {
	ms := b.members()
	at := map[string]*wire.Member{}
	for _, id := range b.partners {
		at[id] = nil
	}
	for _, m := range ms {
		if _, ok := at[m.Id]; ok && m.Live {
			at[m.Id] = m
		}
	}
	b.partners = slices.DeleteFunc(b.partners, func(id string) bool { return at[id] == nil })
	if b.ticks++; b.ticks%max(b.p.Change, 1) == 0 && len(b.partners) > 0 {
		b.partners = b.partners[1:]
	}
	// Most members are live; where they aren't, the next tick draws on.
	for try := 0; len(b.partners) < b.p.Partners && try < 8*b.p.Partners && len(ms) > 0; try++ {
		m := ms[rand.IntN(len(ms))]
		if m.Live && m.Id != b.peer.Self.Id && !slices.Contains(b.partners, m.Id) {
			b.partners = append(b.partners, m.Id)
			at[m.Id] = m
		}
	}
	if len(b.partners) == 0 {
		return nil
	}
	return at[b.partners[rand.IntN(len(b.partners))]]
}

// mend makes this board and a peer's alike. What it says grows with what differs,
// not with what there is: first the sum of all heads, then, if it differs, the sums
// of buckets, then the heads in those buckets.
func (b *Board) mend(ctx context.Context, addr string) {
	r, err := b.peer.CallFor(ctx, b.p.Digest, addr, &wire.Req{Op: &wire.Req_Digest{Digest: &wire.Digest{Ask: true, Sum: b.total()}}})
	if err != nil {
		return
	}
	b.Take(r.GetDigest().GetItems())
	theirs := r.GetDigest().GetSums()
	if len(theirs) == 0 {
		return
	}
	q := &wire.Digest{Of: uint32(len(theirs))}
	for i, s := range b.sums(len(theirs)) {
		if s != theirs[i] {
			q.Buckets = append(q.Buckets, uint32(i))
		}
	}
	if len(q.Buckets) == 0 {
		return
	}
	q.Heads = b.heads(q)
	if r, err = b.peer.CallFor(ctx, b.p.Digest, addr, &wire.Req{Op: &wire.Req_Digest{Digest: q}}); err != nil {
		return
	}
	b.Take(r.GetDigest().GetItems())
	var lack []*wire.Item
	for _, w := range r.GetDigest().GetWant() {
		if i := b.Head(w.Topic, w.Key); i != nil {
			lack = append(lack, i)
		}
	}
	if len(lack) > 0 {
		_, _ = b.peer.CallFor(ctx, b.p.Digest, addr, &wire.Req{Op: &wire.Req_News{News: &wire.News{Items: lack}}})
	}
}

// head is a number for an item's name and version, and another for its name alone.
func head(i *wire.Item) (ver, key uint64) {
	h := fnv.New64a()
	_, _ = io.WriteString(h, name(i))
	key = h.Sum64()
	var v [16]byte
	binary.BigEndian.PutUint64(v[:], i.Epoch)
	binary.BigEndian.PutUint64(v[8:], i.Seq)
	h.Write(v[:])
	return h.Sum64(), key
}

func (b *Board) total() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sum
}

// sums adds up the heads of each of n buckets.
func (b *Board) sums(n int) []uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]uint64, n)
	for _, i := range b.all {
		v, k := head(i)
		out[k%uint64(n)] += v
	}
	return out
}

// asked is which buckets a digest is about.
func asked(q *wire.Digest) func(*wire.Item) bool {
	if len(q.Buckets) == 0 || q.Of == 0 {
		return func(*wire.Item) bool { return true }
	}
	in := map[uint32]bool{}
	for _, n := range q.Buckets {
		in[n] = true
	}
	return func(i *wire.Item) bool {
		_, k := head(i)
		return in[uint32(k%uint64(q.Of))]
	}
}

func (b *Board) heads(q *wire.Digest) []*wire.Item {
	in := asked(q)
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []*wire.Item
	for _, i := range b.all {
		if in(i) {
			out = append(out, &wire.Item{Topic: i.Topic, Key: i.Key, Epoch: i.Epoch, Seq: i.Seq})
		}
	}
	return out
}

// perBucket is how many items share a bucket, on average.
const perBucket = 8

func (b *Board) digest(_ context.Context, q *wire.Req) (*wire.Resp, error) {
	d, a := q.GetDigest(), &wire.DigestAck{}
	if d.Ask {
		b.mu.Lock()
		n, same := len(b.all), d.Sum == b.sum
		b.mu.Unlock()
		if !same {
			a.Sums = b.sums(1 + n/perBucket)
		}
		return &wire.Resp{Op: &wire.Resp_Digest{Digest: a}}, nil
	}
	in := asked(d)
	b.mu.Lock()
	defer b.mu.Unlock()
	theirs := map[string]bool{}
	for _, h := range d.Heads {
		theirs[name(h)] = true
		mine := b.all[name(h)]
		switch {
		case mine == nil || wire.Newer(h, mine):
			a.Want = append(a.Want, h)
		case wire.Newer(mine, h):
			a.Items = append(a.Items, mine)
		}
	}
	for n, i := range b.all {
		if !theirs[n] && in(i) {
			a.Items = append(a.Items, i)
		}
	}
	return &wire.Resp{Op: &wire.Resp_Digest{Digest: a}}, nil
}
