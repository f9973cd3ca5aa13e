package quota

import (
	"maps"

	"github.com/shelfshelf/shelfshelf"
)

// Recall sets the usage saved before this instance started.
func (l *Ledger) Recall(saved shelfshelf.SavedUses) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.restoreDone = true
	at := l.Clock.Now().Add(-saved.Age)
	l.saved = make(map[shelfshelf.DataCentre]*receivedUsage)
	for _, use := range saved.Uses {
		s := l.saved[use.DataCentre]
		if s == nil {
			s = &receivedUsage{
				bucketTimes: bucketTimes{newestStart: at, updatedAt: at, length: bucketLength(l.Window), expireWhole: true},
				usage:       make(map[shelfshelf.CustomerKey]usageBuckets),
			}
			l.saved[use.DataCentre] = s
		}
		s.usage[use.Customer] = newUsageBuckets(use.Parts)
	}
}

// NothingSaved records that no usage was saved before this instance started.
func (l *Ledger) NothingSaved() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.restoreDone = true
}

// Recalled reports whether the usage before the start of this instance is known, as far as it was
// saved, or no longer matters.
func (l *Ledger) Recalled() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.restoreDone || l.Clock.Now().Sub(l.start) >= l.Window
}

// Known returns the usage at all instances, for another instance that starts and restores it. The error
// is ErrUnavailable if it is not known here yet, and ErrNotFound if none was saved.
func (l *Ledger) Known() (shelfshelf.SavedUses, error) {
	if !l.Recalled() {
		return shelfshelf.SavedUses{}, shelfshelf.ErrUnavailable
	}
	l.mu.Lock()
	noneSaved := l.saved == nil && l.Clock.Now().Sub(l.start) < l.Window
	l.mu.Unlock()
	if noneSaved {
		return shelfshelf.SavedUses{}, shelfshelf.ErrNotFound
	}
	return shelfshelf.SavedUses{Uses: l.All()}, nil
}

// All returns the usage at all instances, by data centre and customer.
func (l *Ledger) All() []shelfshelf.SavedUse {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	usage := appendSavedUsage(nil, l.DataCentre, l.dataCentreTotals(now))
	others := maps.Clone(l.saved)
	if others == nil {
		others = make(map[shelfshelf.DataCentre]*receivedUsage)
	}
	// Digests of another data centre take precedence over its saved usage.
	maps.Copy(others, l.remotes)
	delete(others, l.DataCentre)
	for centre, s := range others {
		totals := make(map[shelfshelf.CustomerKey]usageByAge)
		s.addToTotals(totals, now)
		usage = appendSavedUsage(usage, centre, totals)
	}
	return usage
}

// appendSavedUsage appends the totals of a data centre, without amounts below 1.
func appendSavedUsage(usage []shelfshelf.SavedUse, centre shelfshelf.DataCentre, totals map[shelfshelf.CustomerKey]usageByAge) []shelfshelf.SavedUse {
	for key, use := range totals {
		if use.total() >= 1 {
			usage = append(usage, shelfshelf.SavedUse{DataCentre: centre, Customer: key, Parts: use})
		}
	}
	return usage
}

// Ended returns the usage at instances of this data centre that have ended or are silent, as far as
// this instance knows, for its next status.
func (l *Ledger) Ended() []shelfshelf.CustomerUse {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	totals := make(map[shelfshelf.CustomerKey]usageByAge)
	for _, s := range l.peers {
		if now.Sub(s.updatedAt) > silenceTimeout {
			s.addToTotals(totals, now)
		}
	}
	for _, s := range l.endedIncarnations {
		s.addToTotals(totals, now)
	}
	return customerUsage(totals)
}
