package register

import (
	"hash/fnv"

	"damsontiller/internal/proto/wire"
)

// Import takes what another acceptor of the keys has accepted, many records with one sync.
// It is for an acceptor of a set that is being changed to. Unlike Adopt it takes a value
// also below what it has promised: the new set must find the value, and whoever was
// promised asks the old set too and sees it there. Such a copy is marked as copied and is
// no vote for its ballot, since the proposer that was promised may still have its own
// value accepted here, also once the new set stands alone. Import returns how many records
// were newer than what was here.
func (a *Acceptor) Import(all []*wire.Copy, save func(map[string]*wire.Rec) error) (int, error) {
	// The locks are taken in their order, so two at it never wait for each other.
	var need [len(a.locks)]bool
	for _, c := range all {
		need[stripe(c.Key)] = true
	}
	for i, n := range need {
		if n {
			a.locks[i] <- struct{}{}
			defer func() { <-a.locks[i] }()
		}
	}
	recs := map[string]*wire.Rec{}
	for _, c := range all {
		r, err := a.load(c.Key)
		if err != nil {
			return 0, err
		}
		// Of one value the copy that was expired is the one that counts.
		n := wire.CompareBallots(c.Rec.GetAccepted(), r.Accepted)
		if n < 0 || n == 0 && (!c.Rec.GetCell().GetPast() || r.Cell.GetPast()) {
			continue
		}
		r.Accepted, r.Cell = c.Rec.Accepted, c.Rec.Cell
		r.Copied = wire.CompareBallots(r.Promised, r.Accepted) > 0
		if wire.CompareBallots(r.Promised, r.Accepted) < 0 {
			r.Promised = r.Accepted
		}
		recs[c.Key] = r
	}
	if len(recs) == 0 {
		return 0, nil
	}
	err := save(recs)
	for k, r := range recs {
		if r.Cell.GetTimed() {
			a.trackAge(k, lastOperation(r.Cell), err)
		}
	}
	if err != nil {
		for k, r := range recs {
			a.recordFailedSave(k, r)
		}
		return 0, err
	}
	return len(recs), nil
}

// Reset drops what the acceptor remembers of its disk, which has been replaced by an empty
// one.
func (a *Acceptor) Reset() {
	a.mu.Lock()
	clear(a.acceptedAt)
	clear(a.unsynced)
	clear(a.uncertain)
	a.mu.Unlock()
}

func stripe(key string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(key))
	return h.Sum32() % stripes
}
