package announced

import (
	"cmp"
	"slices"
	"time"

	"github.com/shelfshelf/shelfshelf"
)

const (
	// recentChangeTime is how long a change has priority in statuses. A status reaches all instances
	// within half a second.
	recentChangeTime = time.Second
	// maxPerStatus limits the announcements in one status; more are sent in rotation. 600 take
	// 38 statuses, which are sent within 10 s.
	maxPerStatus = 16
)

// ForStatus returns the announcements for the next status: recent changes first, then the next of the
// others in rotation.
func (r *Tracker) ForStatus() []shelfshelf.TargetAnnouncement {
	if r.announcementCount.Load() == 0 {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	r.removeExpired(now)
	keys := r.rotationOrder(now)
	var sent []shelfshelf.TargetAnnouncement
	for _, recent := range []bool{true, false} {
		for _, key := range keys {
			a := r.announcements[key]
			if len(sent) < maxPerStatus && a.changedRecently(now) == recent {
				sent = append(sent, a.TargetAnnouncement)
				r.nextKey = key + 1
			}
		}
	}
	return sent
}

func (a *announcement) changedRecently(now time.Time) bool {
	return now.Sub(a.changedAt) < recentChangeTime
}

// rotationOrder returns all targets with an announcement to send, starting after the last one sent. A
// shutdown is left out if the target's entry says it too or the target isn't listed, because all
// instances know of it then. The caller must hold r.mu.
func (r *Tracker) rotationOrder(now time.Time) []shelfshelf.TargetKey {
	keys := make([]shelfshelf.TargetKey, 0, len(r.announcements))
	for key, a := range r.announcements {
		if a.Version > 0 || a.changedRecently(now) || r.onlyResponsesSayLeaving(a) {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b shelfshelf.TargetKey) int {
		if (a >= r.nextKey) != (b >= r.nextKey) {
			if a >= r.nextKey {
				return -1
			}
			return 1
		}
		return cmp.Compare(a, b)
	})
	return keys
}
