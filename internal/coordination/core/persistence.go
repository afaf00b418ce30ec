package core

import (
	"encoding/binary"
	"time"

	"damsontiller/internal/coordination/cluster"
	"damsontiller/internal/coordination/lease"
	"damsontiller/internal/coordination/node"
	"damsontiller/internal/proto/wire"
)

// MetadataStore stores the small records that a machine keeps next to its data.
type MetadataStore interface {
	SaveMetadata(key string, b []byte) error
	LoadMetadata(key string) ([]byte, error)
}

// identityVersionKey is the record of the cluster version under which the machine's identity was
// created.
const identityVersionKey = "identity-version"

// SaveIdentityVersion records on disk the cluster version under which this machine's identity was
// created, before the identity is sent to any process that could admit it. The version is recorded
// once and never raised, because it is used to reject identities that were removed and are no
// longer listed (see package membership).
func SaveIdentityVersion(n *node.Node, store MetadataStore, version uint64) error {
	if err := store.SaveMetadata(identityVersionKey, binary.BigEndian.AppendUint64(nil, version)); err != nil {
		return err
	}
	n.Peer.SetIdent(n.Peer.Ident(), version)
	return nil
}

// RestoreIdentityVersion loads the recorded version. A folder created by an earlier release has no
// such record: its identity counts as created under version 0.
func RestoreIdentityVersion(n *node.Node, store MetadataStore) error {
	record, err := store.LoadMetadata(identityVersionKey)
	if err != nil || len(record) < 8 {
		return err
	}
	n.Peer.SetIdent(n.Peer.Ident(), binary.BigEndian.Uint64(record))
	return nil
}

// DiskStatusReporter reports the state of a data folder.
type DiskStatusReporter interface {
	// Status describes a problem with the disk; StallDuration is how long the disk has not responded.
	Status() string
	StallDuration() time.Duration
	FolderState() *wire.FolderState
}

// DiskState returns the state of a data folder as lease renewals report it.
func DiskState(disk DiskStatusReporter) lease.DiskState {
	return lease.DiskState{Status: disk.Status(), HungFor: disk.StallDuration(), Folder: disk.FolderState()}
}

// clusterMetadataKey is the record of the cluster in force. The name is part of the stored format.
const clusterMetadataKey = "realm"

// PersistCluster returns a function that records each version of the cluster on disk before it
// comes into force.
func PersistCluster(save func(string, []byte) error) func([]byte, uint64) error {
	return func(raw []byte, version uint64) error {
		return save(clusterMetadataKey, append(binary.BigEndian.AppendUint64(nil, version), raw...))
	}
}

// RestoreCluster puts the version recorded on disk in force, so that a node never returns to an
// older version than it has had.
func RestoreCluster(load func(string) ([]byte, error), state *cluster.Cluster) error {
	record, err := load(clusterMetadataKey)
	if err != nil || len(record) < 8 {
		return err
	}
	return state.Apply(binary.BigEndian.Uint64(record), record[8:])
}
