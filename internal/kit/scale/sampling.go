package scale

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"damsontiller/internal/kit/fleet"
)

// sample is what all have used up to one moment.
type sample struct {
	at     time.Time
	real   map[string]use
	calls  map[string]float64 // made by a real process, by its own count
	hollow []report
	rss    []use // of the hollow processes
}

func (r *run) sample() (sample, error) {
	s := sample{real: map[string]use{}, calls: map[string]float64{}}
	var err error
	if s.hollow, err = r.each(order{Do: "stat"}); err != nil {
		return s, err
	}
	for _, m := range r.f.Machines {
		if s.real[m.ID], err = usage(m.Pid()); err != nil {
			return s, err
		}
	}
	for _, c := range r.crowd {
		u, err := usage(c.cmd.Process.Pid)
		if err != nil {
			return s, err
		}
		s.rss = append(s.rss, u)
	}
	s.at = time.Now()
	for _, m := range r.f.Machines {
		if n, err := r.sent(m); err == nil {
			s.calls[m.ID] = n
		}
	}
	return s, nil
}

// sent reads a process's own count of the messages it has sent.
func (r *run) sent(m *fleet.Machine) (float64, error) {
	a, err := r.f.Web.Get("http://" + m.HTTP() + "/metrics")
	if err != nil {
		return 0, err
	}
	defer a.Body.Close()
	for l := bufio.NewScanner(a.Body); l.Scan(); {
		var n float64
		if _, err := fmt.Sscanf(l.Text(), "dt_messages_sent_total %g", &n); err == nil {
			return n, nil
		}
	}
	return 0, errors.New("no count")
}

// window measures half of the run's time.
func (r *run) window(ctx context.Context, name string, do func(context.Context)) error {
	a, err := r.sample()
	if err != nil {
		return err
	}
	ctx, stop := context.WithTimeout(ctx, r.Time/2)
	defer stop()
	if do != nil {
		do(ctx)
	}
	<-ctx.Done()
	if errors.Is(ctx.Err(), context.Canceled) {
		return ctx.Err()
	}
	b, err := r.sample()
	if err != nil {
		return err
	}
	r.compare(name, a, b)
	return nil
}

// compare says what went on between two samples, for each role: the mean and the
// most of its processes.
func (r *run) compare(name string, a, b sample) {
	secs := b.at.Sub(a.at).Seconds()
	type col struct{ cpu, io, calls, rss, peak, anon, files []float64 }
	roles := map[string]*col{}
	for _, m := range r.f.Machines {
		c := roles[m.Role]
		if c == nil {
			c = &col{}
			roles[m.Role] = c
		}
		x, y := a.real[m.ID], b.real[m.ID]
		c.cpu = append(c.cpu, 100*(y.cpu-x.cpu).Seconds()/secs)
		c.io = append(c.io, float64(y.io-x.io)/secs)
		c.calls = append(c.calls, (b.calls[m.ID]-a.calls[m.ID])/secs)
		c.rss = append(c.rss, float64(y.rss)/(1<<20))
		c.peak = append(c.peak, float64(y.peak)/(1<<20))
		c.anon = append(c.anon, float64(y.anon)/(1<<20))
		c.files = append(c.files, float64(y.fds))
	}
	both := func(what, unit string, vs []float64) {
		r.say(name+"."+what, mean(vs), unit)
		r.say(name+"."+what+".most", slices.Max(vs), unit)
	}
	for _, role := range []string{"core", "store", "edge"} {
		c := roles[role]
		both(role+".cpu", "% of a core", c.cpu)
		both(role+".bytes", "B/s read and written", c.io)
		both(role+".calls", "calls made/s", c.calls)
		both(role+".rss", "MiB", c.rss)
		both(role+".rss.peak", "MiB", c.peak)
		both(role+".rss.anon", "MiB", c.anon)
		both(role+".files", "descriptors", c.files)
	}
	var in, out, calls, cpu, rss []float64
	conns := int64(0)
	for i, w := range b.hollow {
		n := float64(len(w.Loads))
		conns += w.Conns
		cpu = append(cpu, 100*float64(w.CPU-a.hollow[i].CPU)/1e9/secs/n)
		rss = append(rss, float64(b.rss[i].rss)/(1<<20)/n)
		for k, l := range w.Loads {
			o := a.hollow[i].Loads[k]
			in = append(in, float64(l.In-o.In)/secs)
			out = append(out, float64(l.Out-o.Out)/secs)
			if l.Calls >= o.Calls {
				calls = append(calls, float64(l.Calls-o.Calls)/secs)
			}
		}
	}
	both("hollow.cpu", "% of a core a node", cpu)
	both("hollow.in", "B/s a node", in)
	both("hollow.out", "B/s a node", out)
	both("hollow.calls", "calls made/s a node", calls)
	both("hollow.rss", "MiB a node, its process's share", rss)
	r.say(name+".hollow.conns", float64(conns)/float64(r.hollows()), "connections a node")
}

func mean(vs []float64) float64 {
	s := 0.0
	for _, v := range vs {
		s += v
	}
	return s / float64(max(len(vs), 1))
}
