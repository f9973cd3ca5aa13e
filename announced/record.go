package announced

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/shelfshelf/shelfshelf"
)

// logPause is the least time between two lines, and between two statuses out of turn, on one
// target.
const logPause = time.Second

// Record is what targets have said of themselves. Fields are set before use. It is safe for
// concurrent use.
type Record struct {
	Clock shelfshelf.Clock
	Log   *log.Logger
	// Changed is called after a target has said something new; tell says that this instance
	// read it itself, so that the others have to hear of it, and that the last such change
	// of the target was not just now.
	Changed func(target shelfshelf.TargetKey, tell bool)

	// known is how many words there are; mostly none, and then answers take no lock.
	known atomic.Int64
	mu    sync.Mutex
	words map[shelfshelf.TargetKey]*word
	// listed are the targets that there are.
	listed map[shelfshelf.TargetKey]shelfshelf.Target
	// next is where the next status goes on.
	next shelfshelf.TargetKey
	// unreadAt is when the log last had a line on a word that can't be read.
	unreadAt time.Time
}

// word is what a target has said in its latest life that is known.
type word struct {
	shelfshelf.TargetWord
	// knownAt is when this instance learnt of the life, changedAt when of the latest change
	// that others have to hear of, and namedAt when it last read or heard that there is a limit.
	knownAt   time.Time
	changedAt time.Time
	namedAt   time.Time
	// loggedAt is when the log had a line on its limit, and restLoggedAt on its rest.
	loggedAt     time.Time
	restLoggedAt time.Time
	// listedAt is when the target was last known to be listed.
	listedAt time.Time
}

// Answered takes what a target says with its answer to a request that was sent at an instant.
// An answer without a limit ends one only if its request was sent after the limit was known
// here: heads of answers pass each other on their way.
func (r *Record) Answered(target shelfshelf.Target, answer shelfshelf.Answer, sent time.Time) {
	r.reportUnread(target.Name, "limit", answer.LimitUnread)
	r.reportUnread(target.Name, "leaving", answer.LeavingUnread)
	r.reportUnread(target.Name, "rest", answer.RestUnread)
	unsaid := !answer.Announces() && r.known.Load() == 0
	if unsaid || answer.OtherTarget {
		return
	}
	c := r.read(target, answer, sent)
	c.target = target.Name
	r.report(c, true)
}

// reportUnread logs what can't be read of a target's word, which changes nothing; an empty text
// is nothing of that kind.
func (r *Record) reportUnread(target shelfshelf.TargetName, word, text string) {
	if text == "" {
		return
	}
	r.mu.Lock()
	now := r.Clock.Now()
	report := now.Sub(r.unreadAt) >= logPause
	if report {
		r.unreadAt = now
	}
	r.mu.Unlock()
	if report {
		r.Log.Warn("A target's word can't be read and changes nothing.", "target", target, "word", word, "text", text)
	}
}

// read takes what this instance has read itself.
func (r *Record) read(target shelfshelf.Target, answer shelfshelf.Answer, sent time.Time) change {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := shelfshelf.KeyOfTarget(target.Name)
	w := r.words[key]
	if w == nil && !answer.Announces() || w != nil && later(w.Born, target.Born) {
		return change{}
	}
	now := r.Clock.Now()
	told := shelfshelf.TargetWord{Target: key, Born: target.Born, Leaving: answer.Leaving}
	if w != nil && !later(target.Born, w.Born) {
		told.Version, told.Limit = w.Version, w.Limit
	}
	if answer.LimitUnread == "" && newLimit(w, told, answer.Limit, sent, now) {
		told.Version++
		told.Limit = answer.Limit
	}
	if answer.Rest > 0 {
		told.RestUntil = now.Add(answer.Rest)
	}
	return r.take(told, now)
}

// Heard takes what another instance knows.
func (r *Record) Heard(words []shelfshelf.TargetWord) {
	for _, told := range words {
		r.report(r.hear(told), false)
	}
}

func (r *Record) hear(told shelfshelf.TargetWord) change {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.words[told.Target] == nil && told.Version == 0 && !told.Leaving && told.Born.IsZero() {
		return change{}
	}
	return r.take(told, r.Clock.Now())
}

// take joins a word with the one known; the lock is held. Joins come out the same in whatever
// order words come and however often.
func (r *Record) take(told shelfshelf.TargetWord, now time.Time) change {
	w := r.words[told.Target]
	if w != nil && later(w.Born, told.Born) {
		return change{}
	}
	if w == nil {
		w = newWord(told, now)
		r.keep(w)
	}
	before := w.TargetWord
	if later(told.Born, w.Born) {
		news := w.changedAt
		*w = *newWord(told, now)
		w.changedAt = news
	}
	w.join(told, now)
	return r.changed(before, w, now)
}

// newWord returns the word of a life that has said nothing.
func newWord(of shelfshelf.TargetWord, now time.Time) *word {
	return &word{TargetWord: shelfshelf.TargetWord{Target: of.Target, Born: of.Born}, knownAt: now, listedAt: now}
}

// keep adds a word; the lock is held.
func (r *Record) keep(w *word) {
	if r.words == nil {
		r.words = make(map[shelfshelf.TargetKey]*word)
	}
	r.words[w.Target] = w
	r.known.Store(int64(len(r.words)))
}

// later reports that a life is known to have begun after another one.
func later(born, other time.Time) bool {
	return !born.IsZero() && !other.IsZero() && born.After(other)
}

// join takes a word of the same life.
func (w *word) join(told shelfshelf.TargetWord, now time.Time) {
	if w.Born.IsZero() {
		w.Born = told.Born
	}
	w.Leaving = w.Leaving || told.Leaving
	// A rest that another request is asked for meanwhile may be shorter.
	if told.RestUntil.After(w.RestUntil) {
		w.RestUntil = told.RestUntil
	}
	if newer(told, w) {
		w.Limit, w.Version = told.Limit, told.Version
		if told.Limit.Named {
			w.namedAt = now
		}
	}
}

// Said returns what a target has said.
func (r *Record) Said(target shelfshelf.TargetKey) shelfshelf.TargetWord {
	if r.known.Load() == 0 {
		return shelfshelf.TargetWord{Target: target}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if w := r.words[target]; w != nil {
		return w.TargetWord
	}
	return shelfshelf.TargetWord{Target: target}
}
