// Package client is the stand-in callers: sessions by seed at a deployment's
// rates, and a log of all they asked and were answered.
package client

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"damsontiller/internal/dataplane/traffic"
	"damsontiller/internal/kit/runner"
	"damsontiller/internal/transport/loop"
)

// Ask is a line of the callers' log.
type Ask = traffic.Ask

// Kind shapes the sessions of one kind.
type Kind struct {
	Name     string // program class, conversation class
	Class    string // work class of its turns
	Rate     float64
	Turns    int
	Tool     string
	Calls    int // tool calls after each turn
	Urgent   string
	Fraction float64 // of the calls that are urgent
	Parts    []string
	Wait     time.Duration
}

// Kinds are a deployment's sessions a second, as its users state them.
func Kinds(deploy string) []Kind {
	if strings.Contains(deploy, "tsehay") {
		return []Kind{
			{
				Name:     "triage",
				Class:    "triage",
				Rate:     14,
				Turns:    1,
				Tool:     "sms",
				Calls:    1,
				Urgent:   "notice",
				Fraction: 0.2,
				Parts:    []string{"system", "triage-guide"},
				Wait:     8 * time.Second,
			},
			{
				Name:     "clinic",
				Class:    "clinic",
				Rate:     2,
				Turns:    4,
				Tool:     "sms",
				Calls:    1,
				Urgent:   "notice",
				Fraction: 0.1,
				Parts:    []string{"system", "clinic-guide", "forms"},
				Wait:     10 * time.Second,
			},
		}
	}
	return []Kind{
		{
			Name:     "tagging",
			Class:    "tagging",
			Rate:     9,
			Turns:    1,
			Tool:     "assets",
			Calls:    2,
			Urgent:   "live",
			Fraction: 0.05,
			Parts:    []string{"system", "tags"},
			Wait:     8 * time.Second,
		},
		{
			Name:     "reel",
			Class:    "reel",
			Rate:     3,
			Turns:    4,
			Tool:     "assets",
			Calls:    1,
			Urgent:   "live",
			Fraction: 0.1,
			Parts:    []string{"system", "reels", "club"},
			Wait:     10 * time.Second,
		},
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

	*traffic.Client
	run  string
	runs atomic.Int64
}

// New makes a crowd.
func New(kinds []Kind, seed uint64, edges func(string) []string, web http.RoundTripper) *Crowd {
	return &Crowd{
		Kinds:  kinds,
		Seed:   seed,
		Edges:  edges,
		Most:   100,
		run:    strconv.FormatInt(time.Now().UnixNano(), 36),
		Client: traffic.NewClient(web),
	}
}

// Run starts sessions for d, at scale times the usual rate, and returns once
// all have ended.
func (c *Crowd) Run(ctx context.Context, d time.Duration, scale float64) {
	var wg sync.WaitGroup
	end := time.Now().Add(d)
	// Each run has programs and keys of its own, also beside another.
	run := fmt.Sprintf("%s%d", c.run, c.runs.Add(1))
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
				wg.Go(func() { c.session(ctx, k, fmt.Sprintf("%s-%d", run, n), rand.New(rand.NewPCG(seed, 5))) })
			}
		})
	}
	wg.Wait()
}

// Said is one turn as its caller knows it.
type Said struct{ Words, Answer string }

func (c *Crowd) session(ctx context.Context, k Kind, id string, rnd *rand.Rand) {
	zone := string(rune('a' + rnd.IntN(3)))
	program := k.Name + "/" + id
	end := time.Now().Add(60 * time.Second)
	follows := ""
	var past []Said
	for t := range k.Turns {
		work := fmt.Sprintf("%s-%s-t%d", k.Name, id, t)
		words := "work:" + work + ";please go on"
		body := map[string]any{
			"conversation": k.Name,
			"class":        k.Class,
			"words":        words,
			"parts":        k.Parts,
			"max_output":   c.Most,
		}
		if follows != "" {
			body["follows"] = follows
		}
		key := ""
		if rnd.IntN(5) == 0 {
			key = "turn-" + work
		}
		a := Ask{
			Program: program,
			Work:    work,
			Key:     key,
			Route:   "model",
			Class:   k.Class,
			Zone:    zone,
			Turn:    true,
			Follows: follows != "",
			Wait:    k.Wait,
		}
		ans, ok := c.Ask(ctx, a, "/v1/turns", body, end, c.Edges(zone), rnd.IntN(2), checking(past, words))
		if !ok {
			return
		}
		follows = ans.Turn
		past = append(past, Said{words, ans.Text})
		for i := range k.Calls {
			class, urgent := k.Class, false
			if rnd.Float64() < k.Fraction {
				class, urgent = k.Urgent, true
			}
			w := fmt.Sprintf("%s-c%d", work, i)
			a := Ask{
				Program: program,
				Work:    w,
				Key:     "call-" + w,
				Route:   k.Tool,
				Class:   class,
				Urgent:  urgent,
				Zone:    zone,
				Wait:    k.Wait,
			}
			c.Ask(
				ctx,
				a,
				"/v1/calls/"+k.Tool,
				map[string]any{"class": class, "args": map[string]string{"do": "work:" + w + ";"}},
				end,
				c.Edges(zone),
				rnd.IntN(2),
				checking(nil, ""),
			)
		}
		if !loop.Wait(ctx, time.Duration(200+rnd.IntN(600))*time.Millisecond) {
			return
		}
	}
}

// checking holds past and the words for the check of an answer.
func checking(past []Said, words string) traffic.Check {
	return func(a *Ask, ans traffic.Answer) {
		Verify(a, ans, past)
		a.Hist = digest(append(past[:len(past):len(past)], Said{words, ans.Text}))
	}
}

// digest is what a runner answers about a history.
func digest(past []Said) string {
	var lines []map[string]string
	for _, p := range past {
		lines = append(lines, map[string]string{"words": p.Words, "answer": p.Answer})
	}
	if len(lines) == 0 {
		return runner.Digest(nil)
	}
	return runner.Digest(lines)
}

// Verify checks whether a success is this job's complete response, and whether the
// runner was given the complete history.
func Verify(a *Ask, ans traffic.Answer, past []Said) {
	head, rest, _ := strings.Cut(ans.Text, ";")
	hist, tail, _ := strings.Cut(rest, ";")
	if head != "work:"+a.Work || tail != "end" {
		a.Wrong = "another answer, or not the whole: " + ans.Text
		return
	}
	if a.Turn {
		a.Forgot = hist != "history:"+digest(past)
	}
}

// Filler makes the words of a replayed row: the token of its work, then filler.
func Filler(r traffic.Row, work string) string {
	return "work:" + work + ";" + strings.Repeat("w", max(r.Words-len(work)-6, 0))
}

// Look checks a replayed answer as Verify does.
func Look(a *Ask, ans traffic.Answer, past []traffic.Line) {
	var said []Said
	for _, l := range past {
		said = append(said, Said(l))
	}
	Verify(a, ans, said)
}
