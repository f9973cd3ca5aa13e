package quota

import "time"

// intervalCount is the number of intervals in the window. Usage expires one interval at a time.
const intervalCount = 80

// slidingWindow counts recent usage in intervals of equal length.
type slidingWindow struct {
	used [intervalCount]float64
	sum  float64
	// newest is the number of the newest interval. Intervals are numbered from the ledger's start.
	newest int64
}

// advance moves the window on to an interval and drops the usage that has expired.
func (w *slidingWindow) advance(interval int64) {
	if interval-w.newest >= intervalCount {
		*w = slidingWindow{newest: interval}
		return
	}
	for w.newest < interval {
		w.newest++
		i := w.newest % intervalCount
		w.sum -= w.used[i]
		w.used[i] = 0
	}
}

// add counts usage in an interval, unless that has left the window. A negative amount is a refund.
func (w *slidingWindow) add(interval int64, amount float64) {
	if interval <= w.newest-intervalCount || interval > w.newest {
		return
	}
	w.used[interval%intervalCount] += amount
	w.sum += amount
}

// sumOfNewest returns the usage in the newest count intervals.
func (w *slidingWindow) sumOfNewest(count int64) float64 {
	sum := 0.0
	for i := range min(count, intervalCount) {
		if interval := w.newest - i; interval >= 0 {
			sum += w.used[interval%intervalCount]
		}
	}
	return sum
}

// intervalsUntilFreed returns after how many intervals the given amount of usage has expired.
func (w *slidingWindow) intervalsUntilFreed(amount float64) int64 {
	for i := int64(1); i <= intervalCount; i++ {
		amount -= w.used[(w.newest+i)%intervalCount]
		if amount <= 0 {
			return i
		}
	}
	return intervalCount
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
	for i := range int64(intervalCount) {
		if interval := w.newest - i; interval >= 0 {
			u[i*int64(len(u))/intervalCount] += w.used[interval%intervalCount]
		}
	}
	return u
}
