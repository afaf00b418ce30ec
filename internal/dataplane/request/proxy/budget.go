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
	spent int64
	home  string // empty: it says nothing
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
func NewBudgets(p BudgetParams, t *storeclient.Client, bg job.Background) *Budgets {
	c := &Budgets{stores: t, params: p, background: bg, pending: map[string]map[string]settlement{}}
	for i := range c.locks {
		c.locks[i] = make(chan struct{}, 1)
		c.locks[i] <- struct{}{}
	}
	return c
}

func readBudget(st register.State) (budget.Value, error) {
	var v budget.Value
	if len(st.Value) == 0 {
		return v, nil
	}
	if err := json.Unmarshal(st.Value, &v); err != nil {
		return v, code.New(code.Garbled, "budget: %w", err)
	}
	return v, nil
}

func budgetKey(j *Job) string { return keys.ProxyBudget(j.TenantName(), j.Program) }

// change makes f's change of a program's budget together with the settlements due.
func (p *Budgets) change(ctx context.Context, key string, f func(*budget.Value) error) (budget.Value, error) {
	// Nobody waits for his turn longer than for the change itself.
	l := p.locks[weigh(key, "")%uint64(len(p.locks))]
	if !loop.Until(ctx, l) {
		return budget.Value{}, code.New(
			code.StoresUnreachable,
			"other changes of budgets are under way: %w",
			ctx.Err(),
		)
	}
	defer func() { l <- struct{}{} }()
	p.mu.Lock()
	due := map[string]settlement{}
	for k, n := range p.pending[key] {
		due[k] = n
	}
	p.mu.Unlock()
	st, err := p.stores.Change(ctx, key, func(st register.State) ([]byte, bool, error) {
		v, err := readBudget(st)
		if err != nil {
			return nil, false, err
		}
		for id, n := range due {
			v.Settle(id, n.spent)
			if n.home != "" {
				v.LastRunner = n.home
			}
		}
		if err := f(&v); err != nil {
			return nil, false, err
		}
		b, err := json.Marshal(v)
		return b, false, err
	})
	if err != nil {
		return budget.Value{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for id := range due {
		delete(p.pending[key], id)
	}
	if len(p.pending[key]) == 0 {
		delete(p.pending, key)
	}
	return readBudget(st)
}

// Reserve sets the most that a job may put out aside, or says that the budget
// does not hold it.
func (p *Budgets) Reserve(ctx context.Context, j *Job) error {
	v, err := p.change(ctx, budgetKey(j), func(v *budget.Value) error {
		if _, ok := v.Open[j.Attempt]; ok {
			return nil
		}
		if v.Used()+j.MaxOutputTokens > j.TokenBudget {
			return code.New(
				code.BudgetSpent,
				"%d of %d are spent or reserved, the turn may put out %d",
				v.Used(),
				j.TokenBudget,
				j.MaxOutputTokens,
			)
		}
		return v.Reserve(j.Attempt, j.MaxOutputTokens, j.TokenBudget)
	})
	if err == nil {
		j.PreviousRunner, j.BudgetReserved = v.LastRunner, true
	}
	return err
}

// Commit writes down, under the key of a budget, what a turn put out, with the program's next turn or soon.
func (p *Budgets) Commit(key, try string, spent int64, home string) {
	p.mu.Lock()
	first := p.pending[key] == nil
	if first {
		p.pending[key] = map[string]settlement{}
	}
	p.pending[key][try] = settlement{spent, home}
	p.mu.Unlock()
	if !first {
		return
	}
	p.background.Go(func() {
		// One that waits already takes this along.
		for try := 0; try < 60; try++ {
			if try == 0 {
				loop.Wait(p.background.Ctx, p.params.CommitDelay)
			}
			p.mu.Lock()
			n := len(p.pending[key])
			p.mu.Unlock()
			if n == 0 {
				return
			}
			ctx, stop := context.WithTimeout(context.WithoutCancel(p.background.Ctx), p.params.WriteTimeout)
			_, err := p.change(ctx, key, func(*budget.Value) error { return nil })
			stop()
			if err != nil && !loop.Wait(p.background.Ctx, 250*time.Millisecond) {
				return
			}
		}
	})
}

// Do is the policy.
func (p *Budgets) Do(j *Job, w *Response, next Next) Answer {
	if j.Program == "" || j.TokenBudget <= 0 || j.MaxOutputTokens <= 0 {
		return next(j, w)
	}
	ctx, stop := context.WithTimeout(j, min(p.params.ReadTimeout, j.TimeLeft()))
	unsure := false // one of the tries may have reserved it
	err := retryAtStores(ctx, func() error {
		err := p.Reserve(ctx, j)
		unsure = unsure || code.Of(err) == code.OutcomeUnknown
		return err
	})
	stop()
	if err != nil && unsure {
		// Perhaps it is reserved; nothing was sent, so it is handed back.
		p.Commit(budgetKey(j), j.Attempt, 0, "")
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
	a := next(j, w)
	// What the caller was handed, whatever became of the rest.
	p.Commit(budgetKey(j), j.Attempt, int64(w.Events())*j.perEvent(), w.runner)
	return a
}
