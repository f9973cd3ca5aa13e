package gateway

import (
	"time"

	"github.com/shelfshelf/shelfshelf"
)

// originMargin is how much longer than its caller waits it is remembered at which version a stream began.
const originMargin = time.Second

// takesUp reports whether the caller goes on with a stream that another of its attempts began.
func (c *request) takesUp() bool {
	return c.call.LastEventID != ""
}

// findOrigin has a stream that the caller takes up go on at the version that began it, or returns a refusal if
// that can't be known: another instance may know it, and the caller can begin anew.
func (c *request) findOrigin() *refusal {
	if c.server.Origins == nil || !c.takesUp() {
		return nil
	}
	began := c.server.Clock.Now()
	found, err := c.server.Origins.Find(c.ctx, c.customerName(), c.pool, c.call.Resumes)
	took := c.server.Clock.Now().Sub(began)
	fields := []any{
		"request", c.call.ID, "resumes", c.call.Resumes, "lastEvent", c.call.LastEventID, "pool", c.pool,
		"asked", found.Asked, "answered", found.Answered, "storeAsked", found.StoreAsked, "storeAnswered", found.StoreAnswered, "took", took,
	}
	if err != nil {
		c.server.Metrics.observeTakenUp("unknown", took)
		c.server.Log.Warn("A stream can't go on.", append(fields, "error", err)...)
		return c.refusalFor(err.Error(), unavailableRetryAfter)
	}
	c.server.Metrics.observeTakenUp(found.Basis.String(), took)
	c.server.Log.Info("A stream is taken up.", append(fields, "version", found.Version, "basis", found.Basis)...)
	c.streamVersion = &found.Version
	c.originRecorded = found.Basis != shelfshelf.OriginOnlyVersion
	return nil
}

// recordOrigin records at which version the stream began, before its first event goes to the caller.
func (c *request) recordOrigin() {
	first := c.call.ID
	if c.takesUp() {
		first = c.call.Resumes
	}
	if c.server.Origins == nil || !c.route.Resumable || first == "" {
		return
	}
	timeout := c.call.Timeout
	if timeout == 0 {
		timeout = defaultCallerTimeout
	}
	c.server.Origins.Begun(shelfshelf.StreamOrigin{
		Key:      shelfshelf.KeyOfStream(c.customerName(), c.pool, first),
		Pool:     c.pool,
		Version:  *c.streamVersion,
		Lifetime: timeout - c.server.Clock.Now().Sub(c.arrived) + originMargin,
	})
}

// customerName returns the customer that the key belongs to; empty on public routes.
func (c *request) customerName() shelfshelf.CustomerName {
	if c.customer == nil {
		return ""
	}
	return c.customer.Name
}
