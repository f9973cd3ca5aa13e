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
func (t *Tracker) Known() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.asOf > 0
}

// ApplyStoreUpdate applies the result of reading the store. An incremental update must start at or before the
// position up to which the caller has already applied updates, through ApplyStoreUpdate or Merge.
func (t *Tracker) ApplyStoreUpdate(update shelfshelf.EvacuationUpdate) {
	t.apply(update, storeSource)
}

// Merge merges the state received from another instance.
func (t *Tracker) Merge(known shelfshelf.EvacuationState, from string) {
	t.apply(shelfshelf.EvacuationUpdate{Full: true, Started: known.DataCentres, AsOf: known.AsOf}, from)
}

// apply merges an update if its store position is newer than that of the current state.
func (t *Tracker) apply(update shelfshelf.EvacuationUpdate, from string) {
	t.mu.Lock()
	if update.AsOf <= t.asOf {
		t.mu.Unlock()
		return
	}
	stored := slices.Clone(update.Started)
	if !update.Full {
		stored = append(stored, slices.DeleteFunc(slices.Clone(t.stored), func(centre shelfshelf.DataCentre) bool {
			return slices.Contains(update.Ended, centre)
		})...)
	}
	if t.asOf > 0 && shelfshelf.EpochOf(update.AsOf) > shelfshelf.EpochOf(t.asOf) {
		t.retainMissing(stored)
	}
	slices.Sort(stored)
	t.stored = slices.Compact(stored)
	t.asOf = update.AsOf
	t.mu.Unlock()
	t.notifyIfChanged(from)
}

// retainMissing keeps the current evacuations that the restored copy lacks until the grace period
// ends. The caller must hold t.mu.
func (t *Tracker) retainMissing(restored []shelfshelf.DataCentre) {
	expiry := t.Clock.Now().Add(restoreGrace)
	for _, centre := range t.stored {
		if slices.Contains(restored, centre) {
			continue
		}
		if t.retained == nil {
			t.retained = make(map[shelfshelf.DataCentre]time.Time)
		}
		t.retained[centre] = expiry
	}
}

// Snapshot returns the snapshot to send to other instances: the store's state, without retained evacuations.
// It is called many times a second, so it also serves to expire retained evacuations.
func (t *Tracker) Snapshot() shelfshelf.EvacuationState {
	t.notifyIfChanged(storeSource)
	t.mu.Lock()
	defer t.mu.Unlock()
	return shelfshelf.EvacuationState{DataCentres: t.stored, AsOf: t.asOf}
}

// effective returns the data centres whose targets get no new requests, and drops expired retained
// evacuations. The caller must hold t.mu.
func (t *Tracker) effective() []shelfshelf.DataCentre {
	if len(t.retained) == 0 {
		return t.stored
	}
	now := t.Clock.Now()
	all := slices.Clone(t.stored)
	for centre, expiry := range t.retained {
		if now.Before(expiry) {
			all = append(all, centre)
		} else {
			delete(t.retained, centre)
		}
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// notifyIfChanged calls OnChange if the set of evacuated data centres has changed. The caller must not
// hold t.mu.
func (t *Tracker) notifyIfChanged(from string) {
	t.mu.Lock()
	evacuated := t.effective()
	changed := !slices.Equal(evacuated, t.reported)
	t.reported = evacuated
	asOf := t.asOf
	t.mu.Unlock()
	if !changed {
		return
	}
	t.Log.Info("Evacuated data centres have changed.", "evacuated", evacuated, "asOf", asOf, "from", from)
	t.OnChange(evacuated)
}

// Count returns the number of evacuated data centres.
func (t *Tracker) Count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.reported)
}
