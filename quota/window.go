package quota

import "time"

const (
	// intervalCount is the number of intervals in the window. Usage expires one interval at a time.
	intervalCount = 160
	// keptIntervals is one more, since usage counts until all of its interval has left the window.
	keptIntervals = intervalCount + 1
)

// slidingWindow counts recent usage in intervals of equal length.
type slidingWindow struct {
	used [keptIntervals]float64
	sum  float64
	// newest is the number of the newest interval. Intervals are numbered from the ledger's start.
	newest int64
}

// advance moves the window on to an interval and drops the usage that has expired.
func (w *slidingWindow) advance(interval int64) {
	if interval-w.newest >= keptIntervals {
		*w = slidingWindow{newest: interval}
		return
	}
	for w.newest < interval {
		w.newest++
		i := w.newest % keptIntervals
		w.sum -= w.used[i]
		w.used[i] = 0
	}
}

// add counts usage in an interval, unless that has left the window. A negative amount is a refund.
func (w *slidingWindow) add(interval int64, amount float64) {
	if interval <= w.newest-keptIntervals || interval > w.newest {
		return
	}
	w.used[interval%keptIntervals] += amount
	w.sum += amount
}

// sumOfNewest returns the usage in the newest count intervals.
func (w *slidingWindow) sumOfNewest(count int64) float64 {
	sum := 0.0
	for i := range min(count, keptIntervals) {
		if interval := w.newest - i; interval >= 0 {
			sum += w.used[interval%keptIntervals]
		}
	}
	return sum
}

// intervalsUntilFreed returns after how many intervals the given amount of usage has expired.
func (w *slidingWindow) intervalsUntilFreed(amount float64) int64 {
	for i := int64(1); i <= keptIntervals; i++ {
		amount -= w.used[(w.newest+i)%keptIntervals]
		if amount <= 0 {
			return i
		}
	}
	return keptIntervals
}

// intervalNumber returns the number of the interval that is current when elapsed has passed since the
// ledger's start; length is that of the window.
func intervalNumber(elapsed, length time.Duration) int64 {
	return int64(elapsed / (length / intervalCount))
}

// byAge returns the usage by age, in the buckets of received and saved usage, which are longer than the
// intervals.
func (w *slidingWindow) byAge() usageByAge {
	var u usageByAge
	for i := range int64(keptIntervals) {
		if interval := w.newest - i; interval >= 0 {
			u[min(i*int64(len(u))/intervalCount, int64(len(u))-1)] += w.used[interval%keptIntervals]
		}
	}
	return u
}
