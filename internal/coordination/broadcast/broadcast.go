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
	Fanout         int
	Timeout        time.Duration // for a child and all below it
	TimeoutStep    time.Duration // less of it at each level
	MinTimeout     time.Duration
	DigestInterval time.Duration
	// Partners is how many members a node compares digests with, at any one time;
	// after so many digests (Change) one of them is replaced.
	Partners, PartnerLifetime int
}

// DefaultParams are the design's.
var DefaultParams = Params{
	Fanout:          4,
	Timeout:         400 * time.Millisecond,
	TimeoutStep:     40 * time.Millisecond,
	MinTimeout:      150 * time.Millisecond,
	DigestInterval:  500 * time.Millisecond,
	Partners:        8,
	PartnerLifetime: 16,
}

// Broadcaster holds the newest item of each topic and key that this node has received.
type Broadcaster struct {
	params   Params
	peer     *peer.Peer
	members  func() []*wire.Member
	mu       sync.Mutex
	items    map[string]*wire.Item
	sum      uint64 // over the heads of all
	handlers map[string]func(*wire.Item) error
	applying chan struct{} // full while somebody takes items
	// The digest loop's own.
	partners []string
	ticks    int
}

// New makes a broadcaster and handles News and Digest calls on pr.
func New(params Params, pr *peer.Peer, members func() []*wire.Member) *Broadcaster {
	broadcaster := &Broadcaster{
		params:   params,
		peer:     pr,
		members:  members,
		items:    map[string]*wire.Item{},
		handlers: map[string]func(*wire.Item) error{},
		applying: make(chan struct{}, 1),
	}
	pr.Handle(&wire.Req_News{}, broadcaster.relay)
	pr.Handle(&wire.Req_Digest{}, broadcaster.answerDigest)
	return broadcaster
}

// Handle sets what happens with new items of a topic. An item whose handler fails is
// neither kept nor confirmed, and will be offered again. Handlers are set before the node
// starts.
func (broadcaster *Broadcaster) Handle(topic string, f func(*wire.Item) error) {
	broadcaster.handlers[topic] = f
}

func itemName(i *wire.Item) string { return i.Topic + "/" + i.Key }

// Apply keeps the items that are newer than those held, and reports whether all are held
// now.
func (broadcaster *Broadcaster) Apply(items []*wire.Item) bool {
	// One taker at a time, so that handlers see each topic in rising order.
	broadcaster.applying <- struct{}{}
	defer func() { <-broadcaster.applying }()
	all := true
	for _, i := range items {
		broadcaster.mu.Lock()
		old := broadcaster.items[itemName(i)]
		broadcaster.mu.Unlock()
		if old != nil && !wire.Newer(i, old) {
			continue
		}
		if f := broadcaster.handlers[i.Topic]; f != nil {
			if err := handle(f, i); err != nil {
				broadcaster.peer.Log.Warn("update not applied", "topic", i.Topic, "key", i.Key, "err", err)
				all = false
				continue
			}
		}
		if !i.Brief {
			broadcaster.mu.Lock()
			if old != nil {
				v, _ := digestOf(old)
				broadcaster.sum -= v
			}
			v, _ := digestOf(i)
			broadcaster.sum += v
			broadcaster.items[itemName(i)] = i
			broadcaster.mu.Unlock()
		}
	}
	return all
}

// handle gives an item to its handler as it was published.
func handle(f func(*wire.Item) error, i *wire.Item) error {
	if len(i.CompressedBody) == 0 {
		return f(i)
	}
	body, err := wire.Decompress(i.CompressedBody)
	if err != nil {
		return err
	}
	return f(&wire.Item{Topic: i.Topic, Key: i.Key, Epoch: i.Epoch, Seq: i.Seq, Brief: i.Brief, Body: body})
}

// compress puts large bodies into the form in which they are sent and kept. A node of a
// release that does not know it confirms no such item and gets it from its source.
func compress(items []*wire.Item) []*wire.Item {
	out := make([]*wire.Item, len(items))
	for n, i := range items {
		out[n] = i
		if len(i.Body) >= wire.CompressAbove {
			out[n] = &wire.Item{
				Topic: i.Topic, Key: i.Key, Epoch: i.Epoch, Seq: i.Seq, Brief: i.Brief,
				CompressedBody: wire.Compress(i.Body),
			}
		}
	}
	return out
}

// Latest is the newest item received of a topic and key.
func (broadcaster *Broadcaster) Latest(topic, key string) *wire.Item {
	broadcaster.mu.Lock()
	defer broadcaster.mu.Unlock()
	return broadcaster.items[topic+"/"+key]
}

// Publish applies the items here and sends them to all other live members. It returns the
// ids of those known to have applied them.
func (broadcaster *Broadcaster) Publish(ctx context.Context, items ...*wire.Item) []string {
	var accepted []string
	items = compress(items)
	if broadcaster.Apply(items) {
		accepted = append(accepted, broadcaster.peer.Self.Id)
	}
	return append(accepted, broadcaster.push(ctx, items, broadcaster.otherMembers(), broadcaster.params.Timeout)...)
}

func (broadcaster *Broadcaster) otherMembers() []*wire.Member {
	var out []*wire.Member
	for _, m := range broadcaster.members() {
		if m.Live && m.Id != broadcaster.peer.Self.Id {
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

// relay applies items and forwards them to its part of the tree.
func (broadcaster *Broadcaster) relay(ctx context.Context, q *wire.Req) (*wire.Resp, error) {
	n := q.GetNews()
	var accepted []string
	if broadcaster.Apply(n.Items) {
		accepted = append(accepted, broadcaster.peer.Self.Id)
	}
	wait := max(
		time.Duration(n.WaitMs)*time.Millisecond-broadcaster.params.TimeoutStep,
		broadcaster.params.MinTimeout,
	)
	accepted = append(accepted, broadcaster.push(ctx, n.Items, n.Targets, wait)...)
	return &wire.Resp{Op: &wire.Resp_News{News: &wire.NewsAck{Took: accepted}}}, nil
}

// push splits targets among children and gathers who has applied the items. It returns in
// time even if a child hangs; its part of the targets is then reached in the background
// through the next node in it.
func (broadcaster *Broadcaster) push(
	ctx context.Context,
	items []*wire.Item,
	targets []*wire.Member,
	wait time.Duration,
) []string {
	parts := split(targets, broadcaster.params.Fanout)
	ch := make(chan []string, len(targets)+len(parts))
	bg := context.WithoutCancel(ctx)
	for _, subtree := range parts {
		go func() {
			for len(subtree) > 0 {
				child, rest := subtree[0], subtree[1:]
				r, err := broadcaster.peer.CallFor(
					bg,
					wait,
					child.Addr,
					&wire.Req{
						Op: &wire.Req_News{
							News: &wire.News{Items: items, Targets: rest, WaitMs: wait.Milliseconds()},
						},
					},
				)
				if err == nil {
					ch <- r.GetNews().GetTook()
					return
				}
				broadcaster.peer.Log.Debug("relay skipped", "child", child.Id, "err", err)
				subtree = rest
			}
			ch <- nil
		}()
	}
	var accepted []string
	t := time.NewTimer(wait)
	defer t.Stop()
	for range parts {
		select {
		case ids := <-ch:
			accepted = append(accepted, ids...)
		case <-t.C:
			return accepted
		case <-ctx.Done():
			return accepted
		}
	}
	return accepted
}

// split divides a list in zone order into at most n runs of like length.
func split(list []*wire.Member, n int) [][]*wire.Member {
	var out [][]*wire.Member
	for i := 0; i < n && len(list) > 0; i++ {
		k := (len(list) + n - i - 1) / (n - i)
		out = append(out, list[:k])
		list = list[k:]
	}
	return out
}

// Run exchanges digests with one of a few partners at each interval, until ctx ends.
func (broadcaster *Broadcaster) Run(ctx context.Context) {
	loop.Every(ctx, broadcaster.params.DigestInterval, nil, func(ctx context.Context) {
		if m := broadcaster.partner(); m != nil {
			broadcaster.repair(ctx, m.Addr)
		}
	})
}

// partner selects one of the partners. They are a few random members, so that the
// connections of a node do not grow with their number; now and then one is replaced, so
// that in time every two nodes compare.
func (broadcaster *Broadcaster) partner() *wire.Member {
	ms := broadcaster.members()
	at := map[string]*wire.Member{}
	for _, id := range broadcaster.partners {
		at[id] = nil
	}
	for _, m := range ms {
		if _, ok := at[m.Id]; ok && m.Live {
			at[m.Id] = m
		}
	}
	broadcaster.partners = slices.DeleteFunc(broadcaster.partners, func(id string) bool { return at[id] == nil })
	if broadcaster.ticks++; broadcaster.ticks%max(broadcaster.params.PartnerLifetime, 1) == 0 &&
		len(broadcaster.partners) > 0 {
		broadcaster.partners = broadcaster.partners[1:]
	}
	// Most members are live; where they aren't, the next tick draws on.
	most := broadcaster.params.Partners
	for attempt := 0; len(broadcaster.partners) < most && attempt < 8*most && len(ms) > 0; attempt++ {
		m := ms[rand.IntN(len(ms))]
		if m.Live && m.Id != broadcaster.peer.Self.Id && !slices.Contains(broadcaster.partners, m.Id) {
			broadcaster.partners = append(broadcaster.partners, m.Id)
			at[m.Id] = m
		}
	}
	if len(broadcaster.partners) == 0 {
		return nil
	}
	return at[broadcaster.partners[rand.IntN(len(broadcaster.partners))]]
}

// repair is anti-entropy with one peer: afterwards both hold the same items. Its messages
// grow with the differences and not with the items held: first the sum of all heads; if
// that differs, the sums of buckets; then the heads in the buckets that differ.
func (broadcaster *Broadcaster) repair(ctx context.Context, addr string) {
	r, err := broadcaster.peer.CallFor(
		ctx,
		broadcaster.params.DigestInterval,
		addr,
		&wire.Req{Op: &wire.Req_Digest{Digest: &wire.Digest{Ask: true, Sum: broadcaster.total()}}},
	)
	if err != nil {
		return
	}
	broadcaster.Apply(r.GetDigest().GetItems())
	theirs := r.GetDigest().GetSums()
	if len(theirs) == 0 {
		return
	}
	q := &wire.Digest{Of: uint32(len(theirs))}
	for i, s := range broadcaster.sums(len(theirs)) {
		if s != theirs[i] {
			q.Buckets = append(q.Buckets, uint32(i))
		}
	}
	if len(q.Buckets) == 0 {
		return
	}
	q.Heads = broadcaster.headsIn(q)
	request := &wire.Req{Op: &wire.Req_Digest{Digest: q}}
	if r, err = broadcaster.peer.CallFor(ctx, broadcaster.params.DigestInterval, addr, request); err != nil {
		return
	}
	broadcaster.Apply(r.GetDigest().GetItems())
	var lack []*wire.Item
	for _, w := range r.GetDigest().GetWant() {
		if i := broadcaster.Latest(w.Topic, w.Key); i != nil {
			lack = append(lack, i)
		}
	}
	if len(lack) > 0 {
		_, _ = broadcaster.peer.CallFor(
			ctx,
			broadcaster.params.DigestInterval,
			addr,
			&wire.Req{Op: &wire.Req_News{News: &wire.News{Items: lack}}},
		)
	}
}

// digestOf hashes an item's name and version, and its name alone.
func digestOf(i *wire.Item) (ver, key uint64) {
	h := fnv.New64a()
	_, _ = io.WriteString(h, itemName(i))
	key = h.Sum64()
	var v [16]byte
	binary.BigEndian.PutUint64(v[:], i.Epoch)
	binary.BigEndian.PutUint64(v[8:], i.Seq)
	h.Write(v[:])
	return h.Sum64(), key
}

func (broadcaster *Broadcaster) total() uint64 {
	broadcaster.mu.Lock()
	defer broadcaster.mu.Unlock()
	return broadcaster.sum
}

// sums adds up the heads of each of n buckets.
func (broadcaster *Broadcaster) sums(n int) []uint64 {
	broadcaster.mu.Lock()
	defer broadcaster.mu.Unlock()
	out := make([]uint64, n)
	for _, i := range broadcaster.items {
		v, k := digestOf(i)
		out[k%uint64(n)] += v
	}
	return out
}

// inBuckets selects the items that a digest is about.
func inBuckets(q *wire.Digest) func(*wire.Item) bool {
	if len(q.Buckets) == 0 || q.Of == 0 {
		return func(*wire.Item) bool { return true }
	}
	in := map[uint32]bool{}
	for _, n := range q.Buckets {
		in[n] = true
	}
	return func(i *wire.Item) bool {
		_, k := digestOf(i)
		return in[uint32(k%uint64(q.Of))]
	}
}

func (broadcaster *Broadcaster) headsIn(q *wire.Digest) []*wire.Item {
	in := inBuckets(q)
	broadcaster.mu.Lock()
	defer broadcaster.mu.Unlock()
	var out []*wire.Item
	for _, i := range broadcaster.items {
		if in(i) {
			out = append(out, &wire.Item{Topic: i.Topic, Key: i.Key, Epoch: i.Epoch, Seq: i.Seq})
		}
	}
	return out
}

// perBucket is the average number of items in a bucket.
const perBucket = 8

func (broadcaster *Broadcaster) answerDigest(_ context.Context, q *wire.Req) (*wire.Resp, error) {
	d, a := q.GetDigest(), &wire.DigestAck{}
	if d.Ask {
		broadcaster.mu.Lock()
		n, same := len(broadcaster.items), d.Sum == broadcaster.sum
		broadcaster.mu.Unlock()
		if !same {
			a.Sums = broadcaster.sums(1 + n/perBucket)
		}
		return &wire.Resp{Op: &wire.Resp_Digest{Digest: a}}, nil
	}
	in := inBuckets(d)
	broadcaster.mu.Lock()
	defer broadcaster.mu.Unlock()
	theirs := map[string]bool{}
	for _, h := range d.Heads {
		theirs[itemName(h)] = true
		mine := broadcaster.items[itemName(h)]
		switch {
		case mine == nil || wire.Newer(h, mine):
			a.Want = append(a.Want, h)
		case wire.Newer(mine, h):
			a.Items = append(a.Items, mine)
		}
	}
	for n, i := range broadcaster.items {
		if !theirs[n] && in(i) {
			a.Items = append(a.Items, i)
		}
	}
	return &wire.Resp{Op: &wire.Resp_Digest{Digest: a}}, nil
}
