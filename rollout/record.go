package rollout

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"

	"github.com/shelfshelf/shelfshelf"
)

// Record is what one instance knows of orders, what it has sent and what it has counted.
// Fields are set before use. It is safe for concurrent use.
type Record struct {
	Clock  shelfshelf.Clock
	Log    *log.Logger
	Bounds Bounds
	// Random draws evenly from 0 to 1; nil means the usual source.
	Random func() float64
	// Running returns how many requests this instance has at targets of a pool that run
	// other versions, and how many at those that run this one; nil means that it never has
	// any.
	Running func(pool shelfshelf.PoolName, version shelfshelf.TargetVersion) (others, at int)
	// Instances returns how many instances there are, this one included; nil means unknown.
	Instances func() int
	// Changed is called, outside locks, after an order has changed; may be nil.
	Changed func()

	mu     sync.Mutex
	orders map[shelfshelf.PoolName]*order
	// asOf is the version of the store of which all orders are known.
	asOf uint64
	// versions are those of each pool's targets, and the version of the list of targets from
	// which each is known: a new one gets nothing before it is known whether it was ordered.
	versions map[shelfshelf.PoolName]map[shelfshelf.TargetVersion]sighting
	// counts are how many targets of each version are listed.
	counts  map[shelfshelf.PoolName]map[shelfshelf.TargetVersion]int
	changes chan struct{}
}

// order is what is known of one pool's order.
type order struct {
	// word is the order as of at, and earlier are those that it replaced, the last one first.
	word    shelfshelf.Rollout
	at      time.Time
	earlier []shelfshelf.Rollout
	// unsaved says that it has to be written down again.
	unsaved bool
	split
	evidence Evidence
	// ended says that the order was completed before this instance's eyes, and retired are
	// the targets that it left behind.
	ended   bool
	retired map[shelfshelf.TargetName]bool
}

// random draws evenly from 0 to 1.
func (r *Record) random() float64 {
	if r.Random == nil {
		return rand.Float64()
	}
	return r.Random()
}

// as returns the order with its ages as of now.
func (o *order) as(now time.Time) shelfshelf.Rollout {
	word := o.word
	word.Age += now.Sub(o.at)
	if word.State == shelfshelf.RolloutMoving {
		word.Moving += now.Sub(o.at)
	}
	return word
}

// Changes tells of changed orders.
func (r *Record) Changes() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changing()
}

func (r *Record) changing() chan struct{} {
	if r.changes == nil {
		r.changes = make(chan struct{}, 1)
	}
	return r.changes
}

// Heard takes orders from the store, or what another instance knows of them, all that had
// been given when the store stood at a version.
func (r *Record) Heard(told []shelfshelf.Rollout, asOf uint64, from string) {
	r.mu.Lock()
	r.asOf = max(r.asOf, asOf)
	changed := false
	for _, word := range told {
		if r.take(word, from) {
			changed = true
		}
	}
	if changed {
		select {
		case r.changing() <- struct{}{}:
		default:
		}
	}
	r.mu.Unlock()
	if changed && r.Changed != nil {
		r.Changed()
	}
}

// take takes one word if it says more than what is known; the lock is held.
func (r *Record) take(word shelfshelf.Rollout, from string) bool {
	if r.orders == nil {
		r.orders = make(map[shelfshelf.PoolName]*order)
	}
	now := r.Clock.Now()
	known := r.orders[word.Pool]
	if known != nil {
		news, stale := known.returned(word)
		if stale || !word.Adds(known.word) {
			return news
		}
	}
	if known == nil || known.word.Revision != word.Revision {
		if known != nil {
			word.Barred = barred(known.word, word)
		}
		known = &order{
			earlier:  replacing(known),
			split:    split{offset: r.random(), since: word.Age},
			evidence: Evidence{Pool: word.Pool, Revision: word.Revision, Cells: make(map[CellName]*Cell)},
		}
		r.orders[word.Pool] = known
	} else {
		known.ended = known.ended || !known.word.State.Over() && word.State == shelfshelf.RolloutCompleted
		word = merged(known.as(now), word)
	}
	known.word, known.at = word, now
	r.Log.Info("An order to move a pool has changed.", "pool", word.Pool, "version", word.Version, "revision", word.Revision,
		"state", word.State, "halted", word.Halted, "doubted", word.Doubted, "period", word.Period, "age", word.Age, "moving", word.Moving, "from", from)
	return true
}

// barred returns which versions are barred by an order that replaces another.
func barred(before, word shelfshelf.Rollout) []shelfshelf.TargetVersion {
	all := append(slices.Clone(before.Barred), word.Barred...)
	if before.State != shelfshelf.RolloutCompleted {
		all = append(all, before.Version)
	}
	slices.Sort(all)
	all = slices.Compact(all)
	return slices.DeleteFunc(all, func(version shelfshelf.TargetVersion) bool { return version == word.Version })
}

// merged returns what is known with another word on the same order, which may know less of
// some of it.
func merged(known, word shelfshelf.Rollout) shelfshelf.Rollout {
	word.Halted = word.Halted || known.Halted
	word.Stored = max(word.Stored, known.Stored)
	word.Age = max(word.Age, known.Age)
	word.Doubted = max(word.Doubted, known.Doubted)
	if len(word.Barred) == 0 {
		word.Barred = known.Barred
	}
	if known.State > word.State {
		word.State = known.State
	}
	if known.State == shelfshelf.RolloutMoving && word.State == shelfshelf.RolloutMoving {
		word.Moving = max(word.Moving, known.Moving)
	}
	return word
}

// Told returns what this instance tells the others.
func (r *Record) Told() (orders []shelfshelf.Rollout, asOf uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	for _, o := range r.orders {
		orders = append(orders, o.as(now))
	}
	return orders, r.asOf
}

// Under returns the orders that are under way.
func (r *Record) Under() []shelfshelf.Rollout {
	orders, _ := r.Told()
	var under []shelfshelf.Rollout
	for _, o := range orders {
		if !o.State.Over() {
			under = append(under, o)
		}
	}
	return under
}

// Counted returns what this instance has counted of a pool's order, with what it has sent.
func (r *Record) Counted() []Evidence {
	var running map[shelfshelf.PoolName][2]int
	if r.Running != nil {
		running = make(map[shelfshelf.PoolName][2]int)
		for _, word := range r.Under() {
			others, at := r.Running(word.Pool, word.Version)
			running[word.Pool] = [2]int{others, at}
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	var all []Evidence
	for _, o := range r.orders {
		if o.word.State.Over() {
			continue
		}
		counted := o.evidence
		word := o.as(now)
		counted.OldRunning, counted.NewRunning = running[word.Pool][0], running[word.Pool][1]
		counted.Moved = word.State == shelfshelf.RolloutMoving && moveShare(word, r.Bounds.usualMove(word)) >= 1
		counted.Sent = Sent{All: uint64(max(o.all, 0)), New: uint64(max(o.trials, 0))}
		counted.Cells = make(map[CellName]*Cell, len(o.evidence.Cells))
		for name, cell := range o.evidence.Cells {
			kept := *cell
			counted.Cells[name] = &kept
		}
		all = append(all, counted)
	}
	return all
}

// Began notes that a request was given a place at a target.
func (r *Record) Began(target shelfshelf.Target) { r.count(target, 1) }

// Unsent notes that one did not reach it after all.
func (r *Record) Unsent(target shelfshelf.Target) { r.count(target, -1) }

func (r *Record) count(target shelfshelf.Target, by int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.orders[target.Pool]
	if o == nil || o.word.State.Over() {
		return
	}
	o.all += by
	o.extra += float64(by) * r.Bounds.extraShare(o.as(r.Clock.Now()))
	if target.Version == o.word.Version {
		o.trials += by
	}
}

// Ended takes what a request has shown of its target.
func (r *Record) Ended(target shelfshelf.Target, report shelfshelf.AttemptReport) {
	if report.Route == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.orders[target.Pool]
	if o == nil || o.word.State.Over() {
		return
	}
	name := CellName{Route: report.Route}
	if target.Version == o.word.Version {
		name.Target = target.Name
		if o.word.State == shelfshelf.RolloutMoving {
			// All targets of the version are in use by now: a cell for each on each route
			// would make a report of 20 KB, asked for eight times a second.
			name.Target = groupOf(target.Name)
		}
	}
	o.evidence.note(name, report)
}

// groups is how many groups the targets fall into while all are in use.
const groups = 12

// groupOf returns the group of a target.
func groupOf(name shelfshelf.TargetName) shelfshelf.TargetName {
	return shelfshelf.TargetName(fmt.Sprintf("(group %d)", xxhash.Sum64String(string(name))%groups))
}

// Retire notes the targets that completed orders have left behind, which stop at once.
func (r *Record) Retire(targets []shelfshelf.Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for pool, o := range r.orders {
		if o.ended && o.retired == nil {
			o.retire(pool, targets)
		}
	}
}

func (o *order) retire(pool shelfshelf.PoolName, targets []shelfshelf.Target) {
	retired := make(map[shelfshelf.TargetName]bool)
	for _, target := range targets {
		if target.Pool == pool && target.Version != o.word.Version {
			retired[target.Name] = true
		}
	}
	o.retired = retired
}
