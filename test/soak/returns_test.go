package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
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

// All promises hold beside a store that comes back from older copies.
func TestSoakWithReturns(t *testing.T) {
	binary := build(t)
	for i := range uint64(*seedCount) {
		seed := *firstSeed + i
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) { play(t, binary, seed, withReturns) })
	}
	for began := time.Now(); time.Since(began) < *fresh; {
		seed := uint64(time.Now().UnixNano())
		t.Run("fresh", func(t *testing.T) {
			t.Run(fmt.Sprint(seed), func(t *testing.T) { play(t, binary, seed, withReturns) })
		})
	}
}
