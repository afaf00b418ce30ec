package peer_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"google.golang.org/protobuf/encoding/protowire"

	"damsontiller/internal/coordination/peer"
	"damsontiller/internal/proto/keys"
	"damsontiller/internal/proto/wire"
	"damsontiller/internal/transport"
	"damsontiller/internal/transport/code"
	"damsontiller/internal/transport/memnet"
)

// TestRequestChecks: a message of a later version with unknown fields is accepted. Messages of an
// outdated version, for another identity or of an unserved kind are rejected with a code.
func TestRequestChecks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New(1)
		a := peer.New(
			&wire.Member{Id: "a", Addr: "a", Role: "core", Ident: "ia"},
			n.Host("a"),
			transport.DefaultParams,
			hclog.NewNullLogger(),
		)
		a.Handle(&wire.Req_Hello{}, func(context.Context, *wire.Req) (*wire.Resp, error) { return nil, nil })
		if err := a.Serve(t.Context()); err != nil {
			t.Fatal(err)
		}
		defer a.Close()
		client := transport.NewClient(n.Host("b"), transport.DefaultParams, nil)
		defer client.Close()
		send := func(q *wire.Req, tail []byte) code.Code {
			b, err := client.Call(t.Context(), "a", append(wire.MustEncode(q), tail...))
			if err != nil {
				t.Fatal(err)
			}
			r := &wire.Resp{}
			if err := wire.Decode(b, r); err != nil {
				t.Fatal(err)
			}
			return code.Code(r.Code)
		}
		hello := &wire.Req_Hello{Hello: &wire.Hello{}}
		later := protowire.AppendString(protowire.AppendTag(nil, 999, protowire.BytesType), "of a later version")
		for _, tc := range []struct {
			what string
			q    *wire.Req
			tail []byte
			want code.Code
		}{
			{"our version", &wire.Req{Ver: wire.Version, Op: hello}, nil, code.OK},
			{"a later version", &wire.Req{Ver: wire.Version + 1, Op: hello}, later, code.OK},
			{"none", &wire.Req{Op: hello}, nil, code.WireVersion},
			{"another identity", &wire.Req{Ver: wire.Version, Ident: "ib", Op: hello}, nil, code.WrongIdentity},
			{"an unserved kind", &wire.Req{Ver: wire.Version, Op: &wire.Req_Put{Put: &wire.Put{}}}, nil, code.UnknownMessage},
			{"a kind of a later version", &wire.Req{Ver: wire.Version + 1}, later, code.UnknownMessage},
			{"invalid bytes", &wire.Req{Ver: wire.Version, Op: hello}, []byte{0xff}, code.Garbled},
		} {
			if got := send(tc.q, tc.tail); got != tc.want {
				t.Errorf("%s: %d, want %d", tc.what, got, tc.want)
			}
		}
	})
}

// TestNotUTF8: a string that is not valid UTF-8, which the wire format cannot encode, fails
// only the call or answer that contains it and does not terminate the process.
func TestNotUTF8(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New(1)
		a := peer.New(
			&wire.Member{Id: "a", Addr: "a", Role: "core"},
			n.Host("a"),
			transport.DefaultParams,
			hclog.NewNullLogger(),
		)
		a.Handle(&wire.Req_Look{}, func(context.Context, *wire.Req) (*wire.Resp, error) {
			return &wire.Resp{Op: &wire.Resp_Rows{Rows: &wire.Rows{Rows: []*wire.Row{{Key: "\xff"}}}}}, nil
		})
		a.Handle(&wire.Req_Hello{}, func(context.Context, *wire.Req) (*wire.Resp, error) {
			return nil, code.New(code.BadField, "\xff")
		})
		if err := a.Serve(t.Context()); err != nil {
			t.Fatal(err)
		}
		defer a.Close()
		b := peer.New(
			&wire.Member{Id: "b", Addr: "b", Role: "edge"},
			n.Host("b"),
			transport.DefaultParams,
			hclog.NewNullLogger(),
		)
		defer b.Close()
		for _, c := range []struct {
			what string
			q    *wire.Req
			want code.Code
		}{
			{"in a request", &wire.Req{Op: &wire.Req_Look{Look: &wire.Look{Key: "\xff"}}}, code.Garbled},
			{"in an answer", &wire.Req{Op: &wire.Req_Look{Look: &wire.Look{Key: "k"}}}, code.Garbled},
			{"in a failure's text", &wire.Req{Op: &wire.Req_Hello{Hello: &wire.Hello{}}}, code.BadField},
		} {
			if _, err := b.Call(t.Context(), "a", c.q); code.Of(err) != c.want {
				t.Errorf("%s: %v, want code %d", c.what, err, c.want)
			}
		}
	})
}

// busyProcessor takes a fixed time for each part of a call, one after another.
type busyProcessor struct{ turn chan struct{} }

func (p busyProcessor) Run(context.Context, int) {
	p.turn <- struct{}{}
	time.Sleep(5 * time.Millisecond)
	<-p.turn
}

// TestSpecReadWhileOverloaded: a process that renewals keep busy still serves reads of the cluster's
// register, without which no node joins, and refuses those of other registers.
func TestSpecReadWhileOverloaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New(1)
		a := peer.New(
			&wire.Member{Id: "a", Addr: "a", Role: "core"},
			n.Host("a"),
			transport.DefaultParams,
			hclog.NewNullLogger(),
		)
		a.Processor = busyProcessor{make(chan struct{}, 1)}
		answer := func(context.Context, *wire.Req) (*wire.Resp, error) { return nil, nil }
		a.Handle(&wire.Req_Renew{}, answer)
		a.Handle(&wire.Req_Look{}, answer)
		if err := a.Serve(t.Context()); err != nil {
			t.Fatal(err)
		}
		defer a.Close()
		b := peer.New(
			&wire.Member{Id: "b", Addr: "b", Role: "edge"},
			n.Host("b"),
			transport.DefaultParams,
			hclog.NewNullLogger(),
		)
		defer b.Close()
		call := func(request *wire.Req) code.Code {
			_, err := b.CallWithTimeout(t.Context(), 5*time.Second, "a", request)
			return code.Of(err)
		}
		var renewals sync.WaitGroup
		for i := range 200 {
			renewals.Go(func() {
				// Faster than the process serves them.
				time.Sleep(time.Duration(i) * 5 * time.Millisecond)
				if got := call(&wire.Req{Op: &wire.Req_Renew{Renew: &wire.Renew{}}}); got != code.OK {
					t.Errorf("a renewal: %d", got)
				}
			})
		}
		time.Sleep(500 * time.Millisecond)
		var reads sync.WaitGroup
		for key, want := range map[string]code.Code{keys.Cluster: code.OK, "k": code.Overloaded} {
			reads.Go(func() {
				if got := call(&wire.Req{Op: &wire.Req_Look{Look: &wire.Look{Key: key}}}); got != want {
					t.Errorf("a read of %s: %d, want %d", key, got, want)
				}
			})
		}
		reads.Wait()
		renewals.Wait()
	})
}
