package forwarder

import "sync"

const (
	budgetShare = 10   // one retry for this many calls
	budgetStart = 10   // retries allowed before any call has earned one
	budgetMost  = 1000 // in tenths of a retry; bounds the burst after a long time without failures
)

// budget limits the retries of one service to a tenth of its calls plus budgetStart, so that retries cannot multiply
// the load of an overloaded service.
type budget struct {
	mu     sync.Mutex
	tenths int
}

func newBudget() *budget {
	return &budget{tenths: budgetStart * budgetShare}
}

// earn counts one call.
func (b *budget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tenths = min(b.tenths+1, budgetMost)
}

// take reports whether a retry is allowed and counts it.
func (b *budget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tenths < budgetShare {
		return false
	}
	b.tenths -= budgetShare
	return true
}

// refund gives back a retry that was not sent.
func (b *budget) refund() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tenths = min(b.tenths+budgetShare, budgetMost)
}

// budgets holds one budget for each service, so that a failing service leaves the retries of others alone.
type budgets struct {
	byService sync.Map // string -> *budget
}

func (b *budgets) of(service string) *budget {
	if found, ok := b.byService.Load(service); ok {
		return found.(*budget)
	}
	found, _ := b.byService.LoadOrStore(service, newBudget())
	return found.(*budget)
}
