package sim

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"damsontiller/internal/dataplane/request/turnapi"
)

// keptTurn is a turn whose answer its caller was given.
type keptTurn struct{ program, turn string }

// TurnLog has turns kept and later goes on with each: none may be forgotten.
type TurnLog struct {
	sim  *Sim
	fail func(string, ...any)

	mu    sync.Mutex
	turns []keptTurn
	asked int
}

// NewTurnLog makes an empty log; fail is called with each turn that is lost.
func NewTurnLog(s *Sim, fail func(string, ...any)) *TurnLog { return &TurnLog{sim: s, fail: fail} }

// turnAnswer is what a caller is answered.
type turnAnswer struct {
	Turn string `json:"turn"`
	Code int    `json:"code"`
	Name string `json:"name"`
}

// ask sends one turn to an edge.
func (l *TurnLog) ask(edge, program, follows string) (int, turnAnswer, error) {
	var a turnAnswer
	body, err := json.Marshal(
		map[string]any{"conversation": "reel", "words": "work:x;", "max_output": 1, "follows": follows},
	)
	if err != nil {
		return 0, a, err
	}
	ctx, stop := context.WithTimeout(context.Background(), 12*time.Second)
	defer stop()
	q, err := http.NewRequestWithContext(
		ctx,
		http.MethodPost,
		"http://"+l.sim.Get(edge).HTTP+"/v1/turns",
		bytes.NewReader(body),
	)
	if err != nil {
		return 0, a, err
	}
	q.Header.Set(turnapi.HeaderProgram, program)
	q.Header.Set(turnapi.HeaderTimeRemaining, "6000")
	r, err := l.sim.RoundTrip(q)
	if err != nil {
		return 0, a, err
	}
	return r.StatusCode, a, json.NewDecoder(r.Body).Decode(&a)
}

// Say has one turn kept at an edge and reports whether it was.
func (l *TurnLog) Say(edge string) bool {
	l.mu.Lock()
	l.asked++
	program := fmt.Sprintf("reel/kept%d", l.asked)
	l.mu.Unlock()
	status, a, err := l.ask(edge, program, "")
	if err != nil || status != http.StatusOK {
		return false
	}
	l.mu.Lock()
	l.turns = append(l.turns, keptTurn{program, a.Turn})
	l.mu.Unlock()
	return true
}

// Run keeps turns at random edges until ctx ends.
func (l *TurnLog) Run(ctx context.Context, rnd *rand.Rand, edges func() []string) {
	for ctx.Err() == nil {
		in := edges()
		l.Say(in[rnd.IntN(len(in))])
		time.Sleep(time.Duration(50+rnd.IntN(300)) * time.Millisecond)
	}
}

// Len is how many turns are kept.
func (l *TurnLog) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.turns)
}

// ReadBack goes on with every turn.
func (l *TurnLog) ReadBack() {
	l.mu.Lock()
	turns := l.turns
	l.mu.Unlock()
	for i, t := range turns {
		l.follow(i, t)
	}
}

// follow goes on with one turn; a failure that says nothing is asked again.
func (l *TurnLog) follow(i int, t keptTurn) {
	status, a, err := 0, turnAnswer{}, error(nil)
	for try := range 8 {
		edge := fmt.Sprintf("e%d", (i+try)%6+1)
		status, a, err = l.ask(edge, t.program, t.turn)
		if err == nil && (status == http.StatusOK || status == http.StatusNotFound || status == http.StatusGone) {
			break
		}
		time.Sleep(500 * time.Millisecond)
	}
	if err != nil || status != http.StatusOK {
		l.fail("turn %d %s of %s is lost: %d %+v %v", i, t.turn, t.program, status, a, err)
	}
}
