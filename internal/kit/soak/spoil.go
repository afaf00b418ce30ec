package soak

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// spoiledMark is in all bytes that a runner sends as no part of an answer. They belong to no
// request, so no client may see it.
const spoiledMark = "bytes-of-nobody"

const (
	// spoiledShare is the part of its answers that a runner in trouble spoils.
	spoiledShare = 0.2
	// mostSpoiledBytes bounds an answer without an end, for an edge that reads all of it.
	mostSpoiledBytes = 512 << 20
	// spoiledPause is the pause after each chunk of it: some 60 MB a second.
	spoiledPause = time.Millisecond
	spoiledChunk = 64 << 10
	// surplusTime is how long a connection with surplus bytes stays open.
	surplusTime = time.Second
)

// spoilers are the runners that spoil some of their answers now.
type spoilers struct {
	mu     sync.Mutex
	random *rand.Rand
	active map[*runner]int // troubles that a runner is in
}

func newSpoilers(random *rand.Rand) *spoilers {
	return &spoilers{random: random, active: map[*runner]int{}}
}

// set puts runners in trouble, or takes them out of it.
func (s *spoilers) set(all []*runner, change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range all {
		s.active[r] += change
	}
}

// draw returns the way in which a runner spoils its next answer; nil: it does not.
func (s *spoilers) draw(r *runner) spoiledAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.active[r] == 0 || s.random.Float64() >= spoiledShare {
		return nil
	}
	return spoiledAnswers[s.random.IntN(len(spoiledAnswers))]
}

// spoiledAnswer writes the answer to an attempt on a connection, which ends after it.
type spoiledAnswer func(conn net.Conn, r *runner, attempt string)

// spoiledAnswers are the ways to spoil an answer: without an end, cut, without a frame, and with
// bytes before or after it.
var spoiledAnswers = []spoiledAnswer{
	endlessAnswer("", spoiledMark),
	endlessAnswer("HTTP/1.1 200 OK\r\nX-Long: ", spoiledMark),
	endlessAnswer("HTTP/1.1 200 OK\r\n", "X: "+spoiledMark+"\r\n"),
	endlessAnswer("", "HTTP/1.1 103 Early Hints\r\nLink: "+spoiledMark+"\r\n\r\n"),
	endlessEvent,
	surplus,
	func(conn net.Conn, _ *runner, _ string) { fmt.Fprintf(conn, "%s\r\n\r\n", spoiledMark) },
	func(conn net.Conn, r *runner, attempt string) {
		fmt.Fprintf(conn, "%s%s\r\n\r\n", spoiledHead(r, attempt), spoiledMark)
	},
	func(conn net.Conn, r *runner, attempt string) {
		fmt.Fprintf(conn, "%sTransfer-Encoding: chunked\r\n\r\n%s\r\n", spoiledHead(r, attempt), spoiledMark)
	},
	func(conn net.Conn, r *runner, attempt string) {
		fmt.Fprintf(conn, "%sContent-Length: 100000\r\n\r\n%s", spoiledHead(r, attempt), spoiledMark)
	},
	func(conn net.Conn, _ *runner, _ string) {
		other := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: other\r\nContent-Length: %d\r\n\r\n%s", headerAttempt,
			len(spoiledMark), spoiledMark)
		fmt.Fprint(conn, strings.Repeat(other, 8))
	},
	func(net.Conn, *runner, string) {}, // the connection ends without an answer
}

// spoiledHead is the beginning of the head of a success.
func spoiledHead(r *runner, attempt string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\n", headerAttempt, attempt, headerSeal,
		sealOf(r.id, attempt))
}

// endlessAnswer sends the same piece again and again until the connection is closed.
func endlessAnswer(first, piece string) spoiledAnswer {
	return func(conn net.Conn, _ *runner, _ string) {
		chunk := bytes.Repeat([]byte(piece), spoiledChunk/len(piece))
		_, err := io.WriteString(conn, first)
		for sent := 0; err == nil && sent < mostSpoiledBytes; sent += len(chunk) {
			_, err = conn.Write(chunk)
			time.Sleep(spoiledPause)
		}
	}
}

// surplus sends bytes after a whole answer, on a connection that stays open for a while.
func surplus(conn net.Conn, r *runner, attempt string) {
	if r.service == modelService {
		return
	}
	body := plainBody(r.id, attempt)
	fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s%s", spoiledHead(r, attempt), len(body), body, spoiledMark)
	time.Sleep(surplusTime)
}

// endlessEvent sends an event that never ends.
func endlessEvent(conn net.Conn, r *runner, attempt string) {
	if r.service != modelService {
		return
	}
	head := spoiledHead(r, attempt) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	endlessAnswer(head+"40000000\r\n", "data: "+spoiledMark+"\n")(conn, r, attempt)
}

// spoil answers an attempt in the given way.
func (r *runner) spoil(w http.ResponseWriter, attempt string, answer spoiledAnswer) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	answer(conn, r, attempt)
}

// spoilAnswers lets half of the runners of either service spoil some of their answers for a while.
func (t *troubles) spoilAnswers() {
	span := t.draw(time.Second, 4*time.Second)
	var all []*runner
	for _, i := range t.random.Perm(2 * runnersPerService)[:runnersPerService] {
		all = append(all, t.rig.platform.runners[i])
	}
	t.say("%d runners spoil answers for %s", len(all), span.Round(time.Millisecond))
	t.rig.spoilers.set(all, 1)
	t.under.Go(func() {
		time.Sleep(span)
		t.rig.spoilers.set(all, -1)
	})
}
