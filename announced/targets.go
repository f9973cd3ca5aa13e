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
func (r *Tracker) SetTargets(targets []shelfshelf.Target) {
	for _, c := range r.updateList(targets) {
		r.reportChange(c, false)
	}
}

func (r *Tracker) updateList(targets []shelfshelf.Target) []announcementChange {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	for key, a := range r.announcements {
		if _, listed := r.listed[key]; listed {
			a.lastListedAt = now
		}
	}
	r.listed = make(map[shelfshelf.TargetKey]shelfshelf.Target, len(targets))
	var changes []announcementChange
	for _, target := range targets {
		key := shelfshelf.KeyOfTarget(target.Name)
		r.listed[key] = target
		if r.announcements[key] != nil {
			changes = append(changes, r.merge(shelfshelf.TargetAnnouncement{Target: key, StartedAt: target.StartedAt}, now))
		}
	}
	r.removeExpired(now)
	return changes
}

// removeExpired removes announcements that no longer matter: limits that ended long ago and those of
// targets that are gone. The caller must hold r.mu.
func (r *Tracker) removeExpired(now time.Time) {
	for key, a := range r.announcements {
		if !r.retained(a, now) {
			delete(r.announcements, key)
		}
	}
	r.announcementCount.Store(int64(len(r.announcements)))
}

// retained reports whether an announcement still matters or older messages about it may still arrive.
// The caller must hold r.mu.
func (r *Tracker) retained(a *announcement, now time.Time) bool {
	_, listed := r.listed[a.Target]
	switch {
	case now.Sub(a.firstSeenAt) <= endedLimitRetention, now.Sub(a.changedAt) <= endedLimitRetention, now.Before(a.BackoffUntil):
		return true
	case a.Leaving:
		return listed || now.Sub(a.lastListedAt) <= leavingRetention
	}
	return a.Limit.Set && listed
}

// Limited returns the number of targets with a rate limit.
func (r *Tracker) Limited() int {
	return r.count(func(a *announcement) bool { return a.Limit.Set })
}

// Leaving returns the number of listed targets that announce their shutdown in responses but not in their
// entries.
func (r *Tracker) Leaving() int {
	return r.count(r.onlyResponsesSayLeaving)
}

// Resting returns the number of listed targets that asked this instance for a backoff that isn't over.
func (r *Tracker) Resting() int {
	now := r.Clock.Now()
	return r.count(func(a *announcement) bool {
		_, listed := r.listed[a.Target]
		return listed && now.Before(a.BackoffUntil)
	})
}

// onlyResponsesSayLeaving reports whether a listed target has announced its shutdown in responses while
// its entry doesn't say so. The caller must hold r.mu.
func (r *Tracker) onlyResponsesSayLeaving(a *announcement) bool {
	target, listed := r.listed[a.Target]
	return a.Leaving && listed && !target.Leaving
}

func (r *Tracker) count(matches func(*announcement) bool) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, a := range r.announcements {
		if matches(a) {
			count++
		}
	}
	return count
}
