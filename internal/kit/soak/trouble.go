package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"damsontiller/internal/transport/loop"
)

// troubles draws what happens to the machines.
type troubles struct {
	rig    *Rig
	random *rand.Rand
	under  sync.WaitGroup
}

// troubleKind is a kind of failure and how often it is drawn.
type troubleKind struct {
	weight int
	do     func()
}

// troubleKinds are the kinds that a run has.
func (r *Rig) troubleKinds(t *troubles) []troubleKind {
	if r.params.Quotas {
		return t.quotaKinds()
	}
	return []troubleKind{
		{6, t.stopSeries}, {5, t.reloadSeries}, {2, t.killMany}, {3, t.killFew}, {2, t.loseDisks},
		{2, t.freezeFew}, {2, t.holdPort}, {1, t.replaceStore}, {1, t.addStore}, {3, t.spoilAnswers},
	}
}

// trouble brings about series of failures, which overlap, for as long as told, and waits
// until the last of them is over.
func (r *Rig) trouble(ctx context.Context, span time.Duration, kindsOf func(*troubles) []troubleKind) {
	t := &troubles{rig: r, random: r.random(2)}
	kinds := kindsOf(t)
	total := 0
	for _, k := range kinds {
		total += k.weight
	}
	if !r.params.Quotas {
		t.spoilAnswers()
	}
	for end := time.Now().Add(span); time.Now().Before(end); {
		n := t.random.IntN(total)
		for _, k := range kinds {
			if n -= k.weight; n < 0 {
				k.do()
				break
			}
		}
		loop.Wait(ctx, r.troublePause(t.random))
	}
	t.under.Wait()
}

// troublePause draws the time until the next trouble. Counts of quotas live for several seconds, and
// show what is wrong with them only where the edge that merges them lives as long.
func (r *Rig) troublePause(random *rand.Rand) time.Duration {
	pause := time.Duration(100+random.IntN(1500)) * time.Millisecond
	if r.params.Quotas {
		pause *= 2
	}
	return pause
}

// some draws up to so many machines of a role; empty means any.
func (t *troubles) some(role string, most int) []*Machine {
	all := t.rig.fleet.all()
	if role != "" {
		all = t.rig.fleet.role(role)
	}
	n := 1 + t.random.IntN(min(most, len(all)))
	var out []*Machine
	for _, i := range t.random.Perm(len(all))[:n] {
		out = append(out, all[i])
	}
	return out
}

func (t *troubles) draw(least, spread time.Duration) time.Duration {
	return least + time.Duration(t.random.Int64N(int64(spread)))
}

// say tells what happens; the log of a run is a line each.
func (t *troubles) say(format string, a ...any) {
	t.rig.say(format, a...)
}

func (r *Rig) say(format string, a ...any) {
	fmt.Fprintf(r.params.Out, "%7.2f s  %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, a...))
}

// stopSeries sends SIGTERM several times, mostly to edges, as a supervisor does that loses
// patience.
func (t *troubles) stopSeries() {
	role := [...]string{roleEdge, roleEdge, roleStore, roleCore}[t.random.IntN(4)]
	most := 3
	if role != roleEdge {
		most = diskBudget
	}
	times, gap := 1+t.random.IntN(4), t.draw(30*time.Millisecond, 900*time.Millisecond)
	for _, m := range t.some(role, most) {
		t.say("%s: SIGTERM %d times, each %s", m.ID, times, gap.Round(time.Millisecond))
		t.series(m, syscall.SIGTERM, terminated, times, gap)
	}
}

// reloadSeries sends SIGHUP several times to any machines; settings are written anew before
// some of them.
func (t *troubles) reloadSeries() {
	times, gap := 1+t.random.IntN(6), t.draw(5*time.Millisecond, 300*time.Millisecond)
	all := t.some("", 8)
	t.say("%d machines: SIGHUP %d times, each %s", len(all), times, gap.Round(time.Millisecond))
	for _, m := range all {
		if t.random.IntN(2) == 0 {
			_ = m.writeSettings(false)
		}
		t.series(m, syscall.SIGHUP, reloaded, times, gap)
	}
}

func (t *troubles) series(m *Machine, s syscall.Signal, kind eventKind, times int, gap time.Duration) {
	t.under.Go(func() {
		for i := range times {
			if i > 0 {
				time.Sleep(gap)
			}
			m.Signal(s, kind)
		}
	})
}

// killMany ends a large part of all processes at one moment, and tells those that come back
// to reload while they start.
func (t *troubles) killMany() {
	share := []float64{0.4, 0.6, 1}[t.random.IntN(3)]
	var all []*Machine
	for _, m := range t.rig.fleet.all() {
		if t.random.Float64() < share {
			all = append(all, m)
		}
	}
	t.say("%d machines killed at once", len(all))
	t.down(all, t.draw(200*time.Millisecond, 2*time.Second), nil)
	// Nothing else is judged while over half of the core is down.
	t.under.Wait()
}

func (t *troubles) killFew() {
	role := [...]string{roleEdge, roleStore, roleCore}[t.random.IntN(3)]
	all := t.some(role, 2)
	for _, m := range all {
		t.say("%s killed", m.ID)
	}
	t.down(all, t.draw(100*time.Millisecond, 3*time.Second), nil)
}

// loseDisks takes disks, no more at once than may be lost.
func (t *troubles) loseDisks() {
	left := t.rig.disks.left()
	if left == 0 {
		return
	}
	role := [...]string{roleStore, roleCore}[t.random.IntN(2)]
	all := t.some(role, left)
	for _, m := range all {
		t.say("%s loses its disk", m.ID)
		t.rig.disks.lose()
	}
	t.down(all, t.draw(100*time.Millisecond, 2*time.Second), func(m *Machine) { _ = m.Wipe() })
}

// replaceStore takes a store away for good, disk and all; another of its zone comes for it
// after a while, with another name and address.
func (t *troubles) replaceStore() {
	if t.rig.disks.left() == 0 {
		return
	}
	t.rig.disks.lose()
	old := t.some(roleStore, 1)[0]
	next := t.rig.newcomer(roleStore, old.Zone)
	t.say("%s is gone for good, %s comes in its place", old.ID, next.ID)
	t.rig.fleet.remove(old)
	span := t.draw(100*time.Millisecond, 4*time.Second)
	t.under.Go(func() {
		old.Retire()
		time.Sleep(span)
		t.rig.fleet.add(next)
		next.Start()
	})
}

// mostStores bounds the stores that a run adds.
const mostStores = 3

// addStore has one more store join.
func (t *troubles) addStore() {
	if len(t.rig.fleet.role(roleStore)) >= t.rig.params.Stores+mostStores {
		return
	}
	m := t.rig.newcomer(roleStore, zones[t.random.IntN(len(zones))])
	t.say("%s joins", m.ID)
	t.rig.fleet.add(m)
	m.Start()
}

// down kills machines at one moment and starts them after a while; some of them are told to
// reload as they start.
func (t *troubles) down(all []*Machine, span time.Duration, meanwhile func(*Machine)) {
	reload := t.random.IntN(2) == 0
	gap := t.draw(2*time.Millisecond, 120*time.Millisecond)
	for _, m := range all {
		t.under.Go(func() {
			m.Kill("trouble")
			if meanwhile != nil {
				meanwhile(m)
			}
			time.Sleep(span)
			m.Start()
			if !reload {
				return
			}
			for range 6 {
				time.Sleep(gap)
				m.Signal(syscall.SIGHUP, reloaded)
			}
		})
	}
}

func (t *troubles) freezeFew() {
	span := t.draw(300*time.Millisecond, 3*time.Second)
	t.freeze(t.some("", 2), span)
}

// freeze lets processes stand still for a time.
func (t *troubles) freeze(machines []*Machine, span time.Duration) {
	for _, m := range machines {
		t.say("%s stands still for %s", m.ID, span.Round(time.Millisecond))
		t.under.Go(func() {
			m.Signal(syscall.SIGSTOP, frozen)
			time.Sleep(span)
			m.Signal(syscall.SIGCONT, thawed)
		})
	}
}

// holdPort lets a machine come back while one of its ports is still in use.
func (t *troubles) holdPort() {
	m := t.some("", 1)[0]
	ports := []int{internalPort, internalPort + 1}
	switch m.Role {
	case roleCore:
		ports = []int{internalPort, controlPort}
	case roleEdge:
		ports = []int{internalPort, internalPort + 1, frontPort, readinessPort}
	}
	port, span := ports[t.random.IntN(len(ports))], t.draw(200*time.Millisecond, 1500*time.Millisecond)
	t.say("%s killed; port %d is in use for %s", m.ID, port, span.Round(time.Millisecond))
	t.under.Go(func() {
		m.Kill("trouble")
		release, err := holdPort(m.IP, port)
		if err != nil {
			// Connections of the process that was killed still linger there.
			t.say("%s: port %d is not held: %v", m.ID, port, err)
			release = func() {}
		}
		m.Start()
		time.Sleep(span)
		release()
	})
}

// holdPort binds a port without listening: who connects is refused, as nobody serves there,
// and who wants to listen finds the port in use.
func holdPort(ip string, port int) (release func(), err error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	at := &syscall.SockaddrInet4{Port: port, Addr: netip.MustParseAddr(ip).As4()}
	if err := syscall.Bind(fd, at); err != nil {
		syscall.Close(fd)
		return nil, err
	}
	return func() { syscall.Close(fd) }, nil
}

// closing is the fault at the end of a run.
type closing struct {
	down, back time.Time
	what       string
}

// close brings about the closing fault right after an acknowledgement: all machines are
// killed, and perhaps as many disks lost as may be. stopChanges stops the operator.
func (r *Rig) close(ctx context.Context, stopChanges func()) closing {
	random := r.random(3)
	r.operator.awaitAck(ctx, 5*time.Second)
	c := closing{down: time.Now(), what: "all killed"}
	lost := map[*Machine]bool{}
	if random.IntN(2) == 0 {
		role := [...]string{roleStore, roleCore}[random.IntN(2)]
		all := r.fleet.role(role)
		for _, i := range random.Perm(len(all))[:min(r.disks.left(), (len(all)-1)/2)] {
			lost[all[i]] = true
			c.what += ", " + all[i].ID + " loses its disk"
		}
	}
	r.say("closing fault: %s", c.what)
	var wg sync.WaitGroup
	for _, m := range r.fleet.all() {
		wg.Go(func() { m.Kill("closing fault") })
	}
	wg.Wait()
	for m := range lost {
		_ = m.Wipe()
	}
	time.Sleep(time.Duration(500+random.IntN(1500)) * time.Millisecond)
	c.back = time.Now()
	reload := random.IntN(2) == 0
	for _, m := range r.fleet.all() {
		m.Start()
	}
	if reload {
		r.say("SIGHUP to all, six times, each 50 ms")
		for range 6 {
			time.Sleep(50 * time.Millisecond)
			for _, m := range r.fleet.all() {
				m.Signal(syscall.SIGHUP, reloaded)
			}
		}
	}
	stopChanges()
	return c
}
