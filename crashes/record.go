package crashes

import (
	"cmp"
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"

	"github.com/shelfshelf/shelfshelf"
)

const (
	// keepFor is how long a crash is remembered, several of the longest holds, so that they
	// don't become shorter again; maxCrashes is how many are: at eight runs each they take
	// some 200 KB.
	keepFor    = 7 * longestHold
	maxCrashes = 1000
	// maxRuns bounds the runs of one crash.
	maxRuns = 256
	// sameEnd is how long after a target's end its connections may still break: what breaks
	// later is another end of a target that started again under its name.
	sameEnd = 1500 * time.Millisecond
)

// Record is what is known of crashes. Two instances that have heard the same say the
// same, in whatever order they heard it. Fields are set before use. It is safe for
// concurrent use.
type Record struct {
	Clock shelfshelf.Clock
	Log   *log.Logger
	// Self spreads the ends of holds over the instances.
	Self shelfshelf.InstanceID

	mu      sync.Mutex
	crashes map[shelfshelf.CrashID]*crash
	news    map[shelfshelf.CrashID]news
	// judged are the verdicts of today's crashes, and tries the requests let through at
	// the end of a hold.
	judged  map[shelfshelf.Fingerprint]verdict
	tries   map[shelfshelf.Fingerprint]try
	hash    uint64
	changed chan struct{}
}

// Changed returns a channel that receives after something was learnt.
func (r *Record) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changes()
}

func (r *Record) changes() chan struct{} {
	if r.changed == nil {
		r.changed = make(chan struct{}, 1)
	}
	return r.changed
}

// Ended notes that a target ended, at an instant, while it ran requests.
func (r *Record) Ended(target shelfshelf.Target, requests []shelfshelf.Fingerprint, at time.Time) shelfshelf.CrashID {
	r.mu.Lock()
	defer r.mu.Unlock()
	id := r.idOf(target, at)
	told := shelfshelf.Crash{ID: id, Age: r.Clock.Now().Sub(at)}
	for _, request := range requests {
		told.Runs = append(told.Runs, shelfshelf.CrashedRun{Request: request})
	}
	if r.merge(told, true) {
		r.learnt()
	}
	return id
}

// idOf names the end of a target: the first of this life, or another one if that was too
// long ago to be the same. The lock is held.
func (r *Record) idOf(target shelfshelf.Target, at time.Time) shelfshelf.CrashID {
	hash := xxhash.New()
	_, _ = hash.WriteString(string(target.Name))
	var number [8]byte
	binary.BigEndian.PutUint64(number[:], uint64(target.Born.UnixMilli()))
	_, _ = hash.Write(number[:])
	for {
		id := shelfshelf.CrashID(hash.Sum64())
		c := r.crashes[id]
		if c == nil || at.Sub(c.at) < sameEnd {
			return id
		}
		_, _ = hash.WriteString("again")
	}
}

// Outlived notes that a run of a request came to its end: the targets that ended under it
// before did not end of it.
func (r *Record) Outlived(request shelfshelf.Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, suspected := r.judged[request]; !suspected {
		return
	}
	for id, c := range r.crashes {
		if outlived, ran := c.runs[request]; ran && !outlived {
			r.setRun(id, c, request, true)
			r.note(id, true)
		}
	}
	r.learnt()
}

// Heard takes what another instance knows; wide says that others of this data centre may
// not have heard it.
func (r *Record) Heard(told []shelfshelf.Crash, wide bool) {
	if len(told) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := false
	for _, c := range told {
		if r.merge(c, wide) {
			changed = true
			r.Log.Info("A target's end was told.", "crash", uint64(c.ID), "age", c.Age, "runs", len(c.Runs))
		}
	}
	if changed {
		r.learnt()
	}
}

// merge adds what is told of a crash and reports whether that was new; the lock is held.
func (r *Record) merge(told shelfshelf.Crash, wide bool) bool {
	if told.Age >= keepFor {
		return false
	}
	c := r.crashes[told.ID]
	changed := c == nil
	if c == nil {
		c = &crash{at: r.Clock.Now().Add(-max(told.Age, 0)), runs: make(map[shelfshelf.Fingerprint]bool)}
		if r.crashes == nil {
			r.crashes = make(map[shelfshelf.CrashID]*crash)
		}
		r.crashes[told.ID] = c
	}
	for _, run := range told.Runs {
		outlived, ran := c.runs[run.Request]
		if ran && (outlived || !run.Outlived) || !ran && len(c.runs) >= maxRuns {
			continue
		}
		r.setRun(told.ID, c, run.Request, run.Outlived)
		changed = true
	}
	if changed {
		r.note(told.ID, wide)
	}
	return changed
}

// setRun notes a run of a crash, and keeps the hash; the lock is held.
func (r *Record) setRun(id shelfshelf.CrashID, c *crash, request shelfshelf.Fingerprint, outlived bool) {
	if before, ran := c.runs[request]; ran {
		r.hash ^= hashOfRun(id, request, before)
	}
	c.runs[request] = outlived
	r.hash ^= hashOfRun(id, request, outlived)
}

// hashOfRun is a run's part of the hash of all.
func hashOfRun(id shelfshelf.CrashID, request shelfshelf.Fingerprint, outlived bool) uint64 {
	var content [17]byte
	binary.BigEndian.PutUint64(content[:], uint64(id))
	binary.BigEndian.PutUint64(content[8:], uint64(request))
	if outlived {
		content[16] = 1
	}
	return xxhash.Sum64(content[:])
}

// hashOfAll is the hash of the runs of crashes.
func hashOfAll(crashes []shelfshelf.Crash) uint64 {
	hash := uint64(0)
	for _, c := range crashes {
		for _, run := range c.Runs {
			hash ^= hashOfRun(c.ID, run.Request, run.Outlived)
		}
	}
	return hash
}

// note marks a crash as one to be told; the lock is held.
func (r *Record) note(id shelfshelf.CrashID, wide bool) {
	if r.news == nil {
		r.news = make(map[shelfshelf.CrashID]news)
	}
	r.news[id] = news{at: r.Clock.Now(), wide: wide || r.news[id].wide}
}

// learnt drops what is too old and judges anew; the lock is held.
func (r *Record) learnt() {
	r.dropOld()
	judged := judge(r.crashes)
	for request, v := range judged {
		if v.held() && !r.judged[request].held() {
			r.Log.Warn("A request is held back.", "fingerprint", request, "ends", v.ends, "unexplained", v.unexplained, "for", holdFor(v))
		}
	}
	for request, v := range r.judged {
		if v.held() && !judged[request].held() {
			r.Log.Info("A request is held back no more.", "fingerprint", request, "ends", judged[request].ends, "unexplained", judged[request].unexplained)
			delete(r.tries, request)
		}
	}
	r.judged = judged
	select {
	case r.changes() <- struct{}{}:
	default:
	}
}

// dropOld forgets crashes that are too old, or too many; the lock is held.
func (r *Record) dropOld() {
	now := r.Clock.Now()
	for id, c := range r.crashes {
		if now.Sub(c.at) >= keepFor {
			r.drop(id)
		}
	}
	for id, n := range r.news {
		if now.Sub(n.at) >= tellFor {
			delete(r.news, id)
		}
	}
	if len(r.crashes) <= maxCrashes {
		return
	}
	for _, id := range r.newestFirst()[maxCrashes:] {
		r.drop(id)
	}
}

func (r *Record) drop(id shelfshelf.CrashID) {
	for request, outlived := range r.crashes[id].runs {
		r.hash ^= hashOfRun(id, request, outlived)
	}
	delete(r.crashes, id)
	delete(r.news, id)
}

// newestFirst returns all crashes by age; the lock is held.
func (r *Record) newestFirst() []shelfshelf.CrashID {
	ids := make([]shelfshelf.CrashID, 0, len(r.crashes))
	for id := range r.crashes {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b shelfshelf.CrashID) int {
		return cmp.Or(r.crashes[b].at.Compare(r.crashes[a].at), cmp.Compare(a, b))
	})
	return ids
}
