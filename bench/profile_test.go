package bench_test

import (
	"testing"
	"time"

	"github.com/shelfshelf/shelfshelf/bench"
	"github.com/shelfshelf/shelfshelf/schedule"
)

func BenchmarkRun(b *testing.B) {
	for _, policy := range schedule.Policies {
		b.Run(policy.Name, func(b *testing.B) {
			for b.Loop() {
				run := &bench.Bench{
					Deployment: "prairie",
					Seed:       1,
					Length:     10 * time.Second,
					Loads:      []float64{1.5},
					Faults:     []string{"slow+burst+stale"},
					Policies:   []schedule.PolicyEntry{policy},
					Tuning:     schedule.DefaultTuning(),
				}
				if _, err := run.Do(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
