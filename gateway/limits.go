package gateway

import (
	"math"
	"net/http"

	"github.com/shelfshelf/shelfshelf/quota"
)

// chargeQuota charges the request's tokens to the customer's quota.
func (c *request) chargeQuota() *refusal {
	if c.customer == nil {
		return nil
	}
	c.tokens = c.customer.Limits.DefaultRequestTokens
	if c.call.HasTokenCounts {
		c.tokens = c.call.PromptTokens + c.call.MaxOutputTokens
	}
	c.quotaVerdict = c.server.Quota.Charge(c.customer, c.tokens)
	c.server.Metrics.countQuotaVerdict(c.quotaVerdict)
	if !c.quotaVerdict.OK {
		return retryableRefusal(http.StatusTooManyRequests, "over the customer's limit", c.quotaVerdict.Wait)
	}
	c.charge = c.quotaVerdict.Charge
	if c.quotaVerdict.Rule != quota.RuleUnlimited {
		c.logCharge()
	}
	return nil
}

// logCharge logs what the charge of an admitted request is based on. The line at a request's end is not
// enough: a process that is killed never writes it, although the target runs the request.
func (c *request) logCharge() {
	fields := []any{"request", c.call.ID, "customer", c.customer.Name, "revision", c.index.Revision}
	c.server.Log.Info("A request was charged.", append(fields, c.quotaFields()...)...)
}

// quotaFields returns the log fields of the decision on the request's charge.
func (c *request) quotaFields() []any {
	v := c.quotaVerdict
	fields := []any{
		"cost", v.Cost, "rule", v.Rule, "allowed", v.Allowed, "used", v.Used, "share", v.Share, "instances", v.Known,
		"live", v.Live, "reportAge", v.ReportAge, "beforeStart", v.BeforeStart, "othersSoon", v.ExpectedElsewhere, "resting", v.RecentlyRefused, "unsavedFor", v.UnsavedFor,
	}
	if !math.IsInf(v.PaceHeadroom, 0) {
		fields = append(fields, "paceLeft", v.PaceHeadroom)
	}
	return fields
}
