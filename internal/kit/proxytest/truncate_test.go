package proxytest_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"damsontiller/internal/kit/proxytest"
)

// truncationRig is a handler before small stand-ins whose connections can be spoiled at any byte.
func truncationRig(t *testing.T, cutter *proxytest.Cutter, chunks bool) *rig {
	return newRig(t, farm(2, func(p *proxytest.Params) {
		p.Bytes, p.Events, p.Chunks, p.Wrap = 40, 3, chunks, cutter.Wrap
		p.Word = func(_ string, n int) string { return fmt.Sprint(n) }
	}))
}

// exchange asks one job while its first exchange is spoiled, and judges what came of it.
func exchange(
	r *rig,
	cutter *proxytest.Cutter,
	kind string,
	answer bool,
	at int,
	loss proxytest.Loss,
) (received, error) {
	cutter.Arm(answer, at, loss)
	x := r.requestTruncated(kind)
	cutter.Disarm()
	if err := r.judge(kind, x); err != nil {
		return x, err
	}
	return x, r.checkTruncated(kind, x, answer, loss)
}

// requestTruncated asks one job whose exchange has the same length as that of any other of
// its kind.
func (r *rig) requestTruncated(kind string) received {
	return r.ask(kind+"x", "the body", head(names.Try, fmt.Sprintf("cut-%06d", r.n.Add(1))))
}

// checkTruncated is what a caller may hear of a job whose first exchange broke off: a job that
// may run twice is served unless nobody noticed in time; of another one a success only
// where the runner's complete response came, a failure that promises nothing, or a break.
func (r *rig) checkTruncated(kind string, x received, answer bool, loss proxytest.Loss) error {
	runs := len(r.runs(x.try))
	switch {
	case mayRepeat(kind) && loss != proxytest.Unresponsive && (x.status != 200 || x.truncated):
		return fmt.Errorf("status %d, cut %v of a job that may be repeated", x.status, x.truncated)
	case !mayRepeat(kind) && r.received(x.try) > 1:
		return fmt.Errorf("sent to %d runners", r.received(x.try))
	case !answer && !mayRepeat(kind) && (x.status == 200 || runs > 0):
		return fmt.Errorf("status %d, %d runs of a job that never came whole", x.status, runs)
	case x.status != 200 && x.status != 502 && x.status != 504:
		return fmt.Errorf("status %d", x.status)
	case loss != proxytest.Unresponsive && x.took > 100*time.Millisecond:
		return fmt.Errorf("took %s", x.took)
	case x.took > 2*time.Second:
		return fmt.Errorf("held for %s", x.took)
	}
	return nil
}

// TestEveryByte closes, resets or silences a runner's connection at every byte of a
// request and of an answer, for each kind of job, on a new connection and on one that
// was used before. What may run once is sent once; every success is one runner's complete
// answer; a status that promises 'not run' never comes for what may have run; and the
// job after it is served.
func TestEveryByte(t *testing.T) {
	for _, kind := range []string{repeatable, once, stream, resumable} {
		for _, used := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s used %v", strings.Trim(kind, "/"), used), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { everyByte(t, kind, used) })
			})
		}
	}
}

func everyByte(t *testing.T, kind string, used bool) {
	cutter := &proxytest.Cutter{}
	r := truncationRig(t, cutter, used)
	defer r.stop()
	request, answer := sizes(t, r, cutter, kind)
	stride, losses := 1, []proxytest.Loss{proxytest.Closed, proxytest.Reset, proxytest.Unresponsive}
	if used {
		losses = losses[1:]
	}
	if used && mayRepeat(kind) {
		stride = 5
	}
	for _, loss := range losses {
		for at := 0; at < request; at += stride {
			r.truncateOnce(kind, used, cutter, false, at, loss)
		}
		for at := 0; at < answer; at += stride {
			r.truncateOnce(kind, used, cutter, true, at, loss)
		}
	}
	finish(r, kind, used)
	if x := r.ask(kind+"y", ""); x.status != 200 || x.truncated {
		t.Errorf("after all: status %d, cut %v", x.status, x.truncated)
	}
	if again, _ := sizes(t, r, cutter, kind); again != request {
		t.Errorf("a request has %d bytes, before %d", again, request)
	}
}

// truncateOnce spoils one exchange and says what is wrong with what came of it.
func (r *rig) truncateOnce(
	kind string,
	used bool,
	cutter *proxytest.Cutter,
	answer bool,
	at int,
	loss proxytest.Loss,
) {
	r.t.Helper()
	finish(r, kind, used)
	if x, err := exchange(r, cutter, kind, answer, at, loss); err != nil {
		r.t.Errorf("answer %v, byte %d, loss %d: %v: %s", answer, at, loss, err, x.body)
	}
}

// sizes measures a complete exchange of a kind.
func sizes(t *testing.T, r *rig, cutter *proxytest.Cutter, kind string) (request, answer int) {
	t.Helper()
	const never = 1 << 30
	cutter.Arm(true, never, proxytest.Closed)
	x := r.requestTruncated(kind)
	request, answer = cutter.Disarm()
	if x.status != 200 || request == 0 || answer == 0 {
		t.Fatalf("status %d, %d and %d bytes", x.status, request, answer)
	}
	return request, answer
}

// finish lets what the last loss left behind pass, and leaves connections that were used
// before, or none.
func finish(r *rig, kind string, used bool) {
	time.Sleep(5 * time.Second)
	r.pool.Retain(func(string) bool { return used })
	if used {
		for range len(r.backends) {
			r.ask(kind+"warm", "b")
		}
	}
}
