package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Headers of programs.
const (
	headerProgram     = "X-Damsontiller-Program-Id"
	headerSession     = "X-Damsontiller-Session-Id"
	headerProgramLeft = "X-Damsontiller-Program-Time-Remaining"
	headerBudget      = "X-Damsontiller-Token-Budget"
)

// What the programs of the case are like.
const (
	tokensPerEvent = 4
	eventsPerTurn  = 8
	turnMost       = 136 // tokens that one turn may put out
	// programBudget holds four turns of 32 tokens, the last one counted at its most, with 38 to spare.
	programBudget  = 270
	darkTime       = 3500 * time.Millisecond // how long the edge is without power
	programTurns   = 4
	turnPause      = 2 * time.Second // for the calls of tools between two turns
	programsPerS   = 20
	turnTries      = 3 // a turn that fails is sent again at most twice
	settleTime     = time.Second
	contactTime    = 3 * time.Second
	trafficBefore  = 8 * time.Second
	trafficAfter   = 4 * time.Second
	deniedFree     = 5
	deniedOneIn    = 500
	killedZone     = "scl-c"
	neighbouring   = "scl-b"
	startOfService = 2 * time.Second
)

// turnTry is one try of a turn and what the client saw of it.
type turnTry struct {
	program, attempt, edge string
	sent, ended            time.Time
	status                 int
	events                 int
	whole                  bool
}

// programs are the clients of a zone: each plays a program of four turns.
type programs struct {
	log  *record
	own  []*machine // edges of the zone
	next []*machine // edges of the nearest zone, while none of the zone takes connections
	web  *http.Client

	mu    sync.Mutex
	tries []turnTry
}

// play plays one program.
func (p *programs) play(name string) {
	for turn := 1; turn <= programTurns; turn++ {
		done := false
		for try := 1; try <= turnTries && !done; try++ {
			result := p.try(name, fmt.Sprintf("%s-%d-%d", name, turn, try))
			switch {
			case result.status == http.StatusOK && result.whole:
				done = true
			case result.status/100 == 4:
				return // the program ends
			default:
				time.Sleep(200 * time.Millisecond)
			}
		}
		if !done {
			return
		}
		time.Sleep(turnPause)
	}
}

// try sends one turn: to an edge of the zone or, if none takes the connection, to the nearest zone.
func (p *programs) try(program, attempt string) turnTry {
	result := turnTry{program: program, attempt: attempt, sent: time.Now()}
	for _, edges := range [][]*machine{p.own, p.next} {
		edge := edges[len(attempt)%len(edges)]
		result.edge = edge.name
		if p.send(edge, &result) {
			break
		}
	}
	result.ended = time.Now()
	p.mu.Lock()
	p.tries = append(p.tries, result)
	p.mu.Unlock()
	how := fmt.Sprintf("%d events", result.events)
	if result.whole {
		how += ", whole"
	}
	p.log.answer(attempt, result.status, how)
	return result
}

// send sends a turn to an edge. It reports false if the edge took no connection.
func (p *programs) send(edge *machine, result *turnTry) bool {
	ctx, cancel := context.WithTimeout(context.Background(), clientTimeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+edge.addr(frontPort)+"/lohu930/4b",
		strings.NewReader("input "+result.attempt+"\n"))
	if err != nil {
		return true
	}
	q.Host = "ficu95.example"
	for name, value := range modelHeaders {
		q.Header.Set(name, value)
	}
	q.Header.Set(headerTokens, fmt.Sprintf("1460,%d", turnMost))
	q.Header.Set(headerAttempt, result.attempt)
	q.Header.Set(headerRemaining, fmt.Sprint(clientTimeout.Milliseconds()))
	q.Header.Set(headerProgram, result.program)
	q.Header.Set(headerSession, result.program)
	q.Header.Set(headerProgramLeft, "60000")
	q.Header.Set(headerBudget, fmt.Sprint(programBudget))
	p.log.request(result.attempt, edge.name, result.sent)
	answer, err := p.web.Do(q)
	if err != nil {
		return !strings.Contains(err.Error(), "connection refused")
	}
	defer answer.Body.Close()
	result.status = answer.StatusCode
	lines := bufio.NewScanner(answer.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "data:") {
			result.events++
		}
	}
	result.whole = lines.Err() == nil
	return true
}

// budget plays programs at the edge of one zone, which loses power once.
func budget(root string, log *record, trouble bool) (broken bool, verdict string, err error) {
	f, err := newFleet(root, smallSite)
	if err != nil {
		return false, "", err
	}
	defer f.stop()
	var runners []*runner
	for i, zone := range zones {
		r := newModelRunner(f, fmt.Sprintf("i-%08x", 0x51a0+i), zone, i+1, log)
		r.work = 60 * time.Millisecond
		runners = append(runners, r)
	}
	if err := startStandins(f, runners...); err != nil {
		return false, "", err
	}
	if err := f.startAll(); err != nil {
		return false, "", err
	}
	table := modelTable(coldRate, route("r-ji9n73h", "/lohu930/", "streaming", "huvo11a"))
	if err := newOperator(f, log).configure(table); err != nil {
		return false, "", err
	}
	if err := f.awaitReady(30 * time.Second); err != nil {
		return false, "", err
	}
	time.Sleep(startOfService)
	p := &programs{log: log, own: f.edgesOf(killedZone), next: f.edgesOf(neighbouring), web: keepingClient()}
	killed := p.own[0]
	var running sync.WaitGroup
	begin := func(span time.Duration) {
		tick := time.NewTicker(time.Second / programsPerS)
		defer tick.Stop()
		for end := time.Now().Add(span); time.Now().Before(end); {
			at := <-tick.C
			running.Go(func() { p.play("p" + fmt.Sprint(at.Sub(log.begun).Microseconds())) })
		}
	}
	begin(trafficBefore)
	killedAt := time.Now()
	if trouble {
		killed.powerOff()
		log.note("%s is without power", killed.name)
		time.AfterFunc(darkTime, func() {
			log.note("%s has power again", killed.name)
			_ = killed.start()
		})
	}
	begin(trafficAfter)
	running.Wait()
	return p.judge(log, killed, killedAt, trouble)
}

// judge counts the 402 that were wrong: the budget held one more turn, counting at their most all
// turns of the program that had not ended whole, or with a 4xx or 503, settleTime before. Answers of
// the edge that lost power count only outside of its trouble.
func (p *programs) judge(log *record, killed *machine, killedAt time.Time, trouble bool) (bool, string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	served, wrong, outOfTouch := 0, 0, 0
	for _, x := range p.tries {
		if x.status == http.StatusOK {
			served++
		}
		if x.status != http.StatusPaymentRequired {
			continue
		}
		used := p.used(x)
		switch {
		case used+turnMost > programBudget:
		case trouble && x.edge == killed.name && x.sent.Before(killedAt.Add(darkTime+2*contactTime)):
			outOfTouch++
		default:
			wrong++
			log.note("wrong 402 by %s to %s: at most %d of %d tokens were used", x.edge, x.attempt, used, programBudget)
		}
	}
	if served == 0 {
		return false, "", fmt.Errorf("no turn was served")
	}
	bound := deniedFree + len(p.tries)/deniedOneIn
	verdict := fmt.Sprintf("%d of %d requests were answered 402 although the budget was not spent; the bound is %d",
		wrong, len(p.tries), bound)
	if outOfTouch > 0 {
		verdict += fmt.Sprintf("; %d more by the edge that lost power", outOfTouch)
	}
	if wrong > bound {
		return true, "DENIED broken: " + verdict, nil
	}
	return false, "DENIED held: " + verdict, nil
}

// used is the most that a program's turns had put out when a turn was sent.
func (p *programs) used(of turnTry) int {
	used := 0
	for _, x := range p.tries {
		if x.program != of.program || x.attempt == of.attempt || x.sent.After(of.sent) {
			continue
		}
		settled := x.ended.Before(of.sent.Add(-settleTime))
		switch {
		case settled && x.status == http.StatusOK && x.whole:
			used += x.events * tokensPerEvent
		case settled && (x.status/100 == 4 || x.status == http.StatusServiceUnavailable):
		default:
			used += turnMost
		}
	}
	return used
}
