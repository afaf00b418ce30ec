package core

import (
	"encoding/binary"

	"damsontiller/internal/coordination/node"
)

// MetadataStore are the small records that a machine keeps beside its data.
type MetadataStore interface {
	SaveMetadata(key string, b []byte) error
	LoadMetadata(key string) ([]byte, error)
}

// identityVersionKey is where a machine notes the version that its identity was made under.
const identityVersionKey = "identity-version"

// SaveIdentityVersion notes on disk under which version of the cluster this machine's identity
// was made, before it is first told to anybody who could admit it. It is noted once and
// never raised: what is let go and forgotten is refused by it (package membership).
func SaveIdentityVersion(n *node.Node, d MetadataStore, version uint64) error {
	if err := d.SaveMetadata(identityVersionKey, binary.BigEndian.AppendUint64(nil, version)); err != nil {
		return err
	}
	n.Peer.SetIdent(n.Peer.Ident(), version)
	return nil
}

// RestoreIdentityVersion takes up the version that was noted. A folder that an earlier release
// has made has no note: its identity counts as made under version 0.
func RestoreIdentityVersion(n *node.Node, d MetadataStore) error {
	b, err := d.LoadMetadata(identityVersionKey)
	if err != nil || len(b) < 8 {
		return err
	}
	n.Peer.SetIdent(n.Peer.Ident(), binary.BigEndian.Uint64(b))
	return nil
}
