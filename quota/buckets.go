package quota

import (
	"math"
	"time"

	"github.com/shelfshelf/shelfshelf"
)

// usageBuckets is the usage of a customer divided into time buckets, the newest first. The first bucket
// is still being filled. The bucket boundaries are fixed: if the buckets were moved by a fraction of
// their length with every report, the usage would smear over the whole window within seconds.
type usageBuckets [shelfshelf.UsageBuckets + 1]float64

// bucketTimes tells which times usageBuckets cover.
type bucketTimes struct {
	// newestStart is when the newest bucket starts. The usage is known up to updatedAt.
	newestStart time.Time
	updatedAt   time.Time
	// length is that of a bucket.
	length time.Duration
	// expireWhole keeps a bucket's usage in full until all of the bucket has left the window.
	expireWhole bool
}

// newUsageBuckets returns buckets for usage by its age at the start of the newest bucket, which is
// empty.
func newUsageBuckets(use usageByAge) usageBuckets {
	var b usageBuckets
	copy(b[1:], use[:])
	return b
}

// advanceTo returns the times as of at, and how many buckets have started since the last update.
func (t bucketTimes) advanceTo(at time.Time) (later bucketTimes, started int) {
	if at.Before(t.updatedAt) {
		return t, 0
	}
	started = int(at.Sub(t.newestStart) / t.length)
	t.newestStart = t.newestStart.Add(time.Duration(started) * t.length)
	t.updatedAt = at
	return t, started
}

// shifted returns the buckets after count new buckets have started.
func (b usageBuckets) shifted(count int) usageBuckets {
	var shifted usageBuckets
	if count < len(b) {
		copy(shifted[count:], b[:])
	}
	return shifted
}

// ages returns the age of the newest and the oldest usage in bucket i, in bucket lengths.
func (t bucketTimes) ages(i int, now time.Time) (newest, oldest float64) {
	startAge := float64(now.Sub(t.newestStart)) / float64(t.length)
	if i == 0 {
		return float64(now.Sub(t.updatedAt)) / float64(t.length), startAge
	}
	return startAge + float64(i-1), startAge + float64(i)
}

// fractionInWindow returns which fraction of the usage in bucket i counts as still in the window.
func (t bucketTimes) fractionInWindow(i int, now time.Time) float64 {
	newest, oldest := t.ages(i, now)
	switch {
	case newest >= shelfshelf.UsageBuckets:
		return 0
	case oldest <= shelfshelf.UsageBuckets || t.expireWhole:
		return 1
	}
	return (shelfshelf.UsageBuckets - newest) / (oldest - newest)
}

// remaining returns how much usage is still in the window: every bucket inside it, and a fraction of
// the bucket that is leaving it.
func (b *usageBuckets) remaining(t bucketTimes, now time.Time) float64 {
	inWindow := shelfshelf.UsageBuckets - float64(now.Sub(t.newestStart))/float64(t.length)
	if inWindow < 0 {
		return b[0] * t.fractionInWindow(0, now)
	}
	whole := min(int(inWindow), shelfshelf.UsageBuckets)
	sum := 0.0
	for _, amount := range b[:whole+1] {
		sum += amount
	}
	fraction := inWindow - float64(whole)
	if t.expireWhole {
		fraction = math.Ceil(fraction)
	}
	if expiring := whole + 1; expiring < len(b) {
		sum += b[expiring] * fraction
	}
	return sum
}

// withTotal returns the buckets adjusted to a newly reported total. Growth goes into the newest bucket.
// If the total has shrunk by more than has expired here, the difference is taken from the oldest
// buckets.
func (b usageBuckets) withTotal(amount float64, t bucketTimes) usageBuckets {
	excess := b.remaining(t, t.updatedAt) - amount
	if excess <= 0 {
		b[0] -= excess
		return b
	}
	for i := len(b) - 1; i >= 0; i-- {
		fraction := t.fractionInWindow(i, t.updatedAt)
		if fraction == 0 {
			continue
		}
		removed := min(b[i]*fraction, excess)
		b[i] -= removed / fraction
		excess -= removed
	}
	return b
}

// byAge returns the usage by its age at now.
func (b usageBuckets) byAge(t bucketTimes, now time.Time) usageByAge {
	var u usageByAge
	for i, amount := range b {
		if amount > 0 {
			newest, oldest := t.ages(i, now)
			if t.expireWhole {
				oldest = newest
			}
			u.addEvenly(amount, max(newest, 0), max(oldest, 0))
		}
	}
	return u
}

// addEvenly adds an amount that is spread evenly between two ages, given in bucket lengths.
func (u *usageByAge) addEvenly(amount, newest, oldest float64) {
	for i := int(newest); i < len(u) && float64(i) <= oldest; i++ {
		fraction := 1.0
		if oldest > newest {
			fraction = (min(oldest, float64(i+1)) - max(newest, float64(i))) / (oldest - newest)
		}
		u[i] += amount * fraction
	}
}
