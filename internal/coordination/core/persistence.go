package core

import (
	"encoding/binary"
	"time"

	"damsontiller/internal/coordination/cluster"
	"damsontiller/internal/coordination/lease"
	"damsontiller/internal/coordination/node"
	"damsontiller/internal/proto/wire"
)

// MetadataStore are the small records that a machine keeps beside its data.
type MetadataStore interface {
	SaveMetadata(key string, b []byte) error
	LoadMetadata(key string) ([]byte, error)
}

// identityVersionKey is where a machine records the version that its identity was made under.
const identityVersionKey = "identity-version"

// SaveIdentityVersion records on disk under which version of the cluster this machine's identity
// was made, before it is first given to anybody who could admit it. It is recorded once and
// never raised: what is removed and forgotten is refused by it (package membership).
func SaveIdentityVersion(n *node.Node, d MetadataStore, version uint64) error {
	if err := d.SaveMetadata(identityVersionKey, binary.BigEndian.AppendUint64(nil, version)); err != nil {
		return err
	}
	n.Peer.SetIdent(n.Peer.Ident(), version)
	return nil
}

// RestoreIdentityVersion takes up the version that was recorded. A folder that an earlier release
// has made has no such record: its identity counts as made under version 0.
func RestoreIdentityVersion(n *node.Node, d MetadataStore) error {
	b, err := d.LoadMetadata(identityVersionKey)
	if err != nil || len(b) < 8 {
		return err
	}
	n.Peer.SetIdent(n.Peer.Ident(), binary.BigEndian.Uint64(b))
	return nil
}

// DiskStates is what a data folder tells of itself.
type DiskStates interface {
	// Status says what is wrong with the disk; StallDuration for how long it has answered nothing.
	Status() string
	StallDuration() time.Duration
	FolderState() *wire.FolderState
}

// DiskState is what a lease's renewals state of a data folder.
func DiskState(d DiskStates) lease.DiskState {
	return lease.DiskState{Status: d.Status(), HungFor: d.StallDuration(), Folder: d.FolderState()}
}

const clusterKey = "realm"

// PersistCluster records each spec on disk before it comes into force.
func PersistCluster(save func(string, []byte) error) func([]byte, uint64) error {
	return func(raw []byte, ver uint64) error {
		return save(clusterKey, append(binary.BigEndian.AppendUint64(nil, ver), raw...))
	}
}

// RestoreCluster puts the spec kept on disk in force: a node never slips back to an
// older one than it has had.
func RestoreCluster(saved func(string) ([]byte, error), r *cluster.Cluster) error {
	b, err := saved(clusterKey)
	if err != nil || len(b) < 8 {
		return err
	}
	return r.Apply(binary.BigEndian.Uint64(b), b[8:])
}
