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

// fakeSource is an in-memory CatalogSource.
type fakeSource struct {
	mu       sync.Mutex
	revision shelfshelf.Revision
	targets  []shelfshelf.Target
	// removed is returned by AwaitTargets as single changes.
	removed []shelfshelf.TargetName
	version uint64
	err     error
	reads   int
}

func (s *fakeSource) update(change func(*fakeSource)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
	s.version++
}

func (s *fakeSource) ReadConfiguration(context.Context) (shelfshelf.ConfigurationUpdate, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.err != nil {
		return shelfshelf.ConfigurationUpdate{}, s.err
	}
	return shelfshelf.ConfigurationUpdate{Configuration: configuration(s.revision), Cursor: s.version + 1}, nil
}

func (s *fakeSource) AwaitConfiguration(ctx context.Context, cursor uint64, wait time.Duration) (shelfshelf.ConfigurationUpdate, error) {
	s.await(ctx, cursor, wait)
	return s.ReadConfiguration(ctx)
}

// await waits for a change like a long poll.
func (s *fakeSource) await(ctx context.Context, cursor uint64, wait time.Duration) {
	for end := time.Now().Add(wait); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(10 * time.Millisecond) {
		s.mu.Lock()
		due := s.version+1 > cursor || s.err != nil
		s.mu.Unlock()
		if due {
			return
		}
	}
}

func (s *fakeSource) ReadTargets(context.Context) (shelfshelf.TargetsUpdate, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return shelfshelf.TargetsUpdate{}, s.err
	}
	return shelfshelf.TargetsUpdate{Full: true, Changed: s.targets, Version: s.version + 1, Cursor: s.version + 1}, nil
}

func (s *fakeSource) AwaitTargets(ctx context.Context, cursor uint64, wait time.Duration) (shelfshelf.TargetsUpdate, error) {
	s.await(ctx, cursor, wait)
	update, err := s.ReadTargets(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		update.Full, update.Removed = false, s.removed
	}
	return update, err
}

func (s *fakeSource) DecodeConfiguration(encoded []byte) (*shelfshelf.Configuration, error) {
	if len(encoded) == 0 {
		return nil, errors.New("empty")
	}
	return configuration(shelfshelf.Revision(encoded[0])), nil
}

func configuration(revision shelfshelf.Revision) *shelfshelf.Configuration {
	return &shelfshelf.Configuration{Revision: revision, Bundle: &shelfshelf.Bundle{}}
}

func (s *fakeSource) readCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

// runWithSource runs a test in simulated time with a running catalog.
func runWithSource(t *testing.T, s *fakeSource, follow func() time.Duration, test func(c *catalog.Catalog)) {
	runWithCatalog(t, &catalog.Catalog{Source: s, ReadAge: follow}, test)
}

func runWithCatalog(t *testing.T, c *catalog.Catalog, test func(c *catalog.Catalog)) {
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

func configurationAge(c *catalog.Catalog) time.Duration {
	_, at := c.Index()
	return time.Since(at)
}

// The age of the configuration stays below 2.2 s while the source answers, grows during an outage, and
// drops again after it.
func TestConfigurationAgeFollowsSourceAvailability(t *testing.T) {
	s := &fakeSource{revision: 3}
	runWithSource(t, s, nil, func(c *catalog.Catalog) {
		for range 200 {
			time.Sleep(50 * time.Millisecond)
			if configurationAge(c) > 2200*time.Millisecond {
				t.Fatalf("configuration is %v old while the source answers", configurationAge(c))
			}
		}
		s.update(func(s *fakeSource) { s.err = errDown })
		time.Sleep(5 * time.Second)
		if got := configurationAge(c); got < 4500*time.Millisecond {
			t.Errorf("configuration is %v old after 5 s without the source", got)
		}
		if !c.SourceLost() {
			t.Error("the outage of the source was not detected")
		}
		s.update(func(s *fakeSource) { s.err = nil })
		time.Sleep(time.Second)
		if got := configurationAge(c); got > 2200*time.Millisecond || c.SourceLost() {
			t.Errorf("configuration is %v old after the outage", got)
		}
	})
}

// An older configuration is never applied, neither from the source nor from another instance; a newer one
// is applied at once.
func TestConfigurationRevisionNeverDecreases(t *testing.T) {
	s := &fakeSource{revision: 5}
	runWithSource(t, s, nil, func(c *catalog.Catalog) {
		time.Sleep(100 * time.Millisecond)
		revision := func() shelfshelf.Revision {
			index, _ := c.Index()
			return index.Revision
		}
		s.update(func(s *fakeSource) { s.revision = 4 })
		time.Sleep(3 * time.Second)
		if revision() != 5 {
			t.Errorf("the source set the revision back to %d", revision())
		}
		if err := c.OfferConfiguration([]byte{3}, time.Now(), "other"); err != nil || revision() != 5 {
			t.Errorf("another instance set the revision back to %d: %v", revision(), err)
		}
		if err := c.OfferConfiguration([]byte{9}, time.Now(), "other"); err != nil || revision() != 9 {
			t.Errorf("revision is %d, want 9: %v", revision(), err)
		}
		if err := c.OfferConfiguration(nil, time.Now(), "other"); err == nil {
			t.Error("an offer that can't be decoded was accepted")
		}
	})
}

// A confirmation from another instance counts only if it is for the current revision.
func TestConfirmAppliesOnlyToCurrentRevision(t *testing.T) {
	s := &fakeSource{revision: 5}
	runWithSource(t, s, nil, func(c *catalog.Catalog) {
		time.Sleep(100 * time.Millisecond)
		s.update(func(s *fakeSource) { s.err = errDown })
		time.Sleep(3 * time.Second)
		c.ConfirmConfiguration(4, time.Now())
		c.ConfirmConfiguration(6, time.Now())
		if configurationAge(c) < 2*time.Second {
			t.Error("a confirmation of another revision was accepted")
		}
		c.ConfirmConfiguration(5, time.Now().Add(-time.Second))
		if got := configurationAge(c); got < time.Second || got > 1100*time.Millisecond {
			t.Errorf("configuration is %v old, want 1 s", got)
		}
	})
}

// An instance that is not a regular reader doesn't read the source while other instances confirm its
// configuration, and reads it when the last confirmation becomes too old.
func TestOtherInstancesReadOnlyWhenStale(t *testing.T) {
	s := &fakeSource{revision: 5}
	runWithSource(t, s, func() time.Duration { return 2 * time.Second }, func(c *catalog.Catalog) {
		time.Sleep(100 * time.Millisecond)
		before := s.readCount()
		for range 100 {
			c.ConfirmConfiguration(5, time.Now())
			time.Sleep(100 * time.Millisecond)
		}
		if got := s.readCount(); got != before {
			t.Errorf("%d reads while others confirm", got-before)
		}
		oldest := time.Duration(0)
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			oldest = max(oldest, configurationAge(c))
		}
		if got := s.readCount(); got == before || oldest > 2100*time.Millisecond {
			t.Errorf("%d reads and a configuration of up to %v old without confirmations", got-before, oldest)
		}
	})
}

// loseTargetInOutage makes the source fail for 4 s and drop its second target afterwards.
func loseTargetInOutage(s *fakeSource) {
	time.Sleep(100 * time.Millisecond)
	s.update(func(s *fakeSource) { s.err = errDown })
	time.Sleep(4 * time.Second)
	s.update(func(s *fakeSource) {
		s.err = nil
		s.targets = s.targets[:1]
	})
}

// Targets that are missing after an outage are retained for two seconds, because they may only have been
// unable to renew their entries.
func TestTargetsMissingAfterOutageAreRetained(t *testing.T) {
	both := []shelfshelf.Target{{Name: "a", Address: "x"}, {Name: "b", Address: "y"}}
	s := &fakeSource{revision: 5, targets: both}
	runWithSource(t, s, nil, func(c *catalog.Catalog) {
		loseTargetInOutage(s)
		time.Sleep(1500 * time.Millisecond)
		if got := len(c.Targets().Targets); got != 2 {
			t.Errorf("%d targets right after the outage", got)
		}
		time.Sleep(1500 * time.Millisecond)
		if got := len(c.Targets().Targets); got != 1 {
			t.Errorf("%d targets three seconds after the outage", got)
		}
		s.update(func(s *fakeSource) {
			s.targets = nil
			s.removed = []shelfshelf.TargetName{"a"}
		})
		time.Sleep(100 * time.Millisecond)
		if got := len(c.Targets().Targets); got != 0 {
			t.Errorf("%d targets after the last one was removed", got)
		}
	})
}

// A target whose entry is removed while the source can be read is removed at once, also right after an
// outage, so that other instances don't get it either.
func TestRemovalAfterOutageTakesEffect(t *testing.T) {
	both := []shelfshelf.Target{{Name: "a", Address: "x"}, {Name: "b", Address: "y"}}
	s := &fakeSource{revision: 5, targets: both}
	runWithSource(t, s, nil, func(c *catalog.Catalog) {
		time.Sleep(100 * time.Millisecond)
		s.update(func(s *fakeSource) { s.err = errDown })
		time.Sleep(4 * time.Second)
		s.update(func(s *fakeSource) { s.err = nil })
		time.Sleep(600 * time.Millisecond)
		s.update(func(s *fakeSource) {
			s.targets = both[:1]
			s.removed = []shelfshelf.TargetName{"b"}
		})
		time.Sleep(100 * time.Millisecond)
		if got := len(c.Targets().Targets); got != 1 {
			t.Errorf("%d targets after one was removed", got)
		}
	})
}

// An instance that gets targets from another one keeps the retained ones no longer than the sender does.
func TestOfferedTargetsKeepTheirExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &catalog.Catalog{Clock: clockwork.NewRealClock(), Log: log.New(io.Discard)}
		now := time.Now()
		c.OfferTargets(catalog.Snapshot{
			Targets: []shelfshelf.Target{{Name: "a"}, {Name: "b"}}, Version: 2, ValidAt: now,
			RetainedUntil: map[shelfshelf.TargetName]time.Time{"b": now.Add(time.Second)},
		}, "other")
		if got := c.Targets(); len(got.Targets) != 2 || len(got.RetainedUntil) != 1 {
			t.Errorf("%+v", got)
		}
		time.Sleep(1100 * time.Millisecond)
		if got := c.Targets(); len(got.Targets) != 1 {
			t.Errorf("%+v", got)
		}
	})
}

func TestRouteMatchesHostAndLongestPrefix(t *testing.T) {
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

// OnChange is called when a retained target expires, although the source reports nothing new.
func TestExpiryOfRetainedTargetCallsOnChange(t *testing.T) {
	both := []shelfshelf.Target{{Name: "a", Address: "x"}, {Name: "b", Address: "y"}}
	s := &fakeSource{revision: 5, targets: both}
	c := &catalog.Catalog{Source: s}
	var notified atomic.Int64
	c.OnChange = func(string) { notified.Store(int64(len(c.Targets().Targets))) }
	runWithCatalog(t, c, func(c *catalog.Catalog) {
		loseTargetInOutage(s)
		time.Sleep(4 * time.Second)
		if got := notified.Load(); got != 1 {
			t.Errorf("%d targets at the last call of OnChange, want 1", got)
		}
	})
}

// A full list without changes is neither logged nor reported as a change.
func TestUnchangedTargetsAreNotReported(t *testing.T) {
	s := &fakeSource{revision: 5, targets: []shelfshelf.Target{{Name: "a", Address: "x"}, {Name: "b", Address: "y"}}}
	var lines bytes.Buffer
	c := &catalog.Catalog{Source: s, Log: log.New(&lines), ReadAge: func() time.Duration { return time.Hour }}
	runWithCatalog(t, c, func(c *catalog.Catalog) {
		time.Sleep(100 * time.Millisecond)
		snapshot := c.Targets()
		for range 3 {
			snapshot.Version++
			snapshot.Targets[0].Slots = 7
			c.OfferTargets(snapshot, "other")
		}
	})
	if got := strings.Count(lines.String(), "Targets have changed."); got != 2 {
		t.Errorf("%d changes logged, want 2:\n%s", got, &lines)
	}
	if last := lines.String(); strings.Count(last, "changed=\"[a b]\"")+strings.Count(last, "changed=\"[b a]\"") != 1 {
		t.Errorf("an unchanged target is logged as changed:\n%s", last)
	}
}

// The look-up by prefix length finds the same route as a linear scan of all routes.
func TestRouteAgreesWithLinearScan(t *testing.T) {
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

// BenchmarkRoute looks up a path that matches none of 4,250 routes of one host: 2,879 ns with a scan of all
// routes, 111 ns with one look-up per prefix length.
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

// sourceWithoutHistory is a source that drops its change history at once and answers after 4 ms.
type sourceWithoutHistory struct {
	*fakeSource
	calls atomic.Int64
}

func (f *sourceWithoutHistory) call() {
	f.calls.Add(1)
	time.Sleep(4 * time.Millisecond)
}

func (f *sourceWithoutHistory) ReadConfiguration(ctx context.Context) (shelfshelf.ConfigurationUpdate, error) {
	f.call()
	return f.fakeSource.ReadConfiguration(ctx)
}

func (f *sourceWithoutHistory) AwaitConfiguration(context.Context, uint64, time.Duration) (shelfshelf.ConfigurationUpdate, error) {
	f.call()
	return shelfshelf.ConfigurationUpdate{}, shelfshelf.ErrHistoryGone
}

func (f *sourceWithoutHistory) ReadTargets(ctx context.Context) (shelfshelf.TargetsUpdate, error) {
	f.call()
	return f.fakeSource.ReadTargets(ctx)
}

func (f *sourceWithoutHistory) AwaitTargets(context.Context, uint64, time.Duration) (shelfshelf.TargetsUpdate, error) {
	f.call()
	return shelfshelf.TargetsUpdate{}, shelfshelf.ErrHistoryGone
}

// Guards against full reads without a pause, and against reporting the source as lost, when it drops its
// change history again and again. When the platform's store did so six times a second for 14 s, the
// readers of two data centres made 5,618 calls by alternating full reads and polls, and reported the
// source as lost.
func TestLostHistoryLimitsCalls(t *testing.T) {
	s := &sourceWithoutHistory{fakeSource: &fakeSource{revision: 3}}
	runWithCatalog(t, &catalog.Catalog{Source: s}, func(c *catalog.Catalog) {
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			if configurationAge(c) > 700*time.Millisecond {
				t.Fatalf("configuration is %v old", configurationAge(c))
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
