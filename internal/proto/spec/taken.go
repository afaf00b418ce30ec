package spec

import (
	"encoding/binary"
	"encoding/hex"

	"damsontiller/internal/transport/code"
)

// OrderDigest stands for the entire content of an operator's order.
type OrderDigest [16]byte

const (
	// MaxTaken bounds the orders that are remembered: at 830 changes a day, more than
	// a day of them.
	MaxTaken = 1024
	// maxOldTaken bounded them in earlier versions, which kept no floor.
	maxOldTaken = 64
	// digestBytes of a digest are kept. It is compared only between orders of one
	// revision.
	digestBytes = 8
)

// shortDigest is the part of an OrderDigest that is remembered.
type shortDigest [digestBytes]byte

func (d OrderDigest) short() shortDigest { return shortDigest(d[:digestBytes]) }

// takenOrder is one order that was taken.
type takenOrder struct {
	revision uint64
	digest   shortDigest
}

// takenOrders are the latest orders that were taken, by rising revision. Every order
// that was taken with a revision above floor is among them.
type takenOrders struct {
	floor uint64
	all   []takenOrder
}

// find is the order that was taken under a revision, if it is remembered.
func (o *takenOrders) find(revision uint64) (takenOrder, bool) {
	for _, order := range o.all {
		if order.revision == revision {
			return order, true
		}
	}
	return takenOrder{}, false
}

// add remembers one more order and forgets the oldest where they are too many.
func (o *takenOrders) add(order takenOrder) {
	o.all = append(o.all, order)
	if extra := len(o.all) - MaxTaken; extra > 0 {
		o.floor = o.all[extra-1].revision
		o.all = o.all[extra:]
	}
}

// encode writes each order as the distance of its revision from the one before, the
// first from the floor, and its digest.
func (o *takenOrders) encode() []byte {
	out := make([]byte, 0, len(o.all)*(digestBytes+1))
	last := o.floor
	for _, order := range o.all {
		out = binary.AppendUvarint(out, order.revision-last)
		out = append(out, order.digest[:]...)
		last = order.revision
	}
	return out
}

// decodeTaken reads what encode wrote. What can't be read counts as forgotten, up to
// the revision now in force.
func decodeTaken(floor uint64, log []byte, current uint64) takenOrders {
	orders := takenOrders{floor: floor}
	last := floor
	for len(log) > 0 {
		distance, n := binary.Uvarint(log)
		if n <= 0 || len(log) < n+digestBytes {
			return takenOrders{floor: current}
		}
		last += distance
		orders.all = append(orders.all, takenOrder{last, shortDigest(log[n : n+digestBytes])})
		log = log[n+digestBytes:]
	}
	return orders
}

// decodeOldTaken reads the list of an earlier version. One that is full may have
// forgotten what came before it.
func decodeOldTaken(old []Taken) takenOrders {
	var orders takenOrders
	if len(old) >= maxOldTaken {
		orders.floor = old[0].Revision - 1
	}
	for _, t := range old {
		digest, err := hex.DecodeString(t.Digest)
		if err != nil || len(digest) < digestBytes {
			orders = takenOrders{floor: t.Revision}
			continue
		}
		orders.all = append(orders.all, takenOrder{t.Revision, shortDigest(digest[:digestBytes])})
	}
	return orders
}

// taken is what the cluster remembers, in whichever form.
func (r *Cluster) taken() takenOrders {
	if len(r.Taken) > 0 {
		return decodeOldTaken(r.Taken)
	}
	return decodeTaken(r.TakenFloor, r.TakenLog, r.Table.Revision)
}

// remember records an order as taken.
func (r *Cluster) remember(orders takenOrders, revision uint64, digest OrderDigest) {
	orders.add(takenOrder{revision, digest.short()})
	r.Taken = nil
	r.TakenFloor = orders.floor
	r.TakenLog = orders.encode()
}

// Replace puts an entire table in the place of the one on which it builds. An order that
// was taken before, under the same revision and digest, is good again and changes
// nothing; same tells so. Where that isn't remembered any more, the order is neither
// taken nor refused: the failure is code.Forgotten.
func (r *Cluster) Replace(base, revision uint64, digest OrderDigest, t Table) (same bool, err error) {
	orders := r.taken()
	order, remembered := orders.find(revision)
	switch {
	case remembered && order.digest == digest.short():
		return true, nil
	case !remembered && base < revision && revision <= orders.floor:
		return false, code.New(
			code.Forgotten,
			"whether revision %d was taken is not known any more; revision %d is in force",
			revision,
			r.Table.Revision,
		)
	case base != r.Table.Revision:
		return false, code.New(code.SpecConflict, "built on revision %d, %d is in force", base, r.Table.Revision)
	case revision <= r.Table.Revision:
		return false, bad("revision", "%d is not above %d", revision, r.Table.Revision)
	}
	t.Revision = revision
	if err := t.Check(); err != nil {
		return false, err
	}
	r.Table = t
	r.remember(orders, revision, digest)
	return false, nil
}
