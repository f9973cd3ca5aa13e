package slots

import (
	"time"
)

const (
	// minBackoff and maxBackoff bound how long a target gets no requests after a holder could not
	// reach it. The backoff doubles whenever the probe (the first request after it) fails too.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 2 * time.Second
	// probeTimeout is the time within which the failure of a probe must be reported; a probe
	// without a report by then counts as successful. Connecting to a machine that is powered off is
	// abandoned after 150 ms, and the report to the owner takes some more.
	probeTimeout = 200 * time.Millisecond
	// distrustPeriod is how long a holder's failure reports are ignored after another holder has
	// reached the target: the first one may be the only one cut off from it.
	distrustPeriod = 5 * time.Second
)

// backoff keeps requests away from a target that cannot be reached. It is protected by SlotTable.mu.
// Without it, each instance would find out by itself: a crashed target runs no requests, so it
// looks best to all instances, and each attempt costs a request 3 to 150 ms.
type backoff struct {
	// until is when the backoff ends, and duration how long it is; both are zero if there is none.
	until    time.Time
	duration time.Duration
	// reporter is the holder that could not reach the target; confirmed says that another holder
	// could not reach it either.
	reporter  Holder
	confirmed bool
	// probe is the first request after the backoff, admitted at probedAt.
	probe    slotKey
	probedAt time.Time
	// distrusted maps holders to the time until which their failure reports are ignored.
	distrusted map[Holder]time.Time
}

// recordUnreachable handles the report of a holder that it could not reach the target.
func (b *backoff) recordUnreachable(key slotKey, now time.Time) {
	if now.Before(b.distrusted[key.holder]) {
		return
	}
	if now.Before(b.until) {
		// This request was sent before the backoff began.
		b.confirmed = b.confirmed || key.holder != b.reporter
		return
	}
	*b = backoff{
		duration: min(max(2*b.duration, minBackoff), maxBackoff), reporter: key.holder,
		confirmed: b.duration > 0 && key.holder != b.reporter, distrusted: b.distrusted,
	}
	b.until = now.Add(b.duration)
}

// recordAnswer handles the release of a slot without a report of failure. If the slot was that of
// the probe, the backoff ends.
func (b *backoff) recordAnswer(key slotKey, now time.Time) {
	if b.duration > 0 && !b.probedAt.IsZero() && key == b.probe {
		b.end(now)
	}
}

// end ends the backoff after a successful probe. If the probe came from another holder than the
// reporter, and no other holder has failed to reach the target, the reporter is distrusted for
// distrustPeriod.
func (b *backoff) end(now time.Time) {
	distrusted := b.distrusted
	if !b.confirmed && b.probe.holder != b.reporter {
		if distrusted == nil {
			distrusted = make(map[Holder]time.Time)
		}
		distrusted[b.reporter] = now.Add(distrustPeriod)
	}
	*b = backoff{distrusted: distrusted}
}

// remaining returns how long the target may not get requests yet; 0 if it may get one now. A probe
// that has not failed within probeTimeout ends the backoff.
func (b *backoff) remaining(now time.Time) time.Duration {
	switch {
	case b.duration == 0:
		return 0
	case now.Before(b.until):
		return b.until.Sub(now)
	case b.probedAt.IsZero():
		return 0
	}
	if remaining := b.probedAt.Add(probeTimeout).Sub(now); remaining > 0 {
		return remaining
	}
	b.end(now)
	return 0
}

// admit records an admitted request; the first one after a backoff becomes the probe.
func (b *backoff) admit(key slotKey, now time.Time) {
	if b.duration > 0 && b.probedAt.IsZero() {
		b.probe, b.probedAt = key, now
	}
}
