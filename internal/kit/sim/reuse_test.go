package sim_test

import (
	"strconv"
	"testing"
	"time"

	"damsontiller/internal/kit/sim"
)

// TestReuseAfterRefusals: runners refuse, and right after that two of them exchange their
// addresses, again and again. A call that reaches the wrong one of them was checked against
// the cooldown of the one that it was meant for, and is judged by that.
func TestReuseAfterRefusals(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			mixed(t, seed+1, 40*time.Second, func(m *sim.Mix) {
				for range 8 {
					m.Fire("srv_grey/busy")
					m.Fire("replace_with_reuse")
				}
			})
		})
	}
}
