package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	// edgePerS is the rate of requests at each edge.
	edgePerS = 25
	// killAfter is how long after the start of a new runner all cores are killed. The platform's list
	// shows the runner after 0.8 s, and it is cold for 3 s.
	killAfter = 1200 * time.Millisecond
	// newcomers is the number of runners that start, one after the other, each newcomerGap.
	newcomers   = 6
	newcomerGap = 7550 * time.Millisecond
	// rolloutColdRate is the rate that a cold model runner of the site andina-replay-rollout bears.
	rolloutColdRate = 18.0
)

// rolloutSite has the bounds of the site andina-replay-rollout, and about a third of its machines.
var rolloutSite = size{cores: [3]int{1, 1, 1}, edges: [3]int{6, 6, 6}, contactMs: 4000}

// newcomer plays starts of new runners. At each of them all processes of the core are killed at once.
func newcomer(root string, log *record, trouble bool) (broken bool, verdict string, err error) {
	f, err := newFleet(root, rolloutSite)
	if err != nil {
		return false, "", err
	}
	defer f.stop()
	old := newModelRunner(f, "i-7f3a91c2", "scl-a", 1, log)
	runners := []*runner{old}
	for i := range newcomers {
		added := newModelRunner(f, fmt.Sprintf("i-%08x", 0x2b66d0e1+i), zones[(i+1)%len(zones)], i+2, log)
		added.born = time.Now().Add(time.Hour)
		runners = append(runners, added)
	}
	for _, r := range runners {
		r.events, r.work = 1, 50*time.Millisecond
	}
	if err := startStandins(f, runners...); err != nil {
		return false, "", err
	}
	if err := f.startAll(); err != nil {
		return false, "", err
	}
	table := modelTable(rolloutColdRate, route("r-h2b9wu3", "/pufi791/", "streaming", "huvo11a"))
	if err := newOperator(f, log).configure(table); err != nil {
		return false, "", err
	}
	if err := f.awaitReady(30 * time.Second); err != nil {
		return false, "", err
	}
	time.Sleep(2 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var traffic sync.WaitGroup
	for _, edge := range f.role("edge") {
		c := newClients(edge.name, []*machine{edge}, edgePerS, "/pufi791/", modelHeaders, log)
		traffic.Go(func() { c.run(ctx) })
	}
	time.Sleep(3 * time.Second)
	for _, added := range runners[1:] {
		added.start(coldPeriod)
		log.note("runner %s starts and is cold", added.id)
		time.Sleep(killAfter)
		if trouble {
			f.killAll("core")
			log.note("all cores are killed")
		}
		time.Sleep(newcomerGap - killAfter)
	}
	cancel()
	traffic.Wait()
	return judgeFailback(log, rolloutColdRate)
}
