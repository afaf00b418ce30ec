package storage

import (
	"encoding/binary"
	"errors"
	"time"

	"github.com/cockroachdb/pebble/v2"

	"damsontiller/internal/proto/wire"
)

// sequenceKey holds the number of write groups that the folder has synced. It is updated with
// each group, so that a folder restored from a backup shows a lower number than before.
const sequenceKey = metadataPrefix + "sequence"

// FolderState returns the current state of the folder.
func (engine *Engine) FolderState() *wire.FolderState {
	engine.instanceMutex.RLock()
	defer engine.instanceMutex.RUnlock()
	state := &wire.FolderState{Start: engine.folderStart, Opened: engine.openedSequence}
	if engine.current != nil {
		state.Synced = engine.current.sequence.Load()
	}
	return state
}

// readSequence returns the number of synced write groups recorded in a database; 0 for a
// database of a release that did not record it.
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
		return 0, errors.New("the number of synced write groups can't be decoded")
	}
	return binary.BigEndian.Uint64(b), nil
}

// StallDuration returns for how long the disk has completed none of its pending writes and
// syncs; 0 if none is pending.
func (engine *Engine) StallDuration() time.Duration {
	i := engine.instance()
	if i == nil {
		return 0
	}
	return i.device.stallDuration()
}
