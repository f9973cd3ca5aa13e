package crashes

import (
	"time"

	"github.com/shelfshelf/shelfshelf"
)

const (
	// updateLifetime is how long an update is included in each status: 4 to 30 times, because links lose
	// messages.
	updateLifetime = time.Second
	// maxUpdateBytes limits the crashes in one status, in bytes. The rest is fetched.
	maxUpdateBytes = 4 << 10
	// minSavedCrashes is the number of crashes from which a request is saved. A single crash isn't worth a
	// row, as most requests that ran beside one never meet a second.
	minSavedCrashes = 2
)

// update marks a crash about which this instance has learnt something recently.
type update struct {
	at time.Time
	// unknownLocally means that this instance may be the only one in its data centre that has received
	// the information.
	unknownLocally bool
}

// Updates returns the recently updated crashes, as many as fit into a status. Unless all is set, it leaves
// out those that the other instances of this data centre received from the same source.
func (t *Tracker) Updates(all bool) []shelfshelf.Crash {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.updates) == 0 {
		return nil
	}
	now := t.Clock.Now()
	var sent []shelfshelf.Crash
	bytesLeft := maxUpdateBytes
	for id, u := range t.updates {
		if now.Sub(u.at) >= updateLifetime || !all && !u.unknownLocally {
			continue
		}
		next := t.crashes[id].export(id, now)
		if bytesLeft -= wireSize(next); bytesLeft < 0 && len(sent) > 0 {
			break
		}
		sent = append(sent, next)
	}
	return sent
}

// export returns the form in which a crash is sent to other instances. The caller must hold the mutex of
// the Tracker.
func (c *crash) export(id shelfshelf.CrashID, now time.Time) shelfshelf.Crash {
	exported := shelfshelf.Crash{ID: id, Age: now.Sub(c.at)}
	for request, cleared := range c.runs {
		exported.Requests = append(exported.Requests, shelfshelf.InFlightRequest{Request: request, Cleared: cleared})
	}
	return exported
}

// All returns all known crashes, the newest first.
func (t *Tracker) All() []shelfshelf.Crash {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Now()
	var all []shelfshelf.Crash
	for _, id := range t.newestFirst() {
		all = append(all, t.crashes[id].export(id, now))
	}
	return all
}

// Hash returns a hash of the runs of all crashes. It is equal for trackers that know the same runs.
func (t *Tracker) Hash() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hash
}

// CrashesToSave returns the crashes, the newest first, with only the runs that matter after a restart of all
// instances.
func (t *Tracker) CrashesToSave() []shelfshelf.Crash {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Now()
	var suspected []shelfshelf.Crash
	for _, id := range t.newestFirst() {
		saved := shelfshelf.Crash{ID: id, Age: now.Sub(t.crashes[id].at)}
		for request, cleared := range t.crashes[id].runs {
			if !cleared && t.blamed[request].crashes >= minSavedCrashes {
				saved.Requests = append(saved.Requests, shelfshelf.InFlightRequest{Request: request})
			}
		}
		if len(saved.Requests) > 0 {
			suspected = append(suspected, saved)
		}
	}
	return suspected
}
