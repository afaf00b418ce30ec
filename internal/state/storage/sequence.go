package storage

import (
	"encoding/binary"
	"errors"
	"time"

	"github.com/cockroachdb/pebble/v2"

	"damsontiller/internal/proto/wire"
)

// sequenceKey holds how many groups of writes the folder has synced. It is written with
// each of them, so a folder that was put back from a copy has fewer than it once had.
const sequenceKey = metadataPrefix + "sequence"

// FolderState is the folder's state now.
func (engine *Engine) FolderState() *wire.FolderState {
	engine.instanceMutex.RLock()
	defer engine.instanceMutex.RUnlock()
	state := &wire.FolderState{Start: engine.folderStart, Opened: engine.openedSequence}
	if engine.current != nil {
		state.Synced = engine.current.sequence.Load()
	}
	return state
}

// readSequence is what a database says of its synced groups; 0 for one of an earlier
// release.
func readSequence(db pebble.Reader) (uint64, error) {
	b, closer, err := db.Get([]byte(sequenceKey))
	if errors.Is(err, pebble.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	defer closer.Close()
	if len(b) != 8 {
		return 0, errors.New("the number of synced groups can't be read")
	}
	return binary.BigEndian.Uint64(b), nil
}

// StallDuration is how long the disk has answered nothing though it was asked to write or sync;
// 0 where it has nothing to answer.
func (engine *Engine) StallDuration() time.Duration {
	i := engine.instance()
	if i == nil {
		return 0
	}
	return i.device.stallDuration()
}
