package node

import (
	"sync"
	"time"
)

// toldAt is when something was first known, as long as it is. It is safe for concurrent
// use.
type toldAt struct {
	mu sync.Mutex
	at time.Time
}

// note takes whether it is known now, and returns since when it has been; zero if it isn't.
func (t *toldAt) note(known bool, now time.Time) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case !known:
		t.at = time.Time{}
	case t.at.IsZero():
		t.at = now
	}
	return t.at
}
