package announced

import (
	"time"

	"github.com/shelfshelf/shelfshelf"
)

const (
	// endKept is how long the end of a limit is remembered, so that older words of it that
	// are still on their way don't bring it back.
	endKept = time.Minute
	// leavingKept is how long it is remembered of a target that isn't listed that it leaves:
	// an entry that has lapsed while the store was away comes back as it was.
	leavingKept = time.Hour
)

// Targets takes the list of targets: a new life of one has said nothing yet, and what is not
// listed any more is forgotten once words of it no longer come.
func (r *Record) Targets(targets []shelfshelf.Target) {
	for _, c := range r.list(targets) {
		r.report(c, false)
	}
}

func (r *Record) list(targets []shelfshelf.Target) []change {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	for key, w := range r.words {
		if _, listed := r.listed[key]; listed {
			w.listedAt = now
		}
	}
	r.listed = make(map[shelfshelf.TargetKey]shelfshelf.Target, len(targets))
	var changes []change
	for _, target := range targets {
		key := shelfshelf.KeyOfTarget(target.Name)
		r.listed[key] = target
		if r.words[key] != nil {
			changes = append(changes, r.take(shelfshelf.TargetWord{Target: key, Born: target.Born}, now))
		}
	}
	r.forget(now)
	return changes
}

// forget forgets limits that have been over for long, and what targets have said that are gone;
// the lock is held.
func (r *Record) forget(now time.Time) {
	for key, w := range r.words {
		if !r.kept(w, now) {
			delete(r.words, key)
		}
	}
	r.known.Store(int64(len(r.words)))
}

// kept reports that a word still matters, or that older ones may be on their way; the lock is held.
func (r *Record) kept(w *word, now time.Time) bool {
	_, listed := r.listed[w.Target]
	switch {
	case now.Sub(w.knownAt) <= endKept, now.Sub(w.changedAt) <= endKept, now.Before(w.RestUntil):
		return true
	case w.Leaving:
		return listed || now.Sub(w.listedAt) <= leavingKept
	}
	return w.Limit.Named && listed
}

// Limited returns how many targets have a limit.
func (r *Record) Limited() int {
	return r.count(func(w *word) bool { return w.Limit.Named })
}

// Leaving returns how many listed targets say that they leave, though their entries don't.
func (r *Record) Leaving() int {
	return r.count(r.leavesByAnswers)
}

// Resting returns how many listed targets have asked this instance for a rest that goes on.
func (r *Record) Resting() int {
	now := r.Clock.Now()
	return r.count(func(w *word) bool {
		_, listed := r.listed[w.Target]
		return listed && now.Before(w.RestUntil)
	})
}

// leavesByAnswers reports that a listed target leaves though its entry doesn't say so; the lock is
// held.
func (r *Record) leavesByAnswers(w *word) bool {
	target, listed := r.listed[w.Target]
	return w.Leaving && listed && !target.Leaving
}

func (r *Record) count(counted func(*word) bool) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, w := range r.words {
		if counted(w) {
			count++
		}
	}
	return count
}
