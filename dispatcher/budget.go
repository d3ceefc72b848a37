package dispatcher

import "sync/atomic"

const (
	creditPerRetry     = 1000                // Credit consumed by one retry.
	creditPerSuccess   = creditPerRetry / 10 // Credit added by each success: a tenth of a retry.
	maxCredit          = 20 * creditPerRetry // Most credit that can accumulate: 20 retries.
	initialCredit      = maxCredit / 2       // Credit of a new budget: 10 retries.
	insufficientCredit = creditPerRetry - 1  // Highest credit that is too small for a retry.
)

// RetryBudget limits retries to a tenth of recent successes, so that retries during
// an outage do not overload the remaining upstreams.
type RetryBudget struct {
	credit atomic.Int64
}

// NewRetryBudget returns a budget with credit for ten retries.
func NewRetryBudget() *RetryBudget {
	b := &RetryBudget{}
	b.credit.Store(initialCredit)
	return b
}

// Deposit adds the credit for one successful request.
func (b *RetryBudget) Deposit() {
	if b.credit.Add(creditPerSuccess) > maxCredit {
		b.credit.Store(maxCredit)
	}
}

// Withdraw consumes the credit for one retry. It returns false, and consumes
// nothing, when the remaining credit is insufficient.
func (b *RetryBudget) Withdraw() bool {
	for {
		n := b.credit.Load()
		if n <= insufficientCredit {
			return false
		}
		if b.credit.CompareAndSwap(n, n-creditPerRetry) {
			return true
		}
	}
}
