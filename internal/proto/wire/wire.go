// Package wire defines the messages that the processes of a cluster exchange. The types
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

// Version is the protocol version of this build; OldestVersion is the oldest version of a
// peer that it accepts.
const (
	Version       = 1
	OldestVersion = 1
)

// Caller sends one request to a peer.
type Caller func(ctx context.Context, addr string, q *Req) (*Resp, error)

// ErrorResponse returns a response that carries an error.
func ErrorResponse(err error) *Resp {
	return &Resp{
		Ver:          Version,
		Code:         uint32(code.Of(err)),
		Text:         strings.ToValidUTF8(code.Text(err), "?"),
		RetryAfterMs: code.RetryAfter(err).Milliseconds(),
	}
}

// OKResponse returns a successful response without a payload.
func OKResponse() *Resp { return &Resp{Ver: Version} }

// Err returns the error that a response carries, or nil if it reports success.
func (r *Resp) Err() error {
	if r.GetCode() == 0 {
		return nil
	}
	failure := code.New(code.Code(r.Code), "%s", r.Text)
	failure.RetryAfter = time.Duration(r.RetryAfterMs) * time.Millisecond
	return failure
}

// Accept returns the accept message that a request carries, either plain or compressed,
// or nil if it carries none.
func (q *Req) Accept() *Acc {
	if acc := q.GetAcc(); acc != nil {
		return acc
	}
	return q.GetAccCompressed().GetAcc()
}

// MustEncode encodes a message whose strings all come from this process and are valid
// UTF-8. It panics on any other message.
func MustEncode(m proto.Message) []byte {
	b, err := Encode(m)
	if err != nil {
		panic(err)
	}
	return b
}

// Encode encodes a message that may hold strings from outside the process. It returns an
// error if one of them is not valid UTF-8, which the encoding requires.
func Encode(m proto.Message) ([]byte, error) {
	b, err := proto.Marshal(m)
	if err != nil {
		return nil, code.New(code.Garbled, "message can't be written: %w", err)
	}
	return b, nil
}

// Decode parses b into m.
func Decode(b []byte, m proto.Message) error {
	if err := proto.Unmarshal(b, m); err != nil {
		return code.New(code.Garbled, "message can't be read: %w", err)
	}
	return nil
}

// CompareBallots returns -1, 0 or 1 as ballot a is lower than, equal to or higher than b,
// by number and then by node. A nil ballot is the lowest.
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

// Newer reports whether item a supersedes item b of the same topic and key.
func Newer(a, b *Item) bool {
	if a.GetEpoch() != b.GetEpoch() {
		return a.GetEpoch() > b.GetEpoch()
	}
	return a.GetSeq() > b.GetSeq()
}
