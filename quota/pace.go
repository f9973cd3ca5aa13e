package quota

import (
	"math"
	"time"

	"github.com/shelfshelf/shelfshelf"
)

const (
	// unsavedBurstFraction is the part of a customer's limit that it may use at once, beyond its rate, while that isn't
	// saved.
	unsavedBurstFraction = 0.08
	// unsavedSlackFraction is the part of the slack that it may use beside.
	unsavedSlackFraction = 0.25
	// pacedAfter is how late a save may be known of here without an effect.
	pacedAfter = 400 * time.Millisecond
)

// NoteSaved records that what customers had used by an instant is saved, as this instance or another one knows.
func (l *Ledger) NoteSaved(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.savedAt = shelfshelf.Later(l.savedAt, at)
}

// UnsavedFor returns the time since which usage isn't known to be saved; at most that since the start.
func (l *Ledger) UnsavedFor() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.unsavedFor()
}

// unsavedFor is UnsavedFor. The caller must hold l.mu.
func (l *Ledger) unsavedFor() time.Duration {
	return l.Clock.Now().Sub(shelfshelf.Later(l.savedAt, l.start))
}

// paceHeadroom returns how much a customer may still use at all instances before what isn't saved exceeds what is
// assumed for it after a restart of all: its rate, and a part of its limit at once. It is infinite while saves aren't
// late, or if usage isn't saved at all. The caller must hold l.mu.
func (l *Ledger) paceHeadroom(key shelfshelf.CustomerKey, a *account, share float64) float64 {
	headroom := math.Inf(1)
	if !l.Saves {
		return headroom
	}
	length := bucketLength(l.Window)
	unsaved := int(l.unsavedFor()/length) + 1
	burst := l.unsavedBurst(a)
	used := 0.0
	for i, amount := range l.recentUsage(key, a) {
		if i >= unsaved {
			break
		}
		used += amount
		pace := a.rate*(time.Duration(i+1)*length).Seconds() + burst
		headroom = min(headroom, pace*share-used)
	}
	late := l.saveIsLate(a, used)
	if !late || used == 0 {
		// Even a request beyond the pace may come first.
		return math.Inf(1)
	}
	return headroom
}

// unsavedBurst returns how much a customer may use at once while that isn't saved. The caller must hold l.mu.
func (l *Ledger) unsavedBurst(a *account) float64 {
	if l.startedInGap() {
		// It was used, or is assumed to have been, before the start.
		return 0
	}
	burst := unsavedBurstFraction * a.allowed
	if a.tokens {
		burst += unsavedSlackFraction * l.Slack
	}
	return burst
}

// saveIsLate reports whether a save should have been heard of by now: one is due every saveInterval, and
// checkInterval after a customer has used urgentFraction of its limit. The caller must hold l.mu.
func (l *Ledger) saveIsLate(a *account, unsavedUsage float64) bool {
	now := l.Clock.Now()
	switch {
	case unsavedUsage < urgentFraction*a.allowed:
		a.urgentSince = time.Time{}
	case !a.urgentSince.After(l.savedAt):
		a.urgentSince = now
	}
	urgent := !a.urgentSince.IsZero() && now.Sub(a.urgentSince) >= pacedAfter
	return urgent || l.startedInGap() || l.unsavedFor() >= saveInterval+pacedAfter
}

// startedInGap reports that nothing was saved since this instance started, nor for some time before. The caller must
// hold l.mu.
func (l *Ledger) startedInGap() bool {
	return !l.savedAt.After(l.start) && len(l.gaps) > 0 && l.gaps[len(l.gaps)-1].length() >= missedSave
}

// recentUsage returns what a customer has used at all instances since this one started, by age. The caller must hold
// l.mu.
func (l *Ledger) recentUsage(key shelfshelf.CustomerKey, a *account) usageByAge {
	now := l.Clock.Now()
	recent := a.own().byAge()
	for _, s := range l.peers {
		recent = recent.plus(s.remainingByAge(key, now))
	}
	for _, s := range l.endedIncarnations {
		recent = recent.plus(s.remainingByAge(key, now))
	}
	if l.ownDigest != nil && now.Sub(l.ownDigest.updatedAt) <= silenceTimeout {
		// It covers instances of this data centre that this one hears rarely.
		recent = recent.atLeast(l.ownDigest.remainingByAge(key, now))
	}
	for _, s := range l.remotes {
		recent = recent.plus(s.remainingByAge(key, now))
	}
	return recent
}

// paceWait returns after how long a refused cost fits into the pace.
func (a *account) paceWait(missing float64) time.Duration {
	if a.rate <= 0 {
		return 0
	}
	return time.Duration(missing / a.rate * float64(time.Second))
}
