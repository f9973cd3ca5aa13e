package quota

import (
	"maps"

	"github.com/shelfshelf/shelfshelf"
)

// Recall takes what was used before this instance started.
func (l *Ledger) Recall(saved shelfshelf.SavedUses) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asked = true
	at := l.Clock.Now().Add(-saved.Age)
	l.saved = make(map[shelfshelf.DataCentre]*told)
	for _, use := range saved.Uses {
		t := l.saved[use.DataCentre]
		if t == nil {
			t = &told{
				marks: marks{began: at, at: at, part: partOf(l.Window), late: true},
				uses:  make(map[shelfshelf.CustomerKey]history),
			}
			l.saved[use.DataCentre] = t
		}
		t.uses[use.Customer] = historyOf(use.Parts)
	}
}

// NothingSaved notes that nobody has saved what was used before.
func (l *Ledger) NothingSaved() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asked = true
}

// Recalled reports that this instance knows what was used before it started, as far as
// anybody does.
func (l *Ledger) Recalled() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.asked || l.Clock.Now().Sub(l.start) >= l.Window
}

// Known returns what customers have used at all instances, for one that starts. The error
// is ErrUnavailable if that is not known here yet, and ErrNotFound if nothing was saved.
func (l *Ledger) Known() (shelfshelf.SavedUses, error) {
	if !l.Recalled() {
		return shelfshelf.SavedUses{}, shelfshelf.ErrUnavailable
	}
	l.mu.Lock()
	nothing := l.saved == nil && l.Clock.Now().Sub(l.start) < l.Window
	l.mu.Unlock()
	if nothing {
		return shelfshelf.SavedUses{}, shelfshelf.ErrNotFound
	}
	return shelfshelf.SavedUses{Uses: l.All()}, nil
}

// All returns what customers have used at all instances.
func (l *Ledger) All() []shelfshelf.SavedUse {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	uses := savedUses(nil, l.DataCentre, l.centreSums(now))
	elsewhere := maps.Clone(l.saved)
	if elsewhere == nil {
		elsewhere = make(map[shelfshelf.DataCentre]*told)
	}
	// What was heard of another data centre goes before what was saved of it.
	maps.Copy(elsewhere, l.remotes)
	delete(elsewhere, l.DataCentre)
	for centre, t := range elsewhere {
		sums := make(map[shelfshelf.CustomerKey]spread)
		t.addTo(sums, now)
		uses = savedUses(uses, centre, sums)
	}
	return uses
}

func savedUses(uses []shelfshelf.SavedUse, centre shelfshelf.DataCentre, sums map[shelfshelf.CustomerKey]spread) []shelfshelf.SavedUse {
	for key, use := range sums {
		if use.sum() >= 1 {
			uses = append(uses, shelfshelf.SavedUse{DataCentre: centre, Customer: key, Parts: use})
		}
	}
	return uses
}

// Ended returns what customers had used at instances of this data centre that have
// ended or are silent, as far as this instance knows.
func (l *Ledger) Ended() []shelfshelf.CustomerUse {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	sums := make(map[shelfshelf.CustomerKey]spread)
	for _, t := range l.peers {
		if now.Sub(t.at) > silentAfter {
			t.addTo(sums, now)
		}
	}
	for _, t := range l.ended {
		t.addTo(sums, now)
	}
	return customerUses(sums)
}
