package listen

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// TestLimit checks that connections over the limit are closed unread, unless room is made, and that
// a closed connection makes room, once.
func TestLimit(t *testing.T) {
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var accepted []net.Conn
	var makeRoom atomic.Bool
	limited := Limit(plain, 2, func() {
		if makeRoom.Load() {
			accepted[0].Close()
			accepted[0].Close()
		}
	})
	defer limited.Close()
	taken := make(chan net.Conn, 8)
	go func() {
		for {
			conn, err := limited.Accept()
			if err != nil {
				return
			}
			taken <- conn
		}
	}()
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", plain.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		return conn
	}
	for range 2 {
		dial()
		accepted = append(accepted, <-taken)
	}
	third := dial()
	_ = third.SetReadDeadline(time.Now().Add(10 * time.Second))
	if _, err := third.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the third: %v", err)
	}
	makeRoom.Store(true)
	dial()
	<-taken
	makeRoom.Store(false)
	fifth := dial()
	_ = fifth.SetReadDeadline(time.Now().Add(10 * time.Second))
	if _, err := fifth.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("one that was closed twice made room twice: %v", err)
	}
}
