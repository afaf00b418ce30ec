package spec

import (
	"fmt"
	"slices"

	"damsontiller/internal/proto/script"
	"damsontiller/internal/transport/code"
)

// Source is the policy's text for the checker.
func (p Policy) Source() script.Source { return script.Source{Rank: p.Rank, Order: p.Order} }

// Load checks a policy of this spec and makes it ready to run.
func (s *Spec) Load(p Policy) (*script.Script, error) {
	runners, zones := map[string]bool{}, map[string]bool{}
	for _, r := range s.Runners {
		runners[r.Name] = true
	}
	for _, z := range s.Zones {
		zones[z] = true
	}
	return script.Load(p.Source(), runners, zones)
}

// Policy finds a policy by name.
func (s *Spec) Policy(name string) (Policy, bool) {
	i := slices.IndexFunc(s.Policies, func(p Policy) bool { return p.Name == name })
	if i < 0 {
		return Policy{}, false
	}
	return s.Policies[i], true
}

// MaxPolicies bounds the programs kept.
const MaxPolicies = 32

func (s *Spec) checkPolicies() error {
	if len(s.Policies) > MaxPolicies {
		return bad("policies", "%d, limit %d", len(s.Policies), MaxPolicies)
	}
	seen := map[string]bool{}
	for i, p := range s.Policies {
		f := fmt.Sprintf("policies[%d]", i)
		if !Name(p.Name) || seen[p.Name] {
			return bad(f, "%q is not a name, or listed twice", p.Name)
		}
		seen[p.Name] = true
		if _, err := s.Load(p); err != nil {
			return code.New(code.BadPolicy, "%s (%s): %s", f, p.Name, code.Text(err))
		}
	}
	approved := map[string]bool{}
	for i, a := range s.Approvals {
		p, ok := s.Policy(a.Policy)
		if !ok {
			return bad(fmt.Sprintf("approvals[%d]", i), "there is no policy %q", a.Policy)
		}
		if err := a.check(p); err != nil {
			return code.New(code.NotApproved, "approvals[%d]: %w", i, err)
		}
		approved[a.Policy] = true
	}
	if s.Live == nil {
		return nil
	}
	if s.Live.Share < 1 || s.Live.Share > 100 {
		return bad("live.share", "%d is not within 1 and 100", s.Live.Share)
	}
	if _, ok := s.Policy(s.Live.Policy); !ok {
		return bad("live.policy", "there is no policy %q", s.Live.Policy)
	}
	if !approved[s.Live.Policy] {
		return code.New(
			code.NotApproved,
			"live.policy: no approval names the text of %q; rehearse and approve it first",
			s.Live.Policy,
		)
	}
	return nil
}

// check reports whether an approval is one of this text, and on good numbers: no
// breach, the program never failed, and what differs for the worse is no more than
// chance between two runs of the same: a tenth more urgent answers late (and two),
// five in a thousand fewer served.
func (a *Approval) check(p Policy) error {
	d := p.Source().Digest()
	switch b, c := a.Base, a.Cand; {
	case a.Digest != d:
		return fmt.Errorf("approved is text %.12s of %q, the spec has %.12s", a.Digest, a.Policy, d)
	case len(a.Day) != 64:
		return fmt.Errorf("day: %q names no day", a.Day)
	case c.Asks == 0 || b.Asks == 0:
		return fmt.Errorf("a column has no asks")
	case c.Breaches > 0:
		return fmt.Errorf("the candidate's rehearsal shows %d breaches", c.Breaches)
	case c.UrgentLate > b.UrgentLate+b.UrgentLate/10+2:
		return fmt.Errorf("urgent answers late: %d, with the policy in force %d", c.UrgentLate, b.UrgentLate)
	case c.Served*b.Asks*1000 < b.Served*c.Asks*995:
		return fmt.Errorf("served %d of %d, with the policy in force %d of %d", c.Served, c.Asks, b.Served, b.Asks)
	case c.Fallbacks > 0:
		return fmt.Errorf("the program failed %d times in its rehearsal", c.Fallbacks)
	}
	return nil
}
