package crashes

import (
	"time"

	"github.com/shelfshelf/shelfshelf"
)

const (
	// tellFor is how long what is new is told with each status: 4 to 30 times, over links
	// that lose messages.
	tellFor = time.Second
	// tellBytes bounds what one status tells, in bytes; the rest is fetched.
	tellBytes = 4 << 10
	// leastSaved is from how many ends on a request is saved: who was at one target that
	// ended is not worth a row, and most of those who were have no second one.
	leastSaved = 2
)

// news is a crash of which something was learnt lately.
type news struct {
	at time.Time
	// wide says that the others of the data centre may not have heard it where this
	// instance did.
	wide bool
}

// News returns what was learnt lately, as far as it has room in a status; without wide,
// only what the others of the data centre can't have heard where this instance did.
func (r *Record) News(wide bool) []shelfshelf.Crash {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.news) == 0 {
		return nil
	}
	now := r.Clock.Now()
	var told []shelfshelf.Crash
	room := tellBytes
	for id, n := range r.news {
		if now.Sub(n.at) >= tellFor || !wide && !n.wide {
			continue
		}
		next := r.crashes[id].told(id, now)
		if room -= wireSize(next); room < 0 && len(told) > 0 {
			break
		}
		told = append(told, next)
	}
	return told
}

// told returns the form in which a crash is told to others.
func (c *crash) told(id shelfshelf.CrashID, now time.Time) shelfshelf.Crash {
	told := shelfshelf.Crash{ID: id, Age: now.Sub(c.at)}
	for request, outlived := range c.runs {
		told.Runs = append(told.Runs, shelfshelf.CrashedRun{Request: request, Outlived: outlived})
	}
	return told
}

// All returns all that is known, the newest first.
func (r *Record) All() []shelfshelf.Crash {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	var all []shelfshelf.Crash
	for _, id := range r.newestFirst() {
		all = append(all, r.crashes[id].told(id, now))
	}
	return all
}

// Hash returns a value that two records have in common that know the same.
func (r *Record) Hash() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hash
}

// Suspected returns the crashes with only the runs that matter after a restart of all, the
// newest first.
func (r *Record) Suspected() []shelfshelf.Crash {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	var suspected []shelfshelf.Crash
	for _, id := range r.newestFirst() {
		told := shelfshelf.Crash{ID: id, Age: now.Sub(r.crashes[id].at)}
		for request, outlived := range r.crashes[id].runs {
			if !outlived && r.judged[request].ends >= leastSaved {
				told.Runs = append(told.Runs, shelfshelf.CrashedRun{Request: request})
			}
		}
		if len(told.Runs) > 0 {
			suspected = append(suspected, told)
		}
	}
	return suspected
}
