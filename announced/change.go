package announced

import (
	"time"

	"github.com/shelfshelf/shelfshelf"
)

// change is what became of a word, for those who have to hear of it.
type change struct {
	target shelfshelf.TargetName
	word   shelfshelf.TargetWord
	// limit, leaving and rest say what has changed, logged that the limit's line is due, and
	// restLogged that the rest's is.
	limit      bool
	leaving    bool
	rest       bool
	logged     bool
	restLogged bool
}

// changed compares a word with what it was; the lock is held.
func (r *Record) changed(before shelfshelf.TargetWord, w *word, now time.Time) change {
	c := change{
		target: r.listed[w.Target].Name, word: w.TargetWord,
		limit: before.Limit != w.Limit, leaving: before.Leaving != w.Leaving,
		rest: !before.RestUntil.Equal(w.RestUntil),
	}
	if before.Version != w.Version || c.limit || c.leaving {
		w.changedAt = now
	}
	c.logged = c.limit && now.Sub(w.loggedAt) >= logPause
	if c.logged {
		w.loggedAt = now
	}
	c.restLogged = c.rest && now.Sub(w.restLoggedAt) >= logPause
	if c.restLogged {
		w.restLoggedAt = now
	}
	return c
}

// report tells of a change, outside the lock.
func (r *Record) report(c change, own bool) {
	if !c.limit && !c.leaving && !c.rest {
		return
	}
	if c.logged {
		r.Log.Info("A target's limit has changed.", "target", c.target, "named", c.word.Limit.Named,
			"perSecond", c.word.Limit.PerSecond, "own", own)
	}
	if c.leaving {
		r.Log.Info("A target's word of leaving has changed.", "target", c.target, "leaving", c.word.Leaving,
			"born", c.word.Born, "own", own)
	}
	if c.restLogged {
		r.Log.Info("A target wants rest.", "target", c.target, "left", c.word.RestUntil.Sub(r.Clock.Now()))
	}
	r.Changed(c.word.Target, own && (c.logged || c.leaving))
}
