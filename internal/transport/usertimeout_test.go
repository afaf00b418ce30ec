package transport

import (
	"damsontiller/internal/transport/listen"
	"net"
	"syscall"
	"testing"
)

// userTimeout returns a connection's TCP_USER_TIMEOUT in milliseconds.
func userTimeout(t *testing.T, c net.Conn) int {
	t.Helper()
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var value int
	var failure error
	if err := raw.Control(func(fd uintptr) {
		value, failure = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout)
	}); err != nil {
		t.Fatal(err)
	}
	if failure != nil {
		t.Fatal(failure)
	}
	return value
}

// TestUserTimeout: the option is set at both ends, so that the system closes a connection whose
// sent bytes are not acknowledged in time. Otherwise calls wait behind bytes delayed by a
// partition.
func TestUserTimeout(t *testing.T) {
	n := TCP(DefaultParams, listen.Opener{})
	ln, err := n.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	dialed, err := n.Dial(t.Context(), ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer dialed.Close()
	accepted, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	want := int(DefaultParams.UserTimeout.Milliseconds())
	for name, c := range map[string]net.Conn{"dialed": dialed, "accepted": accepted} {
		if got := userTimeout(t, c); got != want || want <= 0 {
			t.Errorf("%s: TCP_USER_TIMEOUT is %d ms, want %d", name, got, want)
		}
	}
}
