package origin

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shelfshelf/shelfshelf"
)

// memoryStore holds a history that was saved some time ago.
type memoryStore struct {
	history shelfshelf.VersionHistory
	err     error
	loads   int
	saves   int
	// loading is called by each read before it returns, if set.
	loading func()
}

func (s *memoryStore) SaveVersions(_ context.Context, history shelfshelf.VersionHistory) error {
	s.saves++
	s.history, s.err = history, nil
	return nil
}

func (s *memoryStore) LoadVersions(context.Context) (shelfshelf.VersionHistory, error) {
	s.loads++
	if s.loading != nil {
		s.loading()
	}
	return s.history, s.err
}

func stored(knownFor time.Duration, versions map[shelfshelf.TargetVersion]time.Duration) *memoryStore {
	return &memoryStore{history: shelfshelf.VersionHistory{
		KnownFor: knownFor, Pools: map[shelfshelf.PoolName]map[shelfshelf.TargetVersion]time.Duration{"p": versions},
	}}
}

// The instance in charge saves the history of versions when it changes, and only then.
func TestHistoryIsSavedWhenItChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, list := newGroup(1)
		r := list[0]
		store := &memoryStore{err: shelfshelf.ErrNotFound}
		r.Store = store
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_ = r.Run(ctx)
		}()
		for _, versions := range [][]shelfshelf.TargetVersion{{"v1"}, {"v1"}, {"v1", "v2"}, {"v2"}} {
			r.SetTargets(targetsOf(versions...))
			time.Sleep(3 * time.Second)
		}
		cancel()
		<-ended
		if ages := store.history.Pools["p"]; store.saves != 3 || ages["v2"] != 0 || ages["v1"] == 0 {
			t.Errorf("%d saves, %v", store.saves, store.history)
		}
	})
}

// Versions that are gone are remembered for as long as streams of theirs may be taken up, not for ever.
func TestVersionsThatAreGoneForLongAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, list := newGroup(1)
		r := list[0]
		for i := range 1000 {
			r.SetTargets(targetsOf(shelfshelf.TargetVersion(fmt.Sprint("v", i))))
			time.Sleep(time.Minute)
		}
		if most, kept := int(forgetAfter/time.Minute)+1, len(r.history.lastListed["p"]); kept > most {
			t.Errorf("%d versions are kept", kept)
		}
		if versions := r.versions("p", time.Now()); len(versions) != 1 {
			t.Errorf("streams may have begun at %v", versions)
		}
	})
}

// outageStore is a store that answers nothing until a moment.
type outageStore struct {
	memoryStore
	until time.Time
}

func (s *outageStore) LoadVersions(ctx context.Context) (shelfshelf.VersionHistory, error) {
	if time.Now().Before(s.until) {
		return shelfshelf.VersionHistory{}, shelfshelf.ErrUnavailable
	}
	return s.memoryStore.LoadVersions(ctx)
}

// A change of versions that the store didn't take within some seconds was never saved. The instance in charge stops
// as the store comes back.
func TestHistoryIsSavedOnceTheStoreIsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		_, list := newGroup(2)
		began := time.Now()
		store := &outageStore{memoryStore: memoryStore{err: shelfshelf.ErrNotFound}, until: began.Add(20 * time.Second)}
		away := func() bool { return time.Now().Before(store.until) }
		var loops sync.WaitGroup
		for i, r := range list {
			r.Store = store
			r.IsSaver = func() bool { return (i == 0) == away() }
			r.StoreContact = func() time.Time {
				if away() {
					return began
				}
				return time.Now()
			}
			loops.Go(func() { _ = r.Run(ctx) })
		}
		setAll(list, "v1", "v2")
		time.Sleep(22 * time.Second)
		cancel()
		loops.Wait()
		if store.saves != 1 || len(store.history.Pools["p"]) != 2 {
			t.Errorf("%d saves, %v", store.saves, store.history)
		}
	})
}

// restarted returns the only instance of a deployment that has just started, before targets of one version.
func restarted(store *memoryStore) *Registry {
	_, list := newGroup(1)
	r := list[0]
	r.Store = store
	r.SetTargets(targetsOf("v1"))
	return r
}

// A stream that was taken up while another one had the history of versions read waited for that read without end,
// also after its caller had left.
func TestTakeUpsWaitNoLongerThanTheirTimeForTheStore(t *testing.T) {
	t.Parallel()
	store := stored(time.Hour, map[shelfshelf.TargetVersion]time.Duration{"v1": 0})
	reached, answer := make(chan struct{}), make(chan struct{})
	store.loading = func() {
		close(reached)
		<-answer
	}
	r := restarted(store)
	first, second := make(chan error, 1), make(chan error, 1)
	go func() {
		_, err := r.find("a")
		first <- err
	}()
	<-reached
	go func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, err := r.Find(ctx, "c", "p", "b")
		second <- err
	}()
	select {
	case err := <-second:
		if !errors.Is(err, shelfshelf.ErrOriginUnknown) {
			t.Errorf("a caller that left: %v", err)
		}
	case <-time.After(10 * readTimeout):
		t.Error("a caller that left still waits for another one's read")
	}
	close(answer)
	if err := <-first; err != nil {
		t.Error(err)
	}
}

// Streams that are taken up together at an instance that has just started cost one read of the store.
func TestTakeUpsTogetherCostOneRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const streams = 50
		store := stored(time.Hour, map[shelfshelf.TargetVersion]time.Duration{"v1": 0})
		store.loading = func() { time.Sleep(readTimeout / 3) }
		r := restarted(store)
		var callers sync.WaitGroup
		for i := range streams {
			callers.Go(func() {
				found, err := r.find(shelfshelf.RequestID(fmt.Sprint(i)))
				if err != nil || found.Version != "v1" {
					t.Errorf("%d: %+v, %v", i, found, err)
				}
			})
		}
		callers.Wait()
		if store.loads != 1 {
			t.Errorf("%d reads", store.loads)
		}
	})
}
