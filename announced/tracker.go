package announced

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/shelfshelf/shelfshelf"
)

// minLogInterval is the least time between two log lines, and between two unscheduled statuses, about
// one target's limit. It also applies to log lines about backoffs and, over all targets, about
// unreadable announcements.
const minLogInterval = time.Second

// Tracker holds what targets have announced about themselves. Set the exported fields before use. It is
// safe for concurrent use.
type Tracker struct {
	Clock shelfshelf.Clock
	Log   *log.Logger
	// OnChange is called after an announcement of a target has changed. tell requests an immediate
	// status to the other instances: this instance read the change from a response, and it is a
	// shutdown or a limit that did not also change within the last minLogInterval.
	OnChange func(target shelfshelf.TargetKey, tell bool)

	// announcementCount is the number of announcements. It is usually 0, and then responses are
	// processed without locking mu.
	announcementCount atomic.Int64
	mu                sync.Mutex
	announcements     map[shelfshelf.TargetKey]*announcement
	// listed holds the current list of targets.
	listed map[shelfshelf.TargetKey]shelfshelf.Target
	// nextKey is the key at which the next status continues the rotation.
	nextKey shelfshelf.TargetKey
	// unreadableLoggedAt is when an unreadable announcement was last logged.
	unreadableLoggedAt time.Time
}

// announcement is what a target has announced in its latest known process.
type announcement struct {
	shelfshelf.TargetAnnouncement
	// firstSeenAt is when this instance learnt of the process, changedAt when it learnt of the latest
	// change that is sent to others, and limitSeenAt when it last read the limit in a response or
	// received a newer one.
	firstSeenAt time.Time
	changedAt   time.Time
	limitSeenAt time.Time
	// brittleSeenAt is when it last read in a response how brittle the target is, or received that.
	brittleSeenAt time.Time
	// limitLoggedAt and backoffLoggedAt are when its limit and its backoff were last logged.
	limitLoggedAt   time.Time
	backoffLoggedAt time.Time
	// lastListedAt is when the target was last known to be listed.
	lastListedAt time.Time
}

// ObserveResponse processes the announcements in a target's response to a request that was sent at the given
// time. A response without a limit ends a known limit only if its request was sent after this instance
// learnt of that limit, because response headers can arrive out of order.
func (t *Tracker) ObserveResponse(target shelfshelf.Target, answer shelfshelf.ResponseMetadata, sent time.Time) {
	t.logUnreadable(target.Name, "limit", answer.InvalidLimit)
	t.logUnreadable(target.Name, "leaving", answer.InvalidLeaving)
	t.logUnreadable(target.Name, "brittle", answer.InvalidBrittle)
	t.logUnreadable(target.Name, "rest", answer.InvalidRetryAfter)
	nothingToDo := !answer.HasAnnouncement() && t.announcementCount.Load() == 0
	if nothingToDo || answer.Misdirected {
		return
	}
	c := t.observe(target, answer, sent)
	c.target = target.Name
	t.reportChange(c, true)
}

// logUnreadable logs an announcement that can't be parsed and is ignored. An empty text means that there
// is none.
func (t *Tracker) logUnreadable(target shelfshelf.TargetName, kind, text string) {
	if text == "" {
		return
	}
	t.mu.Lock()
	now := t.Clock.Now()
	due := now.Sub(t.unreadableLoggedAt) >= minLogInterval
	if due {
		t.unreadableLoggedAt = now
	}
	t.mu.Unlock()
	if due {
		t.Log.Warn("An announcement of a target is unreadable and is ignored.", "target", target, "word", kind, "text", text)
	}
}

// observe merges the announcements of a response that this instance read.
func (t *Tracker) observe(target shelfshelf.Target, answer shelfshelf.ResponseMetadata, sent time.Time) announcementChange {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := shelfshelf.KeyOfTarget(target.Name)
	a := t.announcements[key]
	if a == nil && !answer.HasAnnouncement() || a != nil && startedLater(a.StartedAt, target.StartedAt) {
		return announcementChange{}
	}
	now := t.Clock.Now()
	received := shelfshelf.TargetAnnouncement{Target: key, StartedAt: target.StartedAt, Leaving: answer.Leaving}
	if a != nil && !startedLater(target.StartedAt, a.StartedAt) {
		received.Version, received.Limit = a.Version, a.Limit
		received.BrittleVersion, received.Brittle = a.BrittleVersion, a.Brittle
	}
	if answer.InvalidBrittle == "" && noteBrittle(a, received, answer.Brittle, sent, now) {
		received.BrittleVersion++
		received.Brittle = answer.Brittle
	}
	if answer.InvalidLimit == "" && noteLimit(a, received, answer.Limit, sent, now) {
		received.Version++
		received.Limit = answer.Limit
	}
	if answer.RetryAfter > 0 {
		received.BackoffUntil = now.Add(answer.RetryAfter)
	}
	return t.merge(received, now)
}

// Merge merges announcements received from another instance.
func (t *Tracker) Merge(announcements []shelfshelf.TargetAnnouncement) {
	for _, received := range announcements {
		t.reportChange(t.receive(received), false)
	}
}

func (t *Tracker) receive(received shelfshelf.TargetAnnouncement) announcementChange {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.announcements[received.Target] == nil && received.Version == 0 && received.BrittleVersion == 0 && !received.Leaving && received.StartedAt.IsZero() {
		return announcementChange{}
	}
	return t.merge(received, t.Clock.Now())
}

// merge merges a received announcement into the known one. The result doesn't depend on the order in
// which announcements arrive or on how often. The caller must hold t.mu.
func (t *Tracker) merge(received shelfshelf.TargetAnnouncement, now time.Time) announcementChange {
	a := t.announcements[received.Target]
	if a != nil && startedLater(a.StartedAt, received.StartedAt) {
		return announcementChange{}
	}
	if a == nil {
		a = newAnnouncement(received, now)
		t.add(a)
	}
	previous := a.TargetAnnouncement
	if startedLater(received.StartedAt, a.StartedAt) {
		changedAt := a.changedAt
		*a = *newAnnouncement(received, now)
		a.changedAt = changedAt
	}
	a.mergeSameProcess(received, now)
	return t.detectChange(previous, a, now)
}

// newAnnouncement returns the empty announcement of a target's process.
func newAnnouncement(like shelfshelf.TargetAnnouncement, now time.Time) *announcement {
	return &announcement{TargetAnnouncement: shelfshelf.TargetAnnouncement{Target: like.Target, StartedAt: like.StartedAt}, firstSeenAt: now, lastListedAt: now}
}

// add adds an announcement. The caller must hold t.mu.
func (t *Tracker) add(a *announcement) {
	if t.announcements == nil {
		t.announcements = make(map[shelfshelf.TargetKey]*announcement)
	}
	t.announcements[a.Target] = a
	t.announcementCount.Store(int64(len(t.announcements)))
}

// startedLater reports whether a process is known to have started after another one.
func startedLater(startedAt, other time.Time) bool {
	return !startedAt.IsZero() && !other.IsZero() && startedAt.After(other)
}

// mergeSameProcess merges an announcement of the same process. The caller must hold the mutex of the
// Tracker.
func (a *announcement) mergeSameProcess(received shelfshelf.TargetAnnouncement, now time.Time) {
	if a.StartedAt.IsZero() {
		a.StartedAt = received.StartedAt
	}
	a.Leaving = a.Leaving || received.Leaving
	// The response to another request may ask for a backoff that ends sooner; the later end applies.
	if received.BackoffUntil.After(a.BackoffUntil) {
		a.BackoffUntil = received.BackoffUntil
	}
	if brittleSupersedes(received, a) {
		a.Brittle, a.BrittleVersion = received.Brittle, received.BrittleVersion
		a.brittleSeenAt = now
	}
	if supersedes(received, a) {
		a.Limit, a.Version = received.Limit, received.Version
		if received.Limit.Set {
			a.limitSeenAt = now
		}
	}
}

// Latest returns the current announcement of a target.
func (t *Tracker) Latest(target shelfshelf.TargetKey) shelfshelf.TargetAnnouncement {
	if t.announcementCount.Load() == 0 {
		return shelfshelf.TargetAnnouncement{Target: target}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if a := t.announcements[target]; a != nil {
		return a.TargetAnnouncement
	}
	return shelfshelf.TargetAnnouncement{Target: target}
}
