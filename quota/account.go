package quota

// account is what a customer has used at this instance, and an estimate of its demand at the others. It
// is protected by Ledger.mu.
type account struct {
	// tokens says that the customer's limit is in tokens. The usage is counted in both units, since a
	// new configuration may change the limit's.
	tokens      bool
	ownTokens   slidingWindow
	ownRequests slidingWindow
	// lastReported is the own usage in the last status to the other instances.
	lastReported float64
	// allowed is the limit at the latest charge, and rate the part of it that grows with the window, a
	// second.
	allowed float64
	rate    float64
	demand  demandEstimator
}

// own returns the usage at this instance in the unit of the limit.
func (a *account) own() *slidingWindow {
	if a.tokens {
		return &a.ownTokens
	}
	return &a.ownRequests
}

// setUnit changes the unit of the limit. What was observed of others was in the other unit.
func (a *account) setUnit(tokens bool) {
	a.tokens = tokens
	a.lastReported = 0
	a.demand = demandEstimator{}
}

// advance drops the usage that has expired as of an interval.
func (a *account) advance(interval int64) {
	a.ownTokens.advance(interval)
	a.ownRequests.advance(interval)
}

// take counts a charge, or with a negative factor takes it back.
func (a *account) take(charge Charge, factor float64) {
	a.ownTokens.add(charge.interval, factor*charge.tokens)
	a.ownRequests.add(charge.interval, factor*charge.requests)
}

// cost returns what a request costs in the unit of the limit.
func (a *account) cost(tokens int) float64 {
	if a.tokens {
		return float64(tokens)
	}
	return 1
}
