package origin

import (
	"context"
	"errors"
	"maps"
	"time"

	"github.com/shelfshelf/shelfshelf"
)

const (
	// saveDelay gathers versions that are listed together into one write.
	saveDelay = 100 * time.Millisecond
	// saveWatchTime is how long after a change an instance checks whether it has come to be in charge of
	// saving, because the one in charge may have stopped. saveInterval is the time between two checks.
	saveWatchTime = 5 * time.Second
	saveInterval  = time.Second
	// saveTimeout bounds a call of the store.
	saveTimeout = 500 * time.Millisecond
	// loadRetryDelay is the least time between two reads of the history.
	loadRetryDelay = 500 * time.Millisecond
)

// saver keeps the history of versions in the store.
type saver struct {
	changes chan struct{}

	// reading holds a token while the history is read, so that streams that are taken up together cost one read.
	// Unlike a mutex it can be waited for within a time limit. It protects the fields below.
	reading  chan struct{}
	loaded   bool
	loadedAt time.Time
}

func (s *saver) init() {
	s.changes = make(chan struct{}, 1)
	s.reading = make(chan struct{}, 1)
}

// changed wakes the loop that saves.
func (s *saver) changed() {
	select {
	case s.changes <- struct{}{}:
	default:
	}
}

// Run saves the history of versions when it changes, until the context ends.
func (r *Registry) Run(ctx context.Context) error {
	return r.saveLoop(ctx)
}

func (r *Registry) saveLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.saver.changes:
			r.saveWhileWatching(ctx)
		}
	}
}

// saveWhileWatching saves a change once this instance is in charge of it, or leaves it to the one that is.
func (r *Registry) saveWhileWatching(ctx context.Context) {
	end := r.Clock.Now().Add(saveWatchTime)
	pause := saveDelay
	for r.Clock.Now().Before(end) {
		select {
		case <-ctx.Done():
			return
		case <-r.Clock.After(pause):
		}
		pause = saveInterval
		if r.IsSaver() && r.save(ctx) {
			return
		}
	}
}

// save writes the history unless the store has the same versions, and reports whether it has them now.
func (r *Registry) save(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	stored, err := r.Store.LoadVersions(ctx)
	if err != nil && !errors.Is(err, shelfshelf.ErrNotFound) {
		r.Log.Warn("Failed to load the history of versions.", "error", err)
		return false
	}
	exported := r.mergeStored(stored)
	if err == nil && sameVersions(stored, exported) {
		return true
	}
	if err := r.Store.SaveVersions(ctx, exported); err != nil {
		r.Log.Warn("Failed to save the history of versions.", "error", err)
		return false
	}
	r.Log.Info("Saved the history of versions.", "pools", len(exported.Pools), "knownFor", exported.KnownFor)
	return true
}

// mergeStored takes what the store has, and returns all that is known.
func (r *Registry) mergeStored(stored shelfshelf.VersionHistory) shelfshelf.VersionHistory {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	r.history.merge(stored, r.started, now)
	return r.history.export(now.Add(-r.StreamTime()), now)
}

// sameVersions reports whether two histories have the same versions, of which the same are still listed.
func sameVersions(a, b shelfshelf.VersionHistory) bool {
	return maps.EqualFunc(a.Pools, b.Pools, func(x, y map[shelfshelf.TargetVersion]time.Duration) bool {
		return maps.EqualFunc(x, y, func(ageX, ageY time.Duration) bool { return (ageX == 0) == (ageY == 0) })
	})
}

// loadOnce reads the history that was saved before this instance started, unless it was read before. It waits for
// a read that is under way, as long as the context allows.
func (s *saver) loadOnce(ctx context.Context, r *Registry) {
	select {
	case s.reading <- struct{}{}:
		defer func() { <-s.reading }()
	case <-ctx.Done():
		return
	}
	now := r.Clock.Now()
	if s.loaded || !s.loadedAt.IsZero() && now.Sub(s.loadedAt) < loadRetryDelay {
		return
	}
	s.loadedAt = now
	stored, err := r.Store.LoadVersions(ctx)
	if err != nil && !errors.Is(err, shelfshelf.ErrNotFound) {
		r.Log.Warn("Failed to load the history of versions.", "error", err)
		return
	}
	s.loaded = true
	r.mergeStored(stored)
	r.Log.Info("Loaded the history of versions.", "pools", len(stored.Pools), "knownFor", stored.KnownFor)
}
