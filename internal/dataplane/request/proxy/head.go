package proxy

import (
	"bytes"
	"errors"
	"io"

	"damsontiller/internal/transport/membudget"
)

// Limits of the head of a runner's response. Heads of healthy runners have a few hundred bytes.
const (
	maxHeadBytes            = 32 << 10
	maxHeadLines            = 256
	maxProvisionalResponses = 8
)

// Reasons why a response's head is given up.
var (
	errHeadTooLong        = errors.New("the head of a response exceeds its limit")
	errTooManyProvisional = errors.New("too many provisional responses")
)

// headLimiter passes on the bytes that a runner sends, and fails as soon as the head of a response
// exceeds its limits. net/http buffers the status line and the header lines without any.
type headLimiter struct {
	source    io.Reader
	inHead    bool
	lineEmpty bool // the current line has no bytes so far
	bytesLeft int
	linesLeft int
	err       error
	memory    *membudget.Account // for heads larger than the read buffer; nil: without a limit
}

// headMemoryFactor is the memory of a parsed head, in multiples of its bytes.
const headMemoryFactor = 2

// begin starts a new head, of which the given bytes have already been read from the source.
func (limiter *headLimiter) begin(buffered []byte) {
	limiter.inHead, limiter.lineEmpty = true, true
	limiter.bytesLeft, limiter.linesLeft = maxHeadBytes, maxHeadLines
	limiter.scan(buffered)
}

// Read reads from the source.
func (limiter *headLimiter) Read(b []byte) (int, error) {
	if limiter.err != nil {
		return 0, limiter.err
	}
	n, err := limiter.source.Read(b)
	limiter.scan(b[:n])
	if limiter.err != nil {
		return 0, limiter.err
	}
	return n, err
}

// scan counts the bytes and lines of a head up to the blank line that ends it.
func (limiter *headLimiter) scan(b []byte) {
	for limiter.inHead && len(b) > 0 {
		line, rest, terminated := bytes.Cut(b, []byte("\n"))
		taken := len(b) - len(rest)
		limiter.bytesLeft -= taken
		if terminated {
			limiter.linesLeft--
		}
		if limiter.bytesLeft < 0 || limiter.linesLeft < 0 {
			limiter.err = errHeadTooLong
			return
		}
		if maxHeadBytes-limiter.bytesLeft > readBufferBytes &&
			limiter.memory.Grow(headMemoryFactor*int64(taken)) != nil {
			limiter.err = errNoMemory
			return
		}
		limiter.lineEmpty = limiter.lineEmpty && len(bytes.TrimRight(line, "\r")) == 0
		if terminated {
			limiter.inHead, limiter.lineEmpty = !limiter.lineEmpty, true
		}
		b = rest
	}
}
