package transport_test

import (
	"context"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"damsontiller/internal/transport"
	"damsontiller/internal/transport/memnet"
)

// exhausted is a listener of a process that has no descriptors left for a while.
type exhausted struct {
	net.Listener
	until time.Time
	tries int
}

func (l *exhausted) Accept() (net.Conn, error) {
	if time.Now().Before(l.until) {
		l.tries++
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// TestDescriptorsExhausted holds what was found while an incident was looked into in which a
// confirmed change was not to be read and service was not back: a server ended its loop at
// the first failure to accept, whatever it was. The simulated network has one such failure,
// the closed listener; the kernel has more, and they pass: no descriptors left (EMFILE), of
// the process or of the machine, as when all nodes dial at once. The process went on, took
// no call of any node any more, and said nothing.
func TestDescriptorsExhausted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New(1)
		ln, err := network.Host("s").Listen("s")
		if err != nil {
			t.Fatal(err)
		}
		short := &exhausted{Listener: ln, until: time.Now().Add(3 * time.Second)}
		told := 0
		server := transport.Serve(t.Context(), short, transport.DefaultParams,
			func(_ context.Context, call *transport.Call) []byte { return call.Body }, func(error) { told++ })
		defer server.Close()
		time.Sleep(4 * time.Second)
		hub := transport.NewClient(network.Host("c"), transport.DefaultParams, nil)
		defer hub.Close()
		ctx, stop := context.WithTimeout(t.Context(), time.Second)
		defer stop()
		if got, err := hub.Call(ctx, "s", []byte("x")); err != nil || string(got) != "x" {
			t.Errorf("a call once there are descriptors again: %q, %v", got, err)
		}
		if told == 0 || short.tries > 100 {
			t.Errorf("tried %d times in 3 s, told %d times", short.tries, told)
		}
	})
}
