package register

import (
	"context"
	"fmt"

	"damsontiller/internal/transport/loop"
)

// WriteBack writes a key's value back under a new ballot until every voter of the
// last group has taken it. It changes nothing.
func (p *Proposer) WriteBack(ctx context.Context, set Set, key string) error {
	if len(set) == 0 {
		return fmt.Errorf("mend %s: %w", key, ErrNoQuorum)
	}
	remove := set[len(set)-1]
	for attempt := 0; ; attempt++ {
		if attempt > 0 && !loop.Wait(ctx, p.retryPause(attempt)) || ctx.Err() != nil {
			return fmt.Errorf("mend %s: %w: %w", key, ErrNoQuorum, ctx.Err())
		}
		ballot, got, _ := p.prepare(ctx, set, key)
		if got == nil {
			continue
		}
		cur, holders := newestAccepted(got)
		if p.fillValue(ctx, key, cur.View, holders) != nil {
			continue
		}
		if cur.GetCell() == nil {
			return nil
		}
		all := func(got []reply) bool {
			have := succeeded(got)
			for _, r := range remove {
				if !have[r] {
					return false
				}
			}
			return set.Quorum(have)
		}
		if all(p.accept(ctx, set, key, ballot, nil, &proposal{cell: cur.GetCell()}, all)) {
			return nil
		}
	}
}
