package quota

import (
	"slices"
	"time"

	"github.com/shelfshelf/shelfshelf"
)

// receivedUsage is the usage that another instance or data centre has reported last, or that was saved
// before this instance started. It is protected by Ledger.mu.
type receivedUsage struct {
	incarnation uint64
	bucketTimes
	// windowObserved says that the sender has run for at least one window, and so knows all usage in
	// it.
	windowObserved bool
	usage          map[shelfshelf.CustomerKey]usageBuckets
	// endedUsage is the usage that the sender reports of instances that have ended or are silent.
	endedUsage map[shelfshelf.CustomerKey]usageBuckets
	// instances is how many instances the report covers.
	instances int
}

// remaining returns how much of the customer's reported usage is still in the window.
func (s *receivedUsage) remaining(key shelfshelf.CustomerKey, now time.Time) float64 {
	use, known := s.usage[key]
	if !known {
		return 0
	}
	return use.remaining(s.bucketTimes, now)
}

// remainingByAge returns the customer's remaining usage by its age at now.
func (s *receivedUsage) remainingByAge(key shelfshelf.CustomerKey, now time.Time) usageByAge {
	return s.usage[key].byAge(s.bucketTimes, now)
}

// addToTotals adds the remaining usage of every customer to totals.
func (s *receivedUsage) addToTotals(totals map[shelfshelf.CustomerKey]usageByAge, now time.Time) {
	for key := range s.usage {
		totals[key] = totals[key].plus(s.remainingByAge(key, now))
	}
}

// ApplyStatus records the usage in the status of another instance of this data centre.
func (l *Ledger) ApplyStatus(status shelfshelf.Status) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	previous := l.peers[status.From.ID]
	if previous != nil && previous.incarnation != status.Incarnation {
		l.endedIncarnations = append(l.endedIncarnations, previous)
		previous = nil
	}
	s := l.newReceivedUsage(previous, status.Incarnation, now, status.WindowObserved, status.Usage)
	s.endedUsage = l.newReceivedUsage(previous.receivedEndedUsage(), 0, now, false, status.EndedUsage).usage
	l.peers[status.From.ID] = s
	l.endedIncarnations = slices.DeleteFunc(l.endedIncarnations, func(s *receivedUsage) bool { return now.Sub(s.updatedAt) >= l.Window })
}

// ApplyDigest records the usage in the digest of a data centre, unless a newer one is known. The sender may
// have started lately and not know all of it. Where its digest has less than what remains of the previous
// one, the previous one still counts, since usage only shrinks by expiry.
func (l *Ledger) ApplyDigest(digest shelfshelf.Digest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := l.Clock.Now().Add(-digest.Age)
	if l.hasNewerDigest(digest.DataCentre, at) {
		return
	}
	if digest.DataCentre == l.DataCentre {
		l.ownDigest = l.newReceivedUsage(l.ownDigest, 0, at, digest.WindowObserved, digest.Usage)
		return
	}
	previous := l.remotes[digest.DataCentre]
	if previous == nil {
		// After a restart of all, most of the first digest is usage that was saved, and its age is known.
		previous = l.saved[digest.DataCentre]
	}
	s := l.newReceivedUsage(previous, 0, at, digest.WindowObserved, digest.Usage)
	s.instances = digest.Instances
	if previous != nil && !digest.WindowObserved {
		_, started := previous.advanceTo(at)
		for key, use := range previous.usage {
			if expected := use.shifted(started); expected.remaining(s.bucketTimes, at) > s.remaining(key, at) {
				s.usage[key] = expected
			}
		}
	}
	l.remotes[digest.DataCentre] = s
}

// hasNewerDigest reports whether a digest of a data centre that was made after an instant is known. The
// caller must hold l.mu.
func (l *Ledger) hasNewerDigest(centre shelfshelf.DataCentre, at time.Time) bool {
	latest := l.remotes[centre]
	if centre == l.DataCentre {
		latest = l.ownDigest
	}
	return latest != nil && latest.updatedAt.After(at)
}

// newReceivedUsage merges reported usage into that of the previous report and returns the result.
// Reports carry totals without times: growth since the previous report counts as used since then. The
// usage in a first report is assumed to be distributed over the window like the customer's usage at
// this instance. The caller must hold l.mu.
func (l *Ledger) newReceivedUsage(previous *receivedUsage, incarnation uint64, at time.Time, windowObserved bool, usage []shelfshelf.CustomerUsage) *receivedUsage {
	s := &receivedUsage{
		incarnation: incarnation, windowObserved: windowObserved, usage: make(map[shelfshelf.CustomerKey]usageBuckets, len(usage)),
		bucketTimes: bucketTimes{newestStart: at, updatedAt: at, length: bucketLength(l.Window)},
	}
	if previous != nil {
		times, started := previous.advanceTo(at)
		s.bucketTimes = times
		for _, use := range usage {
			s.usage[use.Customer] = previous.usage[use.Customer].shifted(started).withTotal(use.Amount, times)
		}
		return s
	}
	for _, use := range usage {
		var shape usageByAge
		if a := l.accounts[use.Customer]; a != nil {
			shape = a.own().byAge()
		}
		s.usage[use.Customer] = newUsageBuckets(shape.scaledTo(use.Amount))
	}
	return s
}

// receivedEndedUsage returns endedUsage as received usage of its own, or nil if s is nil.
func (s *receivedUsage) receivedEndedUsage() *receivedUsage {
	if s == nil {
		return nil
	}
	return &receivedUsage{bucketTimes: s.bucketTimes, usage: s.endedUsage}
}
