package crashes

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shelfshelf/shelfshelf"
)

const (
	// firstHold is how long a request is held back after the last target that ended under
	// it; it doubles with each further one, up to longestHold. One that was only unlucky is
	// served again then, and one that is not costs a target each time.
	firstHold   = 10 * time.Minute
	longestHold = 24 * time.Hour
	// tryTime is how long the one request that is let through after a hold has to end or
	// outlive its target, before another one is.
	tryTime = 30 * time.Second
)

// Hold is why a request is held back.
type Hold struct {
	// Ends is how many targets have ended under it.
	Ends int
	// Left is how much longer it is held back.
	Left time.Duration
}

// try is the request that was let through at the end of a hold.
type try struct {
	id shelfshelf.RequestID
	at time.Time
}

// Held reports that a request must not be sent to a target, and why. At the end of a hold
// one of its tries is let through, and by one instance after the other: they have told each
// other of what it did long before the next one's time has come.
func (r *Record) Held(request shelfshelf.Fingerprint, id shelfshelf.RequestID) (Hold, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.judged[request]
	if !v.held() {
		return Hold{}, false
	}
	now := r.Clock.Now()
	if left := v.last.Add(holdFor(v) + r.turn(request, v)).Sub(now); left > 0 {
		return Hold{Ends: v.ends, Left: left}, true
	}
	t, tried := r.tries[request]
	if tried && t.id != id && now.Sub(t.at) < tryTime {
		return Hold{Ends: v.ends, Left: tryTime - now.Sub(t.at)}, true
	}
	if !tried || t.id != id {
		if r.tries == nil {
			r.tries = make(map[shelfshelf.Fingerprint]try)
		}
		r.tries[request] = try{id: id, at: now}
		r.Log.Info("A request that was held back is tried.", "fingerprint", request, "request", id, "ends", v.ends)
	}
	return Hold{}, false
}

// HeldBack returns how many requests are held back.
func (r *Record) HeldBack() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, v := range r.judged {
		if v.held() {
			count++
		}
	}
	return count
}

// holdFor is how long a request is held back after the last end.
func holdFor(v verdict) time.Duration {
	hold := firstHold
	for range v.ends - heldFrom {
		hold = min(2*hold, longestHold)
	}
	return hold
}

// turn is how much later than the first one this instance lets a request through.
func (r *Record) turn(request shelfshelf.Fingerprint, v verdict) time.Duration {
	share := float64(xxhash.Sum64String(string(r.Self)+request.String())) / (1 << 64)
	return time.Duration(share * float64(holdFor(v)))
}
