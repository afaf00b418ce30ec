package transport_test

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"damsontiller/internal/transport"
	"damsontiller/internal/transport/code"
	"damsontiller/internal/transport/memnet"
)

// The kinds and the header of a frame, as on the wire.
const (
	wireHead   = 16
	wireMagic  = 0xD7
	wireCall   = 1
	wireAnswer = 2
)

// wireFrame encodes a frame.
func wireFrame(kind byte, id uint64, body []byte) []byte {
	b := []byte{wireMagic, transport.Version, kind, 0}
	b = binary.BigEndian.AppendUint32(b, uint32(len(body)))
	b = binary.BigEndian.AppendUint64(b, id)
	return append(b, body...)
}

// readCall reads a call from a connection.
func readCall(r io.Reader) (id uint64, body []byte, err error) {
	head := make([]byte, wireHead)
	if _, err = io.ReadFull(r, head); err != nil {
		return 0, nil, err
	}
	body = make([]byte, binary.BigEndian.Uint32(head[4:]))
	_, err = io.ReadFull(r, body)
	return binary.BigEndian.Uint64(head[8:]), body, err
}

// reorderingPeer is a peer that answers in an unexpected order: it delays and duplicates
// answers, answers calls of other connections and unknown ones, and closes connections. It
// counts how often it received each call.
type reorderingPeer struct {
	ln net.Listener

	mu       sync.Mutex
	rnd      *rand.Rand
	received map[string]int
	delayed  []delayedAnswer // of all connections
}

type delayedAnswer struct {
	id   uint64
	body []byte
}

func newReorderingPeer(ln net.Listener, seed uint64) *reorderingPeer {
	p := &reorderingPeer{ln: ln, rnd: rand.New(rand.NewPCG(seed, 1)), received: map[string]int{}}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p
}

func (p *reorderingPeer) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		id, body, err := readCall(r)
		if err != nil {
			return
		}
		out, reset := p.answers(id, body)
		for _, a := range out {
			if _, err := c.Write(wireFrame(wireAnswer, a.id, a.body)); err != nil {
				return
			}
		}
		if reset {
			return
		}
	}
}

// answers draws the answers that are written next on a connection.
func (p *reorderingPeer) answers(id uint64, body []byte) (out []delayedAnswer, reset bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.received[string(body)]++
	p.delayed = append(p.delayed, delayedAnswer{id, body})
	for range p.rnd.IntN(4) {
		// Any delayed answer, of this connection or of one that has ended.
		out = append(out, p.delayed[p.rnd.IntN(len(p.delayed))])
	}
	if p.rnd.IntN(3) > 0 {
		out = append(out, delayedAnswer{id, body})
	}
	if p.rnd.IntN(8) == 0 {
		out = append(out, delayedAnswer{id + 1<<40, []byte("unknown call")})
	}
	return out, p.rnd.IntN(12) == 0
}

// TestOddAnswers: even if a peer duplicates, delays and reorders answers or sends them after a
// reconnect, no call receives the answer to another one, and no call is sent twice.
func TestOddAnswers(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			n := memnet.New(seed)
			n.SetMaxDelay(time.Millisecond)
			ln, err := n.Host("s").Listen("s")
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
			peer := newReorderingPeer(ln, seed)
			h := transport.NewClient(n.Host("c"), transport.DefaultParams, nil)
			defer h.Close()
			answered, lost := concurrentCalls(t, h, 12, 25)
			h.Close()
			ln.Close()
			// Frames still in transit must not be delivered.
			time.Sleep(time.Second)
			if answered == 0 || lost == 0 {
				t.Errorf("seed %d: %d answered, %d lost: the test needs some of each", seed, answered, lost)
			}
			peer.mu.Lock()
			defer peer.mu.Unlock()
			for body, times := range peer.received {
				if times > 1 {
					t.Errorf("seed %d: call %s was received %d times", seed, body, times)
				}
			}
		})
	}
}

// concurrentCalls makes sequences of calls concurrently and checks that each call receives its
// own answer.
func concurrentCalls(t *testing.T, h *transport.Client, sequences, each int) (answered, lost int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for sequence := range sequences {
		wg.Go(func() {
			for i := range each {
				body := fmt.Sprintf("call %d of sequence %d", i, sequence)
				ctx, stop := context.WithTimeout(t.Context(), 50*time.Millisecond)
				a, err := h.Call(ctx, "s", []byte(body))
				stop()
				mu.Lock()
				switch {
				case err != nil && errors.Is(err, transport.ErrLost):
					lost++
				case err != nil:
					t.Errorf("%s: %v", body, err)
				case string(a) != body:
					t.Errorf("%s: got the answer to %s", body, a)
				default:
					answered++
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return answered, lost
}

// TestTruncatedAnswer: if an answer or a call is truncated at any byte, no part of it is
// delivered and the call is not resent.
func TestTruncatedAnswer(t *testing.T) {
	body := []byte("the whole answer")
	frame := len(wireFrame(wireAnswer, 0, body))
	for _, answer := range []bool{false, true} {
		for at := range frame {
			synctest.Test(t, func(t *testing.T) {
				n := memnet.New(1)
				ln, err := n.Host("s").Listen("s")
				if err != nil {
					t.Fatal(err)
				}
				defer ln.Close()
				calls := make(chan int, 1)
				go func() {
					received := 0
					defer func() { calls <- received }()
					for {
						c, err := ln.Accept()
						if err != nil {
							return
						}
						if !answer {
							_, _ = io.ReadFull(c, make([]byte, at))
						} else if id, b, err := readCall(c); err == nil {
							received++
							_, _ = c.Write(wireFrame(wireAnswer, id, b)[:at])
						}
						c.Close()
					}
				}()
				h := transport.NewClient(n.Host("c"), transport.DefaultParams, nil)
				defer h.Close()
				a, err := h.Call(t.Context(), "s", body)
				if err == nil || !errors.Is(err, transport.ErrLost) {
					t.Errorf("answer %v truncated at %d: %q, %v", answer, at, a, err)
				}
				ln.Close()
				if received := <-calls; answer && received != 1 {
					t.Errorf("answer truncated at %d: the call was received %d times", at, received)
				}
			})
		}
	}
}

// TestCallForAnswer: a frame of kind call is not accepted as an answer, even with the id of a
// pending call.
func TestCallForAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New(1)
		ln, err := n.Host("s").Listen("s")
		if err != nil {
			t.Fatal(err)
		}
		defer ln.Close()
		go func() {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			defer c.Close()
			id, _, _ := readCall(c)
			_, _ = c.Write(wireFrame(wireCall, id, []byte("a call")))
			_, _ = io.Copy(io.Discard, c)
		}()
		h := transport.NewClient(n.Host("c"), transport.DefaultParams, nil)
		defer h.Close()
		if b, err := h.Call(t.Context(), "s", []byte("x")); !errors.Is(err, transport.ErrLost) ||
			code.Of(err) != code.Garbled {
			t.Errorf("%q, %v", b, err)
		}
	})
}
