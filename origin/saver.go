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
	// saveWatchTime is for how long after a change, while the store answers, an instance checks whether it has come
	// to be in charge of saving, because the one in charge may have stopped. saveInterval is the time between two
	// checks, and between two tries of the one in charge.
	saveWatchTime = 5 * time.Second
	saveInterval  = time.Second
	// saveTimeout bounds a call of the store.
	saveTimeout = 500 * time.Millisecond
	// readTimeout bounds a read of the history for streams that are taken up, and readInterval is the least time
	// between the beginnings of two, so that take-ups by the hundred don't load the store.
	readTimeout  = 300 * time.Millisecond
	readInterval = 500 * time.Millisecond
)

// saver keeps the history of versions in the store.
type saver struct {
	changes chan struct{}

	// reading holds a token while the history is read, so that streams that are taken up together cost one read.
	// Unlike a mutex it can be waited for within a time limit. It protects the fields below.
	reading chan struct{}
	// readAt is when the last read began, and answered says that the store answered it.
	readAt   time.Time
	answered bool
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
	changedAt := r.Clock.Now()
	pause := saveDelay
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.Clock.After(pause):
		}
		pause = saveInterval
		if r.IsSaver() {
			if r.save(ctx) {
				return
			}
			continue
		}
		if r.StoreContact().Sub(changedAt) >= saveWatchTime {
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
	now := r.Clock.Now()
	told := r.changeHistory(now, func() { r.history.merge(stored, now) })
	merged := r.history.export(now.Add(-r.StreamTime()), now)
	r.mu.Unlock()
	r.tell(told)
	return merged
}

// sameVersions reports whether two histories have the same versions, of which the same are still listed.
func sameVersions(a, b shelfshelf.VersionHistory) bool {
	return maps.EqualFunc(a.Pools, b.Pools, func(x, y map[shelfshelf.TargetVersion]time.Duration) bool {
		return maps.EqualFunc(x, y, func(ageX, ageY time.Duration) bool { return (ageX == 0) == (ageY == 0) })
	})
}

// readHistory has the history in the store read, unless that was done within readInterval, and reports whether the
// store answered. It waits for a read that is under way, as long as the context allows.
func (r *Registry) readHistory(ctx context.Context) bool {
	s := &r.saver
	select {
	case s.reading <- struct{}{}:
		defer func() { <-s.reading }()
	case <-ctx.Done():
		return false
	}
	now := r.Clock.Now()
	if s.readAt.IsZero() || now.Sub(s.readAt) >= readInterval {
		s.readAt = now
		s.answered = r.loadHistory(context.WithoutCancel(ctx))
	}
	return s.answered
}

// loadHistory reads the history in the store, which others may wait for too.
func (r *Registry) loadHistory(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	stored, err := r.Store.LoadVersions(ctx)
	if err != nil && !errors.Is(err, shelfshelf.ErrNotFound) {
		r.Log.Warn("Failed to load the history of versions.", "error", err)
		return false
	}
	r.mergeStored(stored)
	r.Log.Info("Loaded the history of versions.", "pools", len(stored.Pools), "knownFor", stored.KnownFor)
	return true
}
