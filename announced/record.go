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

// Record holds what targets have announced about themselves. Set the exported fields before use. It is
// safe for concurrent use.
type Record struct {
	Clock shelfshelf.Clock
	Log   *log.Logger
	// Changed is called after an announcement of a target has changed. tell requests an immediate
	// status to the other instances: this instance read the change from a response, and it is a
	// shutdown or a limit that did not also change within the last minLogInterval.
	Changed func(target shelfshelf.TargetKey, tell bool)

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
	shelfshelf.TargetWord
	// firstSeenAt is when this instance learnt of the process, changedAt when it learnt of the latest
	// change that is sent to others, and limitSeenAt when it last read the limit in a response or
	// received a newer one.
	firstSeenAt time.Time
	changedAt   time.Time
	limitSeenAt time.Time
	// limitLoggedAt and backoffLoggedAt are when its limit and its backoff were last logged.
	limitLoggedAt   time.Time
	backoffLoggedAt time.Time
	// lastListedAt is when the target was last known to be listed.
	lastListedAt time.Time
}

// Answered processes the announcements in a target's response to a request that was sent at the given
// time. A response without a limit ends a known limit only if its request was sent after this instance
// learnt of that limit, because response headers can arrive out of order.
func (r *Record) Answered(target shelfshelf.Target, answer shelfshelf.Answer, sent time.Time) {
	r.logUnreadable(target.Name, "limit", answer.LimitUnread)
	r.logUnreadable(target.Name, "leaving", answer.LeavingUnread)
	r.logUnreadable(target.Name, "rest", answer.RestUnread)
	nothingToDo := !answer.Announces() && r.announcementCount.Load() == 0
	if nothingToDo || answer.OtherTarget {
		return
	}
	c := r.observe(target, answer, sent)
	c.target = target.Name
	r.reportChange(c, true)
}

// logUnreadable logs an announcement that can't be parsed and is ignored. An empty text means that there
// is none.
func (r *Record) logUnreadable(target shelfshelf.TargetName, kind, text string) {
	if text == "" {
		return
	}
	r.mu.Lock()
	now := r.Clock.Now()
	due := now.Sub(r.unreadableLoggedAt) >= minLogInterval
	if due {
		r.unreadableLoggedAt = now
	}
	r.mu.Unlock()
	if due {
		r.Log.Warn("An announcement of a target is unreadable and is ignored.", "target", target, "word", kind, "text", text)
	}
}

// observe merges the announcements of a response that this instance read.
func (r *Record) observe(target shelfshelf.Target, answer shelfshelf.Answer, sent time.Time) announcementChange {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := shelfshelf.KeyOfTarget(target.Name)
	a := r.announcements[key]
	if a == nil && !answer.Announces() || a != nil && startedLater(a.Born, target.Born) {
		return announcementChange{}
	}
	now := r.Clock.Now()
	received := shelfshelf.TargetWord{Target: key, Born: target.Born, Leaving: answer.Leaving}
	if a != nil && !startedLater(target.Born, a.Born) {
		received.Version, received.Limit = a.Version, a.Limit
	}
	if answer.LimitUnread == "" && noteLimit(a, received, answer.Limit, sent, now) {
		received.Version++
		received.Limit = answer.Limit
	}
	if answer.Rest > 0 {
		received.RestUntil = now.Add(answer.Rest)
	}
	return r.merge(received, now)
}

// Heard merges announcements received from another instance.
func (r *Record) Heard(announcements []shelfshelf.TargetWord) {
	for _, received := range announcements {
		r.reportChange(r.receive(received), false)
	}
}

func (r *Record) receive(received shelfshelf.TargetWord) announcementChange {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.announcements[received.Target] == nil && received.Version == 0 && !received.Leaving && received.Born.IsZero() {
		return announcementChange{}
	}
	return r.merge(received, r.Clock.Now())
}

// merge merges a received announcement into the known one. The result doesn't depend on the order in
// which announcements arrive or on how often. The caller must hold r.mu.
func (r *Record) merge(received shelfshelf.TargetWord, now time.Time) announcementChange {
	a := r.announcements[received.Target]
	if a != nil && startedLater(a.Born, received.Born) {
		return announcementChange{}
	}
	if a == nil {
		a = newAnnouncement(received, now)
		r.add(a)
	}
	previous := a.TargetWord
	if startedLater(received.Born, a.Born) {
		changedAt := a.changedAt
		*a = *newAnnouncement(received, now)
		a.changedAt = changedAt
	}
	a.mergeSameProcess(received, now)
	return r.detectChange(previous, a, now)
}

// newAnnouncement returns the empty announcement of a target's process.
func newAnnouncement(like shelfshelf.TargetWord, now time.Time) *announcement {
	return &announcement{TargetWord: shelfshelf.TargetWord{Target: like.Target, Born: like.Born}, firstSeenAt: now, lastListedAt: now}
}

// add adds an announcement. The caller must hold r.mu.
func (r *Record) add(a *announcement) {
	if r.announcements == nil {
		r.announcements = make(map[shelfshelf.TargetKey]*announcement)
	}
	r.announcements[a.Target] = a
	r.announcementCount.Store(int64(len(r.announcements)))
}

// startedLater reports whether a process is known to have started after another one.
func startedLater(born, other time.Time) bool {
	return !born.IsZero() && !other.IsZero() && born.After(other)
}

// mergeSameProcess merges an announcement of the same process. The caller must hold the mutex of the
// Record.
func (a *announcement) mergeSameProcess(received shelfshelf.TargetWord, now time.Time) {
	if a.Born.IsZero() {
		a.Born = received.Born
	}
	a.Leaving = a.Leaving || received.Leaving
	// The response to another request may ask for a backoff that ends sooner; the later end applies.
	if received.RestUntil.After(a.RestUntil) {
		a.RestUntil = received.RestUntil
	}
	if supersedes(received, a) {
		a.Limit, a.Version = received.Limit, received.Version
		if received.Limit.Named {
			a.limitSeenAt = now
		}
	}
}

// Said returns the current announcement of a target.
func (r *Record) Said(target shelfshelf.TargetKey) shelfshelf.TargetWord {
	if r.announcementCount.Load() == 0 {
		return shelfshelf.TargetWord{Target: target}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if a := r.announcements[target]; a != nil {
		return a.TargetWord
	}
	return shelfshelf.TargetWord{Target: target}
}
