package announced

import (
	"math"
	"time"
)

const (
	// burstDuration is how long unused tokens accumulate. With less, a target with 100 requests a
	// second would lose a send whenever none is requested within 10 ms.
	burstDuration = 250 * time.Millisecond
	// zeroRateDelay is the wait returned while the rate is 0. The rate rises when another instance
	// has become the owner, or when this one hears from the others.
	zeroRateDelay = 250 * time.Millisecond
)

// wholeToken is the least amount that counts as one token. It is a little below 1 because sums of
// fractions can fall short of 1.
const wholeToken = 1 - 1e-9

// TokenBucket is a token bucket that limits the rate of sends to a target. It starts empty: a new owner
// of the target doesn't know what was sent before, so a full bucket would allow an extra send with
// each change of owner.
type TokenBucket struct {
	// rate is in sends per second; 0 means that no send is allowed.
	rate float64
	// tokens is the number of sends available as of filledAt.
	tokens   float64
	filledAt time.Time
}

// RateForWindow returns the rate of a token bucket that allows at most perSecond sends within any second, including
// those for accumulated tokens.
func RateForWindow(perSecond float64) float64 {
	return perSecond / (1 + burstDuration.Seconds())
}

// NewTokenBucket returns a token bucket with a rate in sends per second and an initial number of tokens.
func NewTokenBucket(rate, initial float64, now time.Time) *TokenBucket {
	return &TokenBucket{rate: rate, tokens: initial, filledAt: now}
}

// SetRate sets the rate in sends per second; 0 allows no sends and removes all tokens.
func (b *TokenBucket) SetRate(rate float64, now time.Time) {
	b.refill(now)
	b.rate = rate
	b.tokens = min(b.tokens, b.capacity())
	if rate <= 0 {
		b.tokens = 0
	}
}

// Wait returns how long to wait for the next send, 0 if one is allowed now.
func (b *TokenBucket) Wait(now time.Time) time.Duration {
	b.refill(now)
	switch {
	case b.rate <= 0:
		return zeroRateDelay
	case b.tokens >= wholeToken:
		return 0
	}
	// Rounded up so that a token is available after the wait.
	return time.Duration(math.Ceil((1 - b.tokens) / b.rate * float64(time.Second)))
}

// Take uses one token. The caller must have seen Wait return 0.
func (b *TokenBucket) Take() {
	b.tokens--
}

// capacity returns the largest number of tokens that accumulate.
func (b *TokenBucket) capacity() float64 {
	return max(1, b.rate*burstDuration.Seconds())
}

func (b *TokenBucket) refill(now time.Time) {
	if elapsed := now.Sub(b.filledAt); elapsed > 0 {
		b.tokens = min(b.tokens+b.rate*elapsed.Seconds(), b.capacity())
	}
	b.filledAt = now
}
