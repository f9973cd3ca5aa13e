package crashes

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/shelfshelf/shelfshelf"
)

const (
	// minSaveInterval is the least time between two saves. saveWatchTime is how long after a change the
	// Saver keeps checking whether this instance has come to be in charge of saving, because the one in
	// charge may have stopped.
	minSaveInterval = time.Second
	saveWatchTime   = 10 * time.Second
	// saveTimeout limits saving; fetchTimeout limits fetching from another instance.
	saveTimeout  = 500 * time.Millisecond
	fetchTimeout = 2 * time.Second
	// loadRetryDelay is the delay before a failed load is retried.
	loadRetryDelay = 300 * time.Millisecond
	// mismatchTimeout is how long another instance's hash may differ before all its crashes are fetched.
	// Updates usually arrive within 0.3 s.
	mismatchTimeout = time.Second
)

// Saver saves the known crashes in a store, so that it survives restarts, and keeps it equal on all
// instances. Set the exported fields before Run.
type Saver struct {
	Clock   shelfshelf.Clock
	Log     *log.Logger
	Tracker *Tracker
	Store   shelfshelf.CrashStore
	// IsSaver reports whether this instance is in charge of saving.
	IsSaver func() bool
	// Fetch fetches all crashes known to the instance at an address.
	Fetch func(ctx context.Context, address string) ([]shelfshelf.Crash, error)

	loaded atomic.Bool
	// savedHash is the hash of the runs saved last, and savedAt when that was tried last.
	savedHash   uint64
	savedAt     time.Time
	saveFailing bool

	mu sync.Mutex
	// mismatchedSince holds the instances whose hashes differ, with the time of the first difference or
	// of the last fetch requested from them.
	mismatchedSince map[shelfshelf.InstanceID]time.Time
	// fetchFrom receives addresses of instances to fetch from.
	fetchFrom chan string
	// storeLost receives a value when the store may have lost what was saved.
	storeLost chan struct{}
}

// Init prepares the Saver. Call it before any other method.
func (s *Saver) Init() {
	s.mismatchedSince = make(map[shelfshelf.InstanceID]time.Time)
	s.fetchFrom = make(chan string, 1)
	s.storeLost = make(chan struct{}, 1)
}

// StoreReset reports that the store may have lost what was saved, as after a restore from an older copy.
func (s *Saver) StoreReset() {
	select {
	case s.storeLost <- struct{}{}:
	default:
	}
}

// Crashes returns all known crashes, for an instance that starts. The error is ErrUnavailable until this
// instance has loaded the saved ones.
func (s *Saver) Crashes() ([]shelfshelf.Crash, error) {
	if !s.loaded.Load() {
		return nil, shelfshelf.ErrUnavailable
	}
	return s.Tracker.All(), nil
}

// CompareHash processes the hash of another instance's crashes.
func (s *Saver) CompareHash(from shelfshelf.Instance, hash uint64) {
	same := hash == s.Tracker.Hash()
	s.mu.Lock()
	defer s.mu.Unlock()
	since, differed := s.mismatchedSince[from.ID]
	now := s.Clock.Now()
	switch {
	case same:
		delete(s.mismatchedSince, from.ID)
	case !differed:
		s.mismatchedSince[from.ID] = now
	case now.Sub(since) >= mismatchTimeout:
		s.mismatchedSince[from.ID] = now
		select {
		case s.fetchFrom <- from.Address:
		default:
		}
	}
}

// Run loads, saves and fetches crashes until the context ends.
func (s *Saver) Run(ctx context.Context) error {
	s.load(ctx)
	s.loaded.Store(true)
	return s.loop(ctx)
}

// load loads the saved crashes, retrying until it succeeds or the context ends.
func (s *Saver) load(ctx context.Context) {
	for ctx.Err() == nil {
		loaded, err := s.Store.LoadCrashes(ctx)
		if err == nil || errors.Is(err, shelfshelf.ErrNotFound) {
			s.Tracker.Merge(loaded, false)
			s.Log.Info("Loaded the saved crashes of targets.", "crashes", len(loaded))
			return
		}
		s.Log.Warn("Failed to load the saved crashes of targets; retrying.", "error", err)
		select {
		case <-ctx.Done():
		case <-s.Clock.After(loadRetryDelay):
		}
	}
}

func (s *Saver) loop(ctx context.Context) error {
	var watchUntil time.Time
	for {
		var saveDue <-chan time.Time
		if s.Clock.Now().Before(watchUntil) {
			saveDue = s.Clock.After(minSaveInterval)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-s.Tracker.Changed():
			watchUntil = s.Clock.Now().Add(saveWatchTime)
			s.save(ctx)
		case <-s.storeLost:
			s.savedHash = 0
			watchUntil = s.Clock.Now().Add(saveWatchTime)
			s.save(ctx)
		case <-saveDue:
			s.save(ctx)
		case address := <-s.fetchFrom:
			s.fetch(ctx, address)
		}
	}
}

// save saves the suspected crashes if they have changed and this instance is in charge. It logs the first
// of consecutive failures and the recovery.
func (s *Saver) save(ctx context.Context) {
	now := s.Clock.Now()
	if !s.IsSaver() || now.Sub(s.savedAt) < minSaveInterval {
		return
	}
	suspected := s.Tracker.CrashesToSave()
	hash := hashCrashes(suspected)
	if hash == s.savedHash {
		return
	}
	s.savedAt = now
	ctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	err := s.Store.SaveCrashes(ctx, suspected)
	switch {
	case err != nil && !s.saveFailing:
		s.Log.Warn("Failed to save the crashes of targets.", "error", err)
	case err == nil && s.saveFailing:
		s.Log.Info("The crashes of targets are saved again.")
	}
	s.saveFailing = err != nil
	if err == nil {
		s.savedHash = hash
	}
}

// fetch merges the crashes known to another instance. The other instances of this data centre may not
// know them either.
func (s *Saver) fetch(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	fetched, err := s.Fetch(ctx, address)
	if err != nil {
		s.Log.Warn("Failed to fetch another instance's crashes of targets.", "from", address, "error", err)
		return
	}
	s.Tracker.Merge(fetched, true)
}
