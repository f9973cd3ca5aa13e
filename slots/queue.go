package slots

import (
	"slices"
	"time"

	"github.com/shelfshelf/shelfshelf"
)

// queueID identifies a queue: that of the engines of a pool, or that of a single target.
type queueID struct {
	pool   shelfshelf.PoolName
	target shelfshelf.TargetKey
}

// slotQueue is a queue of slot requests, for one target or for several engines. It is protected by SlotTable.mu.
type slotQueue struct {
	id queueID
	// requests are in order of arrival.
	requests []queuedRequest
	// fairness tracks how well requests of each length were served recently.
	fairness lengthFairness
	rules    QueueRules
}

// queuedRequest is a slot request waiting in the queue.
type queuedRequest struct {
	key      slotKey
	request  shelfshelf.SlotRequest
	deadline time.Time
	// inTimeUntil is until when a grant is in time for the goal of the request.
	inTimeUntil time.Time
	// retry says that the request was refused before.
	retry bool
}

func (q *slotQueue) shared() bool { return q.id.pool != "" }

func (q *slotQueue) order(now time.Time) queueOrder {
	return queueOrder{now: now, shared: q.shared(), rules: q.rules}
}

// names reports whether a request may use a target.
func (q *queuedRequest) names(target shelfshelf.TargetKey) bool {
	if len(q.request.Targets) == 0 {
		return q.request.Target == target
	}
	return slices.Contains(q.request.Targets, target)
}

// namesAny reports whether any queued request names a target.
func (q *slotQueue) namesAny(target shelfshelf.TargetKey) bool {
	return slices.ContainsFunc(q.requests, func(queued queuedRequest) bool { return queued.names(target) })
}

// add appends a request.
func (q *slotQueue) add(key slotKey, req shelfshelf.SlotRequest, now time.Time) {
	queued := queuedRequest{key: key, request: req, deadline: now.Add(req.MaxWait), inTimeUntil: now.Add(req.InTimeUntil)}
	if q.rules.InTimeUntil != nil {
		queued.inTimeUntil = q.rules.InTimeUntil(req, now)
	}
	if q.rules.IsRetry != nil {
		queued.retry = q.rules.IsRetry(req, now)
	}
	if q.rules.Arrived != nil {
		q.rules.Arrived(req, now)
	}
	q.requests = append(q.requests, queued)
}

// remove removes a request that leaves without a slot of this queue, and reports whether it was queued; served says
// whether it has got a slot elsewhere.
func (q *slotQueue) remove(key slotKey) (shelfshelf.SlotRequest, bool) {
	at := q.indexOf(key)
	if at < 0 {
		return shelfshelf.SlotRequest{}, false
	}
	req := q.requests[at].request
	q.requests = slices.Delete(q.requests, at, at+1)
	return req, true
}

func (q *slotQueue) indexOf(key slotKey) int {
	return slices.IndexFunc(q.requests, func(queued queuedRequest) bool { return queued.key == key })
}

// left records that a request has left the queue without a slot of it.
func (q *slotQueue) left(req shelfshelf.SlotRequest, served bool, now time.Time) {
	q.fairness.record(req, served, now)
	if q.rules.Left != nil {
		q.rules.Left(req, served, now)
	}
}

// grant removes the request at an index, which gets a slot.
func (q *slotQueue) grant(at int, now time.Time) queuedRequest {
	granted := q.requests[at]
	q.requests = slices.Delete(q.requests, at, at+1)
	q.fairness.record(granted.request, true, now)
	if q.rules.Granted != nil {
		q.rules.Granted(granted.request, now)
	}
	return granted
}

// adopt records that slots of the queue's engines are held which it didn't grant.
func (q *slotQueue) adopt(slots int, now time.Time) {
	for range slots {
		if q.rules.Adopted != nil {
			q.rules.Adopted(now)
		}
	}
}

// free records that slots of the queue's engines have become free.
func (q *slotQueue) free(slots int, now time.Time) {
	for range slots {
		if q.rules.Freed != nil {
			q.rules.Freed(now)
		}
	}
}

// expectedWait returns how long a queued request is expected to wait.
func (q *slotQueue) expectedWait(key slotKey, now time.Time) (wait time.Duration, known bool) {
	at := q.indexOf(key)
	if at < 0 || q.rules.ExpectedWait == nil {
		return 0, false
	}
	return q.rules.ExpectedWait(q.requests[at].request, q.order(now).ahead(q.requests, at), now)
}
