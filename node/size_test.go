package node_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/fake"
	"github.com/shelfshelf/shelfshelf/node"
	"github.com/shelfshelf/shelfshelf/platform"
	"github.com/shelfshelf/shelfshelf/retrybudget"
	"github.com/shelfshelf/shelfshelf/settings"
)

const (
	// storeAddress is where the store's stand-in answers.
	storeAddress = "10.200.0.1:80"
	// storeDelay is how long it takes for an answer.
	storeDelay = 4 * time.Millisecond
	// centres is how many data centres there are.
	centres = 6
	// narrowLink and wideLink are 20 and 200 Mbit/s, of every sixteenth instance.
	narrowLink = 20
	wideLink   = 200
	wideEvery  = 16
)

// large is many whole instances in one process, on links of their own before a stand-in
// of the store, in simulated time. Processors are taken to cost nothing.
type large struct {
	t        *testing.T
	ctx      context.Context
	clock    shelfshelf.Clock
	network  *fake.Network
	platform *fake.Platform
	log      *fake.Log
	began    time.Time
	ended    sync.WaitGroup
	closers  []func()
	ready    []string
	// instances are those that run now, and stops ends each.
	instances []*node.Node
	stops     []func()
}

// playLarge starts so many instances at once, all of them listed in the directory as after
// a restart unless it is the first start, and ends them after the test.
// Its tests are not run beside others: hundreds of instances take all processors, and those that go
// by real time then wait 120 ms for an answer that is on its way.
func playLarge(t *testing.T, count int, first bool, test func(l *large)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		clock := clockwork.NewRealClock()
		l := &large{
			t: t, ctx: ctx, clock: clock, network: fake.NewNetwork(clock), platform: fake.NewPlatform(clock),
			log: &fake.Log{},
		}
		l.platform.SetFaults(fake.PlatformFaults{Delay: storeDelay})
		l.publish()
		server := &http.Server{Handler: l.platform.Handler()}
		l.closers = append(l.closers, func() { _ = server.Close() })
		listener := l.network.Listen("10.200.0.1", "80")
		l.ended.Go(func() { _ = server.Serve(listener) })
		if !first {
			for i := range count {
				l.announced(i)
			}
		}
		l.began = clock.Now()
		for i := range count {
			l.start(i, first)
		}
		defer func() {
			cancel()
			for _, closer := range l.closers {
				closer()
			}
			l.ended.Wait()
			time.Sleep(time.Minute)
		}()
		test(l)
	})
}

// publish puts a configuration and targets into the store, as large as the users' own.
func (l *large) publish() {
	var routes, customers []object
	for i := range 60 {
		routes = append(routes, object{
			"Name": fmt.Sprint("r", i), "Host": "h.example", "PathPrefix": fmt.Sprintf("/%d/", i), "Kind": "streaming",
			"TimeoutMs": 10000, "GoalMs": 800, "Service": "engines", "MaxAttempts": 2,
		})
	}
	for i := range 40 {
		customers = append(customers, object{"Name": fmt.Sprint("c", i), "ApiKeys": []string{fmt.Sprint("k", i)}, "RatePerS": 100, "Burst": 10})
	}
	l.put("op", "config", object{
		"Version": 1, "Routes": routes, "Tenants": customers,
		"Services": []object{{"Name": "engines", "Engine": object{"Slots": 8, "Stride": 5}}},
	})
	for i := range 160 {
		l.put("servers", fmt.Sprint("s", i), object{
			"Service": "engines", "Address": fmt.Sprintf("10.100.%d.%d:80", i%centres, i), "Zone": centreOf(i), "Slots": 8, "State": "ready",
		})
	}
}

func (l *large) put(table, key string, value object) {
	content, err := json.Marshal(value)
	if err != nil {
		l.t.Fatal(err)
	}
	l.platform.Put(table, key, content)
}

func centreOf(i int) string { return fmt.Sprint("dc", i%centres) }

func machineOf(i int) string { return fmt.Sprintf("10.%d.%d.1", i%centres, i/centres) }

func linkOf(i int) int {
	if (i/centres)%wideEvery == 0 {
		return wideLink
	}
	return narrowLink
}

// announced lists an instance in the directory.
func (l *large) announced(i int) {
	content, err := json.Marshal(object{"dataCentre": centreOf(i), "address": machineOf(i) + ":7600", "linkMbps": linkOf(i)})
	if err != nil {
		l.t.Fatal(err)
	}
	l.platform.PutInPart("instances", centreOf(i), fmt.Sprint("n", i), content)
}

func (l *large) start(i int, first bool) {
	machine := l.network.Machine(machineOf(i))
	l.network.SetRate(machineOf(i), linkOf(i)*1_000_000/8)
	store := platform.NewStore(storeAddress)
	store.Dial = machine.Dial
	instance := &node.Node{
		Clock: l.clock,
		Log:   log.NewWithOptions(l.log, log.Options{Formatter: log.JSONFormatter, Level: log.InfoLevel}).With("at", fmt.Sprint("n", i)),
		Settings: &settings.Node{
			Instance: shelfshelf.InstanceID(fmt.Sprint("n", i)), DataCentre: shelfshelf.DataCentre(centreOf(i)),
			Regions: regions(), Cold: settings.Cold{Excess: coldExcess, Slack: coldSlack},
			Callers: machineOf(i) + ":80", Ready: machineOf(i) + ":81", Peer: machineOf(i) + ":7600", Store: storeAddress,
			Descriptors: 4096, LinkMbps: float64(linkOf(i)), FirstStart: first, KeyLease: keyLease, StopLimit: 8 * time.Second, TargetDrain: targetDrain,
			Retry: retrybudget.Limits{Ratio: 0.2, Slack: 50, Window: 10 * time.Second},
		},
		Platform: node.Platform{
			Catalog: store, Directory: store, Codec: platform.Headers{}, Uses: store, Crashes: store, Rollouts: store, Versions: store, ReadyPath: platform.ReadyPath,
		},
		Sockets: machine, Processor: machine,
	}
	// The test looks into instances that have just started.
	if err := instance.Open(); err != nil {
		l.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(l.ctx)
	ended := make(chan struct{})
	l.ended.Go(func() {
		defer close(ended)
		if err := instance.Run(ctx); err != nil && ctx.Err() == nil {
			l.t.Error(err)
		}
	})
	stop := func() {
		cancel()
		<-ended
	}
	if i < len(l.instances) {
		l.instances[i], l.stops[i] = instance, stop
		return
	}
	l.ready = append(l.ready, machineOf(i)+":81")
	l.instances = append(l.instances, instance)
	l.stops = append(l.stops, stop)
}

// untilReady waits until all instances take connections, and returns how long after their
// start that was.
func (l *large) untilReady(within time.Duration) time.Duration {
	client := &http.Client{Transport: &http.Transport{DialContext: l.network.Machine("10.250.0.1").Dial}}
	defer client.CloseIdleConnections()
	waiting := l.ready
	for end := l.began.Add(within); l.clock.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		var still []string
		for _, address := range waiting {
			answer, err := client.Get("http://" + address + platform.ReadyPath)
			if err != nil {
				still = append(still, address)
				continue
			}
			_ = answer.Body.Close()
			if answer.StatusCode != http.StatusOK {
				still = append(still, address)
			}
		}
		if waiting = still; len(waiting) == 0 {
			return l.clock.Now().Sub(l.began)
		}
	}
	l.t.Errorf("%d instances are not ready after %v: %v", len(waiting), within, waiting[:min(len(waiting), 5)])
	return within
}

// calls returns the calls of the store by kind, and those that are neither the directory's
// nor a write.
func (l *large) calls() (all int, shared int, kinds map[string]int) {
	kinds = l.platform.CallsByKind()
	for kind, count := range kinds {
		all += count
		if !strings.HasPrefix(kind, "/-/rows-tx") && kind != "/-/rows-get instances" {
			shared += count
		}
	}
	return all, shared, kinds
}

// All instances start at the same moment, as after a loss of all. Each read configuration,
// targets and the use of limits from the store, and announced itself though it was listed:
// five calls an instance and more, 1,500 at 295 instances, the largest price of every day
// there. What one has read the others can have from it.
func TestRestartsOfAllCostOneCallAnInstance(t *testing.T) {
	for _, count := range []int{30, 100, 300} {
		t.Run(fmt.Sprint(count, " instances"), func(t *testing.T) {
			t.Parallel()
			playLarge(t, count, false, func(l *large) {
				took := l.untilReady(3 * time.Second)
				time.Sleep(time.Until(l.began.Add(2 * time.Second)))
				all, shared, kinds := l.calls()
				t.Logf("ready after %v; %d calls, %d shared: %v", took, all, shared, kinds)
				if most := count + centres*30; all > most {
					t.Errorf("%d calls, %.1f an instance, more than %d: %v", all, float64(all)/float64(count), most, kinds)
				}
				if took > 500*time.Millisecond {
					t.Errorf("ready after %v", took)
				}
			})
		})
	}
}

// The platform writes 200 rows of a table a second and turned a third of 295 instances
// away that announced themselves at once; each also read all that it could have heard.
func TestFirstStartsAreSpread(t *testing.T) {
	for _, count := range []int{30, 100, 200} {
		t.Run(fmt.Sprint(count, " instances"), func(t *testing.T) {
			t.Parallel()
			playLarge(t, count, true, func(l *large) {
				took := l.untilReady(6 * time.Second)
				time.Sleep(time.Until(l.began.Add(4 * time.Second)))
				all, shared, kinds := l.calls()
				t.Logf("ready after %v; %d calls, %d shared: %v", took, all, shared, kinds)
				if most := 2*count + centres*45; all > most {
					t.Errorf("%d calls, %.1f an instance, more than %d: %v", all, float64(all)/float64(count), most, kinds)
				}
			})
		})
	}
}

// After a restart of all, data centres hear each other as often as in calm. Instances that
// started together exchanged digests at the same moments, every 4 s where a data centre has
// 48, so that after 1 s each took the others for lost and let through a sixth of customers'
// limits: 17,000 of 50,000 requests of a day on which all were killed twice were refused.
func TestDataCentresHearEachOtherAfterRestarts(t *testing.T) {
	for _, count := range []int{30, 150} {
		t.Run(fmt.Sprint(count, " instances"), func(t *testing.T) {
			t.Parallel()
			playLarge(t, count, false, func(l *large) {
				l.untilReady(3 * time.Second)
				least := 1.0
				for time.Sleep(400 * time.Millisecond); l.clock.Now().Sub(l.began) < 5*time.Second; time.Sleep(100 * time.Millisecond) {
					for _, instance := range l.instances {
						known, heard := node.Census(instance)
						least = min(least, float64(heard)/float64(known))
					}
				}
				t.Logf("at least %.2f of the instances are heard", least)
				if least < 0.99 {
					t.Errorf("%.2f of the instances are heard", least)
				}
			})
		})
	}
}

// In calm, an instance sends as many datagrams a second at any size. With everyone telling
// everyone of its data centre, an instance of 295 sent and took 190 statuses a second, on a
// fifth of a core, and playing a day took more processor time than a day may.
func TestDatagramsDontGrow(t *testing.T) {
	const mostEach = 150
	for _, count := range []int{30, 100, 240} {
		t.Run(fmt.Sprint(count, " instances"), func(t *testing.T) {
			t.Parallel()
			playLarge(t, count, false, func(l *large) {
				const span = 2 * time.Second
				l.untilReady(3 * time.Second)
				time.Sleep(time.Until(l.began.Add(3 * time.Second)))
				before := l.network.Datagrams()
				time.Sleep(span)
				each := float64(l.network.Datagrams()-before) / span.Seconds() / float64(count)
				t.Logf("%.0f datagrams a second an instance", each)
				if each > mostEach {
					t.Errorf("%.0f datagrams a second an instance", each)
				}
			})
		})
	}
}

// owners returns how many different opinions there are on the owners of a data centre's
// engines, the most over all data centres.
func (l *large) owners() int {
	most := 0
	for i := range centres {
		opinions := make(map[string]int)
		for _, instance := range l.instances {
			opinions[node.Owners(instance, shelfshelf.DataCentre(centreOf(i)))]++
		}
		most = max(most, len(opinions))
	}
	return most
}

// All instances agree on who owns which engine. At its first start each read the directory
// as far as it was written; who came later was known to those of other data centres only
// once it had asked them, some minutes later with 295 instances, and who had gone stayed.
// Meanwhile an engine had several owners, each with its own book: where one counted 4
// requests, the engine said that it ran 8 and let 6 wait.
func TestInstancesAgreeOnOwners(t *testing.T) {
	for _, count := range []int{30, 240} {
		t.Run(fmt.Sprint(count, " instances"), func(t *testing.T) {
			t.Parallel()
			playLarge(t, count, true, func(l *large) {
				l.untilReady(6 * time.Second)
				time.Sleep(time.Until(l.began.Add(6 * time.Second)))
				opinions := l.owners()
				t.Logf("%d opinions", opinions)
				if opinions > 1 {
					t.Errorf("%d opinions on the owners of a data centre's engines", opinions)
				}
			})
		})
	}
}

// A store that is down is tried by few, at any size, and in force again everywhere soon
// after it is back. With all trying, one that was down for 8 s had 10,000 calls of 295
// instances, 0.13 of worth.
func TestLostStoresAreTriedByFew(t *testing.T) {
	const down = 8 * time.Second
	for _, count := range []int{30, 120} {
		t.Run(fmt.Sprint(count, " instances"), func(t *testing.T) {
			t.Parallel()
			playLarge(t, count, false, func(l *large) {
				l.untilReady(3 * time.Second)
				time.Sleep(time.Second)
				before, _, _ := l.calls()
				l.platform.SetFaults(fake.PlatformFaults{Busy: true})
				time.Sleep(down)
				during, _, _ := l.calls()
				l.platform.SetFaults(fake.PlatformFaults{Delay: storeDelay})
				l.began = l.clock.Now()
				back := l.untilReady(3 * time.Second)
				t.Logf("%d calls in %v, ready %v after it is back", during-before, down, back)
				if calls := during - before; calls > 1800+2*count {
					t.Errorf("%d calls in %v", calls, down)
				}
				if back > 1500*time.Millisecond {
					t.Errorf("ready %v after the store is back", back)
				}
			})
		})
	}
}

// A store that writes the rows of a part one after the other, a tenth as many a second as there are
// instances, is asked no more often by a first start, and sends each instance what it has of its own data
// centre: where all rows were in one part, those turned away wrote again, and read the whole directory
// before each try. 985 instances made 7,400 calls for 100 MB before 200 writes a second.
func TestFirstStartsOutpaceNoStore(t *testing.T) {
	const (
		mostBytesEach = 12000
		rowBytes      = 100
	)
	for _, count := range []int{30, 100, 300} {
		t.Run(fmt.Sprint(count, " instances"), func(t *testing.T) {
			t.Parallel()
			playLarge(t, count, true, func(l *large) {
				l.platform.SetFaults(fake.PlatformFaults{Delay: storeDelay, WritesPerSecond: count / 10})
				l.untilReady(8 * time.Second)
				time.Sleep(time.Until(l.began.Add(8 * time.Second)))
				all, _, kinds := l.calls()
				sent := int(l.platform.Sent()) / count
				t.Logf("%d calls, %d bytes an instance: %v", all, sent, kinds)
				if most := 2*count + centres*45; all > most {
					t.Errorf("%d calls, more than %d: %v", all, most, kinds)
				}
				if most := mostBytesEach + rowBytes*count/centres; count >= 100 && sent > most {
					t.Errorf("%d bytes an instance, more than %d", sent, most)
				}
			})
		})
	}
}
