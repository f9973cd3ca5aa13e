package gateway

import "github.com/shelfshelf/shelfshelf/quota"

// logFields returns the fields of the line about a request that has ended.
func (c *request) logFields() []any {
	fields := []any{
		"request", c.call.ID, "status", c.status, "result", c.result, "took", c.server.Clock.Now().Sub(c.arrived),
	}
	fields = append(fields, c.admissionFields()...)
	fields = append(fields, c.targetFields()...)
	return append(fields, c.streamFields()...)
}

// admissionFields tells by what configuration and for whom a request was admitted.
func (c *request) admissionFields() []any {
	var fields []any
	if c.index != nil {
		fields = append(fields, "revision", c.index.Revision, "configAge", c.configurationAge)
	}
	if c.route != nil {
		fields = append(fields, "route", c.route.Name, "tier", int(c.route.Tier), "goal", c.latencyGoal())
		if c.route.MaxEventGap > 0 {
			fields = append(fields, "pauseGoal", c.route.MaxEventGap)
		}
		if allowed := c.allowedRegions(); allowed.Restricted {
			fields = append(fields, "homes", allowed.Regions)
		}
	}
	if c.fingerprint != 0 {
		fields = append(fields, "fingerprint", c.fingerprint)
	}
	if c.customer != nil {
		fields = append(fields, "customer", c.customer.Name, "tokens", c.tokens, "prompt", c.call.PromptTokens,
			"outputHint", c.call.OutputHint)
	}
	if c.quotaVerdict.Rule == quota.RuleRefused {
		fields = append(fields, c.quotaFields()...)
		fields = append(fields, "retryAfter", c.quotaVerdict.Wait)
	}
	if !c.chargedAt.IsZero() {
		fields = append(fields, "countedAfter", c.chargedAt.Sub(c.arrived))
	}
	return fields
}

// targetFields tells of the latest target and of its answer.
func (c *request) targetFields() []any {
	var fields []any
	if c.target != "" {
		fields = append(fields, "target", c.target, "version", c.targetVersion, "sent", c.sentAttempts, "turnedAway", c.rejections, "waited", c.queueTime,
			"expected", c.expectedTime, "inFlight", c.targetInFlight, "cached", c.cachedTokens, "asked", c.slotRequests, "alone", c.chosenLocally)
	}
	if c.target == "" && c.slotRequests > 0 {
		fields = append(fields, "asked", c.slotRequests, "unaskedWithRoom", c.unaskedWithRoom)
	}
	fields = append(fields, c.forecastFields()...)
	if c.via != "" {
		fields = append(fields, "via", c.via)
	}
	if c.lastAnswer.LoadKnown {
		fields = append(fields, "targetRunning", c.lastAnswer.Running, "targetWaiting", c.lastAnswer.Waiting)
	}
	if c.lastAnswer.Slowdown > 0 {
		fields = append(fields, "targetPace", c.lastAnswer.Slowdown)
	}
	if c.lastAnswer.Limit.Set {
		fields = append(fields, "targetLimit", c.lastAnswer.Limit.PerSecond)
	}
	if c.lastAnswer.Leaving {
		fields = append(fields, "targetLeaves", true)
	}
	return fields
}

// streamFields tells what a stream takes up, and how it went on.
func (c *request) streamFields() []any {
	var fields []any
	if c.call.LastEventID != "" {
		fields = append(fields, "lastEvent", c.call.LastEventID, "resumes", c.call.Resumes)
	}
	if !c.firstByte.IsZero() {
		fields = append(fields, "first", c.firstByte.Sub(c.arrived))
	}
	if c.eventsSent > 0 {
		fields = append(fields, "events", c.eventsSent, "resumed", c.resumptions, "longestPause", c.longestEventGap)
	}
	return fields
}
