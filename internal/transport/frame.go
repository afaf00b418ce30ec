// Package transport multiplexes calls and their answers as frames over TCP connections. It does
// not interpret the bodies of the frames.
package transport

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"runtime"
	"sync"
	"time"

	"damsontiller/internal/transport/code"
	"damsontiller/internal/transport/membudget"
)

// Version is the version of the frame layout. A peer that uses another version is notified
// before its connection is closed.
const Version = 1

const (
	magic       = 0xD7
	headerBytes = 16

	kindCall            = 1
	kindAnswer          = 2
	kindVersionMismatch = 3 // the sender uses another frame version
)

type frame struct {
	kind byte
	id   uint64
	body []byte
	// written, if set, is called once the frame has been written or will definitely not be.
	written func()
}

// appendHeader appends the header of a frame: magic, version, kind, zero, length (4 bytes), id
// (8 bytes).
func appendHeader(b []byte, f frame) []byte {
	b = append(b, magic, Version, f.kind, 0)
	b = binary.BigEndian.AppendUint32(b, uint32(len(f.body)))
	return binary.BigEndian.AppendUint64(b, f.id)
}

const (
	// maxBatchBytes is the size from which a batch takes no more frames.
	maxBatchBytes = 16 << 10
	// minUncopiedBodyBytes is the size from which a body is passed to a vectored write instead
	// of being copied into the batch, on a TCP connection.
	minUncopiedBodyBytes = 4 << 10
)

// batch holds the frames of one write.
type batch struct {
	buf     []byte
	flushed int         // length of the prefix of buf that parts refers to already
	parts   net.Buffers // everything that precedes buf[flushed:], in order
}

// batches holds free batches. A connection needs one only during a write.
var batches = sync.Pool{New: func() any { return &batch{} }}

func (out *batch) add(f frame, vectored bool) {
	out.buf = appendHeader(out.buf, f)
	if !vectored || len(f.body) < minUncopiedBodyBytes {
		out.buf = append(out.buf, f.body...)
		return
	}
	out.parts = append(out.parts, out.buf[out.flushed:len(out.buf):len(out.buf)], f.body)
	out.flushed = len(out.buf)
}

func (out *batch) size() int {
	n := len(out.buf) - out.flushed
	for _, p := range out.parts {
		n += len(p)
	}
	return n
}

// write makes one system call. A connection that is not TCP also gets a single Write, so that a
// simulated network loses a frame entirely or not at all.
func (out *batch) write(c net.Conn) error {
	if len(out.parts) == 0 {
		_, err := c.Write(out.buf)
		return err
	}
	if out.flushed < len(out.buf) {
		out.parts = append(out.parts, out.buf[out.flushed:])
	}
	all := out.parts
	_, err := all.WriteTo(c)
	return err
}

func (out *batch) free() {
	clear(out.parts)
	if out.buf, out.parts, out.flushed = out.buf[:0], out.parts[:0], 0; cap(out.buf) <= 2*maxBatchBytes {
		batches.Put(out)
	}
}

// writer writes the queued frames of a connection. Frames queued during a write are combined in
// the next one.
type writer struct {
	conn  net.Conn
	queue chan frame
	done  <-chan struct{} // closed once the connection has ended
	end   func(error)

	mu      sync.Mutex
	stopped bool // frames are discarded from now on
}

// enqueue queues a frame. It blocks while the queue is full, and returns false if the
// connection has ended; then the callback of the frame is not called.
func (w *writer) enqueue(f frame) bool {
	select {
	case <-w.done:
		return false
	default:
	}
	select {
	case w.queue <- f:
	case <-w.done:
		return false
	}
	// If the writer has stopped in the meantime, nothing else empties the queue.
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		w.discardQueued()
	}
	return true
}

// run writes queued frames until the connection ends.
func (w *writer) run() {
	_, vectored := w.conn.(*net.TCPConn)
	var written []func()
	add := func(out *batch, f frame) {
		out.add(f, vectored)
		if f.written != nil {
			written = append(written, f.written)
		}
	}
	for {
		select {
		case <-w.done:
			w.stop()
			return
		case f := <-w.queue:
			out := batches.Get().(*batch)
			add(out, f)
			// Yields, so that other goroutines can add their frames to this batch.
			runtime.Gosched()
			for more := true; more && out.size() < maxBatchBytes; {
				select {
				case f := <-w.queue:
					add(out, f)
				default:
					more = false
				}
			}
			err := out.write(w.conn)
			out.free()
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

// stop discards the queued frames, and those queued later.
func (w *writer) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.discardQueued()
}

// discardQueued empties the queue and calls the callbacks of its frames. The caller holds the
// lock.
func (w *writer) discardQueued() {
	for {
		select {
		case f := <-w.queue:
			if f.written != nil {
				f.written()
			}
		default:
			return
		}
	}
}

const (
	// freeBodyBytes is the size of a body up to which it is not counted.
	freeBodyBytes = 4 << 10
	// bodyTimeout bounds the time to read the body of a counted frame.
	bodyTimeout = 20 * time.Second
	// memoryPollInterval is how often a frame is tried that finds no memory. Meanwhile TCP flow
	// control slows the peer down.
	memoryPollInterval = 5 * time.Millisecond
)

// frameReader reads the frames of a connection.
type frameReader struct {
	conn         net.Conn
	buffered     *bufio.Reader
	maxBodyBytes int
	done         <-chan struct{} // closed once the connection has ended
}

func newFrameReader(conn net.Conn, maxBodyBytes int, done <-chan struct{}) *frameReader {
	return &frameReader{conn, bufio.NewReaderSize(conn, readBufferBytes), maxBodyBytes, done}
}

// read reads a frame. It waits until there is memory for the body.
func (frames *frameReader) read(memory *membudget.Account) (frame, error) {
	f, bodyBytes, err := readHeader(frames.buffered, frames.maxBodyBytes)
	if err != nil {
		return frame{}, err
	}
	if bodyBytes > freeBodyBytes {
		if err := frames.reserve(memory, int64(bodyBytes)); err != nil {
			return frame{}, err
		}
		_ = frames.conn.SetReadDeadline(time.Now().Add(bodyTimeout))
		defer func() { _ = frames.conn.SetReadDeadline(time.Time{}) }()
	}
	return readBody(frames.buffered, f, bodyBytes)
}

// reserve waits for memory until the connection has ended.
func (frames *frameReader) reserve(memory *membudget.Account, n int64) error {
	if memory.GrowAlone(n) == nil {
		return nil
	}
	ticker := time.NewTicker(memoryPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-frames.done:
			return net.ErrClosed
		case <-ticker.C:
		}
		if memory.GrowAlone(n) == nil {
			return nil
		}
	}
}

// readHeader reads the header of a frame and returns the length of its body.
func readHeader(r *bufio.Reader, maxBodyBytes int) (frame, int, error) {
	header, err := r.Peek(headerBytes)
	if err != nil {
		return frame{}, 0, err
	}
	if header[0] != magic || header[3] != 0 || header[2] < kindCall || header[2] > kindVersionMismatch {
		return frame{}, 0, code.New(code.Garbled, "frame head is not ours")
	}
	if header[1] != Version {
		return frame{}, 0, code.New(code.WireVersion, "frame version %d, want %d", header[1], Version)
	}
	bodyBytes := binary.BigEndian.Uint32(header[4:])
	// The length is checked before memory is allocated for the body.
	if int64(bodyBytes) > int64(maxBodyBytes) {
		return frame{}, 0, code.New(code.FrameTooLong, "frame of %d bytes, limit %d", bodyBytes, maxBodyBytes)
	}
	f := frame{kind: header[2], id: binary.BigEndian.Uint64(header[8:])}
	_, err = r.Discard(headerBytes)
	return f, int(bodyBytes), err
}

// readBody reads the body of a frame.
func readBody(r *bufio.Reader, f frame, bodyBytes int) (frame, error) {
	f.body = make([]byte, bodyBytes)
	if _, err := io.ReadFull(r, f.body); err != nil {
		return frame{}, err
	}
	return f, nil
}
