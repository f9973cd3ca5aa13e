package node_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shelfshelf/shelfshelf/fake"
)

// away is how long the store is away before it comes back from a copy.
const away = 300 * time.Millisecond

// goBack has the store be away for a moment and come back from a copy.
func (f *fleet) goBack(to *fake.RowsCopy) {
	f.platform.SetFaults(fake.PlatformFaults{Busy: true})
	time.Sleep(away)
	f.platform.Rows.GoBack(to)
	f.platform.SetFaults(fake.PlatformFaults{})
}

// beat writes rows that change nothing, as heartbeats do.
func (f *fleet) beat(count int) {
	for i := range count {
		f.platform.Put("servers", fmt.Sprint("beat", i), []byte(`{"Service":"none"}`))
	}
}

func (f *fleet) addRoute(path string) {
	f.routes = append(f.routes, object{
		"Name": path, "Host": "h.example", "PathPrefix": path, "Kind": "idempotent", "TimeoutMs": 1000, "Service": "plain", "MaxAttempts": 1,
	})
	f.configure()
}

// got returns how many requests a target got of some that are sent to all instances at once, so
// that each target gets its part.
func (f *fleet) got(target *fake.Server) int {
	for _, server := range f.servers {
		server.SetFaults(fake.ServerFaults{Slow: 30 * time.Millisecond})
	}
	before := len(target.Runs())
	var callers sync.WaitGroup
	for _, n := range f.nodes {
		for i := range 6 {
			callers.Go(func() {
				if got := f.ask(n, fmt.Sprint("g", i), "/many/", nil); got.status != http.StatusOK {
					f.t.Errorf("%+v", got)
				}
			})
		}
	}
	callers.Wait()
	return len(target.Runs()) - before
}

// A store that comes back from a copy some seconds old gives out its versions again. Whoever
// goes on from the version that it has seen last misses what is written below it, and whoever
// takes the higher version for the newer list hears of no other one from those that read.
func TestStoresThatComeBackOlderAreFollowed(t *testing.T) {
	t.Parallel()
	for name, overtakes := range map[string]bool{"below the last version": false, "past the last version at once": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			f.serve("p1", "plain", 0)
			f.serve("p2", "plain", 0)
			for range 3 {
				f.start()
			}
			older := f.platform.Rows.Copy()
			f.addRoute("/new/")
			f.beat(40)
			for _, n := range f.nodes {
				f.eventually("the new route isn't served", func() bool { return f.ask(n, "r", "/new/", nil).status == http.StatusOK })
			}
			f.platform.SetFaults(fake.PlatformFaults{Busy: true})
			time.Sleep(away)
			f.platform.Rows.GoBack(older)
			if !overtakes {
				f.platform.SetFaults(fake.PlatformFaults{})
				f.stillServes("/new/")
			}
			f.configureAgain()
			f.addRoute("/newer/")
			third := f.serve("p3", "plain", 0)
			if overtakes {
				f.beat(80)
				f.platform.SetFaults(fake.PlatformFaults{})
			}
			f.followed(third, time.Now())
		})
	}
}

// stillServes checks that all instances serve a route for a while.
func (f *fleet) stillServes(path string) {
	f.t.Helper()
	for i := range 10 {
		for _, n := range f.nodes {
			if got := f.ask(n, fmt.Sprint("b", i), path, nil); got.status != http.StatusOK {
				f.t.Errorf("what was in force is gone: %+v", got)
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// followed checks that each instance takes the newest configuration within a second of an
// instant, and uses a target that was listed then.
func (f *fleet) followed(target *fake.Server, written time.Time) {
	f.t.Helper()
	for i, n := range f.nodes {
		f.eventually(fmt.Sprint("the newest configuration is not in force at ", i), func() bool {
			return f.ask(n, "r", "/newer/", nil).status == http.StatusOK
		})
	}
	if took := time.Since(written); took > time.Second {
		f.t.Errorf("the newest configuration was in force after %v", took)
	}
	all := f.nodes
	for i, n := range all {
		f.nodes = []*running{n}
		f.eventually(fmt.Sprint("a new target gets nothing of instance ", i), func() bool { return f.got(target) > 0 })
	}
	f.nodes = all
}

// A target that is known to leave, or to have left, gets nothing again though the copy has it as
// it was before; nor is one forgotten that the copy lacks and that writes itself again.
func TestTargetsThatLeftStayAway(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.serve("p0", "plain", 0)
	leaving := f.serve("p1", "plain", 0)
	gone := f.serve("p2", "plain", 0)
	for range 2 {
		f.start()
	}
	older := f.platform.Rows.Copy()
	young := f.serve("p3", "plain", 0)
	f.list("p1", "plain", f.addresses["p1"], "draining")
	f.platform.Drop("servers", "p2")
	f.eventually("the new target isn't used", func() bool { return f.got(young) > 0 })
	time.Sleep(300 * time.Millisecond)
	left, was := len(leaving.Runs()), len(gone.Runs())
	f.goBack(older)
	for range 10 {
		if f.got(young) == 0 {
			t.Error("a target that the copy lacks gets nothing")
		}
		time.Sleep(100 * time.Millisecond)
	}
	f.list("p3", "plain", f.addresses["p3"], "ready")
	f.list("p1", "plain", f.addresses["p1"], "draining")
	f.platform.Drop("servers", "p2")
	time.Sleep(2 * time.Second)
	if f.got(young) == 0 {
		t.Error("a target that has written itself again gets nothing")
	}
	if got := len(leaving.Runs()) - left; got > 0 {
		t.Errorf("a leaving target got %d requests", got)
	}
	if got := len(gone.Runs()) - was; got > 0 {
		t.Errorf("a target that had left got %d requests", got)
	}
}

// rowOf returns a row of the store as it stands, empty if it is absent.
func (f *fleet) rowOf(table, key string) string {
	return string(f.platform.Rows.Get(fake.RowID{Table: table, Key: key}).Value)
}

// What this system wrote since the copy was made is gone, and nobody but it writes that again:
// where an instance listens that has just started, under which requests targets have ended, how far
// an order has come, as the operator reads it.
func TestOwnRowsAreWrittenAgain(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.serve("p1", "plain", 0)
	engines := &mortals{f: f, pool: "engines", events: 5, faults: fake.ServerFaults{Deadly: deadly}, backAfter: 300 * time.Millisecond}
	engines.serve(6)
	first := f.start()
	older := f.platform.Rows.Copy()
	f.start()
	m := &move{f: f, service: "plain", period: 20 * time.Second}
	m.order(fake.ServerFaults{})
	for i := 0; i < 50; i++ {
		if count, _ := engines.ended(1); count >= 3 {
			break
		}
		f.ask(first, fmt.Sprint("d", i), "/s/x", withBody(deadly))
	}
	written := func() bool {
		return f.rowOf("instances", "n1") != "" && len(f.rowOf("crashes", "all")) > 100 && m.state() == "serving"
	}
	f.eventually("it was never written", written)
	f.goBack(older)
	content := fmt.Sprintf(`{"Service":"plain","TargetVersion":"v2","PeriodS":%d}`, int(m.period/time.Second))
	f.platform.Put("op", "rollout/plain", []byte(content))
	f.eventually("it is not written again", written)
}

// Many instances that hear together that the store has come back from a copy don't read the whole
// at once, each for itself: those that read anyway do, and the others hear of it from them. Only who
// announced itself within the last minute looks whether it is still listed.
func TestReturnsOfTheStoreCostFewCalls(t *testing.T) {
	for name, c := range map[string]struct {
		count int
		first bool
	}{
		"6 instances": {6, false}, "85 instances": {85, false}, "240 instances": {240, false}, "85 that have just started": {85, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			playLarge(t, c.count, c.first, func(l *large) {
				const span = 3 * time.Second
				l.untilReady(6 * time.Second)
				time.Sleep(3 * time.Second)
				calm, _, _ := l.calls()
				time.Sleep(span)
				before, _, _ := l.calls()
				older := l.platform.Rows.Copy()
				l.put("op", "other", object{})
				l.platform.SetFaults(fake.PlatformFaults{Busy: true})
				time.Sleep(away)
				l.platform.Rows.GoBack(older)
				l.platform.SetFaults(fake.PlatformFaults{Delay: storeDelay})
				time.Sleep(span)
				after, _, _ := l.calls()
				t.Logf("%d calls in %v of calm, %d in %v of the return", before-calm, span, after-before, span+away)
				// Each data centre's first three try while a store fails, a few times a second.
				allowed := before - calm + centres*3*8
				if c.first {
					allowed += c.count
				}
				if after-before > allowed {
					t.Errorf("%d calls, more than %d", after-before, allowed)
				}
				returned := len(l.log.Lines("has come back from an older copy"))
				if returned != c.count {
					t.Errorf("%d of %d instances know of it", returned, c.count)
				}
			})
		})
	}
}
