package attempt

import "sync"

// BudgetOptions are the settings of a Budget.
type BudgetOptions struct {
	// Share is the number of retries earned by each successful request. Default: 0.1.
	Share float64
	// Initial is the number of retries available before any success; negative for none.
	// Default: 10.
	Initial float64
	// Max is the most retries that can accumulate. Default: 100.
	Max float64
}

// Budget limits retries and hedges to a share of the successful requests, so that they
// can't multiply the load of a failing service. The requests of a service share one
// Budget; it is safe for concurrent use.
type Budget struct {
	share float64

	mu struct {
		sync.Mutex
		available, max float64
	}
}

// NewBudget returns a Budget with defaults for the zero fields of o.
func NewBudget(o BudgetOptions) *Budget {
	if o.Share == 0 {
		o.Share = 0.1
	}
	if o.Initial == 0 {
		o.Initial = 10
	}
	if o.Max == 0 {
		o.Max = 100
	}
	b := &Budget{share: o.Share}
	b.mu.max = o.Max
	b.mu.available = max(min(o.Initial, o.Max), 0)
	return b
}

// SetMax sets the most retries that can accumulate. It changes with the number of budgets
// that share one limit.
func (b *Budget) SetMax(limit float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.mu.max = limit
	b.mu.available = min(b.mu.available, limit)
}

// Success records a successful request, which earns Share retries.
func (b *Budget) Success() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.mu.available = min(b.mu.available+b.share, b.mu.max)
}

// Available returns the number of retries that may be taken now.
func (b *Budget) Available() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.mu.available
}

// Return gives back a retry that was taken and not used.
func (b *Budget) Return() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.mu.available = min(b.mu.available+1, b.mu.max)
}

// Take consumes one retry and reports whether one was available.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.mu.available < 1 {
		return false
	}
	b.mu.available--
	return true
}
