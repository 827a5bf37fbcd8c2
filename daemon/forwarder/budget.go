package forwarder

import "sync"

const (
	callsPerRetry   = 10   // calls that earn one retry
	initialRetries  = 10   // retries available at the start
	maxBudgetTenths = 1000 // in tenths of a retry; limits the burst of retries after a long period without failures
)

// retryBudget limits how often one daemon asks further members of a service, whether these refuse the call or run it: initialRetries
// times plus once for every callsPerRetry calls. Retries that reach upstreams are limited for all daemons together by Budget.
type retryBudget struct {
	mu     sync.Mutex
	tenths int
}

func newRetryBudget() *retryBudget {
	return &retryBudget{tenths: initialRetries * callsPerRetry}
}

// deposit adds a tenth of a retry for one call.
func (b *retryBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tenths = min(b.tenths+1, maxBudgetTenths)
}

// tryWithdraw reports whether a retry is allowed and, if so, takes it from the budget.
func (b *retryBudget) tryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tenths < callsPerRetry {
		return false
	}
	b.tenths -= callsPerRetry
	return true
}

// refund returns a retry that was withdrawn but not sent.
func (b *retryBudget) refund() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tenths = min(b.tenths+callsPerRetry, maxBudgetTenths)
}

// retryBudgets holds one budget per service, so that a failing service does not use up the retries of others.
type retryBudgets struct {
	byService sync.Map // service name -> *retryBudget
}

func (b *retryBudgets) forService(service string) *retryBudget {
	if found, ok := b.byService.Load(service); ok {
		return found.(*retryBudget)
	}
	found, _ := b.byService.LoadOrStore(service, newRetryBudget())
	return found.(*retryBudget)
}
