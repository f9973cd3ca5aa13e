package evacuation

import (
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/shelfshelf/shelfshelf"
)

// doubtTime is how long an evacuation holds on that the store lacks since it came back from an older
// copy: the operator may have to order it again.
const doubtTime = 5 * time.Second

// fromSource stands for the store where it is told who told something.
const fromSource = "source"

// Record is which data centres are evacuated. Fields are set before use. It is safe for concurrent
// use.
type Record struct {
	Clock shelfshelf.Clock
	Log   *log.Logger
	// Changed is called, outside locks, with the data centres that are evacuated after they have
	// changed.
	Changed func(evacuated []shelfshelf.DataCentre)

	mu sync.Mutex
	// listed are those of the store as of asOf, and doubted those that an older copy lacks, each
	// with when it is given up.
	listed  []shelfshelf.DataCentre
	doubted map[shelfshelf.DataCentre]time.Time
	asOf    uint64
	// told is what Changed was called with last.
	told []shelfshelf.DataCentre
}

// Known reports that it is known which data centres are evacuated.
func (r *Record) Known() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.asOf > 0
}

// Read takes what a read of the store has brought. Who reads changes has read or heard all up to where
// they begin.
func (r *Record) Read(update shelfshelf.EvacuationUpdate) {
	r.take(update, fromSource)
}

// Heard takes what another instance knows.
func (r *Record) Heard(told shelfshelf.Evacuated, from string) {
	r.take(shelfshelf.EvacuationUpdate{Whole: true, Begun: told.DataCentres, AsOf: told.AsOf}, from)
}

// take takes what is newer.
func (r *Record) take(update shelfshelf.EvacuationUpdate, from string) {
	r.mu.Lock()
	if update.AsOf <= r.asOf {
		r.mu.Unlock()
		return
	}
	listed := slices.Clone(update.Begun)
	if !update.Whole {
		listed = append(listed, slices.DeleteFunc(slices.Clone(r.listed), func(centre shelfshelf.DataCentre) bool {
			return slices.Contains(update.Ended, centre)
		})...)
	}
	if r.asOf > 0 && shelfshelf.EraOf(update.AsOf) > shelfshelf.EraOf(r.asOf) {
		r.doubt(listed)
	}
	slices.Sort(listed)
	r.listed = slices.Compact(listed)
	r.asOf = update.AsOf
	r.mu.Unlock()
	r.report(from)
}

// doubt keeps for a while what an older copy lacks; the lock is held.
func (r *Record) doubt(copied []shelfshelf.DataCentre) {
	until := r.Clock.Now().Add(doubtTime)
	for _, centre := range r.listed {
		if slices.Contains(copied, centre) {
			continue
		}
		if r.doubted == nil {
			r.doubted = make(map[shelfshelf.DataCentre]time.Time)
		}
		r.doubted[centre] = until
	}
}

// Told returns what this instance tells the others: what the store has. It is asked for many times a
// second, so that doubts end here.
func (r *Record) Told() shelfshelf.Evacuated {
	r.report(fromSource)
	r.mu.Lock()
	defer r.mu.Unlock()
	return shelfshelf.Evacuated{DataCentres: r.listed, AsOf: r.asOf}
}

// evacuated returns the data centres whose targets get nothing new; the lock is held.
func (r *Record) evacuated() []shelfshelf.DataCentre {
	if len(r.doubted) == 0 {
		return r.listed
	}
	now := r.Clock.Now()
	all := slices.Clone(r.listed)
	for centre, until := range r.doubted {
		if now.Before(until) {
			all = append(all, centre)
		} else {
			delete(r.doubted, centre)
		}
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// report tells of a change, outside the lock.
func (r *Record) report(from string) {
	r.mu.Lock()
	evacuated := r.evacuated()
	changed := !slices.Equal(evacuated, r.told)
	r.told = evacuated
	asOf := r.asOf
	r.mu.Unlock()
	if !changed {
		return
	}
	r.Log.Info("Evacuated data centres have changed.", "evacuated", evacuated, "asOf", asOf, "from", from)
	r.Changed(evacuated)
}

// Evacuated returns how many data centres are evacuated.
func (r *Record) Evacuated() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.told)
}
