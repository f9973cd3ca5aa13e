package quota

import (
	"time"

	"github.com/shelfshelf/shelfshelf"
)

// usageByAge is the usage in the window before some time, divided into buckets of equal length, the
// newest first.
type usageByAge [shelfshelf.UsageBuckets]float64

func (u usageByAge) total() float64 {
	sum := 0.0
	for _, amount := range u {
		sum += amount
	}
	return sum
}

// scaledTo returns the usage scaled to another total. Where there is no usage, the total is spread
// evenly.
func (u usageByAge) scaledTo(amount float64) usageByAge {
	sum := u.total()
	for i := range u {
		if sum > 0 {
			u[i] *= amount / sum
		} else {
			u[i] = amount / float64(len(u))
		}
	}
	return u
}

// plus returns the sum of two usages, bucket by bucket.
func (u usageByAge) plus(other usageByAge) usageByAge {
	for i := range u {
		u[i] += other[i]
	}
	return u
}

// atLeast returns the larger of two usages, bucket by bucket.
func (u usageByAge) atLeast(other usageByAge) usageByAge {
	for i := range u {
		u[i] = max(u[i], other[i])
	}
	return u
}

// bucketLength returns the length of a bucket: a window has UsageBuckets of them.
func bucketLength(window time.Duration) time.Duration { return window / shelfshelf.UsageBuckets }
