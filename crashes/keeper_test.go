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

// store keeps crashes in memory.
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

func newKeeper(t *testing.T, s *store, self string, due bool, fetch func() []shelfshelf.Crash) (*crashes.Keeper, *crashes.Record) {
	t.Helper()
	clock := clockwork.NewRealClock()
	record := newRecord(clock, self)
	keeper := &crashes.Keeper{
		Clock: clock, Log: log.New(io.Discard), Record: record, Store: s, Due: func() bool { return due },
		Fetch: func(context.Context, string) ([]shelfshelf.Crash, error) { return fetch(), nil },
	}
	keeper.Init()
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = keeper.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	eventually(t, "it recalls", func() bool { _, err := keeper.Known(); return err == nil })
	return keeper, record
}

func eventually(t *testing.T, what string, check func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !check(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within 5 s: %s", what)
		}
	}
}

// What ends targets is held back after all instances have ended too; those who were beside
// it once are not worth a write.
func TestHoldsLastOverRestartsOfAll(t *testing.T) {
	t.Parallel()
	clock := clockwork.NewRealClock()
	kept := &store{}
	_, first := newKeeper(t, kept, "a", true, nil)
	_, other := newKeeper(t, kept, "b", false, nil)
	endUnder(other, clock, "t0", deadly, 7)
	endUnder(first, clock, "t0", deadly, 7)
	time.Sleep(50 * time.Millisecond)
	if kept.count() != 0 {
		t.Error("one end was saved")
	}
	endUnder(first, clock, "t1", deadly, 8)
	endUnder(first, clock, "t2", deadly, 9)
	eventually(t, "it is saved", func() bool {
		saved, err := kept.LoadCrashes(t.Context())
		return err == nil && len(saved) == 3
	})
	if kept.count() > 3 {
		t.Errorf("%d saves", kept.count())
	}
	_, later := newKeeper(t, kept, "c", false, nil)
	if hold, held := later.Held(deadly, "r"); !held || hold.Ends != 3 {
		t.Errorf("%+v %t", hold, held)
	}
	if _, held := later.Held(7, "r"); held {
		t.Error("who was beside it is held back")
	}
}

// An instance that missed what the others were told asks one of them.
func TestWhatWasMissedIsFetched(t *testing.T) {
	t.Parallel()
	clock := clockwork.NewRealClock()
	knows := newRecord(clock, "a")
	for _, name := range []string{"t0", "t1", "t2"} {
		endUnder(knows, clock, name, deadly)
	}
	keeper, lacks := newKeeper(t, &store{}, "b", false, knows.All)
	eventually(t, "it is held back", func() bool {
		keeper.Heard(shelfshelf.Instance{ID: "a", Address: "10.0.0.1:1"}, knows.Hash())
		_, held := lacks.Held(deadly, "r")
		return held
	})
}
