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

// Budgets keeps the output budget that a program's own callers state, complete over
// all nodes: a turn reserves the most it may put out, and commits to what it did.
// What nobody commits counts as spent.
type Budgets struct {
	stores     *storeclient.Client
	params     BudgetParams
	background job.Background
	mu         sync.Mutex
	pending    map[string]map[string]settlement // not yet written, by key of a program's budget and try
	locks      [64]chan struct{}                // changes of one program from this node take turns; each holds a token
}

// settlement is what a turn put out, and where.
type settlement struct {
	spent  int64
	runner string // empty: it says nothing
}

// BudgetParams are the times of budgets.
type BudgetParams struct {
	ReadTimeout  time.Duration // for reserving
	CommitDelay  time.Duration // how long a settlement waits for the program's next turn
	WriteTimeout time.Duration // for one try at writing it
}

// DefaultBudgets are the design's.
var DefaultBudgets = BudgetParams{
	ReadTimeout:  800 * time.Millisecond,
	CommitDelay:  200 * time.Millisecond,
	WriteTimeout: time.Second,
}

// NewBudgets makes the keeper of budgets.
func NewBudgets(params BudgetParams, stores *storeclient.Client, background job.Background) *Budgets {
	budgets := &Budgets{stores: stores, params: params, background: background, pending: map[string]map[string]settlement{}}
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

// change makes f's change of a program's budget together with the settlements due.
func (budgets *Budgets) change(ctx context.Context, key string, update func(*budget.Value) error) (budget.Value, error) {
	// Nobody waits for his turn longer than for the change itself.
	lock := budgets.locks[rendezvousHash(key, "")%uint64(len(budgets.locks))]
	if !loop.Until(ctx, lock) {
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
	for attempt := range due {
		delete(budgets.pending[key], attempt)
	}
	if len(budgets.pending[key]) == 0 {
		delete(budgets.pending, key)
	}
	return readBudget(state)
}

// Reserve sets the most that a job may put out aside, or says that the budget
// does not hold it.
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

// Commit writes down, under the key of a budget, what a turn put out, with the program's next turn or soon.
func (budgets *Budgets) Commit(key, attempt string, spent int64, runner string) {
	budgets.mu.Lock()
	first := budgets.pending[key] == nil
	if first {
		budgets.pending[key] = map[string]settlement{}
	}
	budgets.pending[key][attempt] = settlement{spent, runner}
	budgets.mu.Unlock()
	if !first {
		return
	}
	budgets.background.Go(func() {
		// One that waits already takes this along.
		for try := 0; try < 60; try++ {
			if try == 0 {
				loop.Wait(budgets.background.Ctx, budgets.params.CommitDelay)
			}
			budgets.mu.Lock()
			unwritten := len(budgets.pending[key])
			budgets.mu.Unlock()
			if unwritten == 0 {
				return
			}
			ctx, stop := context.WithTimeout(context.WithoutCancel(budgets.background.Ctx), budgets.params.WriteTimeout)
			_, err := budgets.change(ctx, key, func(*budget.Value) error { return nil })
			stop()
			if err != nil && !loop.Wait(budgets.background.Ctx, 250*time.Millisecond) {
				return
			}
		}
	})
}

// Do is the policy.
func (budgets *Budgets) Do(j *Job, response *Response, next Next) Answer {
	if j.Program == "" || j.TokenBudget <= 0 || j.MaxOutputTokens <= 0 {
		return next(j, response)
	}
	ctx, stop := context.WithTimeout(j, min(budgets.params.ReadTimeout, j.TimeLeft()))
	mayBeReserved := false // one of the tries may have reserved it
	err := retryAtStores(ctx, func() error {
		err := budgets.Reserve(ctx, j)
		mayBeReserved = mayBeReserved || code.Of(err) == code.OutcomeUnknown
		return err
	})
	stop()
	if err != nil && mayBeReserved {
		// Perhaps it is reserved; nothing was sent, so it is handed back.
		budgets.Commit(budgetKey(j), j.Attempt, 0, "")
	}
	switch {
	case code.Of(err) == code.OutcomeUnknown:
		return Refuse(
			code.New(code.StoresUnreachable, "the budget could not be reserved: %w", err),
			200*time.Millisecond,
		)
	case err != nil:
		return Refuse(err, 200*time.Millisecond)
	}
	answer := next(j, response)
	// What the caller was handed, whatever became of the rest.
	budgets.Commit(budgetKey(j), j.Attempt, int64(response.Events())*j.tokensPerEvent(), response.runner)
	return answer
}
