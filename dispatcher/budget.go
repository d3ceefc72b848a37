package dispatcher

import "sync/atomic"

const (
	budgetUnit      = 1000            // One retry.
	budgetPerCall   = budgetUnit / 10 // What one success adds: a tenth of a retry.
	budgetMost      = 20 * budgetUnit // Most retries that can be saved up.
	budgetAtOutset  = budgetMost / 2  // What a new instance starts with.
	budgetExhausted = budgetUnit - 1  // Below one retry nothing can be taken.
)

// Budget limits retries to a tenth of recent successes, so that an outage of
// upstreams does not multiply the load on those that are left.
type Budget struct {
	left atomic.Int64
}

// NewBudget returns a budget that allows a few retries at once.
func NewBudget() *Budget {
	b := &Budget{}
	b.left.Store(budgetAtOutset)
	return b
}

// Success adds a part of a retry.
func (b *Budget) Success() {
	if b.left.Add(budgetPerCall) > budgetMost {
		b.left.Store(budgetMost)
	}
}

// Take takes one retry; it returns false when the budget is used up.
func (b *Budget) Take() bool {
	for {
		n := b.left.Load()
		if n <= budgetExhausted {
			return false
		}
		if b.left.CompareAndSwap(n, n-budgetUnit) {
			return true
		}
	}
}
