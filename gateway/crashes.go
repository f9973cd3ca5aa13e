package gateway

import (
	"errors"
	"fmt"

	"github.com/shelfshelf/shelfshelf/balance"
	"github.com/shelfshelf/shelfshelf/upstream"
)

// heldBack refuses a request that ends whatever runs it, at whichever instance and under
// whichever id it comes again: one request had ended 22 engines within 14 s, each with up to
// six streams beside it.
func (c *request) heldBack() *refusal {
	hold, held := c.server.Crashes.Held(c.fingerprint, c.call.ID)
	if !held {
		return nil
	}
	c.server.Metrics.heldBack()
	return c.giveUp(fmt.Sprintf("held back: %d targets have ended under this request", hold.Ends), hold.Left)
}

// broken has it looked into whether a target has ended, where its answer broke off and it
// was neither this side nor the caller that gave up.
func (c *request) broken(lease *balance.Lease, err error) {
	if c.http.Context().Err() != nil {
		return
	}
	silent := errors.Is(err, errSilent) && !c.over()
	if silent || upstream.ClosedByTarget(err) {
		c.server.Witness.Broken(lease.Target, c.fingerprint)
	}
}

// outlived notes that a target came to the end of this request, with whatever answer.
func (c *request) outlived() {
	c.server.Crashes.Outlived(c.fingerprint)
}
