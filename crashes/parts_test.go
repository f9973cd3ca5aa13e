package crashes_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/crashes"
)

var (
	routePart    = shelfshelf.FingerprintOfPart("route")
	customerPart = shelfshelf.FingerprintOfPart("customer")
	deadlyPart   = shelfshelf.FingerprintOfPart("deadly")
)

func quarantined(r *crashes.Tracker, request shelfshelf.Fingerprint) bool {
	_, quarantined := r.CheckQuarantine(request, "r")
	return quarantined
}

// The part that all crashes have in common and no surviving run has is quarantined, at all instances; parts that
// sound requests share are not, though they were in all crashes too.
func TestOnlyThePartThatNeverSurvivesIsQuarantined(t *testing.T) {
	t.Parallel()
	clock := clockwork.NewFakeClock()
	saw, served := newTracker(clock, "a"), newTracker(clock, "b")
	for i := range 5 {
		// Only one instance runs sound requests of the customer.
		served.PartsSurvived([]shelfshelf.Fingerprint{routePart, customerPart})
		clock.Advance(200 * time.Millisecond)
		crashWhileRunning(saw, clock, fmt.Sprint("t", i), shelfshelf.Fingerprint(100+i), routePart, customerPart, deadlyPart)
		served.Merge(saw.Updates(true), false)
		saw.Merge(served.Updates(true), false)
	}
	clock.Advance(time.Second)
	for _, r := range []*crashes.Tracker{saw, served} {
		if quarantined(r, routePart) || quarantined(r, customerPart) || !quarantined(r, deadlyPart) {
			t.Errorf("route %t, customer %t, deadly %t", quarantined(r, routePart), quarantined(r, customerPart), quarantined(r, deadlyPart))
		}
	}
}

// When all targets crash at once, the parts that all requests share were in all crashes, and no run survives them
// for a while.
func TestCrashesOfAllTargetsBlameNoSharedPart(t *testing.T) {
	t.Parallel()
	clock := clockwork.NewFakeClock()
	r := newTracker(clock, "a")
	r.PartsSurvived([]shelfshelf.Fingerprint{routePart})
	clock.Advance(20 * time.Second)
	for i := range 18 {
		crashWhileRunning(r, clock, fmt.Sprint("t", i), shelfshelf.Fingerprint(100+i), routePart)
	}
	clock.Advance(5 * time.Second)
	if quarantined(r, routePart) {
		t.Error("the part of a route is quarantined")
	}
}

// A part is not quarantined before other instances can have told of runs with it that survived at them.
func TestPartsAreQuarantinedOnceOthersHaveTold(t *testing.T) {
	t.Parallel()
	clock := clockwork.NewFakeClock()
	saw, served := newTracker(clock, "a"), newTracker(clock, "b")
	served.PartsSurvived([]shelfshelf.Fingerprint{customerPart})
	for i := range 6 {
		crashWhileRunning(saw, clock, fmt.Sprint("t", i), shelfshelf.Fingerprint(100+i), customerPart)
	}
	if quarantined(saw, customerPart) {
		t.Error("quarantined at once")
	}
	clock.Advance(300 * time.Millisecond)
	served.Merge(saw.Updates(true), false)
	saw.Merge(served.Updates(true), false)
	clock.Advance(time.Second)
	if quarantined(saw, customerPart) || quarantined(served, customerPart) {
		t.Error("a part is quarantined with which a run survived")
	}
}

// A crash that was told within the data centre is cleared there too by who knows of a run that survived: the others
// had it from the same source, so that the clearing was kept back from them until they fetched everything.
func TestClearedPartsAreToldWithinTheDataCentre(t *testing.T) {
	t.Parallel()
	clock := clockwork.NewFakeClock()
	saw, served := newTracker(clock, "a"), newTracker(clock, "b")
	served.PartsSurvived([]shelfshelf.Fingerprint{customerPart})
	for i := range 6 {
		crashWhileRunning(saw, clock, fmt.Sprint("t", i), shelfshelf.Fingerprint(100+i), customerPart)
	}
	served.Merge(saw.Updates(false), false)
	saw.Merge(served.Updates(false), false)
	clock.Advance(time.Second)
	if quarantined(saw, customerPart) {
		t.Error("a part is quarantined with which a run survived")
	}
}

// An instance that gets most requests of a region sees more parts than it can remember. What it saw last stays
// remembered: where all was dropped at once, a crash of all targets right after that blamed the part of a route.
func TestLatestSurvivalsAreRemembered(t *testing.T) {
	t.Parallel()
	clock := clockwork.NewFakeClock()
	r := newTracker(clock, "a")
	for i := range 8_195 {
		own := shelfshelf.FingerprintOfPart(fmt.Sprint("own", i))
		r.PartsSurvived([]shelfshelf.Fingerprint{routePart, own})
		clock.Advance(time.Millisecond)
	}
	latest := shelfshelf.FingerprintOfPart("own8190")
	for i := range 18 {
		crashWhileRunning(r, clock, fmt.Sprint("t", i), shelfshelf.Fingerprint(100+i), routePart, latest)
	}
	clock.Advance(time.Second)
	if quarantined(r, routePart) || quarantined(r, latest) {
		t.Error("a part is quarantined with which a run survived a second ago")
	}
}
