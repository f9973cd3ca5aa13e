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
func (r *Tracker) Updates(all bool) []shelfshelf.Crash {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.updates) == 0 {
		return nil
	}
	now := r.Clock.Now()
	var sent []shelfshelf.Crash
	bytesLeft := maxUpdateBytes
	for id, u := range r.updates {
		if now.Sub(u.at) >= updateLifetime || !all && !u.unknownLocally {
			continue
		}
		next := r.crashes[id].export(id, now)
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
func (r *Tracker) All() []shelfshelf.Crash {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	var all []shelfshelf.Crash
	for _, id := range r.newestFirst() {
		all = append(all, r.crashes[id].export(id, now))
	}
	return all
}

// Hash returns a hash of the runs of all crashes. It is equal for trackers that know the same runs.
func (r *Tracker) Hash() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hash
}

// CrashesToSave returns the crashes, the newest first, with only the runs that matter after a restart of all
// instances.
func (r *Tracker) CrashesToSave() []shelfshelf.Crash {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	var suspected []shelfshelf.Crash
	for _, id := range r.newestFirst() {
		saved := shelfshelf.Crash{ID: id, Age: now.Sub(r.crashes[id].at)}
		for request, cleared := range r.crashes[id].runs {
			if !cleared && r.blamed[request].crashes >= minSavedCrashes {
				saved.Requests = append(saved.Requests, shelfshelf.InFlightRequest{Request: request})
			}
		}
		if len(saved.Requests) > 0 {
			suspected = append(suspected, saved)
		}
	}
	return suspected
}
