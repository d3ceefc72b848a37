package placer

import (
	"time"

	"savoryloft.example/savoryloft"
)

// An upstream needs the whole prompt in its KV cache before the first token: it has
// cached the beginning, fetches some of the rest from another upstream that has cached
// more, and reads what is left (prefill).
const (
	maxFetchSources   = 4               // Sources that are compared for each request.
	fetchLatencyMs    = 3.0             // Of a fetch, in addition to the transfer and to the earlier transfers of the source.
	fetchNeedShare    = 0.25            // Expected delay, as a share of the request's objective, below which nothing is fetched: a transfer costs more than callers gain.
	busyStreams       = 3               // Requests that run at an upstream from which on reading there holds up too many streams.
	maxFetchShare     = 0.5             // Largest duration of a fetch, as a share of the time in which the upstream would read the same tokens.
	transferCostShare = 1.0             // Cost per ms of a fetch, in addition to the wait for it.
	fetchPause        = 3 * time.Second // For which a source is not used after a request that fetched from it has failed.
	missedFetchShare  = 0.75            // Share of the time to read the fetched tokens by which a first token is late if the source did not have them.
	maxJudgedQueue    = 0.25            // Largest queue as a share of the fetched tokens with which the time to the first token shows whether they were read.
)

// prefixPlan is how a prompt gets into the KV cache of an upstream, and the time that
// it takes. Token counts are expected values.
type prefixPlan struct {
	cached, fetched, read int // Prompt tokens; their sum is the prompt.
	source                *upstreamState
	fetchMs, readMs       float64
}

// fetchSource is an upstream from which the beginning of a prompt can be fetched.
type fetchSource struct {
	state  *upstreamState
	tokens int     // Prompt tokens that it has cached.
	waitMs float64 // Until its earlier transfers are done.
}

// prefix holds what the upstreams have cached of the prompt of one request.
type prefix struct {
	now           time.Time
	request       *Request
	sharedTokens  int                          // Prompt tokens of the shared parts.
	probability   float64                      // That the preferred upstream has cached a shared part that is not recorded for it.
	tokensPerMs   float64                      // Rate of transfers; 0 if nothing can be fetched.
	sources       [maxFetchSources]fetchSource // The best ones first.
	sourceCount   int
	soleDomain    string // Failure domain that alone has the shared parts, if a copy in another one is due.
	wholeSource   bool   // A source has cached all shared parts.
	jitterSources bool   // Instances do not know of each other's transfers, so that each prefers other sources.
}

func newPrefix(now time.Time, r *Request) prefix {
	f := prefix{now: now, request: r, sharedTokens: r.PromptTokens - r.unsharedTokens()}
	if !r.NoFetch {
		f.tokensPerMs = transferRate(r.Engine)
	}
	return f
}

// transferRate returns the number of tokens that upstreams transfer to each other per
// ms; 0 if they do not.
func transferRate(e *savoryloft.EngineTraits) float64 {
	if e == nil || e.TokenBytes <= 0 || e.LinkRate <= 0 {
		return 0
	}
	return e.LinkRate / float64(e.TokenBytes) / float64(time.Second/time.Millisecond)
}

// cachedTokens returns the number of prompt tokens that are recorded to be cached at an
// upstream. A prefix cache holds a part only together with all parts before it.
func (f *prefix) cachedTokens(s *upstreamState) int {
	tokens := 0
	for _, part := range f.request.Parts {
		cached, ok := s.cachedParts[part.ID]
		if !ok || f.now.Sub(cached.lastUsed) > cachedPartTTL {
			break
		}
		tokens += part.Tokens
	}
	return min(tokens, f.request.PromptTokens)
}

// addSource adds an upstream to the sources if tokens can be fetched from it and it is
// better than others. probability is that of a shared part that is not recorded to be
// cached all the same.
func (f *prefix) addSource(s *upstreamState, probability float64) {
	if f.tokensPerMs == 0 {
		return
	}
	tokens := s.prefixTokens
	tokens += int(float64(max(f.sharedTokens-tokens, 0)) * probability)
	if tokens == 0 || !f.canFetchFrom(s) {
		return
	}
	f.wholeSource = f.wholeSource || tokens >= f.sharedTokens
	src := fetchSource{state: s, tokens: tokens, waitMs: max(milliseconds(s.transfersUntil.Sub(f.now)), 0)}
	n := min(f.sourceCount, maxFetchSources-1)
	if f.sourceCount == maxFetchSources && !f.better(src, f.sources[n]) {
		return
	}
	for ; n > 0 && f.better(src, f.sources[n-1]); n-- {
		f.sources[n] = f.sources[n-1]
	}
	f.sources[n] = src
	f.sourceCount = min(f.sourceCount+1, maxFetchSources)
}

// canFetchFrom reports whether an upstream can be a source. One that leaves is, since
// what it has cached is about to be lost.
func (f *prefix) canFetchFrom(s *upstreamState) bool {
	u := s.upstream
	return u.Address != "" && u.WarmUp == 0 && !f.request.Exclude[u.ID] &&
		!f.now.Before(s.pausedUntil) && !f.now.Before(s.fetchPausedUntil) && !s.suspended(f.now) && s.overdueMs(f.now) == 0
}

// better reports whether a source is better than another for an upstream that has cached
// nothing.
func (f *prefix) better(a, b fetchSource) bool {
	aMs := a.waitMs - float64(a.tokens)/initialPrefillRate
	bMs := b.waitMs - float64(b.tokens)/initialPrefillRate
	if f.jitterSources && aMs == bMs {
		return a.state.jitter < b.state.jitter
	}
	return aMs < bMs
}

// plan weighs whether to read at an upstream what it has not cached of the prompt, or to
// fetch some of it from another upstream, which must clearly save time. probability is
// that of a shared part that is not recorded for the upstream to be cached all the same;
// queueMs is the wait for the prompts that are queued there, and running the requests that
// run there.
func (f *prefix) plan(s *upstreamState, probability, queueMs float64, running int) prefixPlan {
	recorded := s.prefixTokens
	p := prefixPlan{cached: recorded + int(float64(max(f.sharedTokens-recorded, 0))*probability)}
	p.read = max(f.request.PromptTokens-p.cached, 0)
	p.readMs = float64(p.read) / s.prefillRate
	all, needed := p, f.needsFetch(queueMs+p.readMs*(1+float64(running)*interferenceShare), running)
	for _, src := range f.sources[:f.sourceCount] {
		if !needed && !src.state.upstream.Draining || src.state == s || src.tokens <= recorded || src.state.upstream.Version != s.upstream.Version {
			continue
		}
		tokens := min(int(float64(src.tokens-recorded)*(1-probability)), all.read)
		savedMs := float64(tokens) / s.prefillRate
		fetchMs := src.waitMs + float64(tokens)/f.tokensPerMs + fetchLatencyMs
		if readMs := all.readMs - savedMs; fetchMs < savedMs*maxFetchShare && readMs+fetchMs < p.readMs+p.fetchMs {
			p = prefixPlan{cached: all.cached, fetched: tokens, read: all.read - tokens, source: src.state, fetchMs: fetchMs, readMs: readMs}
		}
	}
	return p
}

// needsFetch reports whether a delay, of the request and of the streams that it holds up, is
// long enough, or so many requests run at the upstream, that parts of the prompt are fetched. What an upstream holds that leaves is about to
// be lost, and is fetched in any case.
func (f *prefix) needsFetch(delayMs float64, running int) bool {
	return running >= busyStreams || delayMs >= fetchNeedShare*milliseconds(f.request.Objective)
}

// startFetch records that a run fetches prompt tokens: the transfers of a source run one
// after another.
func (p *Placer) startFetch(now time.Time, run *Run, c Choice, r Request) {
	source := p.states[c.FetchSource]
	rate := transferRate(r.Engine)
	if c.FetchFrom == "" || source == nil || rate == 0 {
		return
	}
	if now.After(source.transfersUntil) {
		source.transfersUntil = now
	}
	source.transfersUntil = source.transfersUntil.Add(time.Duration(float64(c.FetchedTokens) / rate * float64(time.Millisecond)))
	run.source, run.fetchedTokens, run.fetchMs = source, c.FetchedTokens, milliseconds(c.FetchTime)
	run.judgesFetch = r.Streaming && float64(c.QueuedTokens) <= maxJudgedQueue*float64(c.FetchedTokens)
	for _, part := range r.Parts {
		if _, ok := run.upstream.cachedParts[part.ID]; !ok {
			run.fetchedParts = append(run.fetchedParts, part.ID)
		}
	}
}

// missedFetch reports whether the upstream took as long until the first token as if it had
// read the tokens that it was to fetch.
func (r *Run) missedFetch(ms float64) bool {
	missedMs := float64(r.fetchedTokens) / r.upstream.prefillRate
	return r.source != nil && r.judgesFetch && ms > r.expectedFirstTokenMs+missedFetchShare*missedMs
}

// forgetFetched deletes the parts that the run was to fetch from the records of the
// source.
func (r *Run) forgetFetched() {
	for _, id := range r.fetchedParts {
		if cached, ok := r.source.cachedParts[id]; ok {
			r.source.cachedTokens -= cached.tokens
			delete(r.source.cachedParts, id)
		}
	}
}

// pauseSource keeps further fetches away from the source of a run that has ended without
// a first token: the source may be what it waited for.
func (r *Run) pauseSource(now time.Time, o Outcome) {
	late := milliseconds(now.Sub(r.startedAt)-firstTokenGrace) > r.expectedFirstTokenMs
	if r.source != nil && (o == Failed || o == Cancelled && late) {
		r.source.fetchPausedUntil = now.Add(fetchPause)
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
