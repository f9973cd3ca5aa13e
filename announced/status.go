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
func (t *Tracker) ForStatus() []shelfshelf.TargetAnnouncement {
	if t.announcementCount.Load() == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Now()
	t.removeExpired(now)
	keys := t.rotationOrder(now)
	var sent []shelfshelf.TargetAnnouncement
	for _, recent := range []bool{true, false} {
		for _, key := range keys {
			a := t.announcements[key]
			if len(sent) < maxPerStatus && a.changedRecently(now) == recent {
				sent = append(sent, a.TargetAnnouncement)
				t.nextKey = key + 1
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
// instances know of it then. The caller must hold t.mu.
func (t *Tracker) rotationOrder(now time.Time) []shelfshelf.TargetKey {
	keys := make([]shelfshelf.TargetKey, 0, len(t.announcements))
	for key, a := range t.announcements {
		if a.Version > 0 || a.BrittleVersion > 0 || a.changedRecently(now) || t.onlyResponsesSayLeaving(a) {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b shelfshelf.TargetKey) int {
		if (a >= t.nextKey) != (b >= t.nextKey) {
			if a >= t.nextKey {
				return -1
			}
			return 1
		}
		return cmp.Compare(a, b)
	})
	return keys
}
