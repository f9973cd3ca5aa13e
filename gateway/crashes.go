package gateway

import (
	"errors"
	"fmt"

	"github.com/shelfshelf/shelfshelf/balance"
	"github.com/shelfshelf/shelfshelf/upstream"
)

// checkQuarantine refuses a request that keeps crashing the targets that run it, no matter which
// instance receives it or which ID a retry has. Without this check, one request crashed 22 engines
// within 14 s, each with up to six other streams.
func (c *request) checkQuarantine() *refusal {
	quarantine, quarantined := c.server.Crashes.CheckQuarantine(c.fingerprint, c.call.ID)
	if !quarantined {
		return nil
	}
	c.server.Metrics.countQuarantined()
	return c.refusalFor(fmt.Sprintf("held back: %d targets have ended under this request", quarantine.Crashes), quarantine.Remaining)
}

// checkForCrash asks the detector to check whether the target's process has ended, if the exchange
// broke off and neither this instance nor the caller ended it.
func (c *request) checkForCrash(lease *balance.Lease, err error) {
	if c.incoming.Context().Err() != nil {
		return
	}
	timedOut := errors.Is(err, errIdleTimeout) && !c.expired()
	if timedOut || upstream.ClosedByTarget(err) {
		c.server.CrashDetector.ResponseBroken(lease.Target, c.fingerprint)
	}
}

// recordSurvived records that a target handled this request to the end, with any status.
func (c *request) recordSurvived() {
	c.server.Crashes.RequestCompleted(c.fingerprint)
}
