package forecast

import (
	"time"

	"github.com/shelfshelf/shelfshelf"
)

const (
	// unknownHoldShare is the share of the goal for which a request without a forecast is held. It is the same share
	// for which a request waits for an engine that has its own queue.
	unknownHoldShare = 0.22
	// errorShare and errorTime are the room for error: a slot counts as in time if it still is when the wait is longer by this
	// share and this time.
	errorShare = 1.0
	errorTime  = 20 * time.Millisecond
	// lateShare is the share of the time left to the deadline within which a late slot must be expected.
	lateShare = 1.0 / 3
	// maxLateGoals bounds the expected wait for a late slot, in goals. Forecasts beyond that depend on how long the shortage
	// lasts.
	maxLateGoals = 1
	// lateRoom is how many times the expected wait a late request is held, and lateHoldGoals for how many goals at least.
	// A shortage of 2.5 s is over by then: with 2 goals, 58 of 1,542 requests of the top tier were held and then refused in the
	// replay of a burst, with 4 none.
	// It is not below lateRoom times maxLateGoals.
	lateRoom      = 3
	lateHoldGoals = 4
	// lateHoldShare is the largest share of the time left to the deadline for which a late request is held.
	lateHoldShare = 0.5
	// minRetryAfter and maxRetryAfter bound the Retry-After, and so does retryShare: callers wait for at most this share of
	// their time left.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	retryShare    = 1.0 / 3
	// retryMinGoals and retrySpreadGoals are the shortest Retry-After and its spread, in goals, if no forecast is known.
	retryMinGoals    = 0.7
	retrySpreadGoals = 0.6
	// retrySpread is the spread of the Retry-After as a share of the expected wait.
	retrySpread = 0.5
)

// Outlook is a forecast of the wait for a slot.
type Outlook struct {
	Wait  time.Duration
	Known bool
}

// Demand is what the caller of a request needs.
type Demand struct {
	// Arrived is when the request arrived.
	Arrived time.Time
	// GoalEnd is when the first event, or a plain answer, is due for the full value.
	GoalEnd time.Time
	// Deadline is when the caller gives up; zero if unknown.
	Deadline time.Time
	// Service is the expected time from the grant of a slot to the first event.
	Service time.Duration
	// InTimeOnly says that a late answer is not worth a slot: in a shortage it would take one that others need in time.
	InTimeOnly bool
}

// Kind tells the reason for a decision.
type Kind uint8

// The kinds of decision.
const (
	// HeldUnknown means that no forecast was known.
	HeldUnknown Kind = iota + 1
	// HeldInTime means that a slot was expected in time for the goal.
	HeldInTime
	// HeldLate means that a slot was expected too late for the goal, but well before the deadline.
	HeldLate
	// RefusedUnknown means that no forecast was known and the request had waited for as long as it may without one.
	RefusedUnknown
	// RefusedLate means that a slot was expected too late for the caller.
	RefusedLate
)

// String returns the text used in logs and metrics.
func (k Kind) String() string {
	switch k {
	case HeldUnknown:
		return "held, no forecast"
	case HeldInTime:
		return "held, in time"
	case HeldLate:
		return "held, late"
	case RefusedUnknown:
		return "refused, no forecast"
	case RefusedLate:
		return "refused, too late"
	}
	return ""
}

// Decision tells whether a request is held in the queues or refused.
type Decision struct {
	Kind Kind
	// HoldUntil is when a held request is refused if it has got no slot.
	HoldUntil time.Time
	// Refuse says that the request is refused at once.
	Refuse bool
	// RetryAfter is the delay after which the caller is to retry, now if refused at once, and else from HoldUntil on.
	RetryAfter time.Duration
}

// Decide decides whether a request is held, from the best forecast of the owners that it has asked. spread is a random value
// from 0 to 1.
//
// A request for which a slot is expected in time, or late but not by much, is held until a slot has most likely come, even if
// that is late: if it were refused as soon as it can't be in time, its caller would be late for certain too, and have
// one try less. All others are refused at once, so that hardly any request is held and then refused. With InTimeOnly, a
// request is held only while a slot is in time.
func Decide(d Demand, best Outlook, now time.Time, spread float64) Decision {
	if !best.Known {
		return decideUnknown(d, now, spread)
	}
	left := max(d.left(now)-d.Service, 0)
	lateUntil := now.Add(min(max(lateRoom*best.Wait, lateHoldGoals*d.goal()), scale(left, lateHoldShare)))
	inTimeUntil := d.GoalEnd.Add(-d.Service)
	if InTime(best.Wait, inTimeUntil.Sub(now)) {
		until := inTimeUntil
		if !d.InTimeOnly {
			until = shelfshelf.Later(inTimeUntil, lateUntil)
		}
		return Decision{Kind: HeldInTime, HoldUntil: until, RetryAfter: d.retryAfter(best, until, spread)}
	}
	if !d.InTimeOnly && best.Wait > 0 && best.Wait <= min(scale(left, lateShare), maxLateGoals*d.goal()) {
		return Decision{Kind: HeldLate, HoldUntil: lateUntil, RetryAfter: d.retryAfter(best, lateUntil, spread)}
	}
	return Decision{Kind: RefusedLate, Refuse: true, RetryAfter: d.retryAfter(best, now, spread)}
}

// InTime reports whether a slot is expected so early that it is in time even if the forecast is too short.
func InTime(wait, left time.Duration) bool {
	return wait < Never && scale(wait, 1+errorShare)+errorTime <= left
}

// LongestHold returns for how long a request is held at most, whatever the forecast.
func LongestHold(d Demand, now time.Time) time.Duration {
	left := max(d.left(now)-d.Service, 0)
	late := min(lateHoldGoals*d.goal(), scale(left, lateHoldShare))
	if d.InTimeOnly {
		late = 0
	}
	return max(late, d.GoalEnd.Add(-d.Service).Sub(now), 0)
}

// decideUnknown decides without a forecast.
func decideUnknown(d Demand, now time.Time, spread float64) Decision {
	until := d.Arrived.Add(scale(d.goal(), unknownHoldShare))
	if until.After(now) {
		return Decision{Kind: HeldUnknown, HoldUntil: until, RetryAfter: d.retryAfter(Outlook{}, until, spread)}
	}
	return Decision{Kind: RefusedUnknown, Refuse: true, RetryAfter: d.retryAfter(Outlook{}, now, spread)}
}

func (d Demand) goal() time.Duration {
	return d.GoalEnd.Sub(d.Arrived)
}

// left returns the time left to the deadline.
func (d Demand) left(now time.Time) time.Duration {
	if d.Deadline.IsZero() {
		return Never
	}
	return max(d.Deadline.Sub(now), 0)
}

// retryAfter returns the Retry-After of a caller that is refused at a given time. If the shortage outlasts the goal, the
// retry is late in any case, and callers are spread over all the time for which they may wait: those of a burst would
// otherwise come back together.
func (d Demand) retryAfter(best Outlook, refusedAt time.Time, spread float64) time.Duration {
	longest := min(scale(d.left(refusedAt), retryShare), maxRetryAfter)
	var after time.Duration
	switch {
	case !best.Known:
		after = scale(d.goal(), retryMinGoals+retrySpreadGoals*spread)
	case best.Wait > d.goal():
		earliest := min(d.goal(), longest/2)
		after = earliest + scale(longest-earliest, spread)
	default:
		after = scale(best.Wait, 1+retrySpread*spread)
	}
	return max(min(after, longest), minRetryAfter)
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(factor * float64(d))
}
