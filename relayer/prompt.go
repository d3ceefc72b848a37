package relayer

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"savoryloft.example/savoryloft/observer"
	"savoryloft.example/savoryloft/placer"
)

// Outcomes of the fetch of prompt parts from another upstream, as names of metrics.
const (
	fetchDone    = "done"
	fetchMissed  = "missed"  // The upstream took as long as if it had read the parts.
	fetchRefused = "refused" // The upstream refused the request.
	fetchFailed  = "failed"  // No first event arrived, or the upstream failed the request.
	fetchEnded   = "ended"   // The client has left, or the deadline has passed, before the first event.
)

// recordFirstToken records that the prompt is read, and counts where its tokens came from.
func (a *attempt) recordFirstToken(now time.Time) {
	missed := a.run.RecordFirstToken(now)
	a.promptRead = true
	c, prompt := a.choice, a.exchange.call.PromptTokens
	if prompt == 0 {
		return
	}
	read, fetched := c.UncachedTokens, c.FetchedTokens
	if missed {
		a.countFetch(fetchMissed)
		read, fetched = read+fetched, 0
	} else {
		a.countFetch(fetchDone)
		if c.Copies {
			metrics.GetOrRegisterCounter("prompt_copies_total", a.exchange.relayer.Metrics).Inc(1)
		}
	}
	a.countTokens("read", read)
	a.countTokens("fetched", fetched)
	a.countTokens("cached", max(prompt-read-fetched, 0))
	if fetched > 0 {
		observer.ObserveMilliseconds(a.exchange.relayer.Metrics, "fetch_first_event_ms", now.Sub(a.sentAt))
	}
}

// countTokens counts prompt tokens by the class of the prompt and by where they came from.
func (a *attempt) countTokens(origin string, n int) {
	metrics.GetOrRegisterCounter("prompt_tokens_total."+placer.PromptClass(a.exchange.call.PromptTokens)+"."+origin, a.exchange.relayer.Metrics).Inc(int64(n))
}

// countFetch counts the outcome of the attempt's fetch, if it has one.
func (a *attempt) countFetch(outcome string) {
	if a.choice.FetchFrom != "" {
		metrics.GetOrRegisterCounter("prompt_fetches_total."+outcome, a.exchange.relayer.Metrics).Inc(1)
	}
}

// countFailedFetch counts a fetch whose attempt has ended before the prompt was read, and lets
// the next attempts read the prompt instead.
func (a *attempt) countFailedFetch(e execution) {
	if a.choice.FetchFrom == "" || e != maybeExecuted || a.promptRead {
		return
	}
	a.exchange.fetchFailed = true
	if a.exchange.ctx.Err() != nil {
		a.countFetch(fetchEnded)
		return
	}
	a.countFetch(fetchFailed)
}
