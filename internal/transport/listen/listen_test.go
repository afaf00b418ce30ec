package listen_test

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"

	"damsontiller/internal/transport/listen"
)

// TestInUse: opening an address in use is retried until it is free or ctx ends; other errors
// are returned immediately.
func TestInUse(t *testing.T) {
	before, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer before.Close()
	addr, notified := before.Addr().String(), 0
	ended, end := context.WithCancel(t.Context())
	open := listen.Opener{InUse: func(at string) {
		if notified++; at != addr {
			t.Errorf("notified of %s", at)
		}
		end()
	}}
	if _, err := open.TCP(ended, net.ListenConfig{}, addr); !errors.Is(err, syscall.EADDRINUSE) {
		t.Errorf("after the end of the context: %v", err)
	}
	if _, err := open.TCP(t.Context(), net.ListenConfig{}, "127.0.0.1:70000"); err == nil || notified != 1 {
		t.Errorf("no such port: %v, notified %d times", err, notified)
	}
	open.InUse = func(string) { before.Close() }
	ln, err := open.TCP(t.Context(), net.ListenConfig{}, addr)
	if err != nil {
		t.Fatal(err)
	}
	ln.Close()
}
