package transport

import (
	"damsontiller/internal/transport/listen"
	"net"
	"syscall"
	"testing"
)

// userTimeout reads a connection's TCP_USER_TIMEOUT in milliseconds.
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

// TestUserTimeout: both ends of a connection are given up by the system when what was
// sent on them is not acknowledged in time, so that no call waits behind bytes that a
// partition held up.
func TestUserTimeout(t *testing.T) {
	n := TCP(DefaultParams, listen.Opener{})
	ln, err := n.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	dialled, err := n.Dial(t.Context(), ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer dialled.Close()
	accepted, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	want := int(DefaultParams.UserTimeout.Milliseconds())
	for name, c := range map[string]net.Conn{"dialled": dialled, "accepted": accepted} {
		if got := userTimeout(t, c); got != want || want <= 0 {
			t.Errorf("%s: TCP_USER_TIMEOUT is %d ms, want %d", name, got, want)
		}
	}
}
