package register

import (
	"hash/fnv"

	"damsontiller/internal/proto/wire"
)

// Import stores records that another acceptor has accepted, many with one sync. It is for an
// acceptor of a set that is being switched to. Unlike Adopt it also stores a value below the
// promised ballot: the new set must contain the value, and a proposer that was promised a
// higher ballot asks the old set too and sees the value there. Such a copy is marked as copied
// and does not count as a vote for its ballot, since the proposer with the higher promise may
// still get its own value accepted here, even once the new set alone is in force. Import
// returns how many records were newer than the stored ones.
func (a *Acceptor) Import(copies []*wire.Copy, save func(map[string]*wire.Rec) error) (int, error) {
	// The stripes are locked in ascending order, so that concurrent calls cannot deadlock.
	var needed [len(a.locks)]bool
	for _, c := range copies {
		needed[stripe(c.Key)] = true
	}
	for i, isNeeded := range needed {
		if isNeeded {
			a.locks[i] <- struct{}{}
			defer func() { <-a.locks[i] }()
		}
	}
	newer := map[string]*wire.Rec{}
	for _, c := range copies {
		record, err := a.load(c.Key)
		if err != nil {
			return 0, err
		}
		// Of two copies of the same value, the expired one takes precedence.
		compared := wire.CompareBallots(c.Rec.GetAccepted(), record.Accepted)
		if compared < 0 || compared == 0 && (!c.Rec.GetCell().GetPast() || record.Cell.GetPast()) {
			continue
		}
		record.Accepted, record.Cell = c.Rec.Accepted, c.Rec.Cell
		record.Copied = wire.CompareBallots(record.Promised, record.Accepted) > 0
		if wire.CompareBallots(record.Promised, record.Accepted) < 0 {
			record.Promised = record.Accepted
		}
		newer[c.Key] = record
	}
	if len(newer) == 0 {
		return 0, nil
	}
	err := save(newer)
	for key, record := range newer {
		if record.Cell.GetTimed() {
			a.trackAge(key, lastOperation(record.Cell), err)
		}
	}
	if err != nil {
		for key, record := range newer {
			a.recordFailedSave(key, record)
		}
		return 0, err
	}
	return len(newer), nil
}

// Reset clears the acceptor's in-memory state after its disk was replaced by an empty one.
func (a *Acceptor) Reset() {
	a.mu.Lock()
	clear(a.acceptedAt)
	clear(a.unsynced)
	clear(a.uncertain)
	a.mu.Unlock()
}

func stripe(key string) uint32 {
	hash := fnv.New32a()
	hash.Write([]byte(key))
	return hash.Sum32() % lockStripes
}
