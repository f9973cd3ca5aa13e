package slots

import (
	"time"

	"github.com/shelfshelf/shelfshelf"
)

const (
	// refusedLifetime is how long an owner remembers a refused request. Callers are told to retry after 5 s at most.
	refusedLifetime = 10 * time.Second
	// maxRefused is how many refused requests an owner remembers.
	maxRefused = 4096
)

// refusedRequests remembers refused requests by their fingerprints for refusedLifetime. It holds them in two generations, so
// that the oldest half is dropped when there are too many. The zero value is empty.
type refusedRequests struct {
	current  map[shelfshelf.Fingerprint]refusedRequest
	previous map[shelfshelf.Fingerprint]refusedRequest
	// began is when the current generation began.
	began time.Time
}

// refusedRequest is a request that was refused at a time.
type refusedRequest struct {
	at time.Time
	// inTimeUntil is until when a grant would be in time for the goal of its first attempt.
	inTimeUntil time.Time
}

// add remembers a request that is refused now.
func (r *refusedRequests) add(fingerprint shelfshelf.Fingerprint, inTimeUntil, now time.Time) {
	if r.current == nil || len(r.current) >= maxRefused/2 || now.Sub(r.began) >= refusedLifetime {
		r.previous, r.current, r.began = r.current, make(map[shelfshelf.Fingerprint]refusedRequest), now
	}
	r.current[fingerprint] = refusedRequest{at: now, inTimeUntil: inTimeUntil}
}

// find returns a request that was refused within refusedLifetime.
func (r *refusedRequests) find(fingerprint shelfshelf.Fingerprint, now time.Time) (refusedRequest, bool) {
	refused, found := r.current[fingerprint]
	if !found {
		refused, found = r.previous[fingerprint]
	}
	return refused, found && now.Sub(refused.at) < refusedLifetime
}

// remove forgets a request that got a slot.
func (r *refusedRequests) remove(fingerprint shelfshelf.Fingerprint) {
	delete(r.current, fingerprint)
	delete(r.previous, fingerprint)
}

// count returns how many requests are remembered at most.
func (r *refusedRequests) count() int {
	return len(r.current) + len(r.previous)
}
