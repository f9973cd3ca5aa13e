package balance

import (
	"slices"
	"time"

	"github.com/shelfshelf/shelfshelf"
)

const (
	// maxObservations bounds the observations kept for the next status message.
	maxObservations = 64
	// observationTTL is how long an observation made in this data centre takes precedence over
	// those of other data centres and is included in digests.
	observationTTL = 5 * time.Second
)

// recordPrefillRate records an observed prefill rate of a target. The caller must hold b.mu.
func (b *Balancer) recordPrefillRate(t *targetState, rate float64, now time.Time) {
	if !b.current(t) {
		return
	}
	t.updatePrefillRate(rate, now)
	b.appendObservation(shelfshelf.TargetSpeed{Target: t.key, PrefillRate: rate})
}

// recordStep records an observed time per output token of a target. The caller must hold b.mu.
func (b *Balancer) recordStep(t *targetState, step time.Duration, now time.Time) {
	if !b.current(t) {
		return
	}
	t.updateStep(step, now)
	b.appendObservation(shelfshelf.TargetSpeed{Target: t.key, Step: step})
}

// current reports whether a target is listed and has not restarted. Observations of a previous
// incarnation don't apply to the next one. The caller must hold b.mu.
func (b *Balancer) current(t *targetState) bool { return b.targetsByKey[t.key] == t }

// appendObservation keeps an observation for the next status. The caller must hold b.mu.
func (b *Balancer) appendObservation(speed shelfshelf.TargetSpeed) {
	if len(b.observations) < maxObservations {
		b.observations = append(b.observations, speed)
	}
}

func (t *targetState) updatePrefillRate(rate float64, now time.Time) {
	t.prefillRate = updateMean(t.prefillRate, rate)
	t.rateAt = now
}

func (t *targetState) updateStep(step time.Duration, now time.Time) {
	t.step = time.Duration(updateMean(float64(t.step), float64(step)))
	t.stepAt = now
}

// Observations returns the observations of this instance since the last call.
func (b *Balancer) Observations() []shelfshelf.TargetSpeed {
	b.mu.Lock()
	defer b.mu.Unlock()
	observations := slices.Clone(b.observations)
	b.observations = b.observations[:0]
	return observations
}

// ApplySpeeds records observations of another instance of this data centre, as if this instance had
// made them.
func (b *Balancer) ApplySpeeds(speeds []shelfshelf.TargetSpeed) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock.Now()
	for _, speed := range speeds {
		t := b.targetsByKey[speed.Target]
		if t == nil {
			continue
		}
		if speed.PrefillRate > 0 {
			t.updatePrefillRate(speed.PrefillRate, now)
		}
		if speed.Step > 0 {
			t.updateStep(speed.Step, now)
		}
	}
}

// Speeds returns the recent observations of this data centre.
func (b *Balancer) Speeds() []shelfshelf.TargetSpeed {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock.Now()
	var speeds []shelfshelf.TargetSpeed
	for key, t := range b.targetsByKey {
		speed := shelfshelf.TargetSpeed{Target: key}
		if now.Sub(t.rateAt) < observationTTL {
			speed.PrefillRate = t.prefillRate
		}
		if now.Sub(t.stepAt) < observationTTL {
			speed.Step = t.step
		}
		if speed.PrefillRate > 0 || speed.Step > 0 {
			speeds = append(speeds, speed)
		}
	}
	return speeds
}

// mergeRemoteSpeeds uses another data centre's observations for targets that this one has not
// observed recently. They don't count as recent observations here; otherwise two data centres would
// report them to each other forever. The caller must hold b.mu.
func (b *Balancer) mergeRemoteSpeeds(speeds []shelfshelf.TargetSpeed, now time.Time) {
	for _, speed := range speeds {
		t := b.targetsByKey[speed.Target]
		if t == nil {
			continue
		}
		if speed.PrefillRate > 0 && now.Sub(t.rateAt) > observationTTL {
			t.prefillRate = speed.PrefillRate
			t.rateAt = now.Add(-observationTTL)
		}
		if speed.Step > 0 && now.Sub(t.stepAt) > observationTTL {
			t.step = speed.Step
			t.stepAt = now.Add(-observationTTL)
		}
	}
}
