package quota

import "time"

const (
	// samplePeriod is how often the others' use is noted. Their growth is taken since the
	// last sample but one, over one to two periods: over less, one large request would
	// pass for a wave of them.
	samplePeriod = time.Second
	// demandMargin times what the others are expected to take until they are heard is left
	// to them: requests come in clumps.
	demandMargin = 1.5
	// demandRest is how long an instance keeps to its even part after it has refused a
	// customer: what the others let through no longer tells what is asked of them.
	demandRest = 2 * time.Second
)

// demand is what an instance has seen of the others' use of a customer's limit.
type demand struct {
	// last and before are the latest samples.
	last   sample
	before sample
	// refusedAt is when this instance refused the customer last.
	refusedAt time.Time
}

// sample is the sum of the others' use at an instant.
type sample struct {
	at     time.Time
	others float64
}

// due reports that a sample is to be taken.
func (d *demand) due(now time.Time) bool {
	return now.Sub(d.last.at) >= samplePeriod
}

// note takes a sample.
func (d *demand) note(others float64, now time.Time) {
	d.before = d.last
	d.last = sample{at: now, others: others}
}

// rate returns how fast the others use the limit, a second: by the growth of their sum, or
// as much as leaves the window meanwhile if that is more.
func (d *demand) rate(others float64, now time.Time, window time.Duration) float64 {
	since := d.before
	if since.at.IsZero() {
		since = d.last
	}
	elapsed := max(now.Sub(since.at), samplePeriod)
	growth := (others - since.others) / elapsed.Seconds()
	return max(growth, others/window.Seconds())
}

// expected returns how much of the limit the others are expected to take before this
// instance hears of it.
func (d *demand) expected(others float64, now time.Time, window, delay time.Duration) float64 {
	return demandMargin * d.rate(others, now, window) * delay.Seconds()
}

// resting reports that this instance has refused the customer lately.
func (d *demand) resting(now time.Time) bool {
	return now.Sub(d.refusedAt) < demandRest
}
