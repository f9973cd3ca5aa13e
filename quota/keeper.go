package quota

import (
	"context"
	"errors"
	"time"

	"github.com/charmbracelet/log"

	"github.com/shelfshelf/shelfshelf"
)

const (
	// savePeriod is how often the use is saved, by one of all instances.
	savePeriod = time.Second
	// lookPeriod is how often it looks whether a save is due sooner, and urgentShare the
	// part of a customer's limit that may be used unsaved: a customer that sends many
	// times its usual uses half of its limit within a second.
	lookPeriod  = 200 * time.Millisecond
	urgentShare = 0.08
	// saveTimeout bounds a save.
	saveTimeout = 500 * time.Millisecond
	// loadPause is the pause between loads that fail.
	loadPause = 300 * time.Millisecond
)

// Keeper saves what customers have used and recalls it at the start, so that a
// restart of all instances neither forgets it nor has to assume the worst. Fields
// are set before Run.
type Keeper struct {
	Clock  shelfshelf.Clock
	Log    *log.Logger
	Ledger *Ledger
	Store  shelfshelf.UseStore
	// Due reports that this instance is the one that saves.
	Due func() bool
	// Recalled is called once it is known what was used before; may be nil.
	Recalled func()

	failed bool
}

// Run recalls and saves until the context ends.
func (k *Keeper) Run(ctx context.Context) error {
	k.recall(ctx)
	if k.Recalled != nil {
		k.Recalled()
	}
	return k.loop(ctx)
}

// recall loads what was saved, as long as it can still matter.
func (k *Keeper) recall(ctx context.Context) {
	for ctx.Err() == nil && !k.Ledger.Settled() {
		saved, err := k.Store.LoadUses(ctx)
		if errors.Is(err, shelfshelf.ErrNotFound) {
			k.Ledger.NothingSaved()
			k.Log.Info("No use of customers was saved.")
			return
		}
		if err == nil {
			k.Ledger.Recall(saved)
			k.Log.Info("The use of customers was recalled.", "customers", len(saved.Uses), "age", saved.Age)
			return
		}
		k.Log.Warn("The use of customers can't be recalled.", "error", err)
		select {
		case <-ctx.Done():
		case <-k.Clock.After(loadPause):
		}
	}
}

func (k *Keeper) loop(ctx context.Context) error {
	saved := k.Clock.Now()
	due := false
	for {
		pause := savePeriod
		if due {
			pause = lookPeriod
		}
		select {
		case <-ctx.Done():
			return nil
		case <-k.Clock.After(pause):
		}
		now := k.Clock.Now()
		due = k.Due()
		if !due || now.Sub(saved) < savePeriod && k.Ledger.Growth(saved) < urgentShare {
			continue
		}
		saved = now
		k.save(ctx)
	}
}

// save logs the first failure in a row and the end of failures.
func (k *Keeper) save(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	err := k.Store.SaveUses(ctx, k.Ledger.All())
	switch {
	case err != nil && !k.failed:
		k.Log.Warn("The use of customers can't be saved.", "error", err)
	case err == nil && k.failed:
		k.Log.Info("The use of customers is saved again.")
	}
	k.failed = err != nil
}
