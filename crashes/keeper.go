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
	// savePause is the least time between two saves, and saveWatch how long after a change
	// it is looked whether this instance is the one to save: the one that was may be gone.
	savePause = time.Second
	saveWatch = 10 * time.Second
	// saveTimeout bounds a save or a load, fetchTimeout what another instance may take.
	saveTimeout  = 500 * time.Millisecond
	fetchTimeout = 2 * time.Second
	// loadPause is the pause between loads that fail.
	loadPause = 300 * time.Millisecond
	// differTime is how long another instance may say that it knows something else before
	// it is asked for all: what is new is usually heard within 0.3 s.
	differTime = time.Second
)

// Keeper keeps the record of crashes over restarts, and alike over all instances.
// Fields are set before Run.
type Keeper struct {
	Clock  shelfshelf.Clock
	Log    *log.Logger
	Record *Record
	Store  shelfshelf.CrashStore
	// Due reports that this instance is the one that saves.
	Due func() bool
	// Fetch asks the instance at an address for all that it knows.
	Fetch func(ctx context.Context, address string) ([]shelfshelf.Crash, error)

	recalled atomic.Bool
	// saved is the hash of what was saved last, and savedAt when.
	saved   uint64
	savedAt time.Time
	failed  bool

	mu sync.Mutex
	// differ are the instances that know something else, and since when.
	differ map[shelfshelf.InstanceID]time.Time
	offers chan string
	// lost receives when what was saved may be gone.
	lost chan struct{}
}

// Init makes what Heard needs; it is called before all else.
func (k *Keeper) Init() {
	k.differ = make(map[shelfshelf.InstanceID]time.Time)
	k.offers = make(chan string, 1)
	k.lost = make(chan struct{}, 1)
}

// Lost says that the store may have lost what was saved, as one that comes back from an older copy.
func (k *Keeper) Lost() {
	select {
	case k.lost <- struct{}{}:
	default:
	}
}

// Known returns all that is known, for an instance that starts; the error is
// ErrUnavailable while this one has not recalled what was before it.
func (k *Keeper) Known() ([]shelfshelf.Crash, error) {
	if !k.recalled.Load() {
		return nil, shelfshelf.ErrUnavailable
	}
	return k.Record.All(), nil
}

// Heard takes what another instance tells of its record: the hash of all it knows.
func (k *Keeper) Heard(from shelfshelf.Instance, hash uint64) {
	same := hash == k.Record.Hash()
	k.mu.Lock()
	defer k.mu.Unlock()
	since, differs := k.differ[from.ID]
	now := k.Clock.Now()
	switch {
	case same:
		delete(k.differ, from.ID)
	case !differs:
		k.differ[from.ID] = now
	case now.Sub(since) >= differTime:
		k.differ[from.ID] = now
		select {
		case k.offers <- from.Address:
		default:
		}
	}
}

// Run recalls, saves and fetches until the context ends.
func (k *Keeper) Run(ctx context.Context) error {
	k.recall(ctx)
	k.recalled.Store(true)
	return k.loop(ctx)
}

// recall loads what was known before this instance started.
func (k *Keeper) recall(ctx context.Context) {
	for ctx.Err() == nil {
		loaded, err := k.Store.LoadCrashes(ctx)
		if err == nil || errors.Is(err, shelfshelf.ErrNotFound) {
			k.Record.Heard(loaded, false)
			k.Log.Info("The ends of targets were recalled.", "crashes", len(loaded))
			return
		}
		k.Log.Warn("The ends of targets can't be recalled.", "error", err)
		select {
		case <-ctx.Done():
		case <-k.Clock.After(loadPause):
		}
	}
}

func (k *Keeper) loop(ctx context.Context) error {
	var watchUntil time.Time
	for {
		var again <-chan time.Time
		if k.Clock.Now().Before(watchUntil) {
			again = k.Clock.After(savePause)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-k.Record.Changed():
			watchUntil = k.Clock.Now().Add(saveWatch)
			k.save(ctx)
		case <-k.lost:
			k.saved = 0
			watchUntil = k.Clock.Now().Add(saveWatch)
			k.save(ctx)
		case <-again:
			k.save(ctx)
		case address := <-k.offers:
			k.fetch(ctx, address)
		}
	}
}

// save saves what has changed, if this instance is the one to do so; it logs the first
// failure in a row and the end of failures.
func (k *Keeper) save(ctx context.Context) {
	now := k.Clock.Now()
	if !k.Due() || now.Sub(k.savedAt) < savePause {
		return
	}
	suspected := k.Record.Suspected()
	hash := hashOfAll(suspected)
	if hash == k.saved {
		return
	}
	k.savedAt = now
	ctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	err := k.Store.SaveCrashes(ctx, suspected)
	switch {
	case err != nil && !k.failed:
		k.Log.Warn("The ends of targets can't be saved.", "error", err)
	case err == nil && k.failed:
		k.Log.Info("The ends of targets are saved again.")
	}
	k.failed = err != nil
	if err == nil {
		k.saved = hash
	}
}

// fetch takes what another instance knows; those beside this one may not know it either.
func (k *Keeper) fetch(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	told, err := k.Fetch(ctx, address)
	if err != nil {
		k.Log.Warn("Another instance's ends of targets can't be had.", "from", address, "error", err)
		return
	}
	k.Record.Heard(told, true)
}
