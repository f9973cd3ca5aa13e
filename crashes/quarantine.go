package crashes

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shelfshelf/shelfshelf"
)

const (
	// initialQuarantine is how long a request is quarantined after its latest crash. The time doubles
	// with each further crash, up to maxQuarantine. A request that caused no crash is served again
	// afterwards; one that did crashes one more target each time.
	initialQuarantine = 10 * time.Minute
	maxQuarantine     = 24 * time.Hour
	// probeTimeout is how long the one request that is let through after a quarantine may run, until it
	// crashes its target or completes, before another one is let through.
	probeTimeout = 30 * time.Second
)

// Quarantine describes the quarantine of a request.
type Quarantine struct {
	// Crashes is the number of crashes of targets that ran it.
	Crashes int
	// Remaining is the remaining time of the quarantine.
	Remaining time.Duration
}

// probe is the request that was let through at the end of a quarantine.
type probe struct {
	request   shelfshelf.RequestID
	startedAt time.Time
}

// CheckQuarantine reports whether a request is quarantined, so that it must not be sent to a target, and returns
// the details. At the end of a quarantine, one request with the fingerprint is let through as a probe.
// Each instance does so at a different time, far enough apart that all know the outcome of the previous
// probe.
func (t *Tracker) CheckQuarantine(request shelfshelf.Fingerprint, id shelfshelf.RequestID) (Quarantine, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.blamed[request]
	now := t.Clock.Now()
	if !b.quarantined(request) || request.IsPart() && now.Sub(t.blamedSince[request]) < partSettleTime {
		return Quarantine{}, false
	}
	if remaining := b.lastAt.Add(quarantineTime(b) + t.instanceDelay(request, b)).Sub(now); remaining > 0 {
		return Quarantine{Crashes: b.crashes, Remaining: remaining}, true
	}
	p, probed := t.probes[request]
	if probed && p.request != id && now.Sub(p.startedAt) < probeTimeout {
		return Quarantine{Crashes: b.crashes, Remaining: probeTimeout - now.Sub(p.startedAt)}, true
	}
	if !probed || p.request != id {
		if t.probes == nil {
			t.probes = make(map[shelfshelf.Fingerprint]probe)
		}
		t.probes[request] = probe{request: id, startedAt: now}
		t.Log.Info("A quarantined request is let through as a probe.", "fingerprint", request, "request", id, "ends", b.crashes)
	}
	return Quarantine{}, false
}

// QuarantinedCount returns the number of quarantined requests.
func (t *Tracker) QuarantinedCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	count := 0
	for request, b := range t.blamed {
		if b.quarantined(request) {
			count++
		}
	}
	return count
}

// quarantineTime returns how long a request is quarantined after its latest crash.
func quarantineTime(b blame) time.Duration {
	quarantine := initialQuarantine
	for range b.crashes - minUnexplainedCrashes {
		quarantine = min(2*quarantine, maxQuarantine)
	}
	return quarantine
}

// instanceDelay returns how long after the end of a quarantine this instance lets a probe through.
func (t *Tracker) instanceDelay(request shelfshelf.Fingerprint, b blame) time.Duration {
	share := float64(xxhash.Sum64String(string(t.Self)+request.String())) / (1 << 64)
	return time.Duration(share * float64(quarantineTime(b)))
}
