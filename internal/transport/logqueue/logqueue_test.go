package logqueue_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"damsontiller/internal/transport/logqueue"
)

// pipe blocks writes until it is opened.
type pipe struct {
	opened chan struct{}
	bytes.Buffer
}

func (p *pipe) Write(b []byte) (int, error) {
	<-p.opened
	return p.Buffer.Write(b)
}

// TestOrder: lines are written in order, and all are written before Close returns.
func TestOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &pipe{opened: make(chan struct{})}
		close(p.opened)
		q := logqueue.New(p)
		want := ""
		for i := range 1000 {
			line := fmt.Sprintf("line %d\n", i)
			want += line
			if n, err := q.Write([]byte(line)); n != len(line) || err != nil {
				t.Fatal(n, err)
			}
		}
		if !q.Close(time.Second) || p.String() != want {
			t.Errorf("%d bytes were written, want %d", p.Len(), len(want))
		}
	})
}

// TestNobodyReads: lines that are not read do not block the writer. Lines beyond the bound are
// dropped, and their number is reported once the log is read again.
func TestNobodyReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &pipe{opened: make(chan struct{})}
		q := logqueue.New(p)
		line := []byte(strings.Repeat("x", 1023) + "\n")
		q.Write(line)
		synctest.Wait() // the first line is being written
		for range 300 {
			q.Write(line)
		}
		close(p.opened)
		synctest.Wait()
		if kept := strings.Count(p.String(), string(line)); kept != 257 {
			t.Errorf("%d lines were kept, want 1 under way and 256", kept)
		}
		if !strings.HasSuffix(p.String(), "\n44 log lines dropped: they were not read in time\n") {
			t.Errorf("it ends with %q", p.String()[p.Len()-100:])
		}
		if !q.Close(time.Second) {
			t.Error("not closed")
		}
	})
}

// TestClose: Close waits for the log to be read, but no longer than its timeout.
func TestClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &pipe{opened: make(chan struct{})}
		q := logqueue.New(p)
		q.Write([]byte("a line\n"))
		begun := time.Now()
		if q.Close(100*time.Millisecond) || time.Since(begun) != 100*time.Millisecond {
			t.Errorf("Close returned after %s although the log was not read", time.Since(begun))
		}
		q.Write([]byte("too late\n"))
		close(p.opened)
		synctest.Wait()
		if p.String() != "a line\n" {
			t.Errorf("%q was written", p.String())
		}
	})
}
