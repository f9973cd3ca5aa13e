package quota

import (
	"slices"
	"time"

	"github.com/shelfshelf/shelfshelf"
)

// usageSnapshot is the usage that another instance or data centre has reported last, or that was saved.
type usageSnapshot struct {
	incarnation uint64
	bucketTimes
	// settled says that the sender has run for at least one window.
	settled bool
	uses    map[shelfshelf.CustomerKey]usageBuckets
	// endedUses is the usage that the sender reports of instances that have ended or are silent.
	endedUses map[shelfshelf.CustomerKey]usageBuckets
	// instances is how many instances the report covers.
	instances int
}

// remaining returns how much of the customer's reported usage is still in the window.
func (s *usageSnapshot) remaining(key shelfshelf.CustomerKey, now time.Time) float64 {
	use, known := s.uses[key]
	if !known {
		return 0
	}
	return use.remaining(s.bucketTimes, now)
}

// remainingByAge returns the customer's remaining usage by its age at now.
func (s *usageSnapshot) remainingByAge(key shelfshelf.CustomerKey, now time.Time) usageByAge {
	return s.uses[key].byAge(s.bucketTimes, now)
}

// addToTotals adds the remaining usage of every customer to totals.
func (s *usageSnapshot) addToTotals(totals map[shelfshelf.CustomerKey]usageByAge, now time.Time) {
	for key := range s.uses {
		totals[key] = totals[key].plus(s.remainingByAge(key, now))
	}
}

// Heard records the usage that another instance of this data centre reports.
func (l *Ledger) Heard(status shelfshelf.Status) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	previous := l.peers[status.From.ID]
	if previous != nil && previous.incarnation != status.Incarnation {
		l.endedIncarnations = append(l.endedIncarnations, previous)
		previous = nil
	}
	s := l.newSnapshot(previous, status.Incarnation, now, status.Settled, status.Uses)
	s.endedUses = l.newSnapshot(previous.endedSnapshot(), 0, now, false, status.EndedUses).uses
	l.peers[status.From.ID] = s
	l.endedIncarnations = slices.DeleteFunc(l.endedIncarnations, func(s *usageSnapshot) bool { return now.Sub(s.updatedAt) >= l.Window })
}

// HeardCentre records the usage that a data centre reports. The sender may have started lately and not
// know all of it. Where it reports less than what is left of an earlier report, the earlier one still
// counts, since usage only expires with time.
func (l *Ledger) HeardCentre(digest shelfshelf.Digest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := l.Clock.Now().Add(-digest.Age)
	if digest.DataCentre == l.DataCentre {
		l.ownDigest = l.newSnapshot(l.ownDigest, 0, at, digest.Settled, digest.Uses)
		return
	}
	previous := l.remotes[digest.DataCentre]
	s := l.newSnapshot(previous, 0, at, digest.Settled, digest.Uses)
	s.instances = digest.Instances
	if previous != nil && !digest.Settled {
		_, started := previous.advanceTo(at)
		for key, use := range previous.uses {
			if expected := use.shifted(started); expected.remaining(s.bucketTimes, at) > s.remaining(key, at) {
				s.uses[key] = expected
			}
		}
	}
	l.remotes[digest.DataCentre] = s
}

// newSnapshot returns a snapshot of reported usage. Reports carry totals without times: growth since
// the previous report counts as used since then. A first report is taken to be distributed over the
// window as the customer's usage at this instance is. The caller holds the lock.
func (l *Ledger) newSnapshot(previous *usageSnapshot, incarnation uint64, at time.Time, settled bool, uses []shelfshelf.CustomerUse) *usageSnapshot {
	s := &usageSnapshot{
		incarnation: incarnation, settled: settled, uses: make(map[shelfshelf.CustomerKey]usageBuckets, len(uses)),
		bucketTimes: bucketTimes{newestStart: at, updatedAt: at, length: bucketLength(l.Window)},
	}
	if previous != nil {
		times, started := previous.advanceTo(at)
		s.bucketTimes = times
		for _, use := range uses {
			s.uses[use.Customer] = previous.uses[use.Customer].shifted(started).withTotal(use.Amount, times)
		}
		return s
	}
	for _, use := range uses {
		var shape usageByAge
		if a := l.accounts[use.Customer]; a != nil {
			shape = a.ownUsage.byAge()
		}
		s.uses[use.Customer] = newUsageBuckets(shape.scaledTo(use.Amount))
	}
	return s
}

// endedSnapshot returns endedUses as a snapshot of its own, or nil if s is nil.
func (s *usageSnapshot) endedSnapshot() *usageSnapshot {
	if s == nil {
		return nil
	}
	return &usageSnapshot{bucketTimes: s.bucketTimes, uses: s.endedUses}
}
