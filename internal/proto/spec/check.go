package spec

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"damsontiller/internal/proto/keys"
	"damsontiller/internal/transport/code"
)

// Limits on what operators may write.
const (
	MaxBytes  = 1 << 20
	MaxNames  = 4096
	MaxKeepS  = 400 * 24 * 3600
	MaxWaitMs = 3600 * 1000
)

func bad(field, format string, a ...any) error {
	return code.New(code.BadSpec, "%s: %s", field, fmt.Sprintf(format, a...))
}

// Name checks one name; names travel in headers and keys.
func Name(s string) bool {
	if s == "" || len(s) > 64 {
		return false
	}
	for _, r := range s {
		if !(r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || strings.ContainsRune("-_.", r)) {
			return false
		}
	}
	return true
}

// Addr checks an IP number with a port.
func Addr(s string) error {
	ap, err := netip.ParseAddrPort(s)
	if err != nil {
		return fmt.Errorf("%q is not an IP number and port", s)
	}
	if ap.Port() == 0 {
		return fmt.Errorf("%q has port 0", s)
	}
	return nil
}

// Bare is the spec of a fleet that has no jobs of its own yet, only raw ones.
func Bare(zones []string) Spec { return Spec{Name: "fleet", Zones: zones} }

// bare: it routes nothing, so nothing can be missing for it.
func (s *Spec) bare() bool {
	return len(s.Runners)+len(s.Routes)+len(s.Classes)+len(s.Keeping)+len(s.Budgets) == 0 && s.Platform == ""
}

// Check finds the first thing wrong and names its field.
func (s *Spec) Check() error {
	if !Name(s.Name) {
		return bad("name", "%q is not a name", s.Name)
	}
	n := len(s.Zones) + len(s.Runners) + len(s.Routes) + len(s.Classes) + len(s.Keeping) + len(s.Budgets)
	if n > MaxNames {
		return bad("spec", "%d entries, limit %d", n, MaxNames)
	}
	zones, err := names("zones", s.Zones, func(z string) string { return z })
	if err != nil {
		return err
	}
	if s.bare() {
		return s.checkShared(zones)
	}
	routes, err := names("routes", s.Routes, func(r Route) string { return r.Name })
	if err != nil {
		return err
	}
	if _, err = names("classes", s.Classes, func(c Class) string { return c.Name }); err != nil {
		return err
	}
	if _, err = names("keeping", s.Keeping, func(k Keeping) string { return k.Class }); err != nil {
		return err
	}
	if _, err = names("budgets", s.Budgets, func(b Budget) string { return b.Programs }); err != nil {
		return err
	}
	for i, r := range s.Routes {
		if r.Account != "" && !Name(r.Account) {
			return bad(fmt.Sprintf("routes[%d].account", i), "%q is not a name", r.Account)
		}
	}
	for i, c := range s.Classes {
		f := fmt.Sprintf("classes[%d].reserve_percent", i)
		if c.Reserve < 0 || c.Reserve > 50 {
			return bad(f, "%d is not within 0 and 50", c.Reserve)
		}
		if c.Reserve > 0 && !c.Urgent {
			return bad(f, "class %q keeps a reserve but is not urgent", c.Name)
		}
	}
	for i, k := range s.Keeping {
		if k.KeepS < 1 || k.KeepS > MaxKeepS {
			return bad(fmt.Sprintf("keeping[%d].keep_s", i), "%d is not within 1 and %d", k.KeepS, MaxKeepS)
		}
	}
	for i, b := range s.Budgets {
		if b.Output < 1 {
			return bad(fmt.Sprintf("budgets[%d].output", i), "%d is less than 1", b.Output)
		}
	}
	if err := s.checkRunners(zones, routes); err != nil {
		return err
	}
	return s.checkShared(zones)
}

// checkShared checks what every spec has.
func (s *Spec) checkShared(zones map[string]bool) error {
	if err := s.checkZones(zones); err != nil {
		return err
	}
	if err := s.checkPolicies(); err != nil {
		return err
	}
	if err := s.Cooldown.check(); err != nil {
		return err
	}
	return s.checkState()
}

// checkState: what is removed must not be needed any more by anyone who may still
// ask.
func (s *Spec) checkState() error {
	longestCooldown := s.Cooldown.Cap() + s.Cooldown.Quiet()
	for _, f := range []struct {
		name string
		v    int64
		got  time.Duration
		over time.Duration
	}{
		{"longest_wait_s", s.StateKeeping.LongestWaitS, s.LongestWait(), time.Second},
		{"claims_s", s.StateKeeping.ClaimsS, s.StateKeep(keys.ClaimPrefix), s.LongestWait()},
		{"purses_s", s.StateKeeping.BudgetsS, s.StateKeep(keys.BudgetPrefix), s.LongestWait()},
		{"cooldowns_s", s.StateKeeping.CooldownsS, s.StateKeep(keys.CooldownPrefix), longestCooldown},
	} {
		if f.v < 0 || f.v > MaxKeepS {
			return bad("state_keeping."+f.name, "%d is not within 0 and %d", f.v, MaxKeepS)
		}
		if f.got < f.over {
			return bad("state_keeping."+f.name, "%s is less than %s, for which it may still be needed", f.got, f.over)
		}
	}
	return nil
}

func (s *Spec) checkRunners(zones, routes map[string]bool) error {
	if s.Platform != "" {
		if err := Addr(s.Platform); err != nil {
			return bad("platform", "%v", err)
		}
	}
	// A platform list can't stand in: until it is read, nothing could be passed.
	if len(s.Runners) == 0 {
		return bad("runners", "names no runners")
	}
	if _, err := names("runners", s.Runners, func(r Runner) string { return r.Name }); err != nil {
		return err
	}
	addrs := map[string]string{}
	served := map[string]bool{}
	for i, r := range s.Runners {
		f := fmt.Sprintf("runners[%d]", i)
		if err := Addr(r.Addr); err != nil {
			return bad(f+".addr", "%v", err)
		}
		if other := addrs[r.Addr]; other != "" {
			return bad(f+".addr", "%s is also the address of %q", r.Addr, other)
		}
		addrs[r.Addr] = r.Name
		if !zones[r.Zone] {
			return bad(f+".zone", "%q is not one of zones", r.Zone)
		}
		if !routes[r.Route] {
			return bad(f+".route", "%q is not one of routes", r.Route)
		}
		if r.Account != "" && !Name(r.Account) {
			return bad(f+".account", "%q is not a name", r.Account)
		}
		served[r.Route] = true
	}
	for i, r := range s.Routes {
		if !served[r.Name] {
			return bad(fmt.Sprintf("routes[%d]", i), "no runner serves %q", r.Name)
		}
	}
	return nil
}

func (s *Spec) checkZones(zones map[string]bool) error {
	empty := map[string]bool{}
	for i, z := range s.EmptyZones {
		if !zones[z] {
			return bad(fmt.Sprintf("empty_zones[%d]", i), "%q is not one of zones", z)
		}
		if empty[z] {
			return bad(fmt.Sprintf("empty_zones[%d]", i), "%q is listed twice", z)
		}
		empty[z] = true
	}
	if s.ForceEmpty {
		return nil
	}
	if len(empty) > 0 && len(empty) == len(zones) {
		return code.New(code.LastZone, "empty_zones: would empty the last zone; force_empty allows it")
	}
	// A route that lives in emptied zones only can't be served: two intents
	// that contradict each other.
	for i, r := range s.Routes {
		if !slices.ContainsFunc(s.Runners, func(n Runner) bool { return n.Route == r.Name && !empty[n.Zone] }) {
			return bad(
				fmt.Sprintf("routes[%d]", i),
				"%q has runners in emptied zones only, which contradicts empty_zones",
				r.Name,
			)
		}
	}
	return nil
}

func (c *Cooldown) check() error {
	for _, f := range []struct {
		name string
		v    int64
	}{{"first_ms", c.FirstMs}, {"cap_ms", c.CapMs}, {"quiet_ms", c.QuietMs}} {
		if f.v < 0 || f.v > MaxWaitMs {
			return bad("cooldown."+f.name, "%d is not within 0 and %d", f.v, MaxWaitMs)
		}
	}
	if c.Cap() < c.First() {
		return bad("cooldown.cap_ms", "%s is below first_ms %s", c.Cap(), c.First())
	}
	for i, st := range c.Statuses {
		if st < 400 || st > 599 {
			return bad(fmt.Sprintf("cooldown.statuses[%d]", i), "%d is not within 400 and 599", st)
		}
	}
	return nil
}

func names[T any](field string, list []T, name func(T) string) (map[string]bool, error) {
	if len(list) == 0 {
		return nil, bad(field, "is empty")
	}
	seen := map[string]bool{}
	for i, v := range list {
		n := name(v)
		if !Name(n) && n != "*" {
			return nil, bad(fmt.Sprintf("%s[%d]", field, i), "%q is not a name", n)
		}
		if seen[n] {
			return nil, bad(fmt.Sprintf("%s[%d]", field, i), "%q is listed twice", n)
		}
		seen[n] = true
	}
	return seen, nil
}

// Apply gives the spec with the patch laid over it.
func (p *Patch) Apply(s Spec) Spec {
	set(&s.EmptyZones, p.EmptyZones)
	set(&s.Classes, p.Classes)
	set(&s.Keeping, p.Keeping)
	set(&s.Budgets, p.Budgets)
	set(&s.Cooldown, p.Cooldown)
	set(&s.StateKeeping, p.StateKeeping)
	set(&s.Runners, p.Runners)
	return s
}

func set[T any](to *T, from *T) {
	if from != nil {
		*to = *from
	}
}

// Read parses operators' JSON; unknown fields are refused by name.
func Read(b []byte, into interface{ UnmarshalJSON([]byte) error }) error {
	if len(b) > MaxBytes {
		return code.New(code.TooLarge, "%d bytes, limit %d", len(b), MaxBytes)
	}
	if err := into.UnmarshalJSON(b); err != nil {
		if strings.Contains(err.Error(), "unknown field") {
			return code.New(code.UnknownField, "%w", err)
		}
		return code.New(code.BadJSON, "%w", err)
	}
	return nil
}
