package places

import (
	"time"
)

const (
	// firstRest and lastRest bound how long an engine rests that a holder could not reach;
	// it doubles while the first request after it fails too.
	firstRest = 250 * time.Millisecond
	lastRest  = 2 * time.Second
	// probeTime is how long the first request after a rest has to fail: a connection to an
	// engine without power is given up after 150 ms, and the word of it takes some more.
	probeTime = 200 * time.Millisecond
	// doubtTime is how long a holder's word counts for nothing after another one has
	// reached the engine: it may be cut off from it alone.
	doubtTime = 5 * time.Second
)

// rest keeps requests away from an engine that can't be reached. Without it, each
// instance finds out by itself: an engine that has crashed has no requests, so that it
// looks best to all of them, and each try costs a request 3 to 150 ms.
type rest struct {
	// until is the end of the rest, and length how long it is; zero if there is none.
	until  time.Time
	length time.Duration
	// by is who could not reach the engine, and confirmed says that another one couldn't
	// either.
	by        Holder
	confirmed bool
	// probe is the first request after the rest, let through at probedAt.
	probe    placeKey
	probedAt time.Time
	// doubted are holders whose word counts for nothing until an instant.
	doubted map[Holder]time.Time
}

// failed takes a holder's word that it could not reach the engine.
func (r *rest) failed(key placeKey, now time.Time) {
	if now.Before(r.doubted[key.holder]) {
		return
	}
	if now.Before(r.until) {
		// Requests that were on their way when the rest began.
		r.confirmed = r.confirmed || key.holder != r.by
		return
	}
	*r = rest{
		length: min(max(2*r.length, firstRest), lastRest), by: key.holder,
		confirmed: r.length > 0 && key.holder != r.by, doubted: r.doubted,
	}
	r.until = now.Add(r.length)
}

// reached notes that a holder has had an answer of the engine.
func (r *rest) reached(key placeKey, now time.Time) {
	if r.length > 0 && !r.probedAt.IsZero() && key == r.probe {
		r.end(now)
	}
}

// end ends the rest. Who alone could not reach the engine, while another one could, is
// doubted for some time.
func (r *rest) end(now time.Time) {
	doubted := r.doubted
	if !r.confirmed && r.probe.holder != r.by {
		if doubted == nil {
			doubted = make(map[Holder]time.Time)
		}
		doubted[r.by] = now.Add(doubtTime)
	}
	*r = rest{doubted: doubted}
}

// left returns how long the engine takes no request of a holder yet; 0 if it may take one
// now.
func (r *rest) left(now time.Time) time.Duration {
	switch {
	case r.length == 0:
		return 0
	case now.Before(r.until):
		return r.until.Sub(now)
	case r.probedAt.IsZero():
		return 0
	}
	if left := r.probedAt.Add(probeTime).Sub(now); left > 0 {
		return left
	}
	r.end(now)
	return 0
}

// let notes that a request is let through; the first one after a rest is the probe.
func (r *rest) let(key placeKey, now time.Time) {
	if r.length > 0 && r.probedAt.IsZero() {
		r.probe, r.probedAt = key, now
	}
}
