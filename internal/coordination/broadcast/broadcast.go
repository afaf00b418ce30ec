// Package broadcast disseminates versioned items to every member, through a relay tree that
// is built for each message and by anti-entropy. The sender splits its targets, sorted by
// zone, among up to Params.Fanout children, and each child does the same with its subtree. A
// child that does not answer in time is skipped, and the next node of its subtree becomes the
// relay. Digests exchanged with a few random members repair the effects of lost messages.
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

// Params configure the relay tree and anti-entropy.
type Params struct {
	Fanout         int
	Timeout        time.Duration // for a child with its whole subtree
	TimeoutStep    time.Duration // reduction of Timeout at each level of the tree
	MinTimeout     time.Duration
	DigestInterval time.Duration
	// Partners is the number of members with which a node compares digests at a time. One
	// of them is replaced after every PartnerLifetime digests.
	Partners, PartnerLifetime int
}

// DefaultParams are the parameters specified by the design.
var DefaultParams = Params{
	Fanout:          4,
	Timeout:         400 * time.Millisecond,
	TimeoutStep:     40 * time.Millisecond,
	MinTimeout:      150 * time.Millisecond,
	DigestInterval:  500 * time.Millisecond,
	Partners:        8,
	PartnerLifetime: 16,
}

// Broadcaster sends and receives items and keeps the latest item of each topic and key.
type Broadcaster struct {
	params   Params
	peer     *peer.Peer
	members  func() []*wire.Member
	mu       sync.Mutex
	items    map[string]*wire.Item
	sum      uint64 // of the version hashes of all items
	handlers map[string]func(*wire.Item) error
	applying chan struct{} // semaphore: holds one element while items are applied
	// partners and ticks are used by the digest loop only.
	partners []string
	ticks    int
}

// New creates a broadcaster and registers its handlers for News and Digest calls on pr.
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

// Handle registers the handler for new items of a topic. If the handler fails, the item is
// neither kept nor acknowledged, so it is offered again. Handlers must be registered before
// the node starts.
func (broadcaster *Broadcaster) Handle(topic string, handler func(*wire.Item) error) {
	broadcaster.handlers[topic] = handler
}

// itemName is the key of an item in maps and digests.
func itemName(i *wire.Item) string { return i.Topic + "/" + i.Key }

// Apply passes the items that are newer than the stored ones to their handlers and stores
// them, except for brief items, which are never stored. It reports whether no handler failed.
func (broadcaster *Broadcaster) Apply(items []*wire.Item) bool {
	// Calls are serialized so that handlers see the versions of each topic in ascending order.
	broadcaster.applying <- struct{}{}
	defer func() { <-broadcaster.applying }()
	allApplied := true
	for _, i := range items {
		broadcaster.mu.Lock()
		old := broadcaster.items[itemName(i)]
		broadcaster.mu.Unlock()
		if old != nil && !wire.Newer(i, old) {
			continue
		}
		if handler := broadcaster.handlers[i.Topic]; handler != nil {
			if err := handle(handler, i); err != nil {
				broadcaster.peer.Log.Warn("update not applied", "topic", i.Topic, "key", i.Key, "err", err)
				allApplied = false
				continue
			}
		}
		if !i.Brief {
			broadcaster.mu.Lock()
			if old != nil {
				versionHash, _ := hashItem(old)
				broadcaster.sum -= versionHash
			}
			versionHash, _ := hashItem(i)
			broadcaster.sum += versionHash
			broadcaster.items[itemName(i)] = i
			broadcaster.mu.Unlock()
		}
	}
	return allApplied
}

// handle passes an item to its handler with the body decompressed.
func handle(handler func(*wire.Item) error, i *wire.Item) error {
	if len(i.CompressedBody) == 0 {
		return handler(i)
	}
	body, err := wire.Decompress(i.CompressedBody)
	if err != nil {
		return err
	}
	return handler(&wire.Item{Topic: i.Topic, Key: i.Key, Epoch: i.Epoch, Seq: i.Seq, Brief: i.Brief, Body: body})
}

// compress replaces large bodies with compressed ones, which are both sent and stored. A node
// of an older release that does not support compressed bodies does not acknowledge such an
// item and reads it from its source instead.
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

// Latest returns the latest item received for a topic and key, or nil.
func (broadcaster *Broadcaster) Latest(topic, key string) *wire.Item {
	broadcaster.mu.Lock()
	defer broadcaster.mu.Unlock()
	return broadcaster.items[topic+"/"+key]
}

// Publish applies the items locally and sends them to all other live members. It returns the
// ids of the members that have acknowledged applying them.
func (broadcaster *Broadcaster) Publish(ctx context.Context, items ...*wire.Item) []string {
	var accepted []string
	items = compress(items)
	if broadcaster.Apply(items) {
		accepted = append(accepted, broadcaster.peer.Self.Id)
	}
	return append(accepted, broadcaster.push(ctx, items, broadcaster.otherMembers(), broadcaster.params.Timeout)...)
}

// otherMembers returns the other live members, sorted by zone and id.
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

// relay applies the received items and forwards them to this node's subtree.
func (broadcaster *Broadcaster) relay(ctx context.Context, q *wire.Req) (*wire.Resp, error) {
	news := q.GetNews()
	var accepted []string
	if broadcaster.Apply(news.Items) {
		accepted = append(accepted, broadcaster.peer.Self.Id)
	}
	timeout := max(
		time.Duration(news.WaitMs)*time.Millisecond-broadcaster.params.TimeoutStep,
		broadcaster.params.MinTimeout,
	)
	accepted = append(accepted, broadcaster.push(ctx, news.Items, news.Targets, timeout)...)
	return &wire.Resp{Op: &wire.Resp_News{News: &wire.NewsAck{Took: accepted}}}, nil
}

// push splits the targets among children and collects the ids of the members that have
// applied the items. It returns by the timeout even if a child hangs; the rest of that
// child's subtree is then reached in the background through the next node in it.
func (broadcaster *Broadcaster) push(
	ctx context.Context,
	items []*wire.Item,
	targets []*wire.Member,
	timeout time.Duration,
) []string {
	subtrees := split(targets, broadcaster.params.Fanout)
	results := make(chan []string, len(targets)+len(subtrees))
	background := context.WithoutCancel(ctx)
	for _, subtree := range subtrees {
		go func() {
			for len(subtree) > 0 {
				child, rest := subtree[0], subtree[1:]
				r, err := broadcaster.peer.CallWithTimeout(
					background,
					timeout,
					child.Addr,
					&wire.Req{
						Op: &wire.Req_News{
							News: &wire.News{Items: items, Targets: rest, WaitMs: timeout.Milliseconds()},
						},
					},
				)
				if err == nil {
					results <- r.GetNews().GetTook()
					return
				}
				broadcaster.peer.Log.Debug("relay did not answer and is skipped", "child", child.Id, "err", err)
				subtree = rest
			}
			results <- nil
		}()
	}
	var accepted []string
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for range subtrees {
		select {
		case ids := <-results:
			accepted = append(accepted, ids...)
		case <-timer.C:
			return accepted
		case <-ctx.Done():
			return accepted
		}
	}
	return accepted
}

// split divides a list into at most n consecutive parts of nearly equal length.
func split(list []*wire.Member, n int) [][]*wire.Member {
	var out [][]*wire.Member
	for i := 0; i < n && len(list) > 0; i++ {
		k := (len(list) + n - i - 1) / (n - i)
		out = append(out, list[:k])
		list = list[k:]
	}
	return out
}

// Run exchanges digests with one of the partners at each interval until ctx is canceled.
func (broadcaster *Broadcaster) Run(ctx context.Context) {
	loop.Every(ctx, broadcaster.params.DigestInterval, nil, func(ctx context.Context) {
		if m := broadcaster.selectPartner(); m != nil {
			broadcaster.repair(ctx, m.Addr)
		}
	})
}

// selectPartner returns a random one of the current partners, or nil. The partners are a few
// random members, so that the number of connections does not grow with the cluster. One is
// replaced periodically, so that over time every pair of nodes compares digests.
func (broadcaster *Broadcaster) selectPartner() *wire.Member {
	members := broadcaster.members()
	liveByID := map[string]*wire.Member{}
	for _, id := range broadcaster.partners {
		liveByID[id] = nil
	}
	for _, m := range members {
		if _, ok := liveByID[m.Id]; ok && m.Live {
			liveByID[m.Id] = m
		}
	}
	broadcaster.partners = slices.DeleteFunc(
		broadcaster.partners,
		func(id string) bool { return liveByID[id] == nil },
	)
	if broadcaster.ticks++; broadcaster.ticks%max(broadcaster.params.PartnerLifetime, 1) == 0 &&
		len(broadcaster.partners) > 0 {
		broadcaster.partners = broadcaster.partners[1:]
	}
	// The number of attempts is bounded, since few members may be live; the next tick adds
	// the partners that are still missing.
	wanted := broadcaster.params.Partners
	for attempt := 0; len(broadcaster.partners) < wanted && attempt < 8*wanted && len(members) > 0; attempt++ {
		m := members[rand.IntN(len(members))]
		if m.Live && m.Id != broadcaster.peer.Self.Id && !slices.Contains(broadcaster.partners, m.Id) {
			broadcaster.partners = append(broadcaster.partners, m.Id)
			liveByID[m.Id] = m
		}
	}
	if len(broadcaster.partners) == 0 {
		return nil
	}
	return liveByID[broadcaster.partners[rand.IntN(len(broadcaster.partners))]]
}

// repair runs anti-entropy with one peer, after which both hold the same items. The size of
// its messages depends mainly on the differences rather than on the number of items: it
// compares the sum of the hashes of all items, then the sums of each bucket if the total
// differs, then the versions of the items in the buckets that differ.
func (broadcaster *Broadcaster) repair(ctx context.Context, addr string) {
	r, err := broadcaster.peer.CallWithTimeout(
		ctx,
		broadcaster.params.DigestInterval,
		addr,
		&wire.Req{Op: &wire.Req_Digest{Digest: &wire.Digest{Ask: true, Sum: broadcaster.totalSum()}}},
	)
	if err != nil {
		return
	}
	broadcaster.Apply(r.GetDigest().GetItems())
	remoteSums := r.GetDigest().GetSums()
	if len(remoteSums) == 0 {
		return
	}
	q := &wire.Digest{Of: uint32(len(remoteSums))}
	for i, sum := range broadcaster.bucketSums(len(remoteSums)) {
		if sum != remoteSums[i] {
			q.Buckets = append(q.Buckets, uint32(i))
		}
	}
	if len(q.Buckets) == 0 {
		return
	}
	q.Heads = broadcaster.headsInBuckets(q)
	request := &wire.Req{Op: &wire.Req_Digest{Digest: q}}
	if r, err = broadcaster.peer.CallWithTimeout(ctx, broadcaster.params.DigestInterval, addr, request); err != nil {
		return
	}
	broadcaster.Apply(r.GetDigest().GetItems())
	var missing []*wire.Item
	for _, wanted := range r.GetDigest().GetWant() {
		if i := broadcaster.Latest(wanted.Topic, wanted.Key); i != nil {
			missing = append(missing, i)
		}
	}
	if len(missing) > 0 {
		_, _ = broadcaster.peer.CallWithTimeout(
			ctx,
			broadcaster.params.DigestInterval,
			addr,
			&wire.Req{Op: &wire.Req_News{News: &wire.News{Items: missing}}},
		)
	}
}

// hashItem returns a hash of an item's name and version, and one of its name alone.
func hashItem(i *wire.Item) (versionHash, nameHash uint64) {
	h := fnv.New64a()
	_, _ = io.WriteString(h, itemName(i))
	nameHash = h.Sum64()
	var version [16]byte
	binary.BigEndian.PutUint64(version[:], i.Epoch)
	binary.BigEndian.PutUint64(version[8:], i.Seq)
	h.Write(version[:])
	return h.Sum64(), nameHash
}

// totalSum returns the sum of the version hashes of all items.
func (broadcaster *Broadcaster) totalSum() uint64 {
	broadcaster.mu.Lock()
	defer broadcaster.mu.Unlock()
	return broadcaster.sum
}

// bucketSums returns the sum of the version hashes in each of n buckets. Items are assigned to
// buckets by the hash of their name.
func (broadcaster *Broadcaster) bucketSums(n int) []uint64 {
	broadcaster.mu.Lock()
	defer broadcaster.mu.Unlock()
	out := make([]uint64, n)
	for _, i := range broadcaster.items {
		versionHash, nameHash := hashItem(i)
		out[nameHash%uint64(n)] += versionHash
	}
	return out
}

// bucketFilter returns a predicate for the items in the buckets that a digest lists, or for
// all items if it lists none.
func bucketFilter(q *wire.Digest) func(*wire.Item) bool {
	if len(q.Buckets) == 0 || q.Of == 0 {
		return func(*wire.Item) bool { return true }
	}
	listed := map[uint32]bool{}
	for _, n := range q.Buckets {
		listed[n] = true
	}
	return func(i *wire.Item) bool {
		_, nameHash := hashItem(i)
		return listed[uint32(nameHash%uint64(q.Of))]
	}
}

// headsInBuckets returns the names and versions of the items in the buckets that a digest
// lists.
func (broadcaster *Broadcaster) headsInBuckets(q *wire.Digest) []*wire.Item {
	inBucket := bucketFilter(q)
	broadcaster.mu.Lock()
	defer broadcaster.mu.Unlock()
	var out []*wire.Item
	for _, i := range broadcaster.items {
		if inBucket(i) {
			out = append(out, &wire.Item{Topic: i.Topic, Key: i.Key, Epoch: i.Epoch, Seq: i.Seq})
		}
	}
	return out
}

// itemsPerBucket is the average number of items in a bucket.
const itemsPerBucket = 8

// answerDigest answers a digest with bucket sums if only the total was sent, or otherwise with
// the items that are newer here and the names of those that are newer at the sender.
func (broadcaster *Broadcaster) answerDigest(_ context.Context, q *wire.Req) (*wire.Resp, error) {
	digest, answer := q.GetDigest(), &wire.DigestAck{}
	if digest.Ask {
		broadcaster.mu.Lock()
		n, same := len(broadcaster.items), digest.Sum == broadcaster.sum
		broadcaster.mu.Unlock()
		if !same {
			answer.Sums = broadcaster.bucketSums(1 + n/itemsPerBucket)
		}
		return &wire.Resp{Op: &wire.Resp_Digest{Digest: answer}}, nil
	}
	inBucket := bucketFilter(digest)
	broadcaster.mu.Lock()
	defer broadcaster.mu.Unlock()
	remoteItems := map[string]bool{}
	for _, head := range digest.Heads {
		remoteItems[itemName(head)] = true
		local := broadcaster.items[itemName(head)]
		switch {
		case local == nil || wire.Newer(head, local):
			answer.Want = append(answer.Want, head)
		case wire.Newer(local, head):
			answer.Items = append(answer.Items, local)
		}
	}
	for name, i := range broadcaster.items {
		if !remoteItems[name] && inBucket(i) {
			answer.Items = append(answer.Items, i)
		}
	}
	return &wire.Resp{Op: &wire.Resp_Digest{Digest: answer}}, nil
}
