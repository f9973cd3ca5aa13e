package quota

import "time"

// slotCount is the number of slots in the window. Usage expires one slot at a time.
const slotCount = 80

// slidingWindow counts recent usage in slots of equal length.
type slidingWindow struct {
	used [slotCount]float64
	sum  float64
	// newest is the number of the newest slot. Slots are numbered from the ledger's start.
	newest int64
}

// advance moves the window on to a slot and drops the usage that has expired.
func (w *slidingWindow) advance(slot int64) {
	if slot-w.newest >= slotCount {
		*w = slidingWindow{newest: slot}
		return
	}
	for w.newest < slot {
		w.newest++
		i := w.newest % slotCount
		w.sum -= w.used[i]
		w.used[i] = 0
	}
}

// add counts usage in a slot, unless the slot has left the window. A negative amount is a refund.
func (w *slidingWindow) add(slot int64, amount float64) {
	if slot <= w.newest-slotCount || slot > w.newest {
		return
	}
	w.used[slot%slotCount] += amount
	w.sum += amount
}

// sumOfNewest returns the usage in the newest count slots.
func (w *slidingWindow) sumOfNewest(count int64) float64 {
	sum := 0.0
	for i := range min(count, slotCount) {
		if slot := w.newest - i; slot >= 0 {
			sum += w.used[slot%slotCount]
		}
	}
	return sum
}

// slotsUntilFreed returns after how many slots the given amount of usage has expired.
func (w *slidingWindow) slotsUntilFreed(amount float64) int64 {
	for i := int64(1); i <= slotCount; i++ {
		amount -= w.used[(w.newest+i)%slotCount]
		if amount <= 0 {
			return i
		}
	}
	return slotCount
}

// slotNumber returns the number of the slot that is current when elapsed has passed since the ledger's
// start; length is that of the window.
func slotNumber(elapsed, length time.Duration) int64 {
	return int64(elapsed / (length / slotCount))
}

// byAge returns the usage by age, in the coarser buckets that reports and saves use.
func (w *slidingWindow) byAge() usageByAge {
	var u usageByAge
	for i := range int64(slotCount) {
		if slot := w.newest - i; slot >= 0 {
			u[i*int64(len(u))/slotCount] += w.used[slot%slotCount]
		}
	}
	return u
}
