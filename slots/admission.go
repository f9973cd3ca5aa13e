package slots

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/forecast"
	"github.com/shelfshelf/shelfshelf/headroom"
)

const (
	// refusedAtOnce is the time in the queue within which a request counts as refused at once: its other owners are
	// asked first.
	refusedAtOnce = 100 * time.Millisecond
	// maxMissed is how many requests that were refused at once are watched in each queue.
	maxMissed = 256
)

// Admission gives the shared queues of an owner the forecasts of their waits, the reserve for higher tiers, and the order
// of retries before new requests. The zero value is ready for use with one SlotTable.
type Admission struct {
	// refused is protected by the lock of the SlotTable.
	refused       refusedRequests
	retriesSeen   atomic.Uint64
	retriesServed atomic.Uint64
	refusedInVain atomic.Uint64
}

// RetriesSeen returns how many slot requests were retries of refused ones.
func (a *Admission) RetriesSeen() uint64 { return a.retriesSeen.Load() }

// RetriesServed returns how many retries got a slot here.
func (a *Admission) RetriesServed() uint64 { return a.retriesServed.Load() }

// RefusedInVain returns how many requests were refused at once although a slot that they would have got became free in
// time for their goal: it went to a request behind them. Each owner that was asked counts.
func (a *Admission) RefusedInVain() uint64 { return a.refusedInVain.Load() }

// Extend adds the decisions of the admission to the rules of a new queue. The events also reach the rules given.
func (a *Admission) Extend(rules QueueRules) QueueRules {
	q := &queueAdmission{admission: a, waiting: make(map[shelfshelf.Fingerprint]waitingRequest)}
	before := rules
	rules.Reserved, rules.IsRetry, rules.InTimeUntil, rules.ExpectedWait = q.reserved, q.isRetry, q.inTimeUntil, q.expectedWait
	rules.Arrived = func(req shelfshelf.SlotRequest, now time.Time) {
		q.arrived(req, now)
		if before.Arrived != nil {
			before.Arrived(req, now)
		}
	}
	rules.Granted = func(req shelfshelf.SlotRequest, now time.Time) {
		q.granted(req, now)
		if before.Granted != nil {
			before.Granted(req, now)
		}
	}
	rules.Left = func(req shelfshelf.SlotRequest, served bool, now time.Time) {
		q.left(req, served, now)
		if before.Left != nil {
			before.Left(req, served, now)
		}
	}
	rules.Adopted = func(now time.Time) {
		q.estimator.Adopted(now)
		if before.Adopted != nil {
			before.Adopted(now)
		}
	}
	rules.Released = func(req shelfshelf.SlotRequest, held time.Duration, now time.Time) {
		q.released(req, held, now)
		if before.Released != nil {
			before.Released(req, held, now)
		}
	}
	rules.Freed = func(now time.Time) {
		q.estimator.Freed(now)
		q.reserve.Freed(now)
		if before.Freed != nil {
			before.Freed(now)
		}
	}
	return rules
}

// queueAdmission is the admission of one shared queue. It is protected by the lock of the SlotTable.
type queueAdmission struct {
	admission *Admission
	estimator forecast.Estimator
	reserve   headroom.Reserve
	// waiting holds the queued requests that have a fingerprint.
	waiting map[shelfshelf.Fingerprint]waitingRequest
	// missed holds requests that were refused at once and could still be in time.
	missed []missedRequest
}

// waitingRequest tells when a queued request arrived, and until when a grant is in time for its goal.
type waitingRequest struct {
	arrived     time.Time
	inTimeUntil time.Time
}

// missedRequest is a request that was refused at once.
type missedRequest struct {
	tier        shelfshelf.Tier
	fingerprint shelfshelf.Fingerprint
	inTimeUntil time.Time
}

// reserved returns how many slots a request must leave free for higher tiers.
func (q *queueAdmission) reserved(req shelfshelf.SlotRequest, total int, now time.Time) int {
	if req.Started {
		return 0
	}
	return q.reserve.Slots(req.Tier, total, now)
}

func (q *queueAdmission) isRetry(req shelfshelf.SlotRequest, now time.Time) bool {
	_, retry := q.admission.refused.find(req.Fingerprint, now)
	if retry {
		q.admission.retriesSeen.Add(1)
	}
	return retry
}

// inTimeUntil returns until when a grant is in time for the goal of a request, which counts from its first attempt.
func (q *queueAdmission) inTimeUntil(req shelfshelf.SlotRequest, now time.Time) time.Time {
	if refused, retry := q.admission.refused.find(req.Fingerprint, now); retry {
		return refused.inTimeUntil
	}
	return now.Add(req.InTimeUntil)
}

// expectedWait predicts the wait of a request. One that may not be in time is expected to go behind all of its tier that can.
func (q *queueAdmission) expectedWait(req shelfshelf.SlotRequest, ahead int, now time.Time) (time.Duration, bool) {
	if req.Started {
		return q.estimator.Wait(0, ahead, now)
	}
	wait, known := q.estimator.Wait(req.Tier, ahead, now)
	if known && !forecast.InTime(wait, q.inTimeUntil(req, now).Sub(now)) {
		return q.estimator.LateWait(req.Tier, ahead, now)
	}
	return wait, known
}

func (q *queueAdmission) arrived(req shelfshelf.SlotRequest, now time.Time) {
	q.estimator.Arrived(req.Tier, now)
	q.reserve.Arrived(req.Tier, now)
	if req.Fingerprint != 0 {
		q.waiting[req.Fingerprint] = waitingRequest{arrived: now, inTimeUntil: q.inTimeUntil(req, now)}
		q.dropMissed(func(m missedRequest) bool { return m.fingerprint == req.Fingerprint })
	}
}

func (q *queueAdmission) granted(req shelfshelf.SlotRequest, now time.Time) {
	q.estimator.Granted(req.Tier, now)
	if _, retry := q.admission.refused.find(req.Fingerprint, now); retry {
		q.admission.retriesServed.Add(1)
	}
	q.countMissed(req, now)
	q.forget(req)
}

// released counts the time for which a slot was held. Of a slot that another owner granted, the request is unknown.
func (q *queueAdmission) released(req shelfshelf.SlotRequest, held time.Duration, now time.Time) {
	if req.Target != 0 {
		q.estimator.Held(req.Tier, held, now)
	}
}

func (q *queueAdmission) left(req shelfshelf.SlotRequest, served bool, now time.Time) {
	q.estimator.Left(req.Tier, served, now)
	if served {
		q.forget(req)
		return
	}
	if req.Fingerprint == 0 {
		return
	}
	waited := q.waiting[req.Fingerprint]
	delete(q.waiting, req.Fingerprint)
	q.admission.refused.add(req.Fingerprint, waited.inTimeUntil, now)
	if now.Sub(waited.arrived) < refusedAtOnce && waited.inTimeUntil.After(now) && len(q.missed) < maxMissed {
		q.missed = append(q.missed, missedRequest{tier: req.Tier, fingerprint: req.Fingerprint, inTimeUntil: waited.inTimeUntil})
	}
}

// forget removes a request that got a slot here or elsewhere.
func (q *queueAdmission) forget(req shelfshelf.SlotRequest) {
	delete(q.waiting, req.Fingerprint)
	q.admission.refused.remove(req.Fingerprint)
}

// countMissed counts a refused request that would have got the slot granted now: it has a higher tier than the request that
// gets it, or the same tier and that one has just arrived.
func (q *queueAdmission) countMissed(req shelfshelf.SlotRequest, now time.Time) {
	q.dropMissed(func(m missedRequest) bool { return !m.inTimeUntil.After(now) })
	justArrived := req.Fingerprint != 0 && q.waiting[req.Fingerprint].arrived.Equal(now)
	for i, m := range q.missed {
		if m.tier < req.Tier || m.tier == req.Tier && justArrived {
			q.admission.refusedInVain.Add(1)
			q.missed = slices.Delete(q.missed, i, i+1)
			return
		}
	}
}

func (q *queueAdmission) dropMissed(drop func(missedRequest) bool) {
	q.missed = slices.DeleteFunc(q.missed, drop)
}
