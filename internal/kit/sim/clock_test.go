package sim_test

import (
	"context"
	"testing"
	"time"

	"damsontiller/internal/kit/sim"
)

// TestClockBack: each kind of machine is started anew, and soon once more while its time of
// day is two seconds behind. It takes part again within five seconds.
func TestClockBack(t *testing.T) {
	t.Parallel()
	for _, id := range []string{"e1", "s1", "c1"} {
		untroubled(t, 30, func(ctx context.Context, m *sim.Mix) {
			m.Sim.KillProcess(id)
			launch(t, ctx, m.Sim, false, id)
			time.Sleep(time.Second)
			m.Sim.KillProcess(id)
			m.Sim.StepClock(id, -2*time.Second)
			time.Sleep(100 * time.Millisecond)
			launch(t, ctx, m.Sim, false, id)
			if !sim.Until(5*time.Second, func() bool { return m.Sim.Serves(id) }) {
				t.Errorf("%s does not serve after its clock went back", id)
			}
		})
	}
}
