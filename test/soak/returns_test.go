package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shelfshelf/shelfshelf/fake"
)

const (
	// oldestCopy is how old a copy of the store is at most, and longestAway how long the store
	// is away before it comes back from one.
	oldestCopy  = 6 * time.Second
	longestAway = 1500 * time.Millisecond
	// writtenAgain is the time over which the operator and the targets write again what is lost.
	writtenAgain = 2 * time.Second
)

// returns makes the store go away and come back from older copies, beside all other faults.
type returns struct {
	stage  *stage
	random *rand.Rand
	copies []datedCopy
	count  int
	done   chan struct{}
}

// datedCopy is the store as it stood at an instant.
type datedCopy struct {
	at   time.Time
	rows *fake.RowsCopy
}

// run goes back every few seconds until the context ends.
func (r *returns) run(ctx context.Context) {
	defer close(r.done)
	next := time.Now().Add(3 * time.Second)
	for ctx.Err() == nil {
		r.copies = append(r.copies, datedCopy{at: time.Now(), rows: r.stage.platform.Rows.Copy()})
		if time.Now().After(next) {
			r.goBack()
			next = time.Now().Add(time.Duration(2000+r.random.IntN(3000)) * time.Millisecond)
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// goBack comes back from any copy that is young enough; the operator and the targets write again
// what they have written, in any order.
func (r *returns) goBack() {
	for len(r.copies) > 1 && time.Since(r.copies[0].at) > oldestCopy {
		r.copies = r.copies[1:]
	}
	older := r.copies[r.random.IntN(len(r.copies))]
	s := r.stage
	s.setStoreDown(true)
	s.platform.SetFaults(fake.PlatformFaults{Busy: r.random.IntN(2) == 0, Reset: true})
	time.Sleep(time.Duration(200+r.random.Int64N(int64(longestAway/time.Millisecond)-200)) * time.Millisecond)
	s.mu.Lock()
	s.platform.Rows.GoBack(older.rows)
	s.mu.Unlock()
	s.platform.SetFaults(fake.PlatformFaults{})
	writers := []func(){func() { s.configureAgain() }}
	for _, t := range s.targets {
		writers = append(writers, func() { s.list(t, s.stateOf(t)) })
	}
	r.random.Shuffle(len(writers), func(i, j int) { writers[i], writers[j] = writers[j], writers[i] })
	for _, write := range writers {
		write()
		time.Sleep(writtenAgain / time.Duration(len(writers)+1))
	}
	s.setStoreDown(false)
	r.copies = nil
	r.count++
}

// checkFollowed has the store come back once more, with its versions past the last one read by the
// time that it can be read, and checks that every process serves a route that came with them.
func (r *returns) checkFollowed(t *testing.T) {
	t.Helper()
	s := r.stage
	older := s.platform.Rows.Copy()
	s.addRoute("/many/lost/")
	time.Sleep(inForceWithin)
	s.platform.SetFaults(fake.PlatformFaults{Busy: true})
	time.Sleep(300 * time.Millisecond)
	s.platform.Rows.GoBack(older)
	s.configureAgain()
	s.addRoute("/many/returned/")
	for i := range 200 {
		s.put("status", fmt.Sprint("beat-", i), object{"i": i})
	}
	s.platform.SetFaults(fake.PlatformFaults{})
	written := time.Now()
	for _, p := range s.nodes {
		for s.status(p, "/many/returned/") != http.StatusOK {
			if time.Since(written) > inForceWithin {
				t.Fatalf("%s doesn't serve what was written after the store came back", p.name)
			}
			time.Sleep(30 * time.Millisecond)
		}
	}
	t.Logf("all serve it %v after the store came back", time.Since(written))
}

// status asks a process as a caller of a route does.
func (s *stage) status(p *process, path string) int {
	request, err := http.NewRequest(http.MethodPost, "http://"+p.callers+path, strings.NewReader("status"))
	if err != nil {
		s.t.Fatal(err)
	}
	s.mu.Lock()
	request.Header.Set("Authorization", "Bearer "+s.keys[0])
	s.mu.Unlock()
	request.Host = "h.example"
	request.Header.Set("X-Shelfshelf-Request-Id", "status")
	request.Header.Set("X-Shelfshelf-Request-Deadline", "1000")
	response, err := (&http.Client{Timeout: time.Second}).Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// addRoute adds a route.
func (s *stage) addRoute(path string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.routes = append(s.routes, object{
		"Name": path, "Host": "h.example", "PathPrefix": path, "Kind": "idempotent", "TimeoutMs": 1500, "Service": "plain", "MaxAttempts": 2,
	})
	s.configure()
}

// All promises hold beside a store that comes back from older copies.
func TestSoakWithReturns(t *testing.T) {
	playSeeds(t, build(t), withReturns)
}
