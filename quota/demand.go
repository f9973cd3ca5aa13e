package quota

import "time"

const (
	// sampleInterval is how often the usage of the other instances is sampled. Its growth is measured
	// against the last sample but one, that is over one to two sampleIntervals: over a shorter time, a
	// single large request would look like a rise in demand.
	sampleInterval = time.Second
	// demandMargin multiplies the usage expected of the other instances until their next report. The
	// margin is needed because requests arrive in bursts.
	demandMargin = 1.5
	// evenShareAfterRefusal is how long an instance admits only its even share after it has refused a
	// customer. Meanwhile the usage of the others says nothing about demand, because they refuse
	// requests too.
	evenShareAfterRefusal = 2 * time.Second
)

// demandEstimator estimates a customer's demand at the other instances from the usage they report.
type demandEstimator struct {
	// latest and previous are the last two samples.
	latest   sample
	previous sample
	// refusedAt is when this instance last refused the customer.
	refusedAt time.Time
}

// sample is the total usage of the other instances at one time.
type sample struct {
	at     time.Time
	others float64
}

// sampleDue reports whether it is time for the next sample.
func (d *demandEstimator) sampleDue(now time.Time) bool {
	return now.Sub(d.latest.at) >= sampleInterval
}

// addSample records a sample.
func (d *demandEstimator) addSample(others float64, now time.Time) {
	d.previous = d.latest
	d.latest = sample{at: now, others: others}
}

// rate returns the usage per second at the other instances: the growth of their total, but at least the
// average rate at which their usage leaves the window.
func (d *demandEstimator) rate(others float64, now time.Time, window time.Duration) float64 {
	base := d.previous
	if base.at.IsZero() {
		base = d.latest
	}
	elapsed := max(now.Sub(base.at), sampleInterval)
	growth := (others - base.others) / elapsed.Seconds()
	return max(growth, others/window.Seconds())
}

// expectedUsage returns how much of the limit the other instances are expected to use before this
// instance receives their next report.
func (d *demandEstimator) expectedUsage(others float64, now time.Time, window, delay time.Duration) float64 {
	return demandMargin * d.rate(others, now, window) * delay.Seconds()
}

// recentlyRefused reports whether this instance has refused the customer within evenShareAfterRefusal.
func (d *demandEstimator) recentlyRefused(now time.Time) bool {
	return now.Sub(d.refusedAt) < evenShareAfterRefusal
}
