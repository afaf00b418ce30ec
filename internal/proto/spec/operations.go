package spec

import (
	"bytes"
	"crypto/sha256"

	"damsontiller/internal/transport/code"
)

// An operator's order that carries an operation id may be sent again after a lost answer:
// the cluster remembers the last ones that were taken, and takes none of them twice.

const (
	// MaxOperations bounds the operations that are remembered.
	MaxOperations = 128
	// operationBytes is the size of one in the log: half of it stands for the id, half for
	// the content.
	operationBytes = 2 * digestBytes
)

// Operation is an order with an id that its sender has drawn. The zero Operation has none.
type Operation struct {
	ID     string
	Digest OrderDigest // of its content
}

// entry is an operation as the log holds it.
func (o Operation) entry() []byte {
	id := sha256.Sum256([]byte(o.ID))
	return append(id[:digestBytes:digestBytes], o.Digest[:digestBytes]...)
}

// TookOperation reports whether an operation was taken before. The error has code.KeyReused
// where another one was, under the same id.
func (r *Cluster) TookOperation(o Operation) (bool, error) {
	if o.ID == "" {
		return false, nil
	}
	entry := o.entry()
	for log := r.OperationLog; len(log) >= operationBytes; log = log[operationBytes:] {
		if !bytes.Equal(log[:digestBytes], entry[:digestBytes]) {
			continue
		}
		if !bytes.Equal(log[digestBytes:operationBytes], entry[digestBytes:]) {
			return false, code.New(code.KeyReused, "another order was taken under this id")
		}
		return true, nil
	}
	return false, nil
}

// RememberOperation notes an operation as taken, and forgets the oldest of too many.
func (r *Cluster) RememberOperation(o Operation) {
	if o.ID == "" {
		return
	}
	log := append(bytes.Clone(r.OperationLog), o.entry()...)
	if extra := len(log) - MaxOperations*operationBytes; extra > 0 {
		log = log[extra:]
	}
	r.OperationLog = log
}
