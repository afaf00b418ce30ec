package spec

import (
	"damsontiller/internal/proto/keys"
	"slices"
	"strings"
	"time"
)

func secs(v, def int64) time.Duration {
	if v == 0 {
		v = def
	}
	return time.Duration(v) * time.Second
}

const (
	day  = 24 * 3600
	hour = 3600
)

// LongestWait is the longest that a caller may wait or a program may last.
func (s *Spec) LongestWait() time.Duration { return secs(s.StateKeeping.LongestWaitS, 7*day) }

// StateKeep is how long a register at the stores is kept after its last write; 0
// is for good.
func (s *Spec) StateKeep(key string) time.Duration {
	switch {
	case strings.HasPrefix(key, keys.ClaimPrefix):
		return secs(s.StateKeeping.ClaimsS, 8*day)
	case strings.HasPrefix(key, keys.BudgetPrefix):
		return secs(s.StateKeeping.BudgetsS, 8*day)
	case strings.HasPrefix(key, keys.CooldownPrefix):
		return secs(s.StateKeeping.CooldownsS, day)
	case strings.HasPrefix(key, keys.OperationPrefix):
		return secs(s.StateKeeping.OperationsS, hour)
	}
	return 0
}

func ms(v, def int64) time.Duration {
	if v == 0 {
		v = def
	}
	return time.Duration(v) * time.Millisecond
}

// First is the first step's wait.
func (c *Cooldown) First() time.Duration { return ms(c.FirstMs, 1000) }

// Cap is the longest step's wait.
func (c *Cooldown) Cap() time.Duration { return ms(c.CapMs, 60000) }

// Quiet is how long without refusals sets the steps back.
func (c *Cooldown) Quiet() time.Duration { return ms(c.QuietMs, 30000) }

// Refusal reports whether a returned status counts as a refusal.
func (c *Cooldown) Refusal(status int) bool {
	if len(c.Statuses) == 0 {
		return status == 429
	}
	return slices.Contains(c.Statuses, status)
}

// Keep finds how long a conversation class is kept.
func (s *Spec) Keep(class string) (time.Duration, bool) {
	k, ok := pick(s.Keeping, class, func(k Keeping) string { return k.Class })
	return time.Duration(k.KeepS) * time.Second, ok
}

// Output finds the output allowed to a program; its class is what stands
// before the first slash of its name.
func (s *Spec) Output(program string) (int64, bool) {
	class, _, _ := strings.Cut(program, "/")
	b, ok := pick(s.Budgets, class, func(b Budget) string { return b.Programs })
	return b.Output, ok
}

// pick finds the entry of that name, or the one that stands for all ("*").
func pick[T any](list []T, want string, name func(T) string) (T, bool) {
	var def T
	found := false
	for _, v := range list {
		if name(v) == want {
			return v, true
		}
		if name(v) == "*" {
			def, found = v, true
		}
	}
	return def, found
}

// Empty reports whether a zone is to be emptied.
func (s *Spec) Empty(zone string) bool { return slices.Contains(s.EmptyZones, zone) }
