package crashes_test

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/crashes"
)

// store is an in-memory CrashStore.
type store struct {
	mu    sync.Mutex
	kept  []shelfshelf.Crash
	saves int
}

func (s *store) SaveCrashes(_ context.Context, kept []shelfshelf.Crash) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kept = kept
	s.saves++
	return nil
}

func (s *store) LoadCrashes(context.Context) ([]shelfshelf.Crash, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.kept == nil {
		return nil, shelfshelf.ErrNotFound
	}
	return s.kept, nil
}

func (s *store) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.saves
}

func newSaver(t *testing.T, s *store, self string, isSaver bool, fetch func() []shelfshelf.Crash) (*crashes.Saver, *crashes.Tracker) {
	t.Helper()
	clock := clockwork.NewRealClock()
	tracker := newTracker(clock, self)
	saver := &crashes.Saver{
		Clock: clock, Log: log.New(io.Discard), Tracker: tracker, Store: s, IsSaver: func() bool { return isSaver },
		Fetch: func(context.Context, string) ([]shelfshelf.Crash, error) { return fetch(), nil },
	}
	saver.Init()
	ctx, cancel := context.WithCancel(t.Context())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		_ = saver.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-stopped
	})
	eventually(t, "the saved crashes are loaded", func() bool { _, err := saver.Crashes(); return err == nil })
	return saver, tracker
}

func eventually(t *testing.T, what string, check func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !check(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within 5 s: %s", what)
		}
	}
}

// A quarantine survives a restart of all instances. Requests that ran beside a single crash are not
// saved.
func TestQuarantineSurvivesRestartOfAllInstances(t *testing.T) {
	t.Parallel()
	clock := clockwork.NewRealClock()
	shared := &store{}
	_, first := newSaver(t, shared, "a", true, nil)
	_, other := newSaver(t, shared, "b", false, nil)
	crashWhileRunning(other, clock, "t0", poison, 7)
	crashWhileRunning(first, clock, "t0", poison, 7)
	time.Sleep(50 * time.Millisecond)
	if shared.count() != 0 {
		t.Error("a single crash was saved")
	}
	crashWhileRunning(first, clock, "t1", poison, 8)
	crashWhileRunning(first, clock, "t2", poison, 9)
	eventually(t, "the crashes are saved", func() bool {
		saved, err := shared.LoadCrashes(t.Context())
		return err == nil && len(saved) == 3
	})
	if shared.count() > 3 {
		t.Errorf("%d saves", shared.count())
	}
	_, restarted := newSaver(t, shared, "c", false, nil)
	if quarantine, quarantined := restarted.CheckQuarantine(poison, "r"); !quarantined || quarantine.Crashes != 3 {
		t.Errorf("quarantine after a restart: %+v, %t", quarantine, quarantined)
	}
	if _, quarantined := restarted.CheckQuarantine(7, "r"); quarantined {
		t.Error("a request that ran beside it is quarantined")
	}
}

// An instance that missed updates fetches the crashes from another one.
func TestMissedCrashesAreFetched(t *testing.T) {
	t.Parallel()
	clock := clockwork.NewRealClock()
	complete := newTracker(clock, "a")
	for _, name := range []string{"t0", "t1", "t2"} {
		crashWhileRunning(complete, clock, name, poison)
	}
	saver, lagging := newSaver(t, &store{}, "b", false, complete.All)
	eventually(t, "the request is quarantined", func() bool {
		saver.CompareHash(shelfshelf.Instance{ID: "a", Address: "10.0.0.1:1"}, complete.Hash())
		_, quarantined := lagging.CheckQuarantine(poison, "r")
		return quarantined
	})
}
