package announced

import (
	"cmp"
	"slices"
	"time"

	"github.com/shelfshelf/shelfshelf"
)

const (
	// newsTime is how long a change goes before all else in statuses, which reach everyone
	// within half a second.
	newsTime = time.Second
	// toldAtMost bounds the words in one status; of more, each status takes the next ones.
	// 600 limited targets are told in 38 statuses, within 10 s.
	toldAtMost = 16
)

// Told returns what the next status says: what has changed lately, and of all else the next
// part.
func (r *Record) Told() []shelfshelf.TargetLimit {
	if r.known.Load() == 0 {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	r.forgetEnds(now)
	keys := r.inTurn()
	var told []shelfshelf.TargetLimit
	for _, news := range []bool{true, false} {
		for _, key := range keys {
			w := r.words[key]
			if len(told) < toldAtMost && now.Sub(w.changedAt) < newsTime == news {
				told = append(told, w.told(key))
				r.next = key + 1
			}
		}
	}
	return told
}

// inTurn returns all targets with a word, from where the last status ended; the lock is held.
func (r *Record) inTurn() []shelfshelf.TargetKey {
	keys := make([]shelfshelf.TargetKey, 0, len(r.words))
	for key := range r.words {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b shelfshelf.TargetKey) int {
		if (a >= r.next) != (b >= r.next) {
			if a >= r.next {
				return -1
			}
			return 1
		}
		return cmp.Compare(a, b)
	})
	return keys
}

// forgetEnds forgets limits that have been over for long; the lock is held.
func (r *Record) forgetEnds(now time.Time) {
	for key, w := range r.words {
		if !w.limit.Named && now.Sub(w.changedAt) > endKept {
			delete(r.words, key)
		}
	}
	r.known.Store(int64(len(r.words)))
}
