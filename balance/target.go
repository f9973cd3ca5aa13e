package balance

import (
	"math"
	"time"

	"github.com/shelfshelf/shelfshelf"
)

const (
	// defaultPrefillRate and defaultStep are assumed until a target has been observed: prompt
	// tokens per millisecond, and the time per output token.
	defaultPrefillRate = 40.0
	defaultStep        = 5 * time.Millisecond
	// defaultCallTime is assumed for a call of a plain service until one has been observed.
	defaultCallTime = 30 * time.Millisecond
	// observationWeight is the weight of one observation in a moving average.
	observationWeight = 0.15
	// firstTokenOverhead is the part of the time to a first token that doesn't depend on the
	// prompt: the round trip and the first decoding step.
	firstTokenOverhead = 20 * time.Millisecond
	// minRateSampleTokens is how many prompt tokens must have been prefilled for a sample of the
	// prefill rate.
	minRateSampleTokens = 1500
	// failureHalfLife is the half-life of a target's failure share.
	failureHalfLife = 3 * time.Second
	// minBackoff and maxBackoff bound the backoff from an unreachable target.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 2 * time.Second
	// reusedAddressBackoff is the backoff from a target at whose address another one answers.
	reusedAddressBackoff = 30 * time.Second
	// reportedLoadTTL is how long a load reported by others counts.
	reportedLoadTTL = 1500 * time.Millisecond
)

// targetState is what this instance knows about one target. It is protected by Balancer.mu.
type targetState struct {
	target shelfshelf.Target
	// key is that of the target's name. It never changes, so that it may be read without the lock.
	key shelfshelf.TargetKey
	// region is where the target runs; empty if unknown.
	region shelfshelf.Region
	// evacuated says that the target's data centre is being evacuated.
	evacuated bool
	// drainsUntil is until when a target that has listed itself as leaving takes streams that can't go on
	// elsewhere; zero if it doesn't.
	drainsUntil time.Time
	// slots is how many requests the target runs at once.
	slots int
	// engine says that the target is an engine, not a plain service.
	engine bool

	// local is the load of this instance.
	local load
	// peerLoads and remoteLoads are the loads reported by other instances of this data centre and
	// by other data centres. dataCentreLoad is the total of this data centre, as reported by an
	// instance that hears from all others; reportedLocal is the local load that this instance
	// reported last.
	dataCentreLoad reportedLoad
	reportedLocal  load
	peerLoads      map[shelfshelf.InstanceID]reportedLoad
	remoteLoads    map[shelfshelf.DataCentre]reportedLoad

	// ownerLoad is how many requests the engine runs: as reported by its owner at ownerLoadAt, adjusted
	// by the requests that this instance has started and ended since.
	ownerLoad   int
	ownerLoadAt time.Time

	// prefillRate is in tokens per millisecond, step is the time per output token, meanCallTime the
	// time of a plain call and idleCallTime that of one that doesn't wait. They are zero until observed.
	prefillRate  float64
	rateAt       time.Time
	step         time.Duration
	stepAt       time.Time
	meanCallTime time.Duration
	idleCallTime time.Duration
	// holdTime is the mean time that a request holds its slot.
	holdTime time.Duration

	// failures is the decayed share of failed requests, 0 to 1, as of failuresAt.
	failures   float64
	failuresAt time.Time
	// backoffUntil keeps new requests away after the target was unreachable; backoff is the current
	// delay.
	backoffUntil time.Time
	backoff      time.Duration
	// coldRate is how many requests per second the target can take while cold, 0 if it never turns
	// cold. coldUntil is until when it may be cold, as far as this instance knows.
	coldRate  float64
	coldUntil time.Time
	// announcement is what the target has announced about itself. Until askOwnerAfter its owner is
	// not asked: it has answered that the target gets no further request before, or has not
	// answered at all.
	announcement  shelfshelf.TargetAnnouncement
	askOwnerAfter time.Time
}

// load is the work in flight at a target.
type load struct {
	requests int
	// prefilling counts the requests whose prompts are not prefilled yet, prefillTokens their
	// tokens.
	prefilling    int
	prefillTokens int
}

func (l load) add(other load) load {
	return load{
		requests:      l.requests + other.requests,
		prefilling:    l.prefilling + other.prefilling,
		prefillTokens: l.prefillTokens + other.prefillTokens,
	}
}

// subtract returns the load without a part of it, at least zero.
func (l load) subtract(part load) load {
	return load{
		requests:      max(l.requests-part.requests, 0),
		prefilling:    max(l.prefilling-part.prefilling, 0),
		prefillTokens: max(l.prefillTokens-part.prefillTokens, 0),
	}
}

// reportedLoad is a load that others have reported for a target.
type reportedLoad struct {
	load
	at time.Time
}

func newReportedLoad(report shelfshelf.TargetLoad, at time.Time) reportedLoad {
	return reportedLoad{
		load: load{requests: report.Requests, prefilling: report.Prefilling, prefillTokens: report.PrefillTokens},
		at:   at,
	}
}

// callTime returns the expected time of a plain call.
func (t *targetState) callTime() time.Duration {
	if t.meanCallTime == 0 {
		return defaultCallTime
	}
	return t.meanCallTime
}

// toTargetLoad converts a load to the form in which it is reported to others.
func (t *targetState) toTargetLoad(l load) shelfshelf.TargetLoad {
	return shelfshelf.TargetLoad{
		Target: t.key, Requests: l.requests, Prefilling: l.prefilling, PrefillTokens: l.prefillTokens,
	}
}

// load returns the load of all instances, as reported by them. The number of requests is that
// reported by the owner if that is recent.
func (t *targetState) load(now time.Time) load {
	sum := t.reportedLoad(now)
	if now.Sub(t.ownerLoadAt) < ownerLoadTTL {
		sum.requests = max(t.ownerLoad, t.local.requests)
	}
	return sum
}

// reportedLoad returns the load of all instances as reported by them.
func (t *targetState) reportedLoad(now time.Time) load {
	sum := t.sumDataCentreLoad(now)
	for _, report := range t.remoteLoads {
		if now.Sub(report.at) < reportedLoadTTL {
			sum = sum.add(report.load)
		}
	}
	return sum
}

// sumDataCentreLoad returns the load of all instances of this data centre.
func (t *targetState) sumDataCentreLoad(now time.Time) load {
	if !t.dataCentreLoad.at.IsZero() && now.Sub(t.dataCentreLoad.at) < reportedLoadTTL {
		return t.local.add(t.dataCentreLoad.subtract(t.reportedLocal))
	}
	sum := t.local
	for _, report := range t.peerLoads {
		if now.Sub(report.at) < reportedLoadTTL {
			sum = sum.add(report.load)
		}
	}
	return sum
}

// failureShare returns the decayed share of failed requests.
func (t *targetState) failureShare(now time.Time) float64 {
	if t.failures == 0 {
		return 0
	}
	age := now.Sub(t.failuresAt)
	return t.failures * math.Exp2(-float64(age)/float64(failureHalfLife))
}

// recordResult counts the outcome of one request.
func (t *targetState) recordResult(now time.Time, failed bool) {
	share := t.failureShare(now) * (1 - observationWeight)
	if failed {
		share += observationWeight
	}
	t.failures = share
	t.failuresAt = now
}

// backOff keeps new requests away from an unreachable target, for longer each time in a row.
func (t *targetState) backOff(now time.Time) {
	t.backoff = min(max(2*t.backoff, minBackoff), maxBackoff)
	t.backoffUntil = now.Add(t.backoff)
}

// backOffReusedAddress keeps new requests away until the list of targets has been corrected:
// another target answers at the address.
func (t *targetState) backOffReusedAddress(now time.Time) {
	t.backoffUntil = now.Add(reusedAddressBackoff)
}

// clearBackoff ends the backoff from a target that has been reached.
func (t *targetState) clearBackoff() {
	t.backoff = 0
	t.backoffUntil = time.Time{}
}

// updateMean moves a mean towards an observation; a mean of zero is replaced by it.
func updateMean(mean, observed float64) float64 {
	if mean == 0 {
		return observed
	}
	return mean + observationWeight*(observed-mean)
}
