package balance

import (
	"math/rand/v2"
	"time"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/forecast"
)

// Admission tells by what forecast a request was held in queues or refused. It is zero for a request that got a slot from the
// first owner asked, and for one whose engines don't share queues.
type Admission struct {
	// Kind tells what was decided, and Forecast is the shortest wait that the owners expected.
	Kind     forecast.Kind
	Forecast forecast.Outlook
}

// queueForecast is the best forecast of the owners that one request has asked, and the decision on it.
type queueForecast struct {
	best forecast.Outlook
	// service is the expected time from the grant of a slot to the first token, at the queue of the best forecast.
	service  time.Duration
	decision forecast.Decision
}

// noteForecast keeps the forecast in an owner's reply if it is the best so far.
func (a *ownerAcquisition) noteForecast(t *targetState, answer shelfshelf.SlotResponse) {
	if !answer.WaitKnown || a.forecast.best.Known && a.forecast.best.Wait <= answer.ExpectedWait {
		return
	}
	b := a.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	if p := b.pools[a.need.Pool]; p != nil {
		a.forecast.best = forecast.Outlook{Wait: answer.ExpectedWait, Known: true}
		a.forecast.service = a.timeToFirst(p, t, b.Clock.Now())
	}
}

// demand describes what the caller needs.
func (a *ownerAcquisition) demand(service time.Duration) forecast.Demand {
	return forecast.Demand{
		Arrived: a.need.Arrived, GoalEnd: a.need.Arrived.Add(a.need.LatencyGoal), Deadline: a.need.Deadline, Service: service,
		InTimeOnly: a.need.Tier > 0,
	}
}

// decidable reports whether the request may be refused by a forecast. One that has been started is always held.
func (a *ownerAcquisition) decidable() bool {
	return !a.need.Started && a.need.LatencyGoal > 0 && !a.need.Arrived.IsZero()
}

// decide decides whether the request is held in the queues of the owners that it has asked, and until when. Without a
// forecast it waits for as long as one for an engine that has its own queue.
func (a *ownerAcquisition) decide() {
	f := &a.forecast
	f.decision = forecast.Decision{HoldUntil: a.need.WaitUntil}
	switch {
	case !a.decidable(), len(a.shared.asked) == 0:
	case !f.best.Known:
		f.decision.Kind = forecast.HeldUnknown
	default:
		f.decision = forecast.Decide(a.demand(f.service), f.best, a.balancer.Clock.Now(), rand.Float64())
	}
}

// maxWait is for how long an owner keeps the request in its queue. The decision to withdraw it depends on the forecasts of
// all owners that are asked. The caller must hold b.mu.
func (a *ownerAcquisition) maxWait(p *pool, t *targetState, now time.Time) time.Duration {
	wait := max(a.need.WaitUntil.Sub(now), 0)
	if !a.decidable() || len(a.balancer.sharedQueue(t)) == 0 {
		return wait
	}
	return max(wait, forecast.LongestHold(a.demand(a.timeToFirst(p, t, now)), now))
}

// refusalDelay is the Retry-After of the request, which got no slot.
func (a *ownerAcquisition) refusalDelay() time.Duration {
	if a.forecast.best.Known && a.forecast.decision.Kind != 0 {
		return max(a.forecast.decision.RetryAfter, a.balancer.RequestedBackoffLeft(a.need))
	}
	return a.retryAfter()
}

// admission tells how the request was decided on.
func (a *ownerAcquisition) admission() Admission {
	return Admission{Kind: a.forecast.decision.Kind, Forecast: a.forecast.best}
}
