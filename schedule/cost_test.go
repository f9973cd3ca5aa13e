package schedule_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/schedule"
)

// BenchmarkDecision measures one request through a busy pool: ask, decide, first
// token and done, with others waiting in line.
func BenchmarkDecision(b *testing.B) {
	for _, engines := range []int{55, 600, 4800} {
		for _, waiting := range []int{100, 10000} {
			b.Run(fmt.Sprintf("engines=%d/waiting=%d", engines, waiting), func(b *testing.B) {
				benchmarkDecision(b, engines, waiting)
			})
		}
	}
}

func benchmarkDecision(b *testing.B, engines, waiting int) {
	now := time.Unix(1000, 0)
	pool := schedule.NewPool(schedule.Config{Tiers: tiers, Tuning: schedule.DefaultTuning()})
	targets := make([]shelfshelf.Target, engines)
	for i := range targets {
		targets[i] = engineNamed(fmt.Sprintf("e%d", i), 16)
	}
	pool.SetTargets(now, targets)
	// The asks are made beforehand, so that only the policy is measured; a name is
	// used again long after its request is done.
	asks := make([]shelfshelf.Ask, 4*waiting+engines*40)
	for serial := range asks {
		one := ask(fmt.Sprintf("r%d", serial), shelfshelf.Tier(serial%3), now, 1000, time.Hour)
		one.Customer = shelfshelf.CustomerName(fmt.Sprintf("c%d", serial%5))
		for depth := range 12 {
			hash := shelfshelf.BlockHash(serial%(engines*4)*100 + depth)
			one.Prefix = append(one.Prefix, shelfshelf.PromptPrefix{Tokens: 64 * (depth + 1), Hash: hash})
		}
		asks[serial] = one
	}
	serial := 0
	var flying []shelfshelf.Decision
	add := func() {
		one := asks[serial%len(asks)]
		one.Arrived, one.Deadline = now, now.Add(time.Hour)
		pool.Ask(now, one)
		serial++
	}
	step := func() {
		now = now.Add(time.Millisecond)
		for _, decision := range pool.Decide(now) {
			pool.FirstToken(now, decision.ID)
			flying = append(flying, decision)
		}
	}
	// Fill every engine and then the line.
	for len(pool.Waiting()) == 0 || total(pool.Waiting()) < waiting {
		add()
		step()
	}
	b.ReportAllocs()
	b.ResetTimer()
	for b.Loop() {
		add()
		if len(flying) > 0 {
			done := flying[0]
			flying = flying[1:]
			pool.Done(now, shelfshelf.Completion{ID: done.ID, Target: done.Target, Outcome: shelfshelf.OutcomeDone})
		}
		step()
	}
}

func total(counts map[shelfshelf.Tier]int) int {
	sum := 0
	for _, count := range counts {
		sum += count
	}
	return sum
}
