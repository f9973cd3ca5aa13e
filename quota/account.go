package quota

import "time"

// account is what a customer has used at this instance, and an estimate of its demand at the others. It
// is protected by Ledger.mu.
type account struct {
	// tokens says that the customer's limit is in tokens. The usage is counted in both units, since a
	// new configuration may change the limit's.
	tokens      bool
	ownTokens   slidingWindow
	ownRequests slidingWindow
	// reports are the own usage in the latest statuses to the other instances, the latest last.
	reports []ownReport
	// allowed is how much may be used in the window as of the latest charge, and rate the limit's rate a
	// second.
	allowed float64
	rate    float64
	demand  demandEstimator
	// totalAtSave is the usage at all instances as of the last save by this one.
	totalAtSave float64
	// urgentSince is when this instance learnt of so much unsaved usage that a save was due, since the last save; zero if
	// there is not so much.
	urgentSince time.Time
}

// ownReport is the own usage that was reported at a time.
type ownReport struct {
	at     time.Time
	amount float64
}

// recordReport records that the own usage is reported now, and forgets the reports before the last one that
// was made by the given time.
func (a *account) recordReport(now, neededFrom time.Time) {
	last := a.lastReportBy(neededFrom)
	if last > 0 {
		a.reports = append(a.reports[:0], a.reports[last:]...)
	}
	a.reports = append(a.reports, ownReport{at: now, amount: a.own().sum})
}

// reportedBy returns the own usage in the last report that was made by a time, or else in the first one.
func (a *account) reportedBy(at time.Time) float64 {
	if len(a.reports) == 0 {
		return 0
	}
	return a.reports[max(a.lastReportBy(at), 0)].amount
}

// lastReportBy returns the index of the last report that was made by a time, or -1.
func (a *account) lastReportBy(at time.Time) int {
	i := len(a.reports) - 1
	for i >= 0 && a.reports[i].at.After(at) {
		i--
	}
	return i
}

// own returns the usage at this instance in the unit of the limit.
func (a *account) own() *slidingWindow {
	if a.tokens {
		return &a.ownTokens
	}
	return &a.ownRequests
}

// setUnit changes the unit of the limit. It drops what was observed in the other unit.
func (a *account) setUnit(tokens bool) {
	a.tokens = tokens
	a.reports = nil
	a.demand = demandEstimator{}
}

// advance drops the usage that has expired as of an interval.
func (a *account) advance(interval int64) {
	a.ownTokens.advance(interval)
	a.ownRequests.advance(interval)
}

// add counts a charge; with a factor of -1 it takes the charge back.
func (a *account) add(charge Charge, factor float64) {
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
