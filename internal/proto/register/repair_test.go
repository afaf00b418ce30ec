package register

import (
	"context"
	"fmt"

	"damsontiller/internal/transport/loop"
)

// WriteBack writes a key's value back under a new ballot until every voter of the last group
// has accepted it. It does not change the value.
func (p *Proposer) WriteBack(ctx context.Context, set Set, key string) error {
	if len(set) == 0 {
		return fmt.Errorf("write back %s: %w", key, ErrNoQuorum)
	}
	required := set[len(set)-1]
	for attempt := 0; ; attempt++ {
		if attempt > 0 && !loop.Wait(ctx, p.retryPause(key, attempt, 0)) || ctx.Err() != nil {
			return fmt.Errorf("write back %s: %w: %w", key, ErrNoQuorum, ctx.Err())
		}
		ballot, replies, _ := p.prepare(ctx, set, key)
		if replies == nil {
			continue
		}
		newest, holders := newestAccepted(replies)
		if p.fillValue(ctx, key, newest.View, holders) != nil {
			continue
		}
		if newest.GetCell() == nil {
			return nil
		}
		allAccepted := func(replies []reply) bool {
			voters := succeeded(replies)
			for _, voter := range required {
				if !voters[voter] {
					return false
				}
			}
			return set.Quorum(voters)
		}
		if allAccepted(p.accept(ctx, set, key, ballot, nil, &proposal{cell: newest.GetCell()}, allAccepted)) {
			return nil
		}
	}
}
