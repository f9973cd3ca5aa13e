package slots

import (
	"time"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/announced"
)

// scheduleOpening sets nextOpening to the time at which the gate of a target with queued requests
// opens, if that is earlier. The caller must hold t.mu.
func (t *SlotTable) scheduleOpening(s *targetState, now time.Time) {
	if s.gate == nil {
		return
	}
	left := s.gate.Wait(now)
	at := now.Add(left)
	if left <= 0 || !t.nextOpening.IsZero() && !at.Before(t.nextOpening) {
		return
	}
	t.nextOpening = at
	select {
	case t.openingChannel() <- struct{}{}:
	default:
	}
}

// openingChannel returns the channel that signals an earlier nextOpening. The caller must hold
// t.mu.
func (t *SlotTable) openingChannel() chan struct{} {
	if t.openingChanged == nil {
		t.openingChanged = make(chan struct{}, 1)
	}
	return t.openingChanged
}

// NextGateOpening returns the earliest time at which the gate of a target with queued requests opens, or
// zero if there is none, and a channel that signals an earlier one.
func (t *SlotTable) NextGateOpening() (time.Time, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.nextOpening, t.openingChannel()
}

// GrantOpened grants slots to the queued requests of targets whose gates have opened.
func (t *SlotTable) GrantOpened() {
	t.mu.Lock()
	now := t.Clock.Now()
	t.nextOpening = time.Time{}
	var grants []grant
	for target, s := range t.targets {
		if s.gate != nil && len(s.queue.requests) > 0 {
			grants = append(grants, t.grantQueued(target, s, now)...)
		}
	}
	t.mu.Unlock()
	t.sendGrants(grants)
}

// updateGate creates, updates or removes the gate of a target according to its rate limit. The
// caller must hold t.mu.
func (t *SlotTable) updateGate(target shelfshelf.TargetKey, s *targetState, now time.Time) {
	if t.RateLimit == nil {
		return
	}
	rateLimit := t.RateLimit(target)
	if !rateLimit.Limited {
		s.gate = nil
		return
	}
	if s.gate == nil {
		s.gate = announced.NewTokenBucket(rateLimit.PerSecond, rateLimit.InitialBurst, now)
	}
	s.gate.SetRate(rateLimit.PerSecond, now)
}
