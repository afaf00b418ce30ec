// Package wire holds the messages between the system's processes. The types
// are generated from dt.proto.
package wire

//go:generate protoc --go_out=. --go_opt=paths=source_relative dt.proto

import (
	"context"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"damsontiller/internal/transport/code"
)

// Version is the messages' number; Oldest is the oldest neighbour understood.
const (
	Version       = 1
	OldestVersion = 1
)

// Caller sends one request to a peer.
type Caller func(ctx context.Context, addr string, q *Req) (*Resp, error)

// ErrorResponse makes the answer that carries a failure.
func ErrorResponse(err error) *Resp {
	return &Resp{
		Ver:          Version,
		Code:         uint32(code.Of(err)),
		Text:         strings.ToValidUTF8(code.Text(err), "?"),
		RetryAfterMs: code.RetryAfter(err).Milliseconds(),
	}
}

// OKResponse is the bare good answer.
func OKResponse() *Resp { return &Resp{Ver: Version} }

// Err turns an answer's code back into a failure.
func (r *Resp) Err() error {
	if r.GetCode() == 0 {
		return nil
	}
	f := code.New(code.Code(r.Code), "%s", r.Text)
	f.RetryAfter = time.Duration(r.RetryAfterMs) * time.Millisecond
	return f
}

// Accept is the accept that a request carries in either of its two forms; nil where it
// carries none.
func (q *Req) Accept() *Acc {
	if acc := q.GetAcc(); acc != nil {
		return acc
	}
	return q.GetAccCompressed().GetAcc()
}

// MustEncode gives the bytes of a message that this process made of its own strings.
func MustEncode(m proto.Message) []byte {
	b, err := Encode(m)
	if err != nil {
		// Only a message that breaks its own types fails here.
		panic(err)
	}
	return b
}

// Encode gives the bytes of a message that may hold strings from outside, which
// need not be UTF-8 as the wire demands.
func Encode(m proto.Message) ([]byte, error) {
	b, err := proto.Marshal(m)
	if err != nil {
		return nil, code.New(code.Garbled, "message can't be written: %w", err)
	}
	return b, nil
}

// Decode reads m from b.
func Decode(b []byte, m proto.Message) error {
	if err := proto.Unmarshal(b, m); err != nil {
		return code.New(code.Garbled, "message can't be read: %w", err)
	}
	return nil
}

// CompareBallots orders ballots; a missing one is the lowest.
func CompareBallots(a, b *Ballot) int {
	switch {
	case a.GetN() != b.GetN():
		if a.GetN() < b.GetN() {
			return -1
		}
		return 1
	case a.GetNode() != b.GetNode():
		if a.GetNode() < b.GetNode() {
			return -1
		}
		return 1
	}
	return 0
}

// Newer reports whether item a goes before b of the same topic and key.
func Newer(a, b *Item) bool {
	if a.GetEpoch() != b.GetEpoch() {
		return a.GetEpoch() > b.GetEpoch()
	}
	return a.GetSeq() > b.GetSeq()
}
