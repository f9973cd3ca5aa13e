package places

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/announced"
)

const (
	// settleTime is how long an owner that has just begun to keep an engine's book also
	// counts what it was told of the engine's load: holders repeat what they hold once a
	// second.
	settleTime = 1200 * time.Millisecond
	// holderSilence is how long a holder may say nothing before its places count as
	// free; it repeats them every syncPeriod.
	holderSilence = 2500 * time.Millisecond
	// syncGrace is how young a place may be to be kept though its holder's list lacks
	// it: the list may have been on its way when the place was granted.
	syncGrace = 200 * time.Millisecond
)

// Holder is an instance in one of its lives, as it asks for places.
type Holder struct {
	Address     netip.AddrPort
	Incarnation uint64
}

// Capacity is what an owner knows of an engine besides its book.
type Capacity struct {
	// Slots is how many requests the engine runs at once.
	Slots int
	// Told is how many it runs by what the instances tell each other, a little late.
	Told int
}

// Pace is how many requests a second an owner may give an engine.
type Pace struct {
	// Paced says that it isn't any number.
	Paced bool
	// PerSecond is how many, 0 if the engine is another instance's to give.
	PerSecond float64
	// First is how many an owner may give at once that has just begun to keep the engine's book: the
	// one before may have given as many just now.
	First float64
}

// Book keeps the places of the engines that this instance owns. Fields are set before
// use. It is safe for concurrent use.
type Book struct {
	Clock shelfshelf.Clock
	// Capacity returns what is known of an engine; false if it is unknown here.
	Capacity func(shelfshelf.TargetKey) (Capacity, bool)
	// Pace returns how many requests a second this instance may give an engine; nil means any number.
	Pace func(shelfshelf.TargetKey) Pace
	// Grant tells a holder that an ask of its has left the line; it is called outside
	// locks.
	Grant func(holder Holder, id shelfshelf.PlaceID, requests int)

	mu      sync.Mutex
	engines map[shelfshelf.TargetKey]*engine
	heard   map[Holder]time.Time
	// opening is when the first gate opens before which asks wait, zero if none does; opens tells
	// of a new one.
	opening time.Time
	opens   chan struct{}
	// where tells at which engine a place is held or asked for.
	where map[placeKey]shelfshelf.TargetKey
}

// engine is one page of the book.
type engine struct {
	since time.Time
	held  map[placeKey]time.Time
	line  []waiting
	// lengths is how well asks of each length were served lately.
	lengths lengths
	rest    rest
	// gate gives out the sends of an engine that is paced, else it is nil.
	gate *announced.Gate
}

type placeKey struct {
	holder Holder
	id     shelfshelf.PlaceID
}

// waiting is one ask in line.
type waiting struct {
	key   placeKey
	ask   shelfshelf.PlaceAsk
	until time.Time
}

// grant is a place that has been given to an ask in line.
type grant struct {
	key      placeKey
	requests int
}

// Ask takes a place or stands in line. An ask that comes twice gets the same answer.
func (b *Book) Ask(holder Holder, id shelfshelf.PlaceID, ask shelfshelf.PlaceAsk) shelfshelf.PlaceAnswer {
	b.mu.Lock()
	now := b.Clock.Now()
	if _, known := b.Capacity(ask.Target); !known {
		b.mu.Unlock()
		return shelfshelf.PlaceAnswer{ID: id}
	}
	e := b.engine(ask.Target, now)
	b.note(holder, now)
	key := placeKey{holder: holder, id: id}
	_, asked := b.where[key]
	b.pace(ask.Target, e, now)
	if left := e.closed(now); left > 0 && !asked {
		requests := len(e.held)
		b.mu.Unlock()
		return shelfshelf.PlaceAnswer{ID: id, Outcome: shelfshelf.PlaceRests, Requests: requests, Rest: left}
	}
	if !asked {
		b.where[key] = ask.Target
		e.insert(waiting{key: key, ask: ask, until: now.Add(ask.Wait)})
	}
	grants := b.advance(ask.Target, e, now)
	answer := shelfshelf.PlaceAnswer{ID: id, Outcome: shelfshelf.PlaceWaits, Requests: len(e.held)}
	if _, held := e.held[key]; held {
		answer.Outcome = shelfshelf.PlaceGranted
	}
	b.mu.Unlock()
	b.tell(slices.DeleteFunc(grants, func(g grant) bool { return g.key == key }))
	return answer
}

// Leave takes an ask out of the line, and tells whether its request found a place
// elsewhere; if its turn has just come, the place is free again.
func (b *Book) Leave(holder Holder, id shelfshelf.PlaceID, served bool) {
	b.mu.Lock()
	key := placeKey{holder: holder, id: id}
	if target, known := b.where[key]; known {
		e := b.engines[target]
		if ask, waits := e.leave(key); waits {
			e.lengths.note(ask, served, b.Clock.Now())
		}
	}
	b.mu.Unlock()
	b.Release(holder, id)
}

// Release frees a place or takes an ask out of the line.
func (b *Book) Release(holder Holder, id shelfshelf.PlaceID) {
	b.giveBack(holder, id, (*rest).reached)
}

// Unreachable frees a place whose holder could not reach the engine, which rests.
func (b *Book) Unreachable(holder Holder, id shelfshelf.PlaceID) {
	b.giveBack(holder, id, (*rest).failed)
}

// giveBack frees a place, or takes an ask out of the line, and notes how the engine was
// found.
func (b *Book) giveBack(holder Holder, id shelfshelf.PlaceID, found func(*rest, placeKey, time.Time)) {
	b.mu.Lock()
	now := b.Clock.Now()
	b.note(holder, now)
	key := placeKey{holder: holder, id: id}
	target, known := b.where[key]
	if !known {
		b.mu.Unlock()
		return
	}
	e := b.engines[target]
	if _, held := e.held[key]; held {
		found(&e.rest, key, now)
	}
	e.leave(key)
	b.free(e, key)
	grants := b.advance(target, e, now)
	b.mu.Unlock()
	b.tell(grants)
}

// free forgets a place; the lock is held.
func (b *Book) free(e *engine, key placeKey) {
	delete(e.held, key)
	delete(b.where, key)
}

// Sync takes a holder's list of all that it holds at engines that it takes this
// instance to own. What the list lacks is free, and what the book lacks is taken.
func (b *Book) Sync(holder Holder, held map[shelfshelf.PlaceID]shelfshelf.TargetKey) {
	b.mu.Lock()
	now := b.Clock.Now()
	b.note(holder, now)
	var grants []grant
	for id, target := range held {
		key := placeKey{holder: holder, id: id}
		e := b.engine(target, now)
		if _, known := e.held[key]; !known {
			e.held[key] = now
			b.where[key] = target
		}
		e.leave(key)
	}
	for target, e := range b.engines {
		for key, since := range e.held {
			_, listed := held[key.id]
			if key.holder == holder && !listed && now.Sub(since) > syncGrace {
				b.free(e, key)
			}
		}
		grants = append(grants, b.advance(target, e, now)...)
	}
	b.mu.Unlock()
	b.tell(grants)
}

// Sweep frees the places of holders that have been silent for long, and forgets
// engines without any.
func (b *Book) Sweep(self Holder) {
	b.mu.Lock()
	now := b.Clock.Now()
	b.note(self, now)
	var grants []grant
	for target, e := range b.engines {
		for key := range e.held {
			if now.Sub(b.heard[key.holder]) > holderSilence {
				b.free(e, key)
			}
		}
		grants = append(grants, b.advance(target, e, now)...)
		b.pace(target, e, now)
		if e.gate == nil && len(e.held) == 0 && len(e.line) == 0 && now.Sub(e.since) > settleTime && now.After(e.rest.until.Add(lastRest)) {
			delete(b.engines, target)
		}
	}
	for holder, at := range b.heard {
		if now.Sub(at) > holderSilence {
			delete(b.heard, holder)
		}
	}
	b.mu.Unlock()
	b.tell(grants)
}

// Held returns how many places of an engine are taken.
func (b *Book) Held(target shelfshelf.TargetKey) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e := b.engines[target]; e != nil {
		return len(e.held)
	}
	return 0
}

func (b *Book) tell(grants []grant) {
	for _, g := range grants {
		b.Grant(g.key.holder, g.key.id, g.requests)
	}
}

// note keeps when a holder was last heard; the lock is held.
func (b *Book) note(holder Holder, now time.Time) {
	if b.heard == nil {
		b.heard = make(map[Holder]time.Time)
	}
	b.heard[holder] = now
}

// engine returns an engine's page; the lock is held.
func (b *Book) engine(target shelfshelf.TargetKey, now time.Time) *engine {
	if b.engines == nil {
		b.engines = make(map[shelfshelf.TargetKey]*engine)
		b.where = make(map[placeKey]shelfshelf.TargetKey)
	}
	e := b.engines[target]
	if e == nil {
		e = &engine{since: now, held: make(map[placeKey]time.Time)}
		b.engines[target] = e
	}
	return e
}

// advance gives free places to the line; the lock is held.
func (b *Book) advance(target shelfshelf.TargetKey, e *engine, now time.Time) []grant {
	b.expire(e, now)
	if len(e.line) == 0 {
		return nil
	}
	capacity, known := b.Capacity(target)
	b.pace(target, e, now)
	var grants []grant
	for len(e.line) > 0 {
		at := e.lengths.next(e.line, now)
		w := e.line[at]
		if !known || e.closed(now) > 0 || e.free(capacity, w.ask, now) <= 0 {
			b.awaitGate(e, now)
			return grants
		}
		e.held[w.key] = now
		e.rest.let(w.key, now)
		if e.gate != nil {
			e.gate.Take()
		}
		e.lengths.note(w.ask, true, now)
		grants = append(grants, grant{key: w.key, requests: len(e.held)})
		e.line = slices.Delete(e.line, at, at+1)
	}
	return grants
}

// awaitGate notes that asks wait at an engine whose gate is closed, if it is; the lock is held.
func (b *Book) awaitGate(e *engine, now time.Time) {
	if e.gate == nil {
		return
	}
	left := e.gate.Left(now)
	at := now.Add(left)
	if left <= 0 || !b.opening.IsZero() && !at.Before(b.opening) {
		return
	}
	b.opening = at
	select {
	case b.opened() <- struct{}{}:
	default:
	}
}

// opened returns the channel that tells of a new opening; the lock is held.
func (b *Book) opened() chan struct{} {
	if b.opens == nil {
		b.opens = make(chan struct{}, 1)
	}
	return b.opens
}

// Opening returns when the first gate opens before which asks wait, zero if none does, and a channel
// that tells of an earlier one.
func (b *Book) Opening() (time.Time, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.opening, b.opened()
}

// Open gives places to the asks that wait before gates which have opened.
func (b *Book) Open() {
	b.mu.Lock()
	now := b.Clock.Now()
	b.opening = time.Time{}
	var grants []grant
	for target, e := range b.engines {
		if e.gate != nil && len(e.line) > 0 {
			grants = append(grants, b.advance(target, e, now)...)
		}
	}
	b.mu.Unlock()
	b.tell(grants)
}

// pace opens or closes the gate of an engine that is paced; the lock is held.
func (b *Book) pace(target shelfshelf.TargetKey, e *engine, now time.Time) {
	if b.Pace == nil {
		return
	}
	pace := b.Pace(target)
	if !pace.Paced {
		e.gate = nil
		return
	}
	if e.gate == nil {
		e.gate = announced.NewGate(pace.PerSecond, pace.First, now)
	}
	e.gate.SetRate(pace.PerSecond, now)
}

// closed returns how long the engine gets nothing yet, since it rests or has had what its limit
// allows; 0 if it may get a request.
func (e *engine) closed(now time.Time) time.Duration {
	left := e.rest.left(now)
	if e.gate != nil {
		left = max(left, e.gate.Left(now))
	}
	return left
}

// expire forgets asks whose time in line is over; the lock is held.
func (b *Book) expire(e *engine, now time.Time) {
	e.line = slices.DeleteFunc(e.line, func(w waiting) bool {
		over := now.After(w.until)
		if over {
			delete(b.where, w.key)
			e.lengths.note(w.ask, false, now)
		}
		return over
	})
}

// leave takes an ask out of the line and reports whether it stood there.
func (e *engine) leave(key placeKey) (shelfshelf.PlaceAsk, bool) {
	at := slices.IndexFunc(e.line, func(w waiting) bool { return w.key == key })
	if at < 0 {
		return shelfshelf.PlaceAsk{}, false
	}
	ask := e.line[at].ask
	e.line = slices.Delete(e.line, at, at+1)
	return ask, true
}

// free returns how many places an ask may choose among.
func (e *engine) free(capacity Capacity, ask shelfshelf.PlaceAsk, now time.Time) int {
	taken := len(e.held)
	if now.Sub(e.since) < settleTime {
		taken = max(taken, capacity.Told)
	}
	return capacity.Slots - taken - shelfshelf.ReservedPlaces(capacity.Slots, ask.Tier, ask.Begun)
}

// insert puts an ask behind those that go before it.
func (e *engine) insert(w waiting) {
	at := len(e.line)
	for at > 0 && before(w.ask, e.line[at-1].ask) {
		at--
	}
	e.line = slices.Insert(e.line, at, w)
}

// before orders asks by what has begun, rank, tier and stay; equals go as they came, and
// asks of a length that is served too rarely go first (lengths.next). Where
// places are short, the shortest stays first serve 8% more requests of the middle kind and
// 10% more of the lowest in time, and as many of the highest (medians of six plays of two
// days of high load, the same seeds with and without).
func before(a, b shelfshelf.PlaceAsk) bool {
	switch {
	case a.Begun != b.Begun:
		return a.Begun
	case a.Rank != b.Rank:
		return a.Rank < b.Rank
	case a.Tier != b.Tier:
		return a.Tier < b.Tier
	}
	return a.Stay < b.Stay
}
