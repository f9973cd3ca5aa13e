package quota

import (
	"context"
	"errors"
	"time"

	"github.com/charmbracelet/log"

	"github.com/shelfshelf/shelfshelf"
)

const (
	// saveInterval is how often the usage is saved. One of all instances saves it.
	saveInterval = time.Second
	// checkInterval is how often the saving instance checks whether an earlier save is due.
	checkInterval = 200 * time.Millisecond
	// urgentFraction is the part of a customer's limit that may be used before a save is due earlier
	// than saveInterval: a customer that sends many times its usual load uses half of its limit within
	// a second.
	urgentFraction = 0.08
	// saveTimeout is the time limit of a save.
	saveTimeout = 500 * time.Millisecond
	// loadRetryDelay is the delay before a failed load is retried.
	loadRetryDelay = 300 * time.Millisecond
)

// UsageSaver saves the usage of customers and restores it at the start. So after a restart of all
// instances, usage is not forgotten, and the whole limit need not be assumed used. Fields are set
// before Run.
type UsageSaver struct {
	Clock  shelfshelf.Clock
	Log    *log.Logger
	Ledger *Ledger
	Store  shelfshelf.UsageStore
	// IsSaver reports whether this instance is the one that saves.
	IsSaver func() bool
	// OnRestored is called once the earlier usage is restored or known to be unavailable. It may be nil.
	OnRestored func()

	// saveFailing says that the last save failed. savedAt is when the last successful one began, or when
	// this instance began to save.
	saveFailing bool
	savedAt     time.Time
}

// Run restores the usage, then saves it until the context ends.
func (s *UsageSaver) Run(ctx context.Context) error {
	s.restore(ctx)
	if s.OnRestored != nil {
		s.OnRestored()
	}
	s.followWhileIsolated(ctx)
	return s.saveLoop(ctx)
}

// followWhileIsolated restores anew what others save while this instance doesn't know them.
func (s *UsageSaver) followWhileIsolated(ctx context.Context) {
	for ctx.Err() == nil && s.Ledger.isIsolated() {
		select {
		case <-ctx.Done():
		case <-s.Clock.After(loadRetryDelay):
		}
		if saved, err := s.Store.LoadUsage(ctx); err == nil {
			s.Ledger.Restore(saved)
		}
	}
}

// restore loads the saved usage. It retries until the first window is over, since the saved usage has
// expired by then.
func (s *UsageSaver) restore(ctx context.Context) {
	for ctx.Err() == nil && !s.Ledger.WindowObserved() {
		saved, err := s.Store.LoadUsage(ctx)
		if errors.Is(err, shelfshelf.ErrNotFound) {
			s.Ledger.RestoreNone()
			s.Log.Info("No customer usage was saved.")
			return
		}
		if err == nil {
			s.Ledger.Restore(saved)
			s.Log.Info("Restored the customer usage.", "customers", len(saved.Usage), "age", saved.Age)
			return
		}
		s.Log.Warn("Can't load the customer usage; retrying.", "error", err)
		select {
		case <-ctx.Done():
		case <-s.Clock.After(loadRetryDelay):
		}
	}
}

// saveLoop saves the usage at every saveInterval, or earlier if a customer has used urgentFraction of
// its limit since.
func (s *UsageSaver) saveLoop(ctx context.Context) error {
	lastSave := s.Clock.Now()
	s.savedAt = lastSave
	// The first save is early: until then customers may be held to their pace.
	due := true
	for saved := false; ; {
		interval := saveInterval
		if due {
			interval = checkInterval
		}
		select {
		case <-ctx.Done():
			return nil
		case <-s.Clock.After(interval):
		}
		now := s.Clock.Now()
		due = s.IsSaver()
		if !due || saved && now.Sub(lastSave) < saveInterval && s.Ledger.MaxRecentFraction(lastSave) < urgentFraction {
			continue
		}
		lastSave, saved = now, true
		s.Ledger.RecordSave()
		s.save(ctx)
	}
}

// save saves the usage. It logs only the first of consecutive failures, and the first success after
// them.
func (s *UsageSaver) save(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	now := s.Clock.Now()
	err := s.Store.SaveUsage(ctx, s.Ledger.UsageToSave())
	switch {
	case err != nil && !s.saveFailing:
		s.Log.Warn("Can't save the customer usage.", "error", err)
	case err == nil && s.saveFailing:
		s.Log.Info("Saving the customer usage works again.", "unsavedFor", now.Sub(s.savedAt))
	}
	s.saveFailing = err != nil
	if err == nil {
		s.savedAt = now
		s.Ledger.NoteSaved(now)
	}
}
