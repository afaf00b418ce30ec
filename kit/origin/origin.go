// Package origin is the stand-in callers: sessions by seed at a deployment's
// rates, and a ledger of all they asked and were told.
package origin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"damsontiller/kit/runner"
	"damsontiller/pass/door"
	"damsontiller/xport/loop"
)

// Ask is one request and its answer.
type Ask struct {
	Program, Work, Key, Route, Class, Zone, Edge string
	Urgent                                       bool
	Turn, Follows                                bool
	Sent, Done                                   time.Time
	Wait                                         time.Duration // the caller's, or what the program had left
	Status, Code                                 int
	Name, Ran, Job, Problem                      string
	RetryAfter                                   time.Duration
	Lost                                         bool // no answer came
	Refused                                      bool // nobody listened: the request was never taken
	Wrong                                        string
	Forgot                                       bool
	Held                                         bool
	Runner                                       string
	Output                                       int64
}

// Kind shapes the sessions of one kind.
type Kind struct {
	Name   string // program class, conversation class
	Class  string // work class of its turns
	Rate   float64
	Turns  int
	Tool   string
	Calls  int // tool calls after each turn
	Urgent string
	Share  float64 // of the calls that are urgent
	Parts  []string
	Wait   time.Duration
}

// Kinds are a deployment's sessions a second, as its users state them.
func Kinds(deploy string) []Kind {
	if strings.Contains(deploy, "tsehay") {
		return []Kind{
			{Name: "triage", Class: "triage", Rate: 14, Turns: 1, Tool: "sms", Calls: 1, Urgent: "notice", Share: 0.2, Parts: []string{"system", "triage-guide"}, Wait: 8 * time.Second},
			{Name: "clinic", Class: "clinic", Rate: 2, Turns: 4, Tool: "sms", Calls: 1, Urgent: "notice", Share: 0.1, Parts: []string{"system", "clinic-guide", "forms"}, Wait: 10 * time.Second},
		}
	}
	return []Kind{
		{Name: "tagging", Class: "tagging", Rate: 9, Turns: 1, Tool: "assets", Calls: 2, Urgent: "live", Share: 0.05, Parts: []string{"system", "tags"}, Wait: 8 * time.Second},
		{Name: "reel", Class: "reel", Rate: 3, Turns: 4, Tool: "assets", Calls: 1, Urgent: "live", Share: 0.1, Parts: []string{"system", "reels", "club"}, Wait: 10 * time.Second},
	}
}

// Crowd runs sessions.
type Crowd struct {
	Kinds []Kind
	Seed  uint64
	// Edges gives the HTTP addresses that the platform would hand to a client
	// of a zone, nearest first.
	Edges func(zone string) []string
	// Budget is what a program of a class may put out; 0 means that turns
	// just ask for a modest share.
	Most int64

	mu     sync.Mutex
	ledger []Ask
	web    *http.Client
	run    string
}

// New makes a crowd.
func New(kinds []Kind, seed uint64, edges func(string) []string, web http.RoundTripper) *Crowd {
	if web == nil {
		web = &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 20 * time.Second}
	}
	return &Crowd{Kinds: kinds, Seed: seed, Edges: edges, Most: 100, run: strconv.FormatInt(time.Now().UnixNano(), 36),
		web: &http.Client{Transport: web}}
}

// Ledger is a copy of all that was asked.
func (c *Crowd) Ledger() []Ask {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Ask(nil), c.ledger...)
}

// Run starts sessions for d, at scale times the usual rate, and returns once
// all have ended.
func (c *Crowd) Run(ctx context.Context, d time.Duration, scale float64) {
	var wg sync.WaitGroup
	end := time.Now().Add(d)
	for ki, k := range c.Kinds {
		wg.Go(func() {
			rnd := rand.New(rand.NewPCG(c.Seed, uint64(ki)))
			at := time.Now()
			for n := 0; ; n++ {
				at = at.Add(time.Duration(rnd.ExpFloat64() / (k.Rate * scale) * float64(time.Second)))
				if at.After(end) || !loop.Wait(ctx, time.Until(at)) {
					return
				}
				seed := rnd.Uint64()
				wg.Go(func() { c.session(ctx, k, n, rand.New(rand.NewPCG(seed, 5))) })
			}
		})
	}
	wg.Wait()
}

type said struct{ words, answer string }

func (c *Crowd) session(ctx context.Context, k Kind, n int, rnd *rand.Rand) {
	zone := string(rune('a' + rnd.IntN(3)))
	program := fmt.Sprintf("%s/%s-%d", k.Name, c.run, n)
	end := time.Now().Add(60 * time.Second)
	follows := ""
	var past []said
	for t := range k.Turns {
		work := fmt.Sprintf("%s-%d-t%d", c.run, n, t)
		if k.Name != "" {
			work = k.Name + "-" + work
		}
		words := "work:" + work + ";please go on"
		body := map[string]any{"conversation": k.Name, "class": k.Class, "words": words, "parts": k.Parts, "max_output": c.Most}
		if follows != "" {
			body["follows"] = follows
		}
		key := ""
		if rnd.IntN(5) == 0 {
			key = "turn-" + work
		}
		a := Ask{Program: program, Work: work, Key: key, Route: "model", Class: k.Class, Zone: zone, Turn: true, Follows: follows != "", Wait: k.Wait}
		ans, ok := c.ask(ctx, a, "/v1/turns", body, end, past, rnd)
		if !ok {
			return
		}
		follows = ans.Turn
		past = append(past, said{words, ans.Text})
		for i := range k.Calls {
			class, urgent := k.Class, false
			if rnd.Float64() < k.Share {
				class, urgent = k.Urgent, true
			}
			w := fmt.Sprintf("%s-c%d", work, i)
			a := Ask{Program: program, Work: w, Key: "call-" + w, Route: k.Tool, Class: class, Urgent: urgent, Zone: zone, Wait: k.Wait}
			c.ask(ctx, a, "/v1/calls/"+k.Tool, map[string]any{"class": class, "args": map[string]string{"do": "work:" + w + ";"}}, end, nil, rnd)
		}
		if !loop.Wait(ctx, time.Duration(200+rnd.IntN(600))*time.Millisecond) {
			return
		}
	}
}

type answer struct {
	Job    string `json:"job"`
	Turn   string `json:"turn"`
	Text   string `json:"text"`
	Output int64  `json:"output"`
	Held   bool   `json:"held"`
	Runner string `json:"runner"`

	Code       int    `json:"code"`
	Name       string `json:"name"`
	Ran        string `json:"ran"`
	Problem    string `json:"problem"`
	NotBefore  string `json:"not_before"`
	WaitMillis int64  `json:"wait_ms"`
}

// ask asks, and asks again as such callers do: another edge where nobody
// answers, and later where it is told to come back within a third of the time.
func (c *Crowd) ask(ctx context.Context, a Ask, path string, body map[string]any, end time.Time, past []said, rnd *rand.Rand) (answer, bool) {
	b, err := json.Marshal(body)
	if err != nil {
		return answer{}, false
	}
	edges := c.Edges(a.Zone)
	first := rnd.IntN(2)
	stop := time.Now().Add(a.Wait)
	for try := range 5 {
		left := time.Until(stop)
		if len(edges) == 0 || left < 100*time.Millisecond || ctx.Err() != nil {
			return answer{}, false
		}
		// The two of its own zone first, then the others.
		i := try
		if try < 2 && len(edges) > 1 {
			i = (first + try) % 2
		}
		one := a
		one.Edge, one.Wait = edges[i%len(edges)], left
		ans := c.once(ctx, &one, path, b, end, past)
		c.mu.Lock()
		c.ledger = append(c.ledger, one)
		c.mu.Unlock()
		switch {
		case one.Status == http.StatusOK:
			return ans, one.Wrong == ""
		case one.Lost || one.Refused || one.Status == http.StatusServiceUnavailable || one.Status == http.StatusBadGateway:
			pause := 50 * time.Millisecond
			if one.RetryAfter > 0 && one.RetryAfter <= left/3 && try >= 2 {
				pause = one.RetryAfter
			}
			loop.Wait(ctx, pause)
		case one.Status == http.StatusTooManyRequests && one.RetryAfter > 0 && one.RetryAfter <= left/3:
			loop.Wait(ctx, one.RetryAfter)
		default:
			return ans, false
		}
	}
	return answer{}, false
}

func (c *Crowd) once(ctx context.Context, a *Ask, path string, b []byte, end time.Time, past []said) answer {
	var ans answer
	// A caller waits a little longer than it says, to hear the last word.
	rctx, cancel := context.WithTimeout(ctx, a.Wait+500*time.Millisecond)
	defer cancel()
	q, err := http.NewRequestWithContext(rctx, http.MethodPost, "http://"+a.Edge+path, io.NopCloser(bytes.NewReader(b)))
	if err != nil {
		a.Wrong = err.Error()
		return ans
	}
	q.ContentLength = int64(len(b))
	q.Header.Set("Content-Type", "application/json")
	q.Header.Set(door.HProgram, a.Program)
	q.Header.Set(door.HLeft, fmt.Sprintf("%.3f", time.Until(end).Seconds()))
	q.Header.Set(door.HWait, fmt.Sprintf("%.3f", a.Wait.Seconds()))
	if a.Key != "" {
		q.Header.Set(door.HKey, a.Key)
	}
	a.Sent = time.Now()
	r, err := c.web.Do(q)
	if err == nil {
		defer r.Body.Close()
		var got []byte
		if got, err = io.ReadAll(r.Body); err == nil {
			err = json.Unmarshal(got, &ans)
		}
	}
	a.Done = time.Now()
	if err != nil {
		a.Refused = errors.Is(err, syscall.ECONNREFUSED)
		a.Lost = !a.Refused
		return ans
	}
	a.Status, a.Code, a.Name, a.Ran, a.Job, a.Problem = r.StatusCode, ans.Code, ans.Name, ans.Ran, ans.Job, ans.Problem
	a.Held, a.Runner, a.Output = ans.Held, ans.Runner, ans.Output
	if n, err := strconv.Atoi(r.Header.Get("Retry-After")); err == nil {
		a.RetryAfter = time.Duration(n) * time.Second
	}
	if a.Status == http.StatusOK {
		a.check(ans, past)
	}
	return ans
}

// check looks whether a success is this job's whole answer, and whether the
// runner was given the whole history.
func (a *Ask) check(ans answer, past []said) {
	head, rest, _ := strings.Cut(ans.Text, ";")
	hist, tail, _ := strings.Cut(rest, ";")
	if head != "work:"+a.Work || tail != "end" {
		a.Wrong = "another answer, or not the whole: " + ans.Text
		return
	}
	if a.Turn {
		var lines []map[string]string
		for _, p := range past {
			lines = append(lines, map[string]string{"words": p.words, "answer": p.answer})
		}
		var h any
		if len(lines) > 0 {
			h = lines
		}
		a.Forgot = hist != "history:"+runner.Digest(h)
	}
}
