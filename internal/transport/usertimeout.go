package transport

import (
	"syscall"
	"time"
)

// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, in milliseconds (RFC 5482).
const tcpUserTimeout = 0x12

// setUserTimeout has the system give a connection up whose sent bytes were not
// acknowledged for d. Retransmissions back off exponentially: bytes written while a
// network partition lasts may otherwise wait for as long again after it has healed,
// and every call on the connection behind them. A peer that is merely frozen keeps its
// connections, for its system acknowledges.
func setUserTimeout(c syscall.RawConn, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	var failure error
	err := c.Control(func(fd uintptr) {
		failure = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(d.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failure
}
