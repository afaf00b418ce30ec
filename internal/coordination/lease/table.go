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

// Table is the member table of a core machine: the nodes that have requested leases from it
// and the time of their last renewal. A node is recorded on disk before its first lease is
// granted, so that an acknowledgement of a change always waits for it. Renewal times are kept
// in memory only.
//
// Changes to the published member list are numbered. A renewal carries the number of the last
// change that its sender has received and is answered with the changes since then, so its
// cost does not grow with the number of nodes. Permanently departed members are removed
// eventually (departed.go).
type Table struct {
	params  Params
	disk    Disk
	id      uint64 // random, new for each run
	started time.Time

	mu         sync.Mutex
	entries    map[string]*entry
	folders    map[string]folderState // last reported state of each identity's folder
	sum        uint64                 // of the digests of all published members
	lastChange uint64                 // number of the last change
	// changeOrder holds all entries, the most recently changed one last.
	changeOrder *list.List
	// renewalOrder holds the live entries, the most recently renewed one last.
	renewalOrder *list.List
	removals     []removal // the most recent removals, the newest last
	// deleting holds a channel for each member whose record is being deleted, which is
	// closed after the deletion.
	deleting map[string]chan struct{}
	// recording counts the incarnations of each member that are being recorded.
	recording  map[string]int
	incomplete bool // some members may not be listed (departed.go)
}

// Disk stores a table's records.
type Disk interface {
	SaveMetadata(key string, b []byte) error
	LoadMetadata(key string) ([]byte, error)
	DeleteMetadata(key string) error
	ListMetadata(prefix string) (map[string][]byte, error)
}

// entry is a member in the table.
type entry struct {
	member    *wire.Member
	renewedAt time.Time
	// grantReceivedAt is the time of the last grant that the member is known to have received.
	grantReceivedAt time.Time
	// renewedThisRun is false for a member known only from a record of an earlier run.
	renewedThisRun bool

	published      *wire.Member // immutable
	changeNumber   uint64       // of its last change
	changeElement  *list.Element
	renewalElement *list.Element // nil if the member is not live
}

// NewTable creates a table from the records of an earlier run. The time of the last renewal
// is not recorded, so every member in them counts as having renewed now.
func NewTable(params Params, disk Disk) (*Table, error) {
	t := &Table{
		params:       params,
		disk:         disk,
		id:           rand.Uint64() | 1,
		started:      time.Now(),
		entries:      map[string]*entry{},
		folders:      map[string]folderState{},
		deleting:     map[string]chan struct{}{},
		recording:    map[string]int{},
		changeOrder:  list.New(),
		renewalOrder: list.New(),
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
		t.addRecorded(m)
	}
	marker, err := disk.LoadMetadata(incompleteKey)
	if err != nil {
		return nil, err
	}
	t.incomplete = len(marker) > 0
	return t, nil
}

// addRecorded lists a member that has not renewed in this run.
func (t *Table) addRecorded(m *wire.Member) {
	now := time.Now()
	e := &entry{member: m, renewedAt: now, grantReceivedAt: now}
	t.entries[key(m)] = e
	t.recordFolder(m)
	t.publish(e, false)
}

// MemberKeyPrefix is the prefix of the metadata keys of members.
const MemberKeyPrefix = "member/"

// key identifies a member in the table by id and address.
func key(m *wire.Member) string { return m.Id + "@" + m.Addr }

// publish updates the published form of an entry and numbers the change, if there is one.
func (t *Table) publish(e *entry, live bool) {
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
	if e.published != nil {
		if memberDigest(e.published) == memberDigest(m) {
			return
		}
		t.sum -= memberDigest(e.published)
	}
	t.sum += memberDigest(m)
	t.lastChange++
	e.published, e.changeNumber = m, t.lastChange
	if e.changeElement == nil {
		e.changeElement = t.changeOrder.PushBack(e)
	} else {
		t.changeOrder.MoveToBack(e.changeElement)
	}
}

// recordRenewal marks an entry as renewed now. A member that receives no grants or whose disk
// hangs is not live even though it renews.
func (t *Table) recordRenewal(e *entry) {
	e.renewedAt, e.renewedThisRun = time.Now(), true
	if t.unresponsive(e) >= t.params.Duration {
		t.endLease(e)
		return
	}
	if e.renewalElement == nil {
		e.renewalElement = t.renewalOrder.PushBack(e)
	} else {
		t.renewalOrder.MoveToBack(e.renewalElement)
	}
	t.publish(e, true)
}

// expire ends the leases that were not renewed within the lease duration.
func (t *Table) expire() {
	now := time.Now()
	for front := t.renewalOrder.Front(); front != nil; front = t.renewalOrder.Front() {
		e := front.Value.(*entry)
		if now.Sub(e.renewedAt) < t.params.Duration {
			return
		}
		t.endLease(e)
	}
}

// endLease publishes an entry as not live.
func (t *Table) endLease(e *entry) {
	if e.renewalElement != nil {
		t.renewalOrder.Remove(e.renewalElement)
		e.renewalElement = nil
	}
	t.publish(e, false)
}

// memberDigest returns a hash of the published fields of a member.
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

// superseded reports whether a renewal is from an earlier incarnation than the one that holds
// the lease. Incarnations are numbered by wall-clock time, and the clock may have been set
// back between two starts. Therefore, once the higher incarnation has not renewed for the
// lease duration, the lower one is assumed to be the running process. If that is wrong,
// changes merely wait for it.
func (t *Table) superseded(e *entry, m *wire.Member) bool {
	return e != nil && m.Inc < e.member.Inc && time.Since(e.renewedAt) < t.params.Duration
}

// updateEntry updates the entry of a renewal's sender.
func (t *Table) updateEntry(e *entry, renewal *wire.Renew) {
	m := renewal.Self
	t.recordReceivedGrant(e, renewal)
	// Renewals may arrive out of order; the confirmed spec version never decreases within an
	// incarnation.
	if m.Inc != e.member.Inc || m.SpecVer >= e.member.SpecVer {
		e.member = m
	}
	t.recordFolder(m)
	t.recordRenewal(e)
}

// Grant grants or renews a lease. The error has code.OldEpoch if a later incarnation of the
// sender holds the lease and code.FolderOutdated if the sender's folder was restored from a
// copy.
func (t *Table) Grant(_ context.Context, request *wire.Req) (*wire.Resp, error) {
	renewal := request.GetRenew()
	m := renewal.GetSelf()
	if m.GetId() == "" || m.GetAddr() == "" {
		return nil, code.New(code.Garbled, "a renewal without id or address")
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[key(m)]
	if t.superseded(e, m) {
		return supersededBy(e), code.New(code.OldEpoch, "a later start of %s holds the lease", m.Id)
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
	// The lock was released while recording, and a later incarnation may have renewed
	// meanwhile.
	if !t.superseded(e, m) {
		t.updateEntry(e, renewal)
	}
	t.expire()
	return &wire.Resp{Op: &wire.Resp_Renew{Renew: t.buildAnswer(renewal)}}, nil
}

// supersededBy is the answer to an earlier incarnation: the number of the incarnation that
// holds the lease.
func supersededBy(e *entry) *wire.Resp {
	later := &wire.Member{Id: e.member.Id, Inc: e.member.Inc}
	return &wire.Resp{Op: &wire.Resp_Renew{Renew: &wire.RenewAck{Members: []*wire.Member{later}}}}
}

// buildAnswer builds the answer to a granted renewal: the changes since the last change that
// the sender has received, or the full list if those are not known.
func (t *Table) buildAnswer(renewal *wire.Renew) *wire.RenewAck {
	answer := &wire.RenewAck{
		LastsMs:    t.params.Duration.Milliseconds(),
		MembersSum: t.sum,
		Table:      t.id,
		Seen:       t.lastChange,
		GrantedMs:  t.millisecondsSinceStart(time.Now()),
	}
	answer.Part = renewal.Table == t.id && renewal.Seen <= t.lastChange && t.hasRemovalsSince(renewal.Seen)
	if answer.Part {
		answer.Removed = t.removedSince(renewal.Seen)
	}
	for element := t.changeOrder.Back(); element != nil; element = element.Prev() {
		e := element.Value.(*entry)
		if answer.Part && e.changeNumber <= renewal.Seen {
			break
		}
		answer.Members = append(answer.Members, e.published)
	}
	return answer
}

// List returns every known member with the time for which it has been unresponsive.
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
