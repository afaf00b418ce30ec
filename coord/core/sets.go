package core

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"golang.org/x/time/rate"

	"damsontiller/coord/realm"
	"damsontiller/coord/tier"
	"damsontiller/coord/web"
	"damsontiller/proto/reg"
	"damsontiller/proto/spec"
	"damsontiller/proto/wire"
	"damsontiller/xport/code"
)

// Sets change by one machine at a time. The register first holds both sets,
// and every quorum is then a majority of each; once that is in force
// everywhere, all keys are brought to every machine of the new set; then the
// new set stands alone. Each step may be done twice, so it does not matter who
// does it, nor that it is only one.

// setRoutes puts the commands for sets on e.
func (c *Core) setRoutes(e *echo.Echo) {
	e.GET("/v1/sets", c.getSets)
	e.POST("/v1/sets/:set/admit", func(x echo.Context) error { return c.order(x, c.admit) })
	e.POST("/v1/sets/:set/retire", func(x echo.Context) error { return c.order(x, c.retire) })
	e.POST("/v1/sets/:set/abandon", func(x echo.Context) error { return c.order(x, c.abandon) })
}

// setOrder is an operator's order about a set.
type setOrder struct {
	ID  string `json:"id"`
	For string `json:"for"` // the machine of the set whose place it takes
}

// pair is a set and the one it changes to, within a realm.
type pair struct{ now, next *[]spec.Machine }

func pairOf(r *spec.Realm, set string) (pair, error) {
	switch set {
	case "stores":
		return pair{&r.Stores, &r.NextStores}, nil
	case "cores":
		return pair{&r.Cores, &r.NextCores}, nil
	}
	return pair{}, code.New(code.NoPath, "%q is neither stores nor cores", set)
}

func (c *Core) getSets(x echo.Context) error {
	if err := c.Realm.Read(x.Request().Context()); err != nil {
		return web.Fail(x, err)
	}
	v := c.Realm.Now()
	return x.JSON(http.StatusOK, map[string]any{"version": v.Ver, "cores": v.Realm.Cores, "next_cores": v.NextCores, "stores": v.Realm.Stores, "next_stores": v.NextStores, "moved": c.moved.Load()})
}

func (c *Core) order(x echo.Context, do func(*spec.Realm, string, setOrder, []*wire.Member) error) error {
	var o setOrder
	b, err := web.Body(x, 4096)
	if err != nil {
		return web.Fail(x, err)
	}
	if err := web.Strict(b, &o); err != nil {
		return web.Fail(x, err)
	}
	all, err := c.known(x.Request().Context())
	if err != nil {
		return web.Fail(x, err)
	}
	var ms []*wire.Member
	for _, m := range all {
		ms = append(ms, m)
	}
	return c.change(x, 0, func(r *spec.Realm) error { return do(r, x.Param("set"), o, ms) })
}

func (c *Core) admit(r *spec.Realm, set string, o setOrder, ms []*wire.Member) error {
	p, err := pairOf(r, set)
	if err != nil {
		return err
	}
	if len(*p.next) > 0 {
		return code.New(code.SetChanging, "another change of the %s is under way", set)
	}
	if set == "cores" && o.For == "" {
		return code.New(code.BadField, "for: name the core machine whose place it takes")
	}
	role := set[:len(set)-1]
	old := slices.IndexFunc(*p.now, func(m spec.Machine) bool { return m.ID == o.For })
	if o.For != "" && old < 0 {
		return code.New(code.NoMember, "%q is not in the set", o.For)
	}
	// Several may have come under that name; the one that lives and is not in
	// the set is meant.
	err = code.New(code.NoMember, "no live %s %q has a licence", role, o.ID)
	for _, m := range ms {
		if m.Id != o.ID || m.Role != role || !m.Live {
			continue
		}
		switch {
		case m.Ident == "":
			continue
		case slices.ContainsFunc(*p.now, func(s spec.Machine) bool { return s.Ident == m.Ident }):
			err = code.New(code.InSet, "%s is in the set already", o.ID)
			continue
		case slices.Contains(r.Used, m.Ident):
			err = code.New(code.UsedIdentity, "%s comes with an identity that was let go", o.ID)
			continue
		case slices.ContainsFunc(*p.now, func(s spec.Machine) bool { return s.ID == o.ID && o.For != o.ID }):
			err = code.New(code.InSet, "the set has a machine %s; admit it in that one's place", o.ID)
			continue
		}
		n := spec.Machine{ID: m.Id, Addr: m.Addr, Zone: m.Zone, Ident: m.Ident}
		next := slices.Clone(*p.now)
		if old >= 0 {
			next[old] = n
		} else {
			next = append(next, n)
		}
		*p.next = next
		return nil
	}
	return err
}

func (c *Core) retire(r *spec.Realm, set string, o setOrder, _ []*wire.Member) error {
	p, err := pairOf(r, set)
	if err != nil {
		return err
	}
	if len(*p.next) > 0 {
		return code.New(code.SetChanging, "another change of the %s is under way", set)
	}
	i := slices.IndexFunc(*p.now, func(m spec.Machine) bool { return m.ID == o.ID })
	if i < 0 {
		return code.New(code.NoMember, "%q is not in the set", o.ID)
	}
	if len(*p.now) <= realm.Copies {
		return code.New(code.BelowCopies, "%d machines would be left for %d copies; admit another in its place", len(*p.now)-1, realm.Copies)
	}
	*p.next = slices.Delete(slices.Clone(*p.now), i, i+1)
	return nil
}

// abandon goes back to the old set, which has been whole all the while.
func (c *Core) abandon(r *spec.Realm, set string, _ setOrder, _ []*wire.Member) error {
	p, err := pairOf(r, set)
	if err != nil {
		return err
	}
	if len(*p.next) == 0 {
		return code.New(code.BadField, "no change of the %s is under way", set)
	}
	for _, m := range *p.next {
		if !slices.Contains(*p.now, m) {
			// It has voted: should it ever come back, it must be a stranger.
			r.Used = append(r.Used, m.Ident)
		}
	}
	*p.next = nil
	return nil
}

// move brings a change of a set further. The first live core machine does it;
// two at it at once would only do the same work twice.
func (c *Core) move(ctx context.Context) {
	v := c.Realm.Now()
	if len(v.NextCores)+len(v.NextStores) == 0 || !c.leads() {
		return
	}
	// While anyone may act on the old set alone, what it writes would be missed.
	if w, err := c.waiting(ctx, v.Ver, nil); err != nil || len(w) > 0 {
		c.Log.Info("set change waits", "version", v.Ver, "for", w, "err", err)
		return
	}
	t := &tier.Tier{Peer: c.Peer, Realm: c.Realm, Prop: c.Prop}
	c.moved.Store(0)
	for _, set := range []string{"cores", "stores"} {
		p, _ := pairOf(&v.Realm, set)
		if len(*p.next) == 0 {
			continue
		}
		if err := c.moveSet(ctx, t, v, set, *p.now); err != nil {
			c.Log.Warn("set not moved yet", "set", set, "moved", c.moved.Load(), "err", err)
			continue
		}
		c.settle(ctx, set, *p.next)
	}
}

// leads: the first live core machine by id.
func (c *Core) leads() bool {
	for _, m := range c.Lic.Members() {
		if m.Role == "core" && m.Live && m.Id < c.Peer.Self.Id && c.votes(m) {
			return false
		}
	}
	return true
}

func (c *Core) moveSet(ctx context.Context, t *tier.Tier, v *realm.View, set string, old []spec.Machine) error {
	var group []reg.Replica
	for _, m := range old {
		group = append(group, reg.Replica{Addr: m.Addr, Ident: m.Ident})
	}
	keys, err := t.Keys(ctx, group, wire.List_REGISTERS)
	if err != nil {
		return err
	}
	where := func(string) reg.Set { return v.Cores() }
	if set == "stores" {
		where = v.Stores
	}
	err = c.pace(ctx, keys, func(ctx context.Context, k string) error {
		ctx, stop := context.WithTimeout(ctx, 3*time.Second)
		defer stop()
		return c.Prop.Mend(ctx, where(k), k)
	})
	if err != nil || set != "stores" {
		return err
	}
	if keys, err = t.Keys(ctx, group, wire.List_BLOBS); err != nil {
		return err
	}
	return c.pace(ctx, keys, t.MendBlob)
}

// pace does something for each key, a few at a time and bounded a second, so
// that the traffic hardly feels it.
func (c *Core) pace(ctx context.Context, keys []string, do func(context.Context, string) error) error {
	lim := rate.NewLimiter(rate.Limit(max(c.p.MoveRate, 1)), 8)
	in := make(chan string)
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var wg sync.WaitGroup
	var mu sync.Mutex
	var errs []error
	for range 4 {
		wg.Go(func() {
			for k := range in {
				if err := do(ctx, k); err != nil {
					mu.Lock()
					errs = append(errs, err)
					mu.Unlock()
					stop()
					continue
				}
				c.moved.Add(1)
			}
		})
	}
	for _, k := range keys {
		if lim.Wait(ctx) != nil {
			break
		}
		in <- k
	}
	close(in)
	wg.Wait()
	if len(errs) > 0 {
		return errs[0]
	}
	return ctx.Err()
}

// settle lets the new set stand alone.
func (c *Core) settle(ctx context.Context, set string, next []spec.Machine) {
	ctx, stop := context.WithTimeout(ctx, 3*time.Second)
	defer stop()
	ver, raw, err := c.Realm.Change(ctx, 0, func(r *spec.Realm) error {
		p, err := pairOf(r, set)
		if err != nil {
			return err
		}
		// Abandoned or changed meanwhile: what was moved was for another set.
		if !slices.Equal(*p.next, next) {
			return realm.ErrSame
		}
		for _, m := range *p.now {
			if !slices.ContainsFunc(next, func(n spec.Machine) bool { return n.Ident == m.Ident }) {
				r.Used = append(r.Used, m.Ident)
			}
		}
		*p.now, *p.next = next, nil
		return nil
	})
	if err != nil {
		if !errors.Is(err, realm.ErrSame) {
			c.Log.Warn("set not settled", "set", set, "err", err)
		}
		return
	}
	c.Log.Info("set changed", "set", set, "version", ver)
	c.spread(ctx, ver, raw)
}
