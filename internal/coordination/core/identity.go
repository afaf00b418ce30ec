package core

import (
	"encoding/binary"

	"damsontiller/internal/coordination/node"
)

// Notes are the small records that a machine keeps beside its data.
type Notes interface {
	Note(key string, b []byte) error
	Noted(key string) ([]byte, error)
}

// identityNote is where a machine notes the version that its identity was made under.
const identityNote = "identity-version"

// MarkIdentity notes on disk under which version of the cluster this machine's identity
// was made, before it is first told to anybody who could admit it. It is noted once and
// never raised: what is let go and forgotten is refused by it (package membership).
func MarkIdentity(n *node.Node, d Notes, version uint64) error {
	if err := d.Note(identityNote, binary.BigEndian.AppendUint64(nil, version)); err != nil {
		return err
	}
	n.Peer.SetIdent(n.Peer.Ident(), version)
	return nil
}

// RecallIdentity takes up the version that was noted. A folder that an earlier release
// has made has no note: its identity counts as made under version 0.
func RecallIdentity(n *node.Node, d Notes) error {
	b, err := d.Noted(identityNote)
	if err != nil || len(b) < 8 {
		return err
	}
	n.Peer.SetIdent(n.Peer.Ident(), binary.BigEndian.Uint64(b))
	return nil
}
