package node_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shelfshelf/shelfshelf/fake"
)

const (
	// deadlyPart is the part of prompts that crashes engines.
	deadlyPart = "dead"
	// blamedAt is the number of ends after which a part has to be known.
	blamedAt = 5
	// mostPartRuns is how many requests with such a part may still be run from contact on.
	mostPartRuns = 3
)

// withPrompt gives a request the parts of a prompt and a body of its own.
func withPrompt(parts, own string) func(*http.Request) {
	return func(r *http.Request) {
		withBody("body of " + own)(r)
		r.Header.Set("X-Shelfshelf-Prompt-Prefix", fmt.Sprintf("%s,%s:9", parts, own))
		r.Header.Set("X-Shelfshelf-Token-Count", "209,20")
	}
}

// Requests that share one part of their prompts, and are otherwise all different, crashed one engine after the
// other: 33 and 46 ended, 26 and 35 such requests came after the fifth. Blame was on whole requests. Sound
// requests share the customer, the route's part and the customer's part.
func TestPartsThatCrashEnginesAreBounded(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		engines *mortals
		pause   time.Duration
	}{
		"slow series":              {&mortals{backAfter: 300 * time.Millisecond}, 250 * time.Millisecond},
		"fast series":              {&mortals{backAfter: 300 * time.Millisecond}, 40 * time.Millisecond},
		"back under the same name": {&mortals{backAfter: 100 * time.Millisecond, sameName: true}, 100 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			boundParts(t, c.engines, c.pause)
		})
	}
}

func boundParts(t *testing.T, engines *mortals, pause time.Duration) {
	f := newFleet(t)
	engines.f, engines.pool, engines.events = f, "engines", 20
	engines.faults = fake.ServerFaults{Slow: 10 * time.Millisecond, DeadlyPart: deadlyPart, DeadlyAfter: 30 * time.Millisecond}
	engines.serve(8)
	nodes := []*running{f.startIn("z"), f.startIn("z"), f.startIn("y")}
	stop := make(chan struct{})
	var wait sync.WaitGroup
	beside := &partBystanders{f: f, nodes: nodes}
	for caller := range 6 {
		wait.Go(func() { beside.loop(stop, caller) })
	}
	time.Sleep(time.Second)
	var blamed time.Time
	for i := 0; i < 400 && (blamed.IsZero() || time.Since(blamed) < contact+3*time.Second); i++ {
		own := fmt.Sprint("d", i)
		wait.Go(func() {
			f.ask(nodes[i%len(nodes)], own, "/s/x", withPrompt("route:100,customer:50,"+deadlyPart+":50", own))
		})
		time.Sleep(pause)
		_, blamed = engines.ended(blamedAt)
	}
	close(stop)
	wait.Wait()
	if blamed.IsZero() {
		t.Fatal("too few engines ended")
	}
	late := engines.runsAfter(blamed.Add(contact))
	count, _ := engines.ended(1)
	before, after, held := beside.shares(blamed.Add(contact))
	t.Logf("%d engines ended, %d runs late; sound requests before %v, from contact on %v, held back %d", count, late, before, after, held)
	if late > mostPartRuns {
		t.Errorf("%d requests with the part were run late", late)
	}
	if after.all < 20 || after.ok*2 < after.all || held > 0 {
		t.Errorf("sound requests: %d of %d served, %d held back", after.ok, after.all, held)
	}
}

// partBystanders are callers of sound requests that share all parts but one with the others.
type partBystanders struct {
	f     *fleet
	nodes []*running

	mu    sync.Mutex
	calls []partCall
}

type partCall struct {
	at   time.Time
	held bool
	ok   bool
}

func (b *partBystanders) loop(stop <-chan struct{}, caller int) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		own := fmt.Sprint("b", caller, "-", i)
		at := time.Now()
		got := b.f.ask(b.nodes[(caller+i)%len(b.nodes)], own, "/s/x", withPrompt(fmt.Sprintf("route:100,customer:50,fine%d:50", i%3), own))
		b.mu.Lock()
		b.calls = append(b.calls, partCall{at: at, held: strings.Contains(got.body, "held back"), ok: got.err == nil && got.status == http.StatusOK})
		b.mu.Unlock()
	}
}

// shares returns how many sound requests were served until an instant and from then on, and how many were
// refused in all.
func (b *partBystanders) shares(from time.Time) (before, after served, refused int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, call := range b.calls {
		counts := &before
		if call.at.After(from) {
			counts = &after
		}
		counts.all++
		if call.ok {
			counts.ok++
		}
		if call.held {
			refused++
		}
	}
	return before, after, refused
}
