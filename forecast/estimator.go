package forecast

import (
	"math"
	"time"

	"github.com/shelfshelf/shelfshelf"
)

const (
	// Never is the wait forecast if higher tiers arrive at least as fast as requests leave the queue.
	Never = time.Hour
	// tierCount is how many tiers are told apart; all further ones count as the last.
	tierCount = 8
	// flowTime is the time constant of the arrivals and departures by tier. The forecast must follow within 1 s after a burst
	// has begun or ended, which is 2.5 time constants. Shorter ones follow single batches.
	flowTime = 400 * time.Millisecond
	// trendTime is the time constant of a second count of the arrivals; the higher of the two rates counts. Arrivals in batches
	// vary by a third within flowTime, and requests of lower tiers that were held in a lull were refused later.
	trendTime = 1200 * time.Millisecond
	// holdMemory is the time constant of the mean time for which a slot is held. It covers several of the periods of 600 ms
	// in which engines are slowed down.
	holdMemory = 1500 * time.Millisecond
	// minEnded is how many slots must have become free, and minAge how long ago the first event must be, for a forecast.
	minEnded = 3
	minAge   = 500 * time.Millisecond
	// priorEnds is the weight, in slots that became free, of the mean hold time known before. It matters only if
	// hardly any slot was in use for a while.
	priorEnds = 1
	// overtakingShare corrects the part of the arrivals of its own tier that goes before a request: besides the criteria by
	// which it has its place now, retries, customers and lengths served too rarely count. In simulated bursts with 80
	// instances, 49 requests of the middle tier were refused at a half, 73 at three quarters and 118 at 1; with 0, 182 of 2,037
	// were held in vain.
	overtakingShare = 0.5
	// minDrain is the rate in requests per second below which those ahead count as not leaving the queue.
	minDrain = 0.5
)

// Estimator predicts the wait in one shared queue from what has happened in it lately. The zero value is ready for use. Its
// methods are not called concurrently, and now never goes back. Arrived comes before Granted or Left of the same request.
type Estimator struct {
	tiers [tierCount]flow
	// inUse is how many slots are in use. busy is the time for which slots were in use and ended how many became free;
	// both fade with holdMemory, so that their quotient is the mean hold time.
	inUse int
	busy  float64
	ended float64
	// meanHold is the latest mean hold time in seconds that was based on at least minEnded slots.
	meanHold float64
	// began is the time of the first event, and at that of the latest.
	began time.Time
	at    time.Time
}

// flow counts the requests of one tier; the counts fade with flowTime.
type flow struct {
	arrived   float64
	elsewhere float64
	unserved  float64
	// lasting is the arrivals less those that left unserved; it fades with trendTime.
	lasting float64
	// waiting is how many requests are in the queue.
	waiting int
	// held is the time for which slots were held by requests of the tier and ended how many of them ended; both fade with
	// holdMemory.
	held  float64
	ended float64
}

// Arrived counts a slot request of a tier, whether it is granted at once or queued.
func (e *Estimator) Arrived(tier shelfshelf.Tier, now time.Time) {
	e.advance(now)
	e.flow(tier).arrived++
	e.flow(tier).lasting++
	e.flow(tier).waiting++
}

// Granted counts a slot that was granted to a request of a tier.
func (e *Estimator) Granted(tier shelfshelf.Tier, now time.Time) {
	e.Adopted(now)
	e.flow(tier).leave()
}

// Adopted counts a slot that was granted by another owner and is now known to be in use.
func (e *Estimator) Adopted(now time.Time) {
	e.advance(now)
	e.inUse++
}

// Left counts a request of a tier that left the queue without a grant here; served says that it got a slot elsewhere.
func (e *Estimator) Left(tier shelfshelf.Tier, served bool, now time.Time) {
	e.advance(now)
	e.flow(tier).leave()
	if served {
		e.flow(tier).elsewhere++
		return
	}
	e.flow(tier).unserved++
	e.flow(tier).lasting--
}

// Freed counts a slot that became free.
func (e *Estimator) Freed(now time.Time) {
	e.advance(now)
	e.inUse = max(e.inUse-1, 0)
	e.ended++
	if e.ended >= minEnded {
		e.meanHold = e.busy / e.ended
	}
}

// Held counts a request of a tier that has held its slot for a time. It is optional: without it, all tiers count as
// holding their slots for equally long.
func (e *Estimator) Held(tier shelfshelf.Tier, held time.Duration, now time.Time) {
	e.advance(now)
	e.flow(tier).held += held.Seconds()
	e.flow(tier).ended++
}

// Wait predicts how long a new request of a tier waits behind a number of others; known is false if too little has happened
// in the queue for a forecast.
func (e *Estimator) Wait(tier shelfshelf.Tier, ahead int, now time.Time) (wait time.Duration, known bool) {
	e.advance(now)
	return e.wait(tierIndex(tier), ahead, e.overtaking(tierIndex(tier), ahead), now)
}

// LateWait predicts the wait of a request that can no longer be in time. It also waits for all those of its own tier that
// arrive after it, since those that can be in time go first.
func (e *Estimator) LateWait(tier shelfshelf.Tier, ahead int, now time.Time) (wait time.Duration, known bool) {
	e.advance(now)
	return e.wait(tierIndex(tier), ahead, 1, now)
}

// overtaking estimates which part of the arrivals of a request's own tier goes before it. Its tier is ordered by what the
// owner knows of the requests and not by arrival, so that it is the part of those that wait now.
func (e *Estimator) overtaking(tier, ahead int) float64 {
	for i := range tier {
		ahead -= e.tiers[i].waiting
	}
	// The request itself waits too. Beside few others its place says little.
	others := e.tiers[tier].waiting - 1
	return min((float64(max(ahead, 0))+0.5)/float64(max(others, 0)+1), 1)
}

// wait predicts the wait of a request of a tier that is overtaken by a part of the arrivals of its tier.
func (e *Estimator) wait(tier, ahead int, overtaking float64, now time.Time) (time.Duration, bool) {
	if e.meanHold == 0 || now.Sub(e.began) < minAge {
		return 0, false
	}
	drain := e.freeRate(tier) + e.departures(tier, overtaking, now)
	if drain < minDrain {
		return Never, true
	}
	return min(time.Duration(float64(ahead+1)/drain*float64(time.Second)), Never), true
}

// freeRate predicts how many slots become free per second while a request of a tier waits: lower tiers, which may hold their
// slots for shorter, get none then.
func (e *Estimator) freeRate(tier int) float64 {
	hold := (e.busy + priorEnds*e.meanHold) / (e.ended + priorEnds)
	held, ended := 0.0, 0.0
	for i := range tier + 1 {
		held += e.tiers[i].held
		ended += e.tiers[i].ended
	}
	if ended >= minEnded {
		hold = max(hold, held/ended)
	}
	return float64(e.inUse) / max(hold, time.Millisecond.Seconds())
}

// departures returns how many requests per second get a slot elsewhere, of a tier and those above it, less the arrivals that go
// before a request of the tier. Arrivals that left the queue unserved push nobody back.
func (e *Estimator) departures(tier int, overtaking float64, now time.Time) float64 {
	served, pushing, lasting := 0.0, 0.0, 0.0
	for i := range tier + 1 {
		part := 1.0
		if i == tier {
			part = overtakingShare * overtaking
		}
		f := &e.tiers[i]
		served += f.elsewhere
		pushing += part * (f.arrived - f.unserved)
		lasting += part * f.lasting
	}
	age := now.Sub(e.began)
	return served/window(age, flowTime) - max(pushing/window(age, flowTime), lasting/window(age, trendTime), 0)
}

func (f *flow) leave() {
	f.waiting = max(f.waiting-1, 0)
}

// window returns the time in seconds over which a count of a given age was taken.
func window(age, timeConstant time.Duration) float64 {
	return timeConstant.Seconds() * (1 - fade(age, timeConstant))
}

// advance brings all counts up to now.
func (e *Estimator) advance(now time.Time) {
	if e.began.IsZero() {
		e.began, e.at = now, now
	}
	passed := now.Sub(e.at)
	if passed <= 0 {
		return
	}
	e.at = now
	keep := fade(passed, flowTime)
	for i := range e.tiers {
		e.tiers[i].arrived *= keep
		e.tiers[i].elsewhere *= keep
		e.tiers[i].unserved *= keep
	}
	keep = fade(passed, trendTime)
	for i := range e.tiers {
		e.tiers[i].lasting *= keep
	}
	keep = fade(passed, holdMemory)
	for i := range e.tiers {
		e.tiers[i].held *= keep
		e.tiers[i].ended *= keep
	}
	e.ended *= keep
	e.busy = e.busy*keep + float64(e.inUse)*holdMemory.Seconds()*(1-keep)
}

// fade returns which part of a count is left after some time.
func fade(passed, timeConstant time.Duration) float64 {
	return math.Exp(-float64(passed) / float64(timeConstant))
}

func (e *Estimator) flow(tier shelfshelf.Tier) *flow {
	return &e.tiers[tierIndex(tier)]
}

func tierIndex(tier shelfshelf.Tier) int {
	return min(max(int(tier), 0), tierCount-1)
}
