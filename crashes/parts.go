package crashes

import (
	"time"

	"github.com/shelfshelf/shelfshelf"
)

const (
	// survivalRetention is how long a part of prompts is cleared of crashes after a run with it survived. A part
	// that sound requests share has such runs all the time, also while targets crash one after the other, or all
	// at once; a part that crashes targets has none.
	survivalRetention = time.Minute
	// maxSurvivals bounds the parts that are remembered. An instance with 16 requests a second of four parts each
	// has some 3,000 in that time.
	maxSurvivals = 8192
	// partSettleTime is how long a part is not quarantined yet after it has come to be blamed. Within that time
	// the other instances have told whether runs with it survived at them.
	partSettleTime = 500 * time.Millisecond
)

// PartsSurvived records that a target began to answer a request with these parts and went on, so that none of
// them crashes targets.
func (t *Tracker) PartsSurvived(parts []shelfshelf.Fingerprint) {
	if len(parts) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Now()
	if t.survivedAt == nil || len(t.survivedAt) >= maxSurvivals {
		t.forgetSurvivals(now)
	}
	cleared := false
	for _, part := range parts {
		t.survivedAt[part] = now
		cleared = t.clear(part) || cleared
	}
	if cleared {
		t.reassess()
	}
}

// survivedBefore reports whether a run with a part survived here shortly before an instant or since. The caller
// must hold t.mu.
func (t *Tracker) survivedBefore(part shelfshelf.Fingerprint, at time.Time) bool {
	survived, known := t.survivedAt[part]
	return known && at.Sub(survived) < survivalRetention
}

// forgetSurvivals drops what is too old, or the older part if there is too much. The caller must hold t.mu.
func (t *Tracker) forgetSurvivals(now time.Time) {
	retention := survivalRetention
	kept := t.survivalsSince(now.Add(-retention))
	for len(kept) > maxSurvivals/2 {
		retention /= 2
		kept = t.survivalsSince(now.Add(-retention))
	}
	if retention < survivalRetention {
		t.Log.Warn("Too many parts of prompts to remember which runs survived for long.", "parts", len(kept), "for", retention)
	}
	t.survivedAt = kept
}

// survivalsSince returns the parts that have survived since an instant. The caller must hold t.mu.
func (t *Tracker) survivalsSince(since time.Time) map[shelfshelf.Fingerprint]time.Time {
	kept := make(map[shelfshelf.Fingerprint]time.Time)
	for part, at := range t.survivedAt {
		if at.After(since) {
			kept[part] = at
		}
	}
	return kept
}

// noteBlamed notes since when a request or part is to be quarantined. The caller must hold t.mu.
func (t *Tracker) noteBlamed(request shelfshelf.Fingerprint) {
	if t.blamedSince == nil {
		t.blamedSince = make(map[shelfshelf.Fingerprint]time.Time)
	}
	t.blamedSince[request] = t.Clock.Now()
}
