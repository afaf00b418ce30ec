package transport

import (
	"bytes"
	"errors"
	"io"
	"net"
	"testing"

	"damsontiller/internal/transport/code"
)

// bytesConn is a connection on which these bytes arrive.
type bytesConn struct {
	net.Conn
	io.Reader
}

func (c bytesConn) Read(b []byte) (int, error) { return c.Reader.Read(b) }

// FuzzFrame: for arbitrary input, each frame read encodes to the same bytes, none is longer
// than the limit, and all other input fails with a known code.
func FuzzFrame(f *testing.F) {
	const maxBodyBytes = 1 << 10
	write := func(frames ...frame) []byte {
		var b []byte
		for _, one := range frames {
			b = append(appendHeader(b, one), one.body...)
		}
		return b
	}
	call := frame{kind: kindCall, id: 1, body: []byte("call")}
	stream := write(
		call,
		frame{kind: kindAnswer, id: 1<<64 - 1},
		frame{kind: kindVersionMismatch, id: 2, body: make([]byte, maxBodyBytes)},
	)
	f.Add(stream)
	f.Add(stream[:headerBytes+2])
	f.Add(stream[:headerBytes-1])
	f.Add(write(frame{kind: kindCall, id: 1, body: make([]byte, maxBodyBytes+1)}))
	f.Add(append([]byte{magic, Version + 1, kindCall, 0}, make([]byte, 12)...))
	f.Add(append([]byte{magic, Version, kindVersionMismatch + 1, 0}, make([]byte, 12)...))
	f.Add([]byte{magic, Version, kindCall, 0, 0xff, 0xff, 0xff, 0xff, 0, 0, 0, 0, 0, 0, 0, 1})
	f.Fuzz(func(t *testing.T, raw []byte) {
		frames := newFrameReader(bytesConn{Reader: bytes.NewReader(raw)}, maxBodyBytes, nil)
		for read := 0; ; {
			got, err := frames.read(nil)
			if err != nil {
				known := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
				switch code.Of(err) {
				case code.Garbled, code.WireVersion, code.FrameTooLong:
					known = true
				}
				if !known {
					t.Fatalf("unexpected failure: %v", err)
				}
				return
			}
			if len(got.body) > maxBodyBytes {
				t.Fatalf("a body of %d bytes", len(got.body))
			}
			again := write(got)
			if !bytes.Equal(again, raw[read:read+len(again)]) {
				t.Fatalf("read %v, which is written as %x", got, again)
			}
			read += len(again)
		}
	})
}
