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
	blamed map[shelfshelf.Fingerprint]blame
	probes map[shelfshelf.Fingerprint]probe
	// blamedSince is when this instance found that a request or part is to be quarantined. survivedAt is when a
	// run with a part last survived here.
	blamedSince map[shelfshelf.Fingerprint]time.Time
	survivedAt  map[shelfshelf.Fingerprint]time.Time
	hash        uint64
	changed     chan struct{}
}

// Changed returns a channel that receives a value after the known crashes have changed.
func (t *Tracker) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changedChannel()
}

// changedChannel returns the channel of Changed. The caller must hold t.mu.
func (t *Tracker) changedChannel() chan struct{} {
	if t.changed == nil {
		t.changed = make(chan struct{}, 1)
	}
	return t.changed
}

// RecordCrash records that a target crashed at the given time while it was running requests.
func (t *Tracker) RecordCrash(target shelfshelf.Target, requests []shelfshelf.Fingerprint, at time.Time) shelfshelf.CrashID {
	t.mu.Lock()
	defer t.mu.Unlock()
	id := t.crashID(target, at)
	observed := shelfshelf.Crash{ID: id, Age: t.Clock.Now().Sub(at)}
	for _, request := range requests {
		observed.Requests = append(observed.Requests, shelfshelf.InFlightRequest{Request: request})
	}
	if t.merge(observed, true) {
		t.reassess()
	}
	return id
}

// crashID returns the ID of the first crash of the target's process, or of a further one if the previous
// one is too long ago to be the same. The caller must hold t.mu.
func (t *Tracker) crashID(target shelfshelf.Target, at time.Time) shelfshelf.CrashID {
	hash := xxhash.New()
	_, _ = hash.WriteString(string(target.Name))
	var startedAt [8]byte
	binary.BigEndian.PutUint64(startedAt[:], uint64(target.StartedAt.UnixMilli()))
	_, _ = hash.Write(startedAt[:])
	for {
		id := shelfshelf.CrashID(hash.Sum64())
		c := t.crashes[id]
		if c == nil || at.Sub(c.at) < sameCrashWindow {
			return id
		}
		_, _ = hash.WriteString("again")
	}
}

// RequestCompleted records that a run of a request completed, so the request didn't cause the earlier crashes of
// targets that ran it.
func (t *Tracker) RequestCompleted(request shelfshelf.Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.clear(request) {
		t.reassess()
	}
}

// clear clears a request or part of the earlier crashes, and reports whether there were any. The caller must
// hold t.mu.
func (t *Tracker) clear(request shelfshelf.Fingerprint) bool {
	if _, suspected := t.blamed[request]; !suspected {
		return false
	}
	for id, c := range t.crashes {
		if cleared, ran := c.runs[request]; ran && !cleared {
			t.setRun(id, c, request, true)
			t.markUpdated(id, true)
		}
	}
	return true
}

// Merge merges crashes received from another instance. unknownLocally means that other instances of this
// data centre may not have received them.
func (t *Tracker) Merge(received []shelfshelf.Crash, unknownLocally bool) {
	if len(received) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	for _, c := range received {
		if t.merge(c, unknownLocally) {
			changed = true
			t.Log.Info("Another instance reported a crash of a target.", "crash", uint64(c.ID), "age", c.Age, "runs", len(c.Requests))
		}
	}
	if changed {
		t.reassess()
	}
}

// merge merges a received crash and reports whether it brought new information. The caller must hold
// t.mu.
func (t *Tracker) merge(received shelfshelf.Crash, unknownLocally bool) bool {
	if received.Age >= crashRetention {
		return false
	}
	c := t.crashes[received.ID]
	changed := c == nil
	if c == nil {
		c = &crash{at: t.Clock.Now().Add(-max(received.Age, 0)), runs: make(map[shelfshelf.Fingerprint]bool)}
		if t.crashes == nil {
			t.crashes = make(map[shelfshelf.CrashID]*crash)
		}
		t.crashes[received.ID] = c
	}
	for _, run := range received.Requests {
		if !run.Cleared && t.survivedBefore(run.Request, c.at) {
			run.Cleared = true
			// Those that had the crash from the same source don't know this.
			unknownLocally = true
		}
		cleared, ran := c.runs[run.Request]
		if ran && (cleared || !run.Cleared) || !ran && len(c.runs) >= maxRunsPerCrash {
			continue
		}
		t.setRun(received.ID, c, run.Request, run.Cleared)
		changed = true
	}
	if changed {
		t.markUpdated(received.ID, unknownLocally)
	}
	return changed
}

// setRun sets a run of a crash and updates the hash. The caller must hold t.mu.
func (t *Tracker) setRun(id shelfshelf.CrashID, c *crash, request shelfshelf.Fingerprint, cleared bool) {
	if before, ran := c.runs[request]; ran {
		t.hash ^= hashRun(id, request, before)
	}
	c.runs[request] = cleared
	t.hash ^= hashRun(id, request, cleared)
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

// markUpdated marks a crash to be sent to other instances. The caller must hold t.mu.
func (t *Tracker) markUpdated(id shelfshelf.CrashID, unknownLocally bool) {
	if t.updates == nil {
		t.updates = make(map[shelfshelf.CrashID]update)
	}
	t.updates[id] = update{at: t.Clock.Now(), unknownLocally: unknownLocally || t.updates[id].unknownLocally}
}

// reassess removes expired crashes, assigns blame again and signals the change. The caller must hold
// t.mu.
func (t *Tracker) reassess() {
	t.removeExpired()
	blamed := assignBlame(t.crashes)
	for request, b := range blamed {
		if b.quarantined(request) && !t.blamed[request].quarantined(request) {
			t.noteBlamed(request)
			t.Log.Warn("A request is quarantined.", "fingerprint", request, "part", request.IsPart(), "ends", b.crashes,
				"unexplained", b.unexplained, "for", quarantineTime(b))
		}
	}
	for request, b := range t.blamed {
		if b.quarantined(request) && !blamed[request].quarantined(request) {
			delete(t.blamedSince, request)
			t.Log.Info("A request is no longer quarantined.", "fingerprint", request,
				"ends", blamed[request].crashes, "unexplained", blamed[request].unexplained)
			delete(t.probes, request)
		}
	}
	t.blamed = blamed
	select {
	case t.changedChannel() <- struct{}{}:
	default:
	}
}

// removeExpired removes crashes that are too old or too many, and old updates. The caller must hold
// t.mu.
func (t *Tracker) removeExpired() {
	now := t.Clock.Now()
	for id, c := range t.crashes {
		if now.Sub(c.at) >= crashRetention {
			t.remove(id)
		}
	}
	for id, u := range t.updates {
		if now.Sub(u.at) >= updateLifetime {
			delete(t.updates, id)
		}
	}
	if len(t.crashes) <= maxCrashes {
		return
	}
	for _, id := range t.newestFirst()[maxCrashes:] {
		t.remove(id)
	}
}

// remove removes a crash. The caller must hold t.mu.
func (t *Tracker) remove(id shelfshelf.CrashID) {
	for request, cleared := range t.crashes[id].runs {
		t.hash ^= hashRun(id, request, cleared)
	}
	delete(t.crashes, id)
	delete(t.updates, id)
}

// newestFirst returns the IDs of all crashes, those of the newest first. The caller must hold t.mu.
func (t *Tracker) newestFirst() []shelfshelf.CrashID {
	ids := make([]shelfshelf.CrashID, 0, len(t.crashes))
	for id := range t.crashes {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b shelfshelf.CrashID) int {
		return cmp.Or(t.crashes[b].at.Compare(t.crashes[a].at), cmp.Compare(a, b))
	})
	return ids
}
