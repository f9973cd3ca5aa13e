package balance

import (
	"slices"
	"time"

	"github.com/shelfshelf/shelfshelf"
)

const (
	// maxObservations bounds what is kept for the next status.
	maxObservations = 64
	// freshObservation is how old an observation of this data centre's own may be to go
	// before another's word, and into its digests.
	freshObservation = 5 * time.Second
)

// observeRate learns how fast a target reads; the lock is held.
func (b *Balancer) observeRate(t *targetState, rate float64, now time.Time) {
	if !b.current(t) {
		return
	}
	t.learnRate(rate, now)
	b.keepObservation(shelfshelf.TargetSpeed{Target: t.key, PrefillRate: rate})
}

// observeStep learns how fast a target writes; the lock is held.
func (b *Balancer) observeStep(t *targetState, step time.Duration, now time.Time) {
	if !b.current(t) {
		return
	}
	t.learnStep(step, now)
	b.keepObservation(shelfshelf.TargetSpeed{Target: t.key, Step: step})
}

// current reports that a target has not gone or started again since: what an earlier life
// did teaches nothing of the one under its name. The lock is held.
func (b *Balancer) current(t *targetState) bool { return b.keys[t.key] == t }

func (b *Balancer) keepObservation(speed shelfshelf.TargetSpeed) {
	if len(b.observations) < maxObservations {
		b.observations = append(b.observations, speed)
	}
}

func (t *targetState) learnRate(rate float64, now time.Time) {
	t.prefillRate = learn(t.prefillRate, rate)
	t.rateAt = now
}

func (t *targetState) learnStep(step time.Duration, now time.Time) {
	t.step = time.Duration(learn(float64(t.step), float64(step)))
	t.stepAt = now
}

// Observations returns what was observed here since the last call.
func (b *Balancer) Observations() []shelfshelf.TargetSpeed {
	b.mu.Lock()
	defer b.mu.Unlock()
	observations := slices.Clone(b.observations)
	b.observations = b.observations[:0]
	return observations
}

// HeardSpeeds learns from observations of another instance of this data centre as
// from its own.
func (b *Balancer) HeardSpeeds(speeds []shelfshelf.TargetSpeed) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock.Now()
	for _, speed := range speeds {
		t := b.keys[speed.Target]
		if t == nil {
			continue
		}
		if speed.PrefillRate > 0 {
			t.learnRate(speed.PrefillRate, now)
		}
		if speed.Step > 0 {
			t.learnStep(speed.Step, now)
		}
	}
}

// Speeds returns what this data centre has observed lately.
func (b *Balancer) Speeds() []shelfshelf.TargetSpeed {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock.Now()
	var speeds []shelfshelf.TargetSpeed
	for key, t := range b.keys {
		speed := shelfshelf.TargetSpeed{Target: key}
		if now.Sub(t.rateAt) < freshObservation {
			speed.PrefillRate = t.prefillRate
		}
		if now.Sub(t.stepAt) < freshObservation {
			speed.Step = t.step
		}
		if speed.PrefillRate > 0 || speed.Step > 0 {
			speeds = append(speeds, speed)
		}
	}
	return speeds
}

// takeSpeeds takes another data centre's word where this one has seen nothing
// lately; the lock is held. Such a word does not count as an observation here, or
// two data centres would tell it to each other for ever.
func (b *Balancer) takeSpeeds(speeds []shelfshelf.TargetSpeed, now time.Time) {
	for _, speed := range speeds {
		t := b.keys[speed.Target]
		if t == nil {
			continue
		}
		if speed.PrefillRate > 0 && now.Sub(t.rateAt) > freshObservation {
			t.prefillRate = speed.PrefillRate
			t.rateAt = now.Add(-freshObservation)
		}
		if speed.Step > 0 && now.Sub(t.stepAt) > freshObservation {
			t.step = speed.Step
			t.stepAt = now.Add(-freshObservation)
		}
	}
}
