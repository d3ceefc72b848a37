package dispatcher

import (
	"math"
	"sync"
	"sync/atomic"
)

const (
	firstEstimate     = 128 // Tokens assumed for a route and account not seen yet.
	estimateSmoothing = 0.1
)

// estimator learns the output length of requests by route and client account.
type estimator struct {
	means sync.Map // Of *atomic.Uint64 with the bits of a float64, by estimateKey.
}

type estimateKey struct {
	route   string
	account string
}

func (e *estimator) tokens(route, account string) int {
	v, ok := e.means.Load(estimateKey{route, account})
	if !ok {
		return firstEstimate
	}
	return int(math.Float64frombits(v.(*atomic.Uint64).Load()))
}

// learn adds an observed length. Of two observations at once one may be lost,
// which a moving average can bear.
func (e *estimator) learn(route, account string, tokens int) {
	v, ok := e.means.Load(estimateKey{route, account})
	if !ok {
		first := &atomic.Uint64{}
		first.Store(math.Float64bits(float64(tokens)))
		e.means.LoadOrStore(estimateKey{route, account}, first)
		return
	}
	mean := v.(*atomic.Uint64)
	old := math.Float64frombits(mean.Load())
	mean.Store(math.Float64bits(old + estimateSmoothing*(float64(tokens)-old)))
}
