package quota

import (
	"maps"
	"time"

	"github.com/shelfshelf/shelfshelf"
)

// Restore sets the usage saved before this instance started.
func (l *Ledger) Restore(saved shelfshelf.SavedUsages) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.restoreDone = true
	at := l.Clock.Now().Add(-saved.Age)
	l.savedElsewhere = at
	l.restoreGaps(saved.Gaps, at)
	l.saved = make(map[shelfshelf.DataCentre]*receivedUsage)
	for _, use := range saved.Usage {
		s := l.saved[use.DataCentre]
		if s == nil {
			s = &receivedUsage{
				bucketTimes: bucketTimes{newestStart: at, updatedAt: at, length: bucketLength(l.Window), expireWhole: true},
				usage:       make(map[shelfshelf.CustomerKey]usageBuckets),
			}
			l.saved[use.DataCentre] = s
		}
		s.usage[use.Customer] = newUsageBuckets(use.Buckets)
	}
}

// RestoreNone records that no usage was saved before this instance started.
func (l *Ledger) RestoreNone() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.restoreDone = true
}

// Restored reports whether the usage before the start of this instance is known, as far as it was
// saved, or no longer matters.
func (l *Ledger) Restored() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.restoreDone || l.Clock.Now().Sub(l.start) >= l.Window
}

// UsageForRestore returns the usage at all instances, for another instance that starts and restores it.
// The error is ErrUnavailable if it is not known here yet, and ErrNotFound if none was saved.
func (l *Ledger) UsageForRestore() (shelfshelf.SavedUsages, error) {
	if !l.Restored() {
		return shelfshelf.SavedUsages{}, shelfshelf.ErrUnavailable
	}
	l.mu.Lock()
	noneSaved := l.saved == nil && l.Clock.Now().Sub(l.start) < l.Window
	l.mu.Unlock()
	if noneSaved {
		return shelfshelf.SavedUsages{}, shelfshelf.ErrNotFound
	}
	return l.UsageToSave(), nil
}

// UsageToSave returns the usage at all instances, with the times whose usage may be missing.
func (l *Ledger) UsageToSave() shelfshelf.SavedUsages {
	return shelfshelf.SavedUsages{Usage: l.UsageByDataCentre(), Gaps: l.currentGaps()}
}

// UsageByDataCentre returns the usage at all instances, by data centre and customer.
func (l *Ledger) UsageByDataCentre() []shelfshelf.SavedUsage {
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
func appendSavedUsage(usage []shelfshelf.SavedUsage, centre shelfshelf.DataCentre, totals map[shelfshelf.CustomerKey]usageByAge) []shelfshelf.SavedUsage {
	for key, use := range totals {
		if use.total() >= 1 {
			usage = append(usage, shelfshelf.SavedUsage{DataCentre: centre, Customer: key, Buckets: use})
		}
	}
	return usage
}

// EndedUsage returns the usage at instances of this data centre that have ended or are silent, as far as
// this instance knows, for its next status.
func (l *Ledger) EndedUsage() []shelfshelf.CustomerUsage {
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

// RecordSave records what customers have used in total as of a save.
func (l *Ledger) RecordSave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, a := range l.accounts {
		a.advance(l.currentInterval())
		a.totalAtSave = l.totalUsage(key, a)
	}
}

// MaxRecentFraction returns the largest part of its limit that any customer has used since the last
// recorded save, which was at the given time, at most one window ago. It is the growth of the customer's
// total, or the usage here times the number of instances if that is more.
func (l *Ledger) MaxRecentFraction(since time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	intervals := int64(l.Clock.Now().Sub(since) / (l.Window / intervalCount))
	known, _ := l.Instances()
	largest := 0.0
	for key, a := range l.accounts {
		if a.allowed == 0 {
			continue
		}
		a.advance(l.currentInterval())
		projected := a.own().sumOfNewest(intervals) * float64(max(known, 1))
		growth := l.totalUsage(key, a) - a.totalAtSave
		largest = max(largest, projected/a.allowed, growth/a.allowed)
	}
	return largest
}
