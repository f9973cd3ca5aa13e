package retrybudget_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"github.com/shelfshelf/shelfshelf/retrybudget"
)

// The retries of all instances together stay within the ratio and the slack in every window, although
// the instances don't communicate.
func TestCombinedRetriesStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		limits := retrybudget.Limits{
			Ratio:  rapid.Float64Range(0, 0.5).Draw(t, "ratio"),
			Slack:  rapid.Float64Range(0, 100).Draw(t, "slack"),
			Window: 10 * time.Second,
		}
		instances := rapid.IntRange(1, 8).Draw(t, "instances")
		var budgets []*retrybudget.Budget
		for range instances {
			budgets = append(budgets, &retrybudget.Budget{Clock: clock, Limits: limits, Instances: func() int { return instances }})
		}
		const step = 100 * time.Millisecond
		var requests, retries []int
		for range 300 {
			sent, retried := 0, 0
			for range rapid.IntRange(0, 20).Draw(t, "requests") {
				b := budgets[rapid.IntRange(0, instances-1).Draw(t, "at")]
				b.CountRequest("p")
				sent++
				if b.TakeRetry("p") {
					retried++
				}
			}
			requests, retries = append(requests, sent), append(retries, retried)
			clock.Advance(step)
		}
		const windowSteps = int(10 * time.Second / step)
		for end := windowSteps; end <= len(retries); end++ {
			retried := sum(retries, end-windowSteps, end)
			// Earlier windows with more requests count too: a retry may be sent when the requests that
			// permit it have almost left the window.
			mostRequests := max(sum(requests, end-windowSteps, end), sum(requests, end-windowSteps*3/2, end-windowSteps/2), sum(requests, end-2*windowSteps, end-windowSteps))
			if float64(retried) > limits.Ratio*float64(mostRequests)+limits.Slack {
				t.Fatalf("%d retries of %d requests", retried, mostRequests)
			}
		}
	})
}

func sum(counts []int, from, to int) int {
	total := 0
	for i := max(from, 0); i < to; i++ {
		total += counts[i]
	}
	return total
}

func TestPoolsHaveSeparateBudgets(t *testing.T) {
	b := &retrybudget.Budget{
		Clock:     clockwork.NewFakeClock(),
		Limits:    retrybudget.Limits{Slack: 2, Window: 10 * time.Second},
		Instances: func() int { return 1 },
	}
	if !b.TakeRetry("p") || b.TakeRetry("p") || !b.TakeRetry("q") {
		t.Error("pools share a budget, or the slack is wrong")
	}
}
