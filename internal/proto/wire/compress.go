package wire

import (
	"github.com/klauspost/compress/s2"

	"damsontiller/internal/transport/code"
)

const (
	// CompressAbove is the size in bytes from which a value counts as large: it is sent
	// compressed, and only to the peers that need it.
	CompressAbove = 4 << 10
	// maxDecompressed is the limit on the size of a decompressed value, in bytes. It
	// bounds the memory that a peer can make this process allocate.
	maxDecompressed = 8 << 20
)

// Compress returns a value in the compressed form in which large values are sent.
func Compress(value []byte) []byte { return s2.EncodeBetter(nil, value) }

// Decompress reverses Compress. Its errors have the code Garbled.
func Decompress(b []byte) ([]byte, error) {
	n, err := s2.DecodedLen(b)
	if err != nil {
		return nil, code.New(code.Garbled, "compressed value can't be read: %w", err)
	}
	if n > maxDecompressed {
		return nil, code.New(code.Garbled, "compressed value of %d bytes, limit %d", n, maxDecompressed)
	}
	value, err := s2.Decode(nil, b)
	if err != nil {
		return nil, code.New(code.Garbled, "compressed value can't be read: %w", err)
	}
	return value, nil
}
