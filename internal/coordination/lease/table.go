package lease

import (
	"container/list"
	"context"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport/code"
)

// Table is a core machine's side: who has asked it, and when last. That a node
// exists is kept on disk before its first lease is granted, so that no
// acknowledgement forgets it; when it last renewed is memory only.
//
// Each change of what the nodes' lists show has a number. A renewal says up to
// which number its sender has received, and is answered with what changed since: what
// it costs does not grow with the number of nodes. Members that are gone for good are
// removed in the end (departed.go).
type Table struct {
	params  Params
	disk    Disk
	id      uint64 // of this start of the table
	started time.Time

	mu         sync.Mutex
	entries    map[string]*entry
	folders    map[string]folder // the state of each identity's folder, as last stated
	sum        uint64            // over what is shown of all
	lastChange uint64            // number of the last change
	changed    *list.List        // entries, the last changed last
	renewed    *list.List        // entries shown as live, the last renewed last
	removals   []removal         // the last ones, the newest last
	// deleting are the members whose records are being deleted, closed once they are;
	// recording counts the starts of a member that are being recorded.
	deleting   map[string]chan struct{}
	recording  map[string]int
	incomplete bool // members were removed, or were never known: departed.go
}

// Disk keeps a table's records.
type Disk interface {
	SaveMetadata(key string, b []byte) error
	LoadMetadata(key string) ([]byte, error)
	DeleteMetadata(key string) error
	ListMetadata(prefix string) (map[string][]byte, error)
}

type entry struct {
	member    *wire.Member
	renewedAt time.Time
	// heardAt is the last moment from which the member has provably received a grant.
	heardAt time.Time
	// renewedThisRun tells a renewal in this run from a record of an earlier one.
	renewedThisRun bool

	shown            *wire.Member // never changed once made
	changeNumber     uint64       // of its last change
	changed, renewed *list.Element
}

// NewTable makes a table from what an earlier run saved. Every node known counts as seen
// now: how long it had been unresponsive is not known.
func NewTable(params Params, disk Disk) (*Table, error) {
	t := &Table{
		params:    params,
		disk:      disk,
		id:        rand.Uint64() | 1,
		started:   time.Now(),
		entries:   map[string]*entry{},
		folders:   map[string]folder{},
		deleting:  map[string]chan struct{}{},
		recording: map[string]int{},
		changed:   list.New(),
		renewed:   list.New(),
	}
	saved, err := disk.ListMetadata(MemberKeyPrefix)
	if err != nil {
		return nil, err
	}
	for _, b := range saved {
		m := &wire.Member{}
		if err := wire.Decode(b, m); err != nil {
			return nil, err
		}
		t.addKnown(m)
	}
	note, err := disk.LoadMetadata(incompleteKey)
	if err != nil {
		return nil, err
	}
	t.incomplete = len(note) > 0
	return t, nil
}

// addKnown lists a member that has not renewed in this run.
func (t *Table) addKnown(m *wire.Member) {
	now := time.Now()
	e := &entry{member: m, renewedAt: now, heardAt: now}
	t.entries[key(m)] = e
	t.recordFolder(m)
	t.show(e, false)
}

// MemberKeyPrefix is the prefix of the metadata keys of members.
const MemberKeyPrefix = "member/"

func key(m *wire.Member) string { return m.Id + "@" + m.Addr }

// show publishes what the nodes' lists say of an entry, if it has changed.
func (t *Table) show(e *entry, live bool) {
	m := &wire.Member{
		Id:     e.member.Id,
		Role:   e.member.Role,
		Addr:   e.member.Addr,
		Http:   e.member.Http,
		Zone:   e.member.Zone,
		Ident:  e.member.Ident,
		Inc:    e.member.Inc,
		Status: e.member.Status,
		Live:   live,
	}
	if e.shown != nil {
		if memberDigest(e.shown) == memberDigest(m) {
			return
		}
		t.sum -= memberDigest(e.shown)
	}
	t.sum += memberDigest(m)
	t.lastChange++
	e.shown, e.changeNumber = m, t.lastChange
	if e.changed == nil {
		e.changed = t.changed.PushBack(e)
	} else {
		t.changed.MoveToBack(e.changed)
	}
}

// recordRenewal marks an entry as renewed now. One that hears nothing or whose disk hangs is
// not live, however often it renews.
func (t *Table) recordRenewal(e *entry) {
	e.renewedAt, e.renewedThisRun = time.Now(), true
	if t.unresponsive(e) >= t.params.Duration {
		t.endLease(e)
		return
	}
	if e.renewed == nil {
		e.renewed = t.renewed.PushBack(e)
	} else {
		t.renewed.MoveToBack(e.renewed)
	}
	t.show(e, true)
}

// expire ends the leases that were not renewed in time.
func (t *Table) expire() {
	now := time.Now()
	for f := t.renewed.Front(); f != nil; f = t.renewed.Front() {
		e := f.Value.(*entry)
		if now.Sub(e.renewedAt) < t.params.Duration {
			return
		}
		t.endLease(e)
	}
}

// endLease shows an entry as not live.
func (t *Table) endLease(e *entry) {
	if e.renewed != nil {
		t.renewed.Remove(e.renewed)
		e.renewed = nil
	}
	t.show(e, false)
}

// memberDigest hashes what is shown of a member.
func memberDigest(m *wire.Member) uint64 {
	h := fnv.New64a()
	for _, s := range []string{m.Id, m.Role, m.Addr, m.Http, m.Zone, m.Ident, m.Status} {
		_, _ = io.WriteString(h, s)
		h.Write([]byte{0})
	}
	b := [9]byte{}
	for i := range 8 {
		b[i] = byte(m.Inc >> (8 * i))
	}
	if m.Live {
		b[8] = 1
	}
	h.Write(b[:])
	return h.Sum64()
}

// overtaken reports whether a renewal is of an earlier start than the one whose lease
// runs. Starts are numbered by the time of day, which may have been set back between them:
// so once the later number has been unresponsive for the time of a lease, the earlier one
// is taken for the start that runs. If it is not, it only makes changes wait for it.
func (t *Table) overtaken(e *entry, m *wire.Member) bool {
	return e != nil && m.Inc < e.member.Inc && time.Since(e.renewedAt) < t.params.Duration
}

// updateEntry replaces what was known of a renewal's sender.
func (t *Table) updateEntry(e *entry, r *wire.Renew) {
	m := r.Self
	t.recordHeard(e, r)
	// Renewals can overtake each other; a confirmation is not taken back.
	if m.Inc != e.member.Inc || m.SpecVer >= e.member.SpecVer {
		e.member = m
	}
	t.recordFolder(m)
	t.recordRenewal(e)
}

// Grant answers a renewal. The error has code.OldEpoch where a later start holds the
// lease, code.FolderOutdated where the sender's folder was put back from a copy.
func (t *Table) Grant(_ context.Context, q *wire.Req) (*wire.Resp, error) {
	r := q.GetRenew()
	m := r.GetSelf()
	if m.GetId() == "" || m.GetAddr() == "" {
		return nil, code.New(code.Garbled, "a renewal without id or address")
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[key(m)]
	if t.overtaken(e, m) {
		return overtakenBy(e), code.New(code.OldEpoch, "a later start of %s holds the lease", m.Id)
	}
	if err := t.checkFolder(m); err != nil {
		return nil, err
	}
	if known := e != nil && e.member.Inc == m.Inc; !known {
		t.beginRecording(m)
		t.mu.Unlock()
		err := t.record(m)
		t.mu.Lock()
		t.endRecording(m)
		if err != nil {
			return nil, err
		}
	}
	if e = t.entries[key(m)]; e == nil {
		e = &entry{member: m}
		t.entries[key(m)] = e
	}
	// While it was recorded, a later start may have been seen.
	if !t.overtaken(e, m) {
		t.updateEntry(e, r)
	}
	t.expire()
	return &wire.Resp{Op: &wire.Resp_Renew{Renew: t.answer(r)}}, nil
}

// overtakenBy tells an earlier start the number of the one that holds the lease.
func overtakenBy(e *entry) *wire.Resp {
	later := &wire.Member{Id: e.member.Id, Inc: e.member.Inc}
	return &wire.Resp{Op: &wire.Resp_Renew{Renew: &wire.RenewAck{Members: []*wire.Member{later}}}}
}

// answer is the answer to a renewal that was granted.
func (t *Table) answer(r *wire.Renew) *wire.RenewAck {
	a := &wire.RenewAck{
		LastsMs:    t.params.Duration.Milliseconds(),
		MembersSum: t.sum,
		Table:      t.id,
		Seen:       t.lastChange,
		GrantedMs:  t.sinceStart(time.Now()),
	}
	a.Part = r.Table == t.id && r.Seen <= t.lastChange && t.rememberedSince(r.Seen)
	if a.Part {
		a.Removed = t.removedSince(r.Seen)
	}
	for c := t.changed.Back(); c != nil; c = c.Prev() {
		e := c.Value.(*entry)
		if a.Part && e.changeNumber <= r.Seen {
			break
		}
		a.Members = append(a.Members, e.shown)
	}
	return a
}

// List is every node known, with how long it has been unresponsive.
func (t *Table) List() []*wire.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	out := make([]*wire.Member, 0, len(t.entries))
	for _, e := range t.entries {
		m := e.member
		unresponsive := t.unresponsiveAt(e, now)
		out = append(
			out,
			&wire.Member{
				Id:              m.Id,
				Role:            m.Role,
				Addr:            m.Addr,
				Http:            m.Http,
				Zone:            m.Zone,
				Ident:           m.Ident,
				IdentityVersion: m.IdentityVersion,
				Inc:             m.Inc,
				SpecVer:         m.SpecVer,
				Status:          m.Status,
				SilentMs:        unresponsive.Milliseconds(),
				Live:            e.renewedThisRun && unresponsive < t.params.Duration,
			},
		)
	}
	sort.Slice(out, func(i, j int) bool { return key(out[i]) < key(out[j]) })
	return out
}
