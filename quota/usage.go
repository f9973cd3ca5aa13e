package quota

import (
	"time"

	"github.com/shelfshelf/shelfshelf"
)

// totalUsage returns what a customer has used at all instances. The caller must hold l.mu.
func (l *Ledger) totalUsage(key shelfshelf.CustomerKey, a *account) float64 {
	now := l.Clock.Now()
	used := a.own().sum + max(l.reportedUsage(key, a, now), l.digestUsage(key, a, now))
	for centre, s := range l.remotes {
		used += max(s.remaining(key, now), l.remainingSaved(centre, key, now).total())
	}
	for centre := range l.saved {
		if centre != l.DataCentre && l.remotes[centre] == nil {
			used += l.remainingSaved(centre, key, now).total()
		}
	}
	return used
}

// reportedUsage returns what the other instances of this data centre have reported, and during the
// first window also what was used before this instance started. The caller must hold l.mu.
func (l *Ledger) reportedUsage(key shelfshelf.CustomerKey, a *account, now time.Time) float64 {
	used := 0.0
	for _, s := range l.peers {
		used += s.remaining(key, now)
	}
	for _, s := range l.endedIncarnations {
		used += s.remaining(key, now)
	}
	if now.Sub(l.start) < l.Window {
		used += l.usageBeforeStart(key, a, now)
	}
	return used
}

// countedBeforeStart returns how much of the total usage is known only from what was saved before the
// start of this instance, or is assumed. The caller must hold l.mu.
func (l *Ledger) countedBeforeStart(key shelfshelf.CustomerKey, a *account) float64 {
	now := l.Clock.Now()
	counted := 0.0
	if now.Sub(l.start) < l.Window {
		counted = l.usageBeforeStart(key, a, now)
	}
	for centre := range l.saved {
		if centre != l.DataCentre && l.remotes[centre] == nil {
			counted += l.remainingSaved(centre, key, now).total()
		}
	}
	return counted
}

// oldestReportAge returns the age of the oldest report whose usage still counts, 0 if there is none. The
// caller must hold l.mu.
func (l *Ledger) oldestReportAge() time.Duration {
	now := l.Clock.Now()
	oldest := time.Duration(0)
	for _, s := range l.peers {
		if age := now.Sub(s.updatedAt); age < l.Window {
			oldest = max(oldest, age)
		}
	}
	for _, s := range l.remotes {
		if age := now.Sub(s.updatedAt); age < l.Window {
			oldest = max(oldest, age)
		}
	}
	return oldest
}

// digestUsage returns what the other instances have used according to the digest of this data centre: its
// amount without what this instance had reported when the digest was made. The digest comes from an
// instance that receives the others' statuses more often. The caller must hold l.mu.
func (l *Ledger) digestUsage(key shelfshelf.CustomerKey, a *account, now time.Time) float64 {
	if l.ownDigest == nil || now.Sub(l.ownDigest.updatedAt) > silenceTimeout {
		return 0
	}
	return l.ownDigest.remaining(key, now) - a.reportedBy(l.digestTime())
}

// digestTime returns the time by which a report must have been made to be in the digest of this data centre;
// now, if there is none. A digest that is older than silenceTimeout is not used. The caller must hold l.mu.
func (l *Ledger) digestTime() time.Time {
	now := l.Clock.Now()
	if l.ownDigest == nil {
		return now
	}
	return shelfshelf.Later(l.ownDigest.updatedAt, now.Add(-silenceTimeout)).Add(-reportTransit)
}

// usageBeforeStart returns what counts as used in this data centre by incarnations that ended before
// this instance started. Peers that have run for a whole window know it; without such peers, the saved
// usage counts. If nothing is known, the whole limit counts as used, evenly over the window: a restart
// of all instances then gives no customer a second limit, and a customer that keeps to its limit is not
// refused. Usage that has to be assumed is scaled by the share of instances that have not run for a
// whole window, so a single restarted instance assumes only its own part. The caller must hold l.mu.
func (l *Ledger) usageBeforeStart(key shelfshelf.CustomerKey, a *account, now time.Time) float64 {
	known, _ := l.Instances()
	withoutWindowObserved := max(1, known-l.instancesWithWindowObserved())
	share := float64(withoutWindowObserved) / float64(max(known, 1))
	missing := a.allowed * max(0, 1-float64(now.Sub(l.start))/float64(l.Window))
	if l.saved != nil {
		missing = l.missingUsage(key, a, now)
	}
	return min(l.endedUsage(key, now).total()+missing*share, a.allowed)
}

// instancesWithWindowObserved returns how many of the other instances have run for at least one window.
// The caller must hold l.mu.
func (l *Ledger) instancesWithWindowObserved() int {
	count := 0
	for _, s := range l.peers {
		if s.windowObserved {
			count++
		}
	}
	for _, s := range l.remotes {
		if s.windowObserved {
			count += s.instances
		}
	}
	return count
}

// endedUsage returns what was used by incarnations in this data centre that ended before this instance
// started, as reported by peers that have run for a whole window; without any such peer, as saved. The
// caller must hold l.mu.
func (l *Ledger) endedUsage(key shelfshelf.CustomerKey, now time.Time) usageByAge {
	var most usageByAge
	found := false
	for _, s := range l.peers {
		if !s.windowObserved {
			continue
		}
		found = true
		if use := s.endedUsage[key].byAge(s.bucketTimes, now); use.total() > most.total() {
			most = use
		}
	}
	if found {
		return most
	}
	return l.remainingSaved(l.DataCentre, key, now)
}

// remainingSaved returns how much of the saved usage of a data centre is still in the window. The
// caller must hold l.mu.
func (l *Ledger) remainingSaved(centre shelfshelf.DataCentre, key shelfshelf.CustomerKey, now time.Time) usageByAge {
	saved := l.saved[centre]
	if saved == nil {
		return usageByAge{}
	}
	return saved.remainingByAge(key, now)
}

// dataCentreTotals returns the usage of every customer in this data centre. The caller must hold l.mu.
func (l *Ledger) dataCentreTotals(now time.Time) map[shelfshelf.CustomerKey]usageByAge {
	totals := make(map[shelfshelf.CustomerKey]usageByAge)
	for key, a := range l.accounts {
		a.advance(l.currentInterval())
		totals[key] = totals[key].plus(a.own().byAge())
	}
	for _, s := range l.peers {
		s.addToTotals(totals, now)
	}
	for _, s := range l.endedIncarnations {
		s.addToTotals(totals, now)
	}
	if now.Sub(l.start) < l.Window {
		l.addEndedUsage(totals, now)
	}
	return totals
}

// addEndedUsage adds what was used by incarnations that ended before this instance started. The caller
// must hold l.mu.
func (l *Ledger) addEndedUsage(totals map[shelfshelf.CustomerKey]usageByAge, now time.Time) {
	keys := make(map[shelfshelf.CustomerKey]bool)
	if saved := l.saved[l.DataCentre]; saved != nil {
		for key := range saved.usage {
			keys[key] = true
		}
	}
	for _, s := range l.peers {
		for key := range s.endedUsage {
			keys[key] = true
		}
	}
	for key := range keys {
		totals[key] = totals[key].plus(l.endedUsage(key, now))
	}
}

// customerUsage converts totals to the form that statuses and digests carry, without amounts below 1.
func customerUsage(totals map[shelfshelf.CustomerKey]usageByAge) []shelfshelf.CustomerUsage {
	var usage []shelfshelf.CustomerUsage
	for key, use := range totals {
		if sum := use.total(); sum >= 1 {
			usage = append(usage, shelfshelf.CustomerUsage{Customer: key, Amount: sum})
		}
	}
	return usage
}
