package proxy

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"damsontiller/internal/coordination/storeclient"
	"damsontiller/internal/dataplane/programs/budget"
	"damsontiller/internal/dataplane/request/job"
	"damsontiller/internal/proto/keys"
	"damsontiller/internal/proto/register"
	"damsontiller/internal/transport/code"
	"damsontiller/internal/transport/loop"
)

// Budgets enforces the output-token budgets that callers state for their programs, across all
// nodes. A turn reserves its maximum output before it runs and settles the reservation with the
// output it produced. A reservation that is never settled counts as spent in full.
type Budgets struct {
	stores     *storeclient.Client
	params     BudgetParams
	background job.Background
	mu         sync.Mutex
	pending    map[string]map[string]settlement // not yet written, by budget key and attempt
	writing    map[string]bool                  // budget keys with a background write
	locks      [64]chan struct{}                // serialize changes of one program; each channel holds one token
}

// settlement records the output of a turn and the runner that produced it.
type settlement struct {
	spent  int64
	runner string // empty: unknown, the stored runner is kept
}

// BudgetParams are the timeouts and delays of the budget policy.
type BudgetParams struct {
	ReadTimeout  time.Duration // for reserving
	CommitDelay  time.Duration // how long a settlement waits to be combined with the program's next reservation
	WriteTimeout time.Duration // for one attempt at writing settlements
}

// DefaultBudgets are the default parameters of the budget policy.
var DefaultBudgets = BudgetParams{
	ReadTimeout:  800 * time.Millisecond,
	CommitDelay:  200 * time.Millisecond,
	WriteTimeout: time.Second,
}

// Limits on the background attempts at writing settlements.
const (
	commitAttempts      = 60
	commitRetryInterval = 250 * time.Millisecond
)

// NewBudgets returns the budget policy over the given stores.
func NewBudgets(params BudgetParams, stores *storeclient.Client, background job.Background) *Budgets {
	budgets := &Budgets{
		stores:     stores,
		params:     params,
		background: background,
		pending:    map[string]map[string]settlement{},
		writing:    map[string]bool{},
	}
	for i := range budgets.locks {
		budgets.locks[i] = make(chan struct{}, 1)
		budgets.locks[i] <- struct{}{}
	}
	return budgets
}

func readBudget(state register.State) (budget.Value, error) {
	var value budget.Value
	if len(state.Value) == 0 {
		return value, nil
	}
	if err := json.Unmarshal(state.Value, &value); err != nil {
		return value, code.New(code.Garbled, "budget: %w", err)
	}
	return value, nil
}

func budgetKey(j *Job) string { return keys.ProxyBudget(j.TenantName(), j.Program) }

// change applies update to a program's budget, together with the program's pending settlements.
func (budgets *Budgets) change(
	ctx context.Context,
	key string,
	update func(*budget.Value) error,
) (budget.Value, error) {
	// The wait for the lock counts toward the timeout of the change itself.
	lock := budgets.locks[rendezvousHash(key, "")%uint64(len(budgets.locks))]
	if !loop.WaitFor(ctx, lock) {
		return budget.Value{}, code.New(
			code.StoresUnreachable,
			"other changes of budgets are under way: %w",
			ctx.Err(),
		)
	}
	defer func() { lock <- struct{}{} }()
	budgets.mu.Lock()
	due := map[string]settlement{}
	for attempt, settled := range budgets.pending[key] {
		due[attempt] = settled
	}
	budgets.mu.Unlock()
	state, err := budgets.stores.Change(ctx, key, func(state register.State) ([]byte, bool, error) {
		value, err := readBudget(state)
		if err != nil {
			return nil, false, err
		}
		for attempt, settled := range due {
			value.Settle(attempt, settled.spent)
			if settled.runner != "" {
				value.LastRunner = settled.runner
			}
		}
		if err := update(&value); err != nil {
			return nil, false, err
		}
		encoded, err := json.Marshal(value)
		return encoded, false, err
	})
	if err != nil {
		return budget.Value{}, err
	}
	budgets.mu.Lock()
	defer budgets.mu.Unlock()
	for attempt, written := range due {
		if budgets.pending[key][attempt] == written {
			delete(budgets.pending[key], attempt)
		}
	}
	if len(budgets.pending[key]) == 0 {
		delete(budgets.pending, key)
	}
	return readBudget(state)
}

// Reserve reserves the maximum output of a job, or fails with BudgetSpent if the budget has too
// little left.
func (budgets *Budgets) Reserve(ctx context.Context, j *Job) error {
	value, err := budgets.change(ctx, budgetKey(j), func(value *budget.Value) error {
		if _, ok := value.Open[j.Attempt]; ok {
			return nil
		}
		if value.Used()+j.MaxOutputTokens > j.TokenBudget {
			return code.New(
				code.BudgetSpent,
				"%d of %d are spent or reserved, the turn may put out %d",
				value.Used(),
				j.TokenBudget,
				j.MaxOutputTokens,
			)
		}
		return value.Reserve(j.Attempt, j.MaxOutputTokens, j.TokenBudget)
	})
	if err == nil {
		j.PreviousRunner, j.BudgetReserved = value.LastRunner, true
	}
	return err
}

// Commit queues the settlement of a turn under its budget key. It is written with the program's
// next reservation, or by a background write after CommitDelay.
func (budgets *Budgets) Commit(key, attempt string, spent int64, runner string) {
	budgets.mu.Lock()
	if budgets.pending[key] == nil {
		budgets.pending[key] = map[string]settlement{}
	}
	budgets.pending[key][attempt] = settlement{spent, runner}
	scheduled := budgets.writing[key]
	budgets.writing[key] = true
	budgets.mu.Unlock()
	if !scheduled {
		budgets.background.Go(func() { budgets.writePending(key) })
	}
}

// writePending writes the settlements of a budget key in the background. After commitAttempts it
// gives up, until the next settlement of the key starts another write.
func (budgets *Budgets) writePending(key string) {
	ctx := budgets.background.Ctx
	loop.Wait(ctx, budgets.params.CommitDelay)
	for try := 0; budgets.writeDue(key, try); try++ {
		writeCtx, stop := context.WithTimeout(context.WithoutCancel(ctx), budgets.params.WriteTimeout)
		_, err := budgets.change(writeCtx, key, func(*budget.Value) error { return nil })
		stop()
		if err != nil && !loop.Wait(ctx, commitRetryInterval) {
			try = commitAttempts
		}
	}
}

// writeDue reports whether the background write of a budget key makes another try. If not, the
// write has ended.
func (budgets *Budgets) writeDue(key string, try int) bool {
	budgets.mu.Lock()
	defer budgets.mu.Unlock()
	if try < commitAttempts && len(budgets.pending[key]) > 0 {
		return true
	}
	delete(budgets.writing, key)
	return false
}

// Do reserves the job's maximum output before the job runs and settles it with the forwarded output
// afterwards.
func (budgets *Budgets) Do(j *Job, response *Response, next Next) Answer {
	if j.Program == "" || j.TokenBudget <= 0 || j.MaxOutputTokens <= 0 {
		return next(j, response)
	}
	ctx, stop := context.WithTimeout(j, min(budgets.params.ReadTimeout, j.TimeLeft()))
	mayBeReserved := false // a write with an unknown outcome may have reserved it
	err := retryAtStores(ctx, func() error {
		err := budgets.Reserve(ctx, j)
		mayBeReserved = mayBeReserved || code.Of(err) == code.OutcomeUnknown
		return err
	})
	stop()
	if err != nil && mayBeReserved {
		// The reservation may exist although nothing was sent, so it is settled with zero output.
		budgets.Commit(budgetKey(j), j.Attempt, 0, "")
	}
	switch {
	case code.Of(err) == code.OutcomeUnknown:
		return Refuse(
			code.New(code.StoresUnreachable, "the budget could not be reserved: %w", err),
			defaultRetryAfter,
		)
	case err != nil:
		return Refuse(err, defaultRetryAfter)
	}
	answer := next(j, response)
	// The output forwarded to the caller counts as spent, even if the response was cut off.
	budgets.Commit(budgetKey(j), j.Attempt, int64(response.Events())*j.tokensPerEvent(), response.runner)
	return answer
}
