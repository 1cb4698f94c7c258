package attempt

import "sync"

// BudgetOptions are the settings of a Budget.
type BudgetOptions struct {
	// Share of retries for each success. Default: 0.1.
	Share float64
	// Initial retries before any success; negative for none. Default: 10.
	Initial float64
	// Max bounds the retries saved up. Default: 100.
	Max float64
}

// Budget bounds retries and hedges to a share of successes, so that they can't
// multiply the load of a service that fails. Requests share it; it is safe for
// concurrent use.
type Budget struct {
	share float64

	mu struct {
		sync.Mutex
		saved, max float64
	}
}

// NewBudget returns a budget.
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
	b.mu.saved = max(min(o.Initial, o.Max), 0)
	return b
}

// Bound sets the most that may be saved up, as the number of those changes that share
// a bound.
func (b *Budget) Bound(most float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.mu.max = most
	b.mu.saved = min(b.mu.saved, most)
}

// Success counts a request that succeeded.
func (b *Budget) Success() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.mu.saved = min(b.mu.saved+b.share, b.mu.max)
}

// Take takes one retry where there is one.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.mu.saved < 1 {
		return false
	}
	b.mu.saved--
	return true
}
