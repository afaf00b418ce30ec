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

// exhausted is a listener whose Accept fails for lack of file descriptors until a given time.
type exhausted struct {
	net.Listener
	until    time.Time
	attempts int
}

func (l *exhausted) Accept() (net.Conn, error) {
	if time.Now().Before(l.until) {
		l.attempts++
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// TestDescriptorsExhausted guards against a server that stops accepting connections after a
// temporary failure. Accept fails with EMFILE when the process or the machine runs out of file
// descriptors, for example when all nodes dial at once. A server that ended its loop at the
// first failure of any kind kept running but served no further calls and reported nothing; in
// an incident, a confirmed change could not be read and service did not recover. The only
// failure of the simulated network is the closed listener.
func TestDescriptorsExhausted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New(1)
		ln, err := network.Host("s").Listen("s")
		if err != nil {
			t.Fatal(err)
		}
		listener := &exhausted{Listener: ln, until: time.Now().Add(3 * time.Second)}
		reported := 0
		server := transport.Serve(t.Context(), listener, transport.DefaultParams,
			func(_ context.Context, call *transport.Call) []byte { return call.Body }, func(error) { reported++ })
		defer server.Close()
		time.Sleep(4 * time.Second)
		hub := transport.NewClient(network.Host("c"), transport.DefaultParams, nil)
		defer hub.Close()
		ctx, stop := context.WithTimeout(t.Context(), time.Second)
		defer stop()
		if got, err := hub.Call(ctx, "s", []byte("x")); err != nil || string(got) != "x" {
			t.Errorf("a call after the listener recovered: %q, %v", got, err)
		}
		if reported == 0 || listener.attempts > 100 {
			t.Errorf("%d attempts in 3 s, %d failures reported", listener.attempts, reported)
		}
	})
}
