package evacuation

import (
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/shelfshelf/shelfshelf"
)

// restoreGrace is how long an evacuation stays in force after the store was restored from an older
// copy that lacks it. The operator may have to order the evacuation again.
const restoreGrace = 5 * time.Second

// storeSource names the store as the source of an update in logs.
const storeSource = "source"

// Tracker tracks the evacuated data centres. Its exported fields must be set before use. It is safe for
// concurrent use.
type Tracker struct {
	Clock shelfshelf.Clock
	Log   *log.Logger
	// OnChange is called without locks held whenever the set of evacuated data centres has changed,
	// with the new set.
	OnChange func(evacuated []shelfshelf.DataCentre)

	mu sync.Mutex
	// stored holds the evacuations in the store as of position asOf. retained holds those that an
	// older copy of the store lacks, each with the time at which it expires.
	stored   []shelfshelf.DataCentre
	retained map[shelfshelf.DataCentre]time.Time
	asOf     uint64
	// reported is the set last passed to OnChange.
	reported []shelfshelf.DataCentre
}

// Known reports whether any information about evacuations has been received.
func (r *Tracker) Known() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.asOf > 0
}

// ApplyStoreUpdate applies the result of reading the store. An incremental update must start at or before the
// position up to which the caller has already applied updates, through ApplyStoreUpdate or Merge.
func (r *Tracker) ApplyStoreUpdate(update shelfshelf.EvacuationUpdate) {
	r.apply(update, storeSource)
}

// Merge merges the state received from another instance.
func (r *Tracker) Merge(known shelfshelf.EvacuationState, from string) {
	r.apply(shelfshelf.EvacuationUpdate{Full: true, Started: known.DataCentres, AsOf: known.AsOf}, from)
}

// apply merges an update if its store position is newer than that of the current state.
func (r *Tracker) apply(update shelfshelf.EvacuationUpdate, from string) {
	r.mu.Lock()
	if update.AsOf <= r.asOf {
		r.mu.Unlock()
		return
	}
	stored := slices.Clone(update.Started)
	if !update.Full {
		stored = append(stored, slices.DeleteFunc(slices.Clone(r.stored), func(centre shelfshelf.DataCentre) bool {
			return slices.Contains(update.Ended, centre)
		})...)
	}
	if r.asOf > 0 && shelfshelf.EraOf(update.AsOf) > shelfshelf.EraOf(r.asOf) {
		r.retainMissing(stored)
	}
	slices.Sort(stored)
	r.stored = slices.Compact(stored)
	r.asOf = update.AsOf
	r.mu.Unlock()
	r.notifyIfChanged(from)
}

// retainMissing keeps the current evacuations that the restored copy lacks until the grace period
// ends. The caller must hold r.mu.
func (r *Tracker) retainMissing(restored []shelfshelf.DataCentre) {
	expiry := r.Clock.Now().Add(restoreGrace)
	for _, centre := range r.stored {
		if slices.Contains(restored, centre) {
			continue
		}
		if r.retained == nil {
			r.retained = make(map[shelfshelf.DataCentre]time.Time)
		}
		r.retained[centre] = expiry
	}
}

// Snapshot returns the snapshot to send to other instances: the store's state, without retained evacuations.
// It is called many times a second, so it also serves to expire retained evacuations.
func (r *Tracker) Snapshot() shelfshelf.EvacuationState {
	r.notifyIfChanged(storeSource)
	r.mu.Lock()
	defer r.mu.Unlock()
	return shelfshelf.EvacuationState{DataCentres: r.stored, AsOf: r.asOf}
}

// effective returns the data centres whose targets get no new requests, and drops expired retained
// evacuations. The caller must hold r.mu.
func (r *Tracker) effective() []shelfshelf.DataCentre {
	if len(r.retained) == 0 {
		return r.stored
	}
	now := r.Clock.Now()
	all := slices.Clone(r.stored)
	for centre, expiry := range r.retained {
		if now.Before(expiry) {
			all = append(all, centre)
		} else {
			delete(r.retained, centre)
		}
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// notifyIfChanged calls OnChange if the set of evacuated data centres has changed. The caller must not
// hold r.mu.
func (r *Tracker) notifyIfChanged(from string) {
	r.mu.Lock()
	evacuated := r.effective()
	changed := !slices.Equal(evacuated, r.reported)
	r.reported = evacuated
	asOf := r.asOf
	r.mu.Unlock()
	if !changed {
		return
	}
	r.Log.Info("Evacuated data centres have changed.", "evacuated", evacuated, "asOf", asOf, "from", from)
	r.OnChange(evacuated)
}

// Count returns the number of evacuated data centres.
func (r *Tracker) Count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.reported)
}
