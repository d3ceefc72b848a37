package dispatcher

import (
	"math"
	"sync"
	"sync/atomic"
)

const (
	initialEstimate   = 128 // Tokens assumed before the first observation.
	estimateSmoothing = 0.1 // Weight of a new observation in the moving average.
)

// estimator estimates the number of prompt and output tokens of a request, as a
// moving average for each route and client account.
type estimator struct {
	means sync.Map // *atomic.Uint64 with the bits of a float64, by estimateKey.
}

type estimateKey struct {
	route   string
	account string
}

// tokens returns the estimated number of tokens of the next request.
func (e *estimator) tokens(route, account string) int {
	v, ok := e.means.Load(estimateKey{route, account})
	if !ok {
		return initialEstimate
	}
	return int(math.Float64frombits(v.(*atomic.Uint64).Load()))
}

// observe adds the token count of a finished request. Concurrent updates may
// overwrite each other; losing an observation is acceptable in a moving average.
func (e *estimator) observe(route, account string, tokens int) {
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
