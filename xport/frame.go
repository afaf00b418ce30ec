// Package xport carries frames over TCP: a call out, an answer back, many at
// once on one connection. It knows nothing of what is in them.
package xport

import (
	"encoding/binary"
	"io"

	"damsontiller/xport/code"
)

// Version is the frame layout's number. A peer that speaks another is told so.
const Version = 1

const (
	magic   = 0xD7
	headLen = 16

	kindCall   = 1
	kindAnswer = 2
	kindAlien  = 3 // the other side speaks another version
)

type frame struct {
	kind byte
	id   uint64
	body []byte
}

// head: magic, version, kind, zero, length (4), id (8).
func writeFrame(w io.Writer, f frame) error {
	b := make([]byte, headLen+len(f.body))
	b[0], b[1], b[2] = magic, Version, f.kind
	binary.BigEndian.PutUint32(b[4:], uint32(len(f.body)))
	binary.BigEndian.PutUint64(b[8:], f.id)
	copy(b[headLen:], f.body)
	_, err := w.Write(b)
	return err
}

func readFrame(r io.Reader, most int) (frame, error) {
	var h [headLen]byte
	if _, err := io.ReadFull(r, h[:]); err != nil {
		return frame{}, err
	}
	if h[0] != magic || h[3] != 0 || h[2] < kindCall || h[2] > kindAlien {
		return frame{}, code.New(code.Garbled, "frame head is not ours")
	}
	if h[1] != Version {
		return frame{}, code.New(code.WireVersion, "frame version %d, want %d", h[1], Version)
	}
	n := binary.BigEndian.Uint32(h[4:])
	// The length is checked before any memory is taken for it.
	if int64(n) > int64(most) {
		return frame{}, code.New(code.FrameTooLong, "frame of %d bytes, limit %d", n, most)
	}
	f := frame{kind: h[2], id: binary.BigEndian.Uint64(h[8:]), body: make([]byte, n)}
	if _, err := io.ReadFull(r, f.body); err != nil {
		return frame{}, err
	}
	return f, nil
}
