package balance

import (
	"context"
	"slices"
	"time"

	"github.com/shelfshelf/shelfshelf"
)

const (
	// asksAtMost is how many engines a request asks for a place; the first that gives one
	// gets it. With several lines to stand in, a place is free sooner than in one.
	asksAtMost = 8
	// restingAtMost is how many engines beyond those may answer that they rest: a quarter of
	// all may have crashed at once, and they look best since they run nothing.
	restingAtMost = 24
	// ownerWordKept is how long an owner's word on an engine's load goes before what the
	// instances tell each other: the latter is 0.1 to 0.4 s old.
	ownerWordKept = 300 * time.Millisecond
)

// asking is one request that asks the owners of engines for a place.
type asking struct {
	balancer *Balancer
	need     Need
	granted  chan shelfshelf.PlaceID
	tried    []*targetState
	// next is what the owner of the engine that was chosen last is asked. It is made when the
	// engine is chosen: its entry may be replaced while its owner is asked.
	next shelfshelf.PlaceAsk
	// waits are the lines that the request stands in, as far as is known: some owners may
	// not have answered yet.
	waits map[shelfshelf.PlaceID]*targetState
	// answered counts the owners that gave a place or a place in line, resting the engines that
	// get nothing yet.
	answered int
	resting  int
}

func (b *Balancer) newAsking(need Need) *asking {
	return &asking{
		balancer: b,
		need:     need,
		granted:  make(chan shelfshelf.PlaceID, asksAtMost),
		waits:    make(map[shelfshelf.PlaceID]*targetState),
	}
}

// acquireOwned asks owners for a place at the engines that look best, in turn, and
// waits in the lines of those that are full.
func (b *Balancer) acquireOwned(ctx context.Context, need Need) (lease *Lease, err error) {
	a := b.newAsking(need)
	defer func() { a.leaveLines(lease != nil) }()
	for len(a.tried)-a.resting < asksAtMost && a.resting < restingAtMost {
		if len(a.tried) > 0 && !b.Clock.Now().Before(need.WaitUntil) {
			// Owners that don't answer have taken the time.
			break
		}
		t := a.choose()
		if t == nil {
			break
		}
		if lease := a.ask(ctx, t); lease != nil {
			return lease, nil
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
	if a.answered == 0 && !a.onlyPaced() {
		// No owner answers: this instance decides by what it knows.
		lease, err := b.acquireAlone(ctx, need)
		if err == nil {
			lease.Asked = len(a.tried)
		}
		return lease, err
	}
	return a.wait(ctx)
}

// choose returns the best engine that was not tried yet, free or not.
func (a *asking) choose() *targetState {
	return a.try(func(t *targetState) bool { return !slices.Contains(a.tried, t) })
}

// chooseOther returns the best engine in whose line the request doesn't stand, tried or not.
func (a *asking) chooseOther() *targetState {
	return a.try(func(t *targetState) bool { return !a.waitsAt(t) })
}

// try returns the best target that is open and fits, and notes that it is tried.
func (a *asking) try(fits func(t *targetState) bool) *targetState {
	best := a.chooseFrom(func(t *targetState, _ time.Time) bool { return fits(t) })
	if best != nil {
		a.tried = append(a.tried, best)
	}
	return best
}

// chooseFrom returns the best target that is open and fits, and makes the ask for its owner.
func (a *asking) chooseFrom(fits func(t *targetState, now time.Time) bool) *targetState {
	b := a.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock.Now()
	p := b.pools[a.need.Pool]
	if p == nil {
		return nil
	}
	b.look(now)
	best := b.cheapest(p, a.need, now, func(t *targetState) bool {
		return t.open(a.need, now) && fits(t, now)
	})
	if best != nil {
		a.next = shelfshelf.PlaceAsk{
			Target:     best.key,
			DataCentre: best.target.DataCentre,
			Begun:      a.need.Begun,
			Rank:       a.need.Rank,
			Tier:       a.need.Tier,
			Stay:       p.expectStay(best, a.need, b.unread(best, a.need, now), now),
			Wait:       max(a.need.WaitUntil.Sub(now), 0),
			Said:       best.said,
			Strict:     best.strict(now),
		}
	}
	return best
}

// ask asks one engine's owner; without its word, this instance decides alone.
func (a *asking) ask(ctx context.Context, t *targetState) *Lease {
	b := a.balancer
	answer := b.Places.Ask(ctx, a.next, a.granted)
	switch answer.Outcome {
	case shelfshelf.PlaceGranted:
		a.answered++
		b.hearOwner(t, answer.Requests-1)
		return a.take(t, answer.ID)
	case shelfshelf.PlaceWaits:
		a.answered++
		b.hearOwner(t, answer.Requests)
		a.waits[answer.ID] = t
		return nil
	case shelfshelf.PlaceUnanswered:
		if a.next.Strict {
			return a.passBy(t, answer.ID)
		}
		a.waits[answer.ID] = t
		return nil
	case shelfshelf.PlaceRests:
		// The ask stands in no line, so that it counts for no answer: waiting where no other
		// owner answers, the request would wait for nothing.
		a.resting++
		b.hearRest(t, answer.Rest)
		return nil
	case shelfshelf.PlaceUnknown:
		if t.paced() {
			return a.passBy(t, answer.ID)
		}
	}
	return a.takeAlone(t)
}

// takeAlone takes a place without an owner's word if what this instance knows speaks
// for it.
func (a *asking) takeAlone(t *targetState) *Lease {
	b := a.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock.Now()
	p := b.pools[a.need.Pool]
	if p == nil || !t.usable(a.need, now) {
		return nil
	}
	lease := b.grantAlone(p, t, a.need, now)
	lease.Asked = len(a.tried)
	return lease
}

// take makes a lease of a place that was given, or gives it back if the engine has
// become unfit meanwhile.
func (a *asking) take(t *targetState, id shelfshelf.PlaceID) *Lease {
	b := a.balancer
	b.mu.Lock()
	now := b.Clock.Now()
	p := b.pools[a.need.Pool]
	if p == nil || b.targets[t.target.Name] != t || !t.open(a.need, now) {
		b.mu.Unlock()
		b.Places.Give(id, false)
		return nil
	}
	lease := b.grant(p, t, a.need, now)
	lease.place = id
	lease.Asked = len(a.tried)
	b.mu.Unlock()
	return lease
}

// wait waits until one of the lines gives a place.
func (a *asking) wait(ctx context.Context) (*Lease, error) {
	b := a.balancer
	b.waitingOwned.Add(1)
	defer b.waitingOwned.Add(-1)
	timeout := b.Clock.After(a.need.WaitUntil.Sub(b.Clock.Now()))
	for {
		select {
		case id := <-a.granted:
			t, waits := a.waits[id]
			if !waits {
				// The ask was given up just before its turn came.
				continue
			}
			delete(a.waits, id)
			if lease := a.take(t, id); lease != nil {
				return lease, nil
			}
			// The target leaves or rests since the request stands in its line: others may not.
			if lease := a.askWhile(ctx, a.chooseOther); lease != nil {
				return lease, nil
			}
		case <-a.again():
			if lease := a.askWhile(ctx, a.choosePaced); lease != nil {
				return lease, nil
			}
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-timeout:
			return nil, &Refusal{Reason: shelfshelf.RefusedShed, RetryAfter: a.retryAfter()}
		}
	}
}

// leaveLines takes the request out of the lines that it still stands in, and tells their
// owners whether it has a place.
func (a *asking) leaveLines(served bool) {
	for id := range a.waits {
		a.balancer.Places.Leave(id, served)
	}
}

// hearOwner notes an owner's word on an engine's load.
func (b *Balancer) hearOwner(t *targetState, requests int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t.ownerLoad = requests
	t.ownerAt = b.Clock.Now()
}

// hearRest notes an owner's word that an engine could not be reached.
func (b *Balancer) hearRest(t *targetState, left time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	until := b.Clock.Now().Add(left)
	switch {
	case t.paced():
		t.pacedUntil = until
	case until.After(t.restUntil):
		t.restUntil = until
	}
}

// Capacity returns how many requests an engine runs at once, and how many it runs by
// what the instances tell each other; false if it is unknown.
func (b *Balancer) Capacity(key shelfshelf.TargetKey) (slots, told int, known bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.keys[key]
	if t == nil {
		return 0, 0, false
	}
	return t.slots, t.toldLoad(b.Clock.Now()).requests, true
}
