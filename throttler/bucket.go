package throttler

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	burstTime = 250 * time.Millisecond // A bucket holds the tokens of this time, and at least one.
	// minorityFactor is applied to the rate of a share of less than a half. Many such
	// shares are handed out without coordination, and chance makes some coincide.
	minorityFactor = 0.5
)

// bucket holds the tokens for one upstream.
type bucket struct {
	limit  float64 // Of the upstream, for all shares together.
	rate   float64 // Tokens a second.
	size   float64 // Tokens that it holds at most.
	tokens float64
	at     time.Time // As of which tokens holds.
	// lifetime is the time for which a whole token can be used if this instance has only a
	// share of the limit; 0 for any time. Otherwise the unused tokens of many shares could
	// be used all at once.
	lifetime time.Duration
	fullAt   time.Time // Since when there is a whole token.
}

// newBucket returns an empty bucket, or one with a random part of a token for a share of
// the limit, so that shares do not get their tokens all at once.
func newBucket(limit, share float64, at time.Time) *bucket {
	b := &bucket{at: at}
	b.setLimit(limit, share)
	if b.lifetime > 0 {
		b.tokens = rand.Float64()
	}
	return b
}

// setLimit sets the rate and the size for a share of a limit.
func (b *bucket) setLimit(limit, share float64) {
	b.limit = limit
	limit = max(limit, minRate)
	b.rate, b.size, b.lifetime = limit*share, max(1, limit*burstTime.Seconds()), 0
	if share < 1 {
		b.size, b.lifetime = max(1, limit*share*burstTime.Seconds()), duration(1/limit)
	}
	if share < 0.5 {
		b.rate *= minorityFactor
	}
	if b.tokens = min(b.tokens, b.size); b.tokens >= 1 {
		b.fullAt = b.at
	}
}

// advance adds the tokens since the last call.
func (b *bucket) advance(now time.Time) {
	elapsed := now.Sub(b.at)
	if elapsed <= 0 {
		return
	}
	if b.lifetime > 0 && b.size == 1 {
		b.advanceShare(now)
		return
	}
	b.tokens, b.at = min(b.tokens+b.rate*elapsed.Seconds(), b.size), now
}

// advanceShare adds to a bucket of one token, which expires after lifetime.
func (b *bucket) advanceShare(now time.Time) {
	if b.tokens < 1 {
		b.fullAt = b.at.Add(duration((1 - b.tokens) / b.rate))
	}
	b.at = now
	sinceFull := now.Sub(b.fullAt)
	if sinceFull < 0 {
		b.tokens = max(1+b.rate*sinceFull.Seconds(), 0)
		return
	}
	cycle := b.lifetime + duration(1/b.rate)
	b.fullAt = b.fullAt.Add(sinceFull / cycle * cycle)
	if sinceFull %= cycle; sinceFull <= b.lifetime {
		b.tokens = 1
		return
	}
	b.tokens = min(b.rate*(sinceFull-b.lifetime).Seconds(), math.Nextafter(1, 0))
}

// take takes a token if there is one.
func (b *bucket) take(now time.Time) bool {
	b.advance(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// untilToken returns the time until there is a token.
func (b *bucket) untilToken(now time.Time) time.Duration {
	b.advance(now)
	if b.tokens >= 1 {
		return 0
	}
	return duration((1 - b.tokens) / b.rate)
}

// duration converts seconds, rounded up.
func duration(seconds float64) time.Duration {
	if seconds > math.MaxInt32 {
		seconds = math.MaxInt32
	}
	return time.Duration(math.Ceil(seconds * float64(time.Second)))
}
