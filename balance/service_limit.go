package balance

import "time"

const (
	// maxServiceRounds bounds the calls in flight to a plain service as a multiple of its slots. Some
	// of them are on their way, the others run or are queued at the service; one that it rejects has
	// cost a round trip.
	maxServiceRounds = 6
	// idleCallWeight is the weight with which a call that took longer raises the idle call time of its
	// target: calls that wait are far more frequent than a target that has become slower.
	idleCallWeight = 0.02
)

// serviceLimit is how many calls a plain service may have in flight: as many as its slots complete
// within the goal of a call at the pace of an idle service.
//
// The limit is loose on purpose. Calls end within some tens of milliseconds, and the load that other
// instances report is 0.1 to 0.4 s old: with a tight limit, all instances shed calls while the last
// reports are high, and all send to the same target while they are low. The limit is not derived from
// the mean call time, which includes the time queued at the service: it would become tighter as the
// queue grows. It was 0.35 of the goal divided by that time, at most three times the slots. In a replay
// of 80 instances and three targets (TestLateReportsDontShedCalls), 0.67 of 700 calls per second were
// in time with it, 0.21 shed and 0.08 rejected by targets; without it, 0.97, 0 and 0.02. At 1,600 per
// second, 1.6 times what the targets serve, 0.26 were in time with it, and 0.48 without.
func (t *targetState) serviceLimit(goal time.Duration) int {
	idle := t.idleCallTime
	if idle == 0 {
		idle = defaultCallTime
	}
	rounds := min(float64(goal)/float64(idle), maxServiceRounds)
	return max(t.slots, int(rounds*float64(t.slots)))
}

// observeCallTime records how long a plain call took. The idle call time follows shorter calls at
// once and longer ones slowly.
func (t *targetState) observeCallTime(took time.Duration) {
	t.meanCallTime = time.Duration(updateMean(float64(t.meanCallTime), float64(took)))
	if t.idleCallTime == 0 || took < t.idleCallTime {
		t.idleCallTime = took
		return
	}
	t.idleCallTime += time.Duration(idleCallWeight * float64(took-t.idleCallTime))
}
