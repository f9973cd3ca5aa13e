package catalog_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/catalog"
)

var errDown = errors.Join(shelfshelf.ErrUnavailable, errors.New("down"))

// source is a catalog source in memory.
type source struct {
	mu       sync.Mutex
	revision shelfshelf.Revision
	targets  []shelfshelf.Target
	// removed are told as single changes instead of a whole list.
	removed []shelfshelf.TargetName
	version uint64
	err     error
	reads   int
}

func (s *source) set(change func(*source)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
	s.version++
}

func (s *source) ReadConfiguration(context.Context) (shelfshelf.ConfigurationUpdate, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.err != nil {
		return shelfshelf.ConfigurationUpdate{}, s.err
	}
	return shelfshelf.ConfigurationUpdate{Configuration: configuration(s.revision), Cursor: s.version + 1}, nil
}

func (s *source) AwaitConfiguration(ctx context.Context, cursor uint64, wait time.Duration) (shelfshelf.ConfigurationUpdate, error) {
	s.await(ctx, cursor, wait)
	return s.ReadConfiguration(ctx)
}

// await waits for a change, as a long poll does.
func (s *source) await(ctx context.Context, cursor uint64, wait time.Duration) {
	for end := time.Now().Add(wait); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(10 * time.Millisecond) {
		s.mu.Lock()
		due := s.version+1 > cursor || s.err != nil
		s.mu.Unlock()
		if due {
			return
		}
	}
}

func (s *source) ReadTargets(context.Context) (shelfshelf.TargetsUpdate, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return shelfshelf.TargetsUpdate{}, s.err
	}
	return shelfshelf.TargetsUpdate{Whole: true, Changed: s.targets, Version: s.version + 1, Cursor: s.version + 1}, nil
}

func (s *source) AwaitTargets(ctx context.Context, cursor uint64, wait time.Duration) (shelfshelf.TargetsUpdate, error) {
	s.await(ctx, cursor, wait)
	update, err := s.ReadTargets(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		update.Whole, update.Removed = false, s.removed
	}
	return update, err
}

func (s *source) DecodeConfiguration(encoded []byte) (*shelfshelf.Configuration, error) {
	if len(encoded) == 0 {
		return nil, errors.New("empty")
	}
	return configuration(shelfshelf.Revision(encoded[0])), nil
}

func configuration(revision shelfshelf.Revision) *shelfshelf.Configuration {
	return &shelfshelf.Configuration{Revision: revision, Bundle: &shelfshelf.Bundle{}}
}

func (s *source) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

// bubble runs a test in simulated time beside a catalog.
func bubble(t *testing.T, s *source, follow func() time.Duration, test func(c *catalog.Catalog)) {
	bubbleWith(t, &catalog.Catalog{Source: s, Follow: follow}, test)
}

func bubbleWith(t *testing.T, c *catalog.Catalog, test func(c *catalog.Catalog)) {
	synctest.Test(t, func(*testing.T) {
		c.Clock = clockwork.NewRealClock()
		if c.Log == nil {
			c.Log = log.New(io.Discard)
		}
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_ = c.Run(ctx)
		}()
		test(c)
		cancel()
		<-ended
	})
}

func age(c *catalog.Catalog) time.Duration {
	_, at := c.Index()
	return time.Since(at)
}

func TestKnowledgeIsConfirmedAndAges(t *testing.T) {
	s := &source{revision: 3}
	bubble(t, s, nil, func(c *catalog.Catalog) {
		for range 200 {
			time.Sleep(50 * time.Millisecond)
			if age(c) > 2200*time.Millisecond {
				t.Fatalf("%v old while the source answers", age(c))
			}
		}
		s.set(func(s *source) { s.err = errDown })
		time.Sleep(5 * time.Second)
		if got := age(c); got < 4500*time.Millisecond {
			t.Errorf("%v old after 5 s without the source", got)
		}
		if !c.SourceLost() {
			t.Error("the loss of the source was not noticed")
		}
		s.set(func(s *source) { s.err = nil })
		time.Sleep(time.Second)
		if got := age(c); got > 2200*time.Millisecond || c.SourceLost() {
			t.Errorf("%v old after the source is back", got)
		}
	})
}

// A configuration never goes back, whoever says so, and a newer one is in force at
// once.
func TestConfigurationNeverGoesBack(t *testing.T) {
	s := &source{revision: 5}
	bubble(t, s, nil, func(c *catalog.Catalog) {
		time.Sleep(100 * time.Millisecond)
		revision := func() shelfshelf.Revision {
			index, _ := c.Index()
			return index.Revision
		}
		s.set(func(s *source) { s.revision = 4 })
		time.Sleep(3 * time.Second)
		if revision() != 5 {
			t.Errorf("back to %d by the source", revision())
		}
		if err := c.Offer([]byte{3}, time.Now(), "other"); err != nil || revision() != 5 {
			t.Errorf("back to %d by another instance: %v", revision(), err)
		}
		if err := c.Offer([]byte{9}, time.Now(), "other"); err != nil || revision() != 9 {
			t.Errorf("%d is in force: %v", revision(), err)
		}
		if err := c.Offer(nil, time.Now(), "other"); err == nil {
			t.Error("an unreadable offer was taken")
		}
	})
}

// Another instance's word confirms only the revision that is in force here.
func TestConfirmationsAreForOneRevision(t *testing.T) {
	s := &source{revision: 5}
	bubble(t, s, nil, func(c *catalog.Catalog) {
		time.Sleep(100 * time.Millisecond)
		s.set(func(s *source) { s.err = errDown })
		time.Sleep(3 * time.Second)
		c.Confirm(4, time.Now())
		c.Confirm(6, time.Now())
		if age(c) < 2*time.Second {
			t.Error("the word on another revision was taken")
		}
		c.Confirm(5, time.Now().Add(-time.Second))
		if got := age(c); got < time.Second || got > 1100*time.Millisecond {
			t.Errorf("%v old", got)
		}
	})
}

// Who doesn't follow the source hears of changes from others, and reads when what
// it hears grows old.
func TestFollowersReadAndOthersOnlyWhenStale(t *testing.T) {
	s := &source{revision: 5}
	bubble(t, s, func() time.Duration { return 2 * time.Second }, func(c *catalog.Catalog) {
		time.Sleep(100 * time.Millisecond)
		before := s.count()
		for range 100 {
			c.Confirm(5, time.Now())
			time.Sleep(100 * time.Millisecond)
		}
		if got := s.count(); got != before {
			t.Errorf("%d reads while others confirm", got-before)
		}
		oldest := time.Duration(0)
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			oldest = max(oldest, age(c))
		}
		if got := s.count(); got == before || oldest > 2100*time.Millisecond {
			t.Errorf("%d reads, %v old without others", got-before, oldest)
		}
	})
}

// loseOneInOutage lets the source fail for 4 s and lack its second target afterwards.
func loseOneInOutage(s *source) {
	time.Sleep(100 * time.Millisecond)
	s.set(func(s *source) { s.err = errDown })
	time.Sleep(4 * time.Second)
	s.set(func(s *source) {
		s.err = nil
		s.targets = s.targets[:1]
	})
}

// Entries that are missing after an outage are kept for two seconds: their targets
// may only have been unable to renew them.
func TestVanishedTargetsAreKeptForAMoment(t *testing.T) {
	both := []shelfshelf.Target{{Name: "a", Address: "x"}, {Name: "b", Address: "y"}}
	s := &source{revision: 5, targets: both}
	bubble(t, s, nil, func(c *catalog.Catalog) {
		loseOneInOutage(s)
		time.Sleep(1500 * time.Millisecond)
		if got := len(c.Targets().Targets); got != 2 {
			t.Errorf("%d targets right after the outage", got)
		}
		time.Sleep(1500 * time.Millisecond)
		if got := len(c.Targets().Targets); got != 1 {
			t.Errorf("%d targets three seconds after the outage", got)
		}
		s.set(func(s *source) {
			s.targets = nil
			s.removed = []shelfshelf.TargetName{"a"}
		})
		time.Sleep(100 * time.Millisecond)
		if got := len(c.Targets().Targets); got != 0 {
			t.Errorf("%d targets after all have left in steady state", got)
		}
	})
}

// A target whose entry is removed while the source can be read has left, also right
// after an outage, and so it is told to others.
func TestRemovalsAfterAnOutageCount(t *testing.T) {
	both := []shelfshelf.Target{{Name: "a", Address: "x"}, {Name: "b", Address: "y"}}
	s := &source{revision: 5, targets: both}
	bubble(t, s, nil, func(c *catalog.Catalog) {
		time.Sleep(100 * time.Millisecond)
		s.set(func(s *source) { s.err = errDown })
		time.Sleep(4 * time.Second)
		s.set(func(s *source) { s.err = nil })
		time.Sleep(600 * time.Millisecond)
		s.set(func(s *source) {
			s.targets = both[:1]
			s.removed = []shelfshelf.TargetName{"b"}
		})
		time.Sleep(100 * time.Millisecond)
		if got := len(c.Targets().Targets); got != 1 {
			t.Errorf("%d targets after one was removed", got)
		}
	})
}

// An instance that hears of targets from another keeps the vanished ones no longer
// than that one does.
func TestKeptTargetsAreToldAsSuch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &catalog.Catalog{Clock: clockwork.NewRealClock(), Log: log.New(io.Discard)}
		now := time.Now()
		c.OfferTargets(catalog.Snapshot{
			Targets: []shelfshelf.Target{{Name: "a"}, {Name: "b"}}, Version: 2, At: now,
			KeptUntil: map[shelfshelf.TargetName]time.Time{"b": now.Add(time.Second)},
		}, "other")
		if got := c.Targets(); len(got.Targets) != 2 || len(got.KeptUntil) != 1 {
			t.Errorf("%+v", got)
		}
		time.Sleep(1100 * time.Millisecond)
		if got := c.Targets(); len(got.Targets) != 1 {
			t.Errorf("%+v", got)
		}
	})
}

func TestRoutesGoByHostAndLongestPrefix(t *testing.T) {
	index := catalog.NewIndex(&shelfshelf.Configuration{Revision: 1, Bundle: &shelfshelf.Bundle{Routes: []shelfshelf.Route{
		{Name: "short", Host: "a.example", PathPrefix: "/x/"},
		{Name: "long", Host: "a.example", PathPrefix: "/x/y/"},
		{Name: "other", Host: "B.example", PathPrefix: "/x/"},
	}}})
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/z", "short"},
		{"a.example:8080", "/x/y/z", "long"},
		{"A.EXAMPLE", "/x/y", "short"},
		{"b.example", "/x/y/z", "other"},
		{"a.example", "/q/", ""},
		{"c.example", "/x/", ""},
	} {
		got := ""
		if route := index.Route(c.host, c.path); route != nil {
			got = string(route.Name)
		}
		if got != c.want {
			t.Errorf("%s%s: %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

// Whoever uses the targets is told when a kept one has to be dropped, though the source
// says nothing more.
func TestExpiredTargetsAreToldOf(t *testing.T) {
	both := []shelfshelf.Target{{Name: "a", Address: "x"}, {Name: "b", Address: "y"}}
	s := &source{revision: 5, targets: both}
	c := &catalog.Catalog{Source: s}
	var told atomic.Int64
	c.Changed = func(string) { told.Store(int64(len(c.Targets().Targets))) }
	bubbleWith(t, c, func(c *catalog.Catalog) {
		loseOneInOutage(s)
		time.Sleep(4 * time.Second)
		if got := told.Load(); got != 1 {
			t.Errorf("%d targets were told of last", got)
		}
	})
}

// A whole list that says nothing new changes nothing and is not logged as a change.
func TestOnlyChangesAreTold(t *testing.T) {
	s := &source{revision: 5, targets: []shelfshelf.Target{{Name: "a", Address: "x"}, {Name: "b", Address: "y"}}}
	var lines bytes.Buffer
	c := &catalog.Catalog{Source: s, Log: log.New(&lines), Follow: func() time.Duration { return time.Hour }}
	bubbleWith(t, c, func(c *catalog.Catalog) {
		time.Sleep(100 * time.Millisecond)
		snapshot := c.Targets()
		for range 3 {
			snapshot.Version++
			snapshot.Targets[0].Slots = 7
			c.OfferTargets(snapshot, "other")
		}
	})
	if got := strings.Count(lines.String(), "Targets have changed."); got != 2 {
		t.Errorf("%d changes in\n%s", got, &lines)
	}
	if last := lines.String(); strings.Count(last, "changed=\"[a b]\"")+strings.Count(last, "changed=\"[b a]\"") != 1 {
		t.Errorf("what did not change is told:\n%s", last)
	}
}

// Looking up by lengths of prefixes finds what a look at every route finds.
func TestLookUpsFindWhatAScanFinds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		path := rapid.StringMatching(`(/[ab]{0,2}){0,4}/?`)
		hosts := rapid.SampledFrom([]string{"a.example", "B.example"})
		var routes []shelfshelf.Route
		for i, prefix := range rapid.SliceOfN(path, 0, 12).Draw(t, "prefixes") {
			routes = append(routes, shelfshelf.Route{Name: shelfshelf.RouteName(fmt.Sprint(i)), Host: hosts.Draw(t, "host"), PathPrefix: prefix})
		}
		host, asked := hosts.Draw(t, "asked host"), path.Draw(t, "asked")
		var want *shelfshelf.Route
		for i := range routes {
			fits := routes[i].Host == host && strings.HasPrefix(asked, routes[i].PathPrefix)
			if fits && (want == nil || len(routes[i].PathPrefix) > len(want.PathPrefix)) {
				want = &routes[i]
			}
		}
		index := catalog.NewIndex(&shelfshelf.Configuration{Revision: 1, Bundle: &shelfshelf.Bundle{Routes: routes}})
		if got := index.Route(host, asked); got != want {
			t.Errorf("%s%s: %v, want %v", host, asked, got, want)
		}
	})
}

// BenchmarkRoute looks for one of 4,250 routes of one host: 2,879 ns with a look at every
// route, 111 ns with one a length of prefix.
func BenchmarkRoute(b *testing.B) {
	var routes []shelfshelf.Route
	for i := range 4250 {
		routes = append(routes, shelfshelf.Route{Host: "a.example", PathPrefix: fmt.Sprintf("/%x/", i*7919)})
	}
	index := catalog.NewIndex(&shelfshelf.Configuration{Revision: 1, Bundle: &shelfshelf.Bundle{Routes: routes}})
	for b.Loop() {
		index.Route("a.example", "/nothing/x")
	}
}

// forgetful is a source that drops its history at once, and answers after 4 ms.
type forgetful struct {
	*source
	calls atomic.Int64
}

func (f *forgetful) call() {
	f.calls.Add(1)
	time.Sleep(4 * time.Millisecond)
}

func (f *forgetful) ReadConfiguration(ctx context.Context) (shelfshelf.ConfigurationUpdate, error) {
	f.call()
	return f.source.ReadConfiguration(ctx)
}

func (f *forgetful) AwaitConfiguration(context.Context, uint64, time.Duration) (shelfshelf.ConfigurationUpdate, error) {
	f.call()
	return shelfshelf.ConfigurationUpdate{}, shelfshelf.ErrHistoryGone
}

func (f *forgetful) ReadTargets(ctx context.Context) (shelfshelf.TargetsUpdate, error) {
	f.call()
	return f.source.ReadTargets(ctx)
}

func (f *forgetful) AwaitTargets(context.Context, uint64, time.Duration) (shelfshelf.TargetsUpdate, error) {
	f.call()
	return shelfshelf.TargetsUpdate{}, shelfshelf.ErrHistoryGone
}

// Where the platform's store dropped its history six times a second for 14 s, the readers
// of two data centres read the whole and asked for changes in turn without a pause, 5,618
// calls on one day, and passed for cut off from it.
func TestLostHistoryCostsFewCalls(t *testing.T) {
	s := &forgetful{source: &source{revision: 3}}
	bubbleWith(t, &catalog.Catalog{Source: s}, func(c *catalog.Catalog) {
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			if age(c) > 700*time.Millisecond {
				t.Fatalf("knowledge is %v old", age(c))
			}
			if c.SourceLost() {
				t.Fatal("a source that answers counts as lost")
			}
		}
		if calls := s.calls.Load(); calls > 10*2*2*2+8 {
			t.Errorf("%d calls in 10 s", calls)
		}
	})
}
