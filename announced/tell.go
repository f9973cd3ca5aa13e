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
	// 600 words are told in 38 statuses, within 10 s.
	toldAtMost = 16
)

// Told returns what the next status says: what has changed lately, and of all else the next
// part.
func (r *Record) Told() []shelfshelf.TargetWord {
	if r.known.Load() == 0 {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	r.forget(now)
	keys := r.inTurn(now)
	var told []shelfshelf.TargetWord
	for _, news := range []bool{true, false} {
		for _, key := range keys {
			w := r.words[key]
			if len(told) < toldAtMost && w.isNews(now) == news {
				told = append(told, w.TargetWord)
				r.next = key + 1
			}
		}
	}
	return told
}

func (w *word) isNews(now time.Time) bool { return now.Sub(w.changedAt) < newsTime }

// inTurn returns all targets with a word to tell, from where the last status ended; the lock is
// held. That a target leaves whose entry says so, or is gone, everyone knows.
func (r *Record) inTurn(now time.Time) []shelfshelf.TargetKey {
	keys := make([]shelfshelf.TargetKey, 0, len(r.words))
	for key, w := range r.words {
		if w.Version > 0 || w.isNews(now) || r.leavesByAnswers(w) {
			keys = append(keys, key)
		}
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
