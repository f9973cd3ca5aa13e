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
	// crashRetention is how long a crash is remembered: several times the longest quarantine, so that
	// quarantines don't become shorter again. maxCrashes is how many are remembered; with eight runs each
	// they take about 200 KB.
	crashRetention = 7 * maxQuarantine
	maxCrashes     = 1000
	// maxRunsPerCrash limits the runs of one crash.
	maxRunsPerCrash = 256
	// sameCrashWindow is how long after a crash connections may still break because of it. A connection
	// that breaks later belongs to another crash, of a target that restarted under the same name.
	sameCrashWindow = 1500 * time.Millisecond
)

// Tracker holds the known crashes. Trackers converge: two that received the same information are equal, in
// whatever order it came. Set the exported fields before use. It is safe for concurrent use.
type Tracker struct {
	Clock shelfshelf.Clock
	Log   *log.Logger
	// Self determines the time after a quarantine at which this instance lets a probe through.
	Self shelfshelf.InstanceID

	mu      sync.Mutex
	crashes map[shelfshelf.CrashID]*crash
	updates map[shelfshelf.CrashID]update
	// blamed holds the blame of the requests in the current crashes, and probes the requests let through at
	// the end of a quarantine.
	blamed  map[shelfshelf.Fingerprint]blame
	probes  map[shelfshelf.Fingerprint]probe
	hash    uint64
	changed chan struct{}
}

// Changed returns a channel that receives a value after the known crashes have changed.
func (r *Tracker) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changedChannel()
}

// changedChannel returns the channel of Changed. The caller must hold r.mu.
func (r *Tracker) changedChannel() chan struct{} {
	if r.changed == nil {
		r.changed = make(chan struct{}, 1)
	}
	return r.changed
}

// RecordCrash records that a target crashed at the given time while it was running requests.
func (r *Tracker) RecordCrash(target shelfshelf.Target, requests []shelfshelf.Fingerprint, at time.Time) shelfshelf.CrashID {
	r.mu.Lock()
	defer r.mu.Unlock()
	id := r.crashID(target, at)
	observed := shelfshelf.Crash{ID: id, Age: r.Clock.Now().Sub(at)}
	for _, request := range requests {
		observed.Requests = append(observed.Requests, shelfshelf.InFlightRequest{Request: request})
	}
	if r.merge(observed, true) {
		r.reassess()
	}
	return id
}

// crashID returns the ID of the first crash of the target's process, or of a further one if the previous
// one is too long ago to be the same. The caller must hold r.mu.
func (r *Tracker) crashID(target shelfshelf.Target, at time.Time) shelfshelf.CrashID {
	hash := xxhash.New()
	_, _ = hash.WriteString(string(target.Name))
	var born [8]byte
	binary.BigEndian.PutUint64(born[:], uint64(target.StartedAt.UnixMilli()))
	_, _ = hash.Write(born[:])
	for {
		id := shelfshelf.CrashID(hash.Sum64())
		c := r.crashes[id]
		if c == nil || at.Sub(c.at) < sameCrashWindow {
			return id
		}
		_, _ = hash.WriteString("again")
	}
}

// RequestCompleted records that a run of a request completed, so the request didn't cause the earlier crashes of
// targets that ran it.
func (r *Tracker) RequestCompleted(request shelfshelf.Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, suspected := r.blamed[request]; !suspected {
		return
	}
	for id, c := range r.crashes {
		if cleared, ran := c.runs[request]; ran && !cleared {
			r.setRun(id, c, request, true)
			r.markUpdated(id, true)
		}
	}
	r.reassess()
}

// Merge merges crashes received from another instance. unknownLocally means that other instances of this
// data centre may not have received them.
func (r *Tracker) Merge(received []shelfshelf.Crash, unknownLocally bool) {
	if len(received) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := false
	for _, c := range received {
		if r.merge(c, unknownLocally) {
			changed = true
			r.Log.Info("Another instance reported a crash of a target.", "crash", uint64(c.ID), "age", c.Age, "runs", len(c.Requests))
		}
	}
	if changed {
		r.reassess()
	}
}

// merge merges a received crash and reports whether it brought new information. The caller must hold
// r.mu.
func (r *Tracker) merge(received shelfshelf.Crash, unknownLocally bool) bool {
	if received.Age >= crashRetention {
		return false
	}
	c := r.crashes[received.ID]
	changed := c == nil
	if c == nil {
		c = &crash{at: r.Clock.Now().Add(-max(received.Age, 0)), runs: make(map[shelfshelf.Fingerprint]bool)}
		if r.crashes == nil {
			r.crashes = make(map[shelfshelf.CrashID]*crash)
		}
		r.crashes[received.ID] = c
	}
	for _, run := range received.Requests {
		cleared, ran := c.runs[run.Request]
		if ran && (cleared || !run.Cleared) || !ran && len(c.runs) >= maxRunsPerCrash {
			continue
		}
		r.setRun(received.ID, c, run.Request, run.Cleared)
		changed = true
	}
	if changed {
		r.markUpdated(received.ID, unknownLocally)
	}
	return changed
}

// setRun sets a run of a crash and updates the hash. The caller must hold r.mu.
func (r *Tracker) setRun(id shelfshelf.CrashID, c *crash, request shelfshelf.Fingerprint, cleared bool) {
	if before, ran := c.runs[request]; ran {
		r.hash ^= hashRun(id, request, before)
	}
	c.runs[request] = cleared
	r.hash ^= hashRun(id, request, cleared)
}

// hashRun returns a run's part of the hash of all runs.
func hashRun(id shelfshelf.CrashID, request shelfshelf.Fingerprint, cleared bool) uint64 {
	var content [17]byte
	binary.BigEndian.PutUint64(content[:], uint64(id))
	binary.BigEndian.PutUint64(content[8:], uint64(request))
	if cleared {
		content[16] = 1
	}
	return xxhash.Sum64(content[:])
}

// hashCrashes returns the hash of the runs of crashes.
func hashCrashes(crashes []shelfshelf.Crash) uint64 {
	hash := uint64(0)
	for _, c := range crashes {
		for _, run := range c.Requests {
			hash ^= hashRun(c.ID, run.Request, run.Cleared)
		}
	}
	return hash
}

// markUpdated marks a crash to be sent to other instances. The caller must hold r.mu.
func (r *Tracker) markUpdated(id shelfshelf.CrashID, unknownLocally bool) {
	if r.updates == nil {
		r.updates = make(map[shelfshelf.CrashID]update)
	}
	r.updates[id] = update{at: r.Clock.Now(), unknownLocally: unknownLocally || r.updates[id].unknownLocally}
}

// reassess removes expired crashes, assigns blame again and signals the change. The caller must hold
// r.mu.
func (r *Tracker) reassess() {
	r.removeExpired()
	blamed := assignBlame(r.crashes)
	for request, b := range blamed {
		if b.quarantined() && !r.blamed[request].quarantined() {
			r.Log.Warn("A request is quarantined.", "fingerprint", request, "ends", b.crashes,
				"unexplained", b.unexplained, "for", quarantineTime(b))
		}
	}
	for request, b := range r.blamed {
		if b.quarantined() && !blamed[request].quarantined() {
			r.Log.Info("A request is no longer quarantined.", "fingerprint", request,
				"ends", blamed[request].crashes, "unexplained", blamed[request].unexplained)
			delete(r.probes, request)
		}
	}
	r.blamed = blamed
	select {
	case r.changedChannel() <- struct{}{}:
	default:
	}
}

// removeExpired removes crashes that are too old or too many, and old updates. The caller must hold
// r.mu.
func (r *Tracker) removeExpired() {
	now := r.Clock.Now()
	for id, c := range r.crashes {
		if now.Sub(c.at) >= crashRetention {
			r.remove(id)
		}
	}
	for id, u := range r.updates {
		if now.Sub(u.at) >= updateLifetime {
			delete(r.updates, id)
		}
	}
	if len(r.crashes) <= maxCrashes {
		return
	}
	for _, id := range r.newestFirst()[maxCrashes:] {
		r.remove(id)
	}
}

// remove removes a crash. The caller must hold r.mu.
func (r *Tracker) remove(id shelfshelf.CrashID) {
	for request, cleared := range r.crashes[id].runs {
		r.hash ^= hashRun(id, request, cleared)
	}
	delete(r.crashes, id)
	delete(r.updates, id)
}

// newestFirst returns the IDs of all crashes, those of the newest first. The caller must hold r.mu.
func (r *Tracker) newestFirst() []shelfshelf.CrashID {
	ids := make([]shelfshelf.CrashID, 0, len(r.crashes))
	for id := range r.crashes {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b shelfshelf.CrashID) int {
		return cmp.Or(r.crashes[b].at.Compare(r.crashes[a].at), cmp.Compare(a, b))
	})
	return ids
}
