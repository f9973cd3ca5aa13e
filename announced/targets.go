package announced

import (
	"time"

	"github.com/shelfshelf/shelfshelf"
)

const (
	// endedLimitRetention is how long the end of a limit is remembered, so that older messages that
	// arrive late don't restore the limit.
	endedLimitRetention = time.Minute
	// leavingRetention is how long the shutdown announcement of an unlisted target is kept: an entry
	// that expired while the store was unavailable comes back for the same process.
	leavingRetention = time.Hour
)

// SetTargets replaces the list of targets. A new process of a target starts without announcements, and
// those of an unlisted target are removed once late messages about it are no longer expected.
func (t *Tracker) SetTargets(targets []shelfshelf.Target) {
	for _, c := range t.updateList(targets) {
		t.reportChange(c, false)
	}
}

func (t *Tracker) updateList(targets []shelfshelf.Target) []announcementChange {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Now()
	for key, a := range t.announcements {
		if _, listed := t.listed[key]; listed {
			a.lastListedAt = now
		}
	}
	t.listed = make(map[shelfshelf.TargetKey]shelfshelf.Target, len(targets))
	var changes []announcementChange
	for _, target := range targets {
		key := shelfshelf.KeyOfTarget(target.Name)
		t.listed[key] = target
		if t.announcements[key] != nil {
			changes = append(changes, t.merge(shelfshelf.TargetAnnouncement{Target: key, StartedAt: target.StartedAt}, now))
		}
	}
	t.removeExpired(now)
	return changes
}

// removeExpired removes announcements that no longer matter: limits that ended long ago and those of
// targets that are gone. The caller must hold t.mu.
func (t *Tracker) removeExpired(now time.Time) {
	for key, a := range t.announcements {
		if !t.retained(a, now) {
			delete(t.announcements, key)
		}
	}
	t.announcementCount.Store(int64(len(t.announcements)))
}

// retained reports whether an announcement still matters or older messages about it may still arrive.
// The caller must hold t.mu.
func (t *Tracker) retained(a *announcement, now time.Time) bool {
	_, listed := t.listed[a.Target]
	switch {
	case now.Sub(a.firstSeenAt) <= endedLimitRetention, now.Sub(a.changedAt) <= endedLimitRetention, now.Before(a.BackoffUntil):
		return true
	case a.Leaving:
		return listed || now.Sub(a.lastListedAt) <= leavingRetention
	}
	return (a.Limit.Set || a.Brittle > 0) && listed
}

// LimitedCount returns the number of targets with a rate limit.
func (t *Tracker) LimitedCount() int {
	return t.count(func(a *announcement) bool { return a.Limit.Set })
}

// LeavingCount returns the number of listed targets that announce their shutdown in responses but not in their
// entries.
func (t *Tracker) LeavingCount() int {
	return t.count(t.onlyResponsesSayLeaving)
}

// BackoffCount returns the number of listed targets that asked this instance for a backoff that isn't over.
func (t *Tracker) BackoffCount() int {
	now := t.Clock.Now()
	return t.count(func(a *announcement) bool {
		_, listed := t.listed[a.Target]
		return listed && now.Before(a.BackoffUntil)
	})
}

// onlyResponsesSayLeaving reports whether a listed target has announced its shutdown in responses while
// its entry doesn't say so. The caller must hold t.mu.
func (t *Tracker) onlyResponsesSayLeaving(a *announcement) bool {
	target, listed := t.listed[a.Target]
	return a.Leaving && listed && !target.Leaving
}

func (t *Tracker) count(matches func(*announcement) bool) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	count := 0
	for _, a := range t.announcements {
		if matches(a) {
			count++
		}
	}
	return count
}
