// Package logqueue decouples a process from the reader of its log. A write to a pipe that is
// not read blocks indefinitely while the logger holds its lock, which would block the process
// at its next log line. Queue buffers the lines up to a bound, and drops and counts those
// beyond it.
package logqueue

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// maxBytes bounds the size of the queued lines.
const maxBytes = 256 << 10

// Queue is a writer that never blocks. It must be created by New.
type Queue struct {
	output io.Writer

	mu      sync.Mutex
	changed *sync.Cond // signals that lines were queued, all were written, or the queue was closed
	lines   [][]byte
	bytes   int
	dropped int
	writing bool
	closed  bool
}

// New returns a queue that writes to output until it is closed.
func New(output io.Writer) *Queue {
	q := &Queue{output: output}
	q.changed = sync.NewCond(&q.mu)
	go q.run()
	return q
}

// Write queues a line, or drops it if the queue is full or closed. It never fails.
func (q *Queue) Write(line []byte) (int, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed || q.bytes+len(line) > maxBytes {
		q.dropped++
		return len(line), nil
	}
	q.lines = append(q.lines, append([]byte(nil), line...))
	q.bytes += len(line)
	q.changed.Broadcast()
	return len(line), nil
}

// run writes queued lines. Write errors are ignored, because there is no other place to report
// them.
func (q *Queue) run() {
	for lines := q.take(); lines != nil; lines = q.take() {
		for _, line := range lines {
			_, _ = q.output.Write(line)
		}
	}
}

// take waits for lines and removes them all from the queue, followed by a line with the number
// of dropped ones. It returns nil once the queue is closed and empty.
func (q *Queue) take() [][]byte {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.writing = false
	q.changed.Broadcast()
	for len(q.lines) == 0 && !q.closed {
		q.changed.Wait()
	}
	lines := q.lines
	if len(lines) == 0 {
		return nil
	}
	if q.dropped > 0 {
		lines = append(lines, fmt.Appendf(nil, "%d log lines dropped: they were not read in time\n", q.dropped))
	}
	q.lines, q.bytes, q.dropped, q.writing = nil, 0, 0, true
	return lines
}

// Close closes the queue and waits until all lines are written, but no longer than timeout. It
// reports whether all were written. Lines written to the queue later are dropped.
func (q *Queue) Close(timeout time.Duration) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.changed.Broadcast()
	timedOut := false
	timer := time.AfterFunc(timeout, func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		timedOut = true
		q.changed.Broadcast()
	})
	defer timer.Stop()
	for !timedOut && (q.writing || len(q.lines) > 0) {
		q.changed.Wait()
	}
	return !timedOut
}
