package announced

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/shelfshelf/shelfshelf"
)

const (
	// endKept is how long the end of a limit is remembered, so that older words of it that
	// are still on their way don't bring it back.
	endKept = time.Minute
	// logPause is the least time between two lines, and between two statuses out of turn,
	// on one target.
	logPause = time.Second
	// sameShare is by how much a limit may differ from the one known and still count as the
	// same: a figure that differs a little in each answer is no news.
	sameShare = 0.05
)

// Record is what is known of targets' limits; of a target, the word of the highest version
// counts. Fields are set before use. It is safe for concurrent use.
type Record struct {
	Clock shelfshelf.Clock
	Log   *log.Logger
	// Changed is called after a target's limit has changed; tell says that this instance
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
	// unreadAt is when the log last had a line on a limit that can't be read.
	unreadAt time.Time
}

// word is the newest of a target.
type word struct {
	limit   shelfshelf.RateLimit
	version uint64
	// namedAt is when this instance last read or heard that there is a limit, and changedAt
	// when it learnt of the latest change.
	namedAt   time.Time
	changedAt time.Time
	// loggedAt is when the log had a line on it.
	loggedAt time.Time
}

// change is what became of a word, for those who have to hear of it.
type change struct {
	target  shelfshelf.TargetName
	key     shelfshelf.TargetKey
	limit   shelfshelf.RateLimit
	changed bool
	logged  bool
}

// Answered takes what a target says with its answer to a request that was sent at an instant.
// An answer without a limit ends one only if its request was sent after the limit was known
// here: heads of answers pass each other on their way.
func (r *Record) Answered(target shelfshelf.TargetName, answer shelfshelf.Answer, sent time.Time) {
	if answer.LimitUnread != "" {
		r.reportUnread(target, answer.LimitUnread)
		return
	}
	unsaid := !answer.Limit.Named && r.known.Load() == 0
	if unsaid || answer.OtherTarget {
		return
	}
	c := r.read(shelfshelf.KeyOfTarget(target), answer.Limit, sent)
	c.target = target
	r.report(c, true)
}

// reportUnread logs a limit that is no number of requests, and leaves what is known as it is.
func (r *Record) reportUnread(target shelfshelf.TargetName, text string) {
	r.mu.Lock()
	now := r.Clock.Now()
	report := now.Sub(r.unreadAt) >= logPause
	if report {
		r.unreadAt = now
	}
	r.mu.Unlock()
	if report {
		r.Log.Warn("A target's limit can't be read and changes nothing.", "target", target, "limit", text)
	}
}

// read takes what this instance has read itself.
func (r *Record) read(key shelfshelf.TargetKey, limit shelfshelf.RateLimit, sent time.Time) change {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	w := r.words[key]
	switch {
	case limit.Named && w != nil && same(w.limit, limit):
		w.namedAt = now
		return change{}
	case limit.Named:
	case w == nil || !w.limit.Named || !sent.After(w.namedAt):
		return change{}
	}
	version := uint64(1)
	if w != nil {
		version = w.version + 1
	}
	return r.take(shelfshelf.TargetLimit{Target: key, Limit: limit, Version: version}, now)
}

// same reports that two limits are as good as equal.
func same(known, limit shelfshelf.RateLimit) bool {
	if !known.Named {
		return false
	}
	least, most := known.PerSecond*(1-sameShare), known.PerSecond*(1+sameShare)
	return limit.PerSecond >= least && limit.PerSecond <= most
}

// Heard takes what another instance knows.
func (r *Record) Heard(limits []shelfshelf.TargetLimit) {
	for _, told := range limits {
		r.report(r.hear(told), false)
	}
}

func (r *Record) hear(told shelfshelf.TargetLimit) change {
	r.mu.Lock()
	defer r.mu.Unlock()
	if w := r.words[told.Target]; w != nil && !newer(told, w) || w == nil && told.Version == 0 {
		return change{}
	}
	return r.take(told, r.Clock.Now())
}

// newer reports that a word goes before the one known. Of two that were read at the same
// moment the smaller limit does.
func newer(told shelfshelf.TargetLimit, w *word) bool {
	switch {
	case told.Version != w.version:
		return told.Version > w.version
	case told.Limit.Named != w.limit.Named:
		return told.Limit.Named
	}
	return told.Limit.PerSecond < w.limit.PerSecond
}

// take puts a word in the place of the one known; the lock is held.
func (r *Record) take(told shelfshelf.TargetLimit, now time.Time) change {
	if r.words == nil {
		r.words = make(map[shelfshelf.TargetKey]*word)
	}
	w := r.words[told.Target]
	if w == nil {
		w = &word{}
		r.words[told.Target] = w
		r.known.Store(int64(len(r.words)))
	}
	c := change{
		target: r.listed[told.Target].Name, key: told.Target, limit: told.Limit,
		changed: w.limit != told.Limit,
	}
	w.limit, w.version = told.Limit, told.Version
	if told.Limit.Named {
		w.namedAt = now
	}
	w.changedAt = now
	if c.logged = c.changed && now.Sub(w.loggedAt) >= logPause; c.logged {
		w.loggedAt = now
	}
	return c
}

// report tells of a change, outside the lock.
func (r *Record) report(c change, own bool) {
	if !c.changed {
		return
	}
	if c.logged {
		r.Log.Info("A target's limit has changed.", "target", c.target, "named", c.limit.Named,
			"perSecond", c.limit.PerSecond, "own", own)
	}
	r.Changed(c.key, own && c.logged)
}

// Targets takes the list of targets: a new life of one has announced nothing yet, and what is
// not listed any more is forgotten once words of it no longer come.
func (r *Record) Targets(targets []shelfshelf.Target) {
	for _, c := range r.list(targets) {
		r.report(c, false)
	}
}

func (r *Record) list(targets []shelfshelf.Target) []change {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	before := r.listed
	r.listed = make(map[shelfshelf.TargetKey]shelfshelf.Target, len(targets))
	var changes []change
	for _, target := range targets {
		key := shelfshelf.KeyOfTarget(target.Name)
		r.listed[key] = target
		earlier, known := before[key]
		if w := r.words[key]; w != nil && w.limit.Named && known && !earlier.SameLife(target) {
			changes = append(changes, r.take(shelfshelf.TargetLimit{Target: key, Version: w.version + 1}, now))
		}
	}
	for key, w := range r.words {
		if _, listed := r.listed[key]; !listed && now.Sub(w.changedAt) > endKept {
			delete(r.words, key)
		}
	}
	r.known.Store(int64(len(r.words)))
	return changes
}

// Limit returns a target's limit.
func (r *Record) Limit(target shelfshelf.TargetKey) shelfshelf.TargetLimit {
	if r.known.Load() == 0 {
		return shelfshelf.TargetLimit{Target: target}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if w := r.words[target]; w != nil {
		return w.told(target)
	}
	return shelfshelf.TargetLimit{Target: target}
}

func (w *word) told(target shelfshelf.TargetKey) shelfshelf.TargetLimit {
	return shelfshelf.TargetLimit{Target: target, Limit: w.limit, Version: w.version}
}

// Limited returns how many targets have a limit.
func (r *Record) Limited() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, w := range r.words {
		if w.limit.Named {
			count++
		}
	}
	return count
}
