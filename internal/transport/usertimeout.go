package transport

import (
	"syscall"
	"time"
)

// tcpUserTimeout is the number of the socket option TCP_USER_TIMEOUT on Linux (RFC 5482), whose
// value is in milliseconds.
const tcpUserTimeout = 0x12

// setUserTimeout makes the system close a connection if sent bytes stay unacknowledged for d.
// Retransmissions back off exponentially: without it, bytes written during a network partition,
// and every later call on the connection, may wait as long again after the partition has
// healed. A peer whose process is frozen keeps its connections, because its system still
// acknowledges.
func setUserTimeout(c syscall.RawConn, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	var optionErr error
	err := c.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(d.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}
