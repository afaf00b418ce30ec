// Package transport carries frames over TCP: a call out, an answer back, many at
// once on one connection. It knows nothing of what is in them.
package transport

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"runtime"
	"sync"

	"damsontiller/internal/transport/code"
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
	// written, if set, is called once the frame has been written, or never will be.
	written func()
}

// headOf lays down a frame's head: magic, version, kind, zero, length (4), id (8).
func headOf(b []byte, f frame) []byte {
	b = append(b, magic, Version, f.kind, 0)
	b = binary.BigEndian.AppendUint32(b, uint32(len(f.body)))
	return binary.BigEndian.AppendUint64(b, f.id)
}

const (
	// A batch takes no more frames once it is as large as outBuf, and a body of
	// ownBody bytes is not copied into it, where the connection can do without.
	outBuf  = 16 << 10
	ownBody = 4 << 10
)

// batch is the frames of one write.
type batch struct {
	b     []byte
	from  int         // what of b is in parts already
	parts net.Buffers // what comes before it, in order
}

// Only a connection that is being written to has a batch.
var batches = sync.Pool{New: func() any { return &batch{} }}

func (o *batch) add(f frame, split bool) {
	o.b = headOf(o.b, f)
	if !split || len(f.body) < ownBody {
		o.b = append(o.b, f.body...)
		return
	}
	o.parts = append(o.parts, o.b[o.from:len(o.b):len(o.b)], f.body)
	o.from = len(o.b)
}

func (o *batch) size() int {
	n := len(o.b) - o.from
	for _, p := range o.parts {
		n += len(p)
	}
	return n
}

// write is one call to the system. A connection that isn't TCP gets one Write as
// well, so that in a simulated network a frame is lost in full or not at all.
func (o *batch) write(c net.Conn) error {
	if len(o.parts) == 0 {
		_, err := c.Write(o.b)
		return err
	}
	if o.from < len(o.b) {
		o.parts = append(o.parts, o.b[o.from:])
	}
	all := o.parts
	_, err := all.WriteTo(c)
	return err
}

func (o *batch) free() {
	clear(o.parts)
	if o.b, o.parts, o.from = o.b[:0], o.parts[:0], 0; cap(o.b) <= 2*outBuf {
		batches.Put(o)
	}
}

// writer is the one writer of a connection. What waits goes out together.
type writer struct {
	conn net.Conn
	out  chan frame
	done <-chan struct{} // closed once the connection has ended
	end  func(error)

	mu      sync.Mutex
	stopped bool // nothing is enqueued any more
}

// enqueue hands a frame to the writer. It waits while too many wait, and reports false where
// the connection has ended; then the frame's written is not called.
func (w *writer) enqueue(f frame) bool {
	select {
	case <-w.done:
		return false
	default:
	}
	select {
	case w.out <- f:
	case <-w.done:
		return false
	}
	// Where the writer has stopped meanwhile nobody else looks at what waits.
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		w.drop()
	}
	return true
}

// run writes until the connection ends.
func (w *writer) run() {
	_, split := w.conn.(*net.TCPConn)
	var written []func()
	add := func(o *batch, f frame) {
		o.add(f, split)
		if f.written != nil {
			written = append(written, f.written)
		}
	}
	for {
		select {
		case <-w.done:
			w.stop()
			return
		case f := <-w.out:
			o := batches.Get().(*batch)
			add(o, f)
			// Whoever is ready to add to it goes first.
			runtime.Gosched()
			for more := true; more && o.size() < outBuf; {
				select {
				case f := <-w.out:
					add(o, f)
				default:
					more = false
				}
			}
			err := o.write(w.conn)
			o.free()
			for _, f := range written {
				f()
			}
			written = written[:0]
			if err != nil {
				w.end(err)
				w.stop()
				return
			}
		}
	}
}

// stop drops what waits, now and later.
func (w *writer) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.drop()
}

// drop takes what waits and tells that it will not be written. The caller holds the lock.
func (w *writer) drop() {
	for {
		select {
		case f := <-w.out:
			if f.written != nil {
				f.written()
			}
		default:
			return
		}
	}
}

func readFrame(r *bufio.Reader, most int) (frame, error) {
	h, err := r.Peek(headLen)
	if err != nil {
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
	if _, err := r.Discard(headLen); err != nil {
		return frame{}, err
	}
	if _, err := io.ReadFull(r, f.body); err != nil {
		return frame{}, err
	}
	return f, nil
}
