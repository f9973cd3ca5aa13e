package gateway

import (
	"errors"
	"fmt"
	"time"

	"github.com/shelfshelf/shelfshelf/balance"
	"github.com/shelfshelf/shelfshelf/upstream"
)

// survivalTime is how long after its first event a stream shows that the parts of its prompt crash no target.
const survivalTime = 500 * time.Millisecond

// checkQuarantine refuses a request that keeps crashing the targets that run it, no matter which
// instance receives it or which ID a retry has. Without this check, one request crashed 22 engines
// within 14 s, each with up to six other streams.
func (c *request) checkQuarantine() *refusal {
	if quarantine, quarantined := c.server.Crashes.CheckQuarantine(c.fingerprint, c.call.ID); quarantined {
		c.server.Metrics.countQuarantined()
		return c.refusalFor(fmt.Sprintf("held back: %d targets have ended under this request", quarantine.Crashes), quarantine.Remaining)
	}
	for _, part := range c.parts {
		if quarantine, quarantined := c.server.Crashes.CheckQuarantine(part, c.call.ID); quarantined {
			c.server.Metrics.countQuarantined()
			c.server.Log.Info("A request is refused for a part of its prompt.", "request", c.call.ID, "part", part, "ends", quarantine.Crashes)
			return c.refusalFor(fmt.Sprintf("held back: %d targets have ended under a part of this request", quarantine.Crashes), quarantine.Remaining)
		}
	}
	return nil
}

// checkForCrash asks the detector to check whether the target's process has ended, if the exchange
// broke off and neither this instance nor the caller ended it.
func (c *request) checkForCrash(lease *balance.Lease, err error) {
	if c.incoming.Context().Err() != nil {
		return
	}
	timedOut := errors.Is(err, errIdleTimeout) && !c.expired()
	if timedOut || upstream.ClosedByTarget(err) {
		c.server.CrashDetector.ResponseBroken(lease.Target, c.fingerprint, c.parts...)
	}
}

// recordAnswered records that a target answered this request whole and well.
func (c *request) recordAnswered() {
	c.recordSurvived()
	c.server.Crashes.PartsSurvived(c.parts)
}

// recordProgress records that a stream has gone on for a while after its first event. A part that crashes
// targets does so as the answer begins.
func (c *request) recordProgress(sinceFirst time.Duration) {
	if !c.progressRecorded && sinceFirst >= survivalTime {
		c.progressRecorded = true
		c.server.Crashes.PartsSurvived(c.parts)
	}
}

// recordSurvived records that a target handled this request to the end, with any status.
func (c *request) recordSurvived() {
	c.server.Crashes.RequestCompleted(c.fingerprint)
}
