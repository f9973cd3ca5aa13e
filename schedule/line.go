package schedule

import (
	"container/list"
	"time"

	"github.com/tidwall/btree"

	"github.com/shelfshelf/shelfshelf"
)

// waiting is one request in line.
type waiting struct {
	ask      shelfshelf.Ask
	sequence uint64
	// due is when the answer is of no more use: the first token's time if the
	// route sets one, else the deadline.
	due time.Time
	// cost is the estimated work, in seconds of an engine at declared speed.
	cost float64
	// parkedSince is when the request first waited for a warm engine.
	parkedSince time.Time
	// retryAt is when a parked request is tried again, or sooner if a lower one
	// would pass it and an engine has changed since triedAt.
	retryAt  time.Time
	triedAt  uint64
	age      *list.Element
	customer *customerLine
}

// customerLine is one customer's requests of one tier, the earliest due first.
type customerLine struct {
	name shelfshelf.CustomerName
	// served counts the customer's work so far, by weight: the virtual counter.
	served float64
	queue  *btree.BTreeG[*waiting]
}

// tierLine is one tier's requests.
type tierLine struct {
	// customers known to the tier; only those with requests stand in active.
	customers map[shelfshelf.CustomerName]*customerLine
	// active orders customers with requests by what they were served.
	active *btree.BTreeG[*customerLine]
	// byAge holds *waiting, the longest waiting first.
	byAge *list.List
	cost  float64
}

// line holds every waiting request of a shard. All changes are O(log n).
type line struct {
	tiers    []*tierLine
	byID     map[shelfshelf.RequestID]*waiting
	byDue    *btree.BTreeG[*waiting]
	sequence uint64
}

func newLine(tiers int) *line {
	l := &line{
		byID:  make(map[shelfshelf.RequestID]*waiting),
		byDue: newTree(dueBefore),
	}
	for range max(tiers, 1) {
		l.tiers = append(l.tiers, &tierLine{
			customers: make(map[shelfshelf.CustomerName]*customerLine),
			active:    newTree(servedLess),
			byAge:     list.New(),
		})
	}
	return l
}

func newTree[T any](less func(a, b T) bool) *btree.BTreeG[T] {
	return btree.NewBTreeGOptions(less, btree.Options{NoLocks: true})
}

func dueBefore(a, b *waiting) bool {
	if !a.due.Equal(b.due) {
		return a.due.Before(b.due)
	}
	return a.sequence < b.sequence
}

func servedLess(a, b *customerLine) bool {
	if a.served != b.served {
		return a.served < b.served
	}
	return a.name < b.name
}

// tier returns the line of a tier; a tier that the bundle doesn't know counts
// as the lowest.
func (l *line) tier(tier shelfshelf.Tier) *tierLine {
	index := min(max(int(tier), 0), len(l.tiers)-1)
	return l.tiers[index]
}

func (l *line) add(ask shelfshelf.Ask, cost float64) *waiting {
	if _, twice := l.byID[ask.ID]; twice {
		return nil
	}
	l.sequence++
	tier := l.tier(ask.Tier)
	customer := tier.customers[ask.Customer]
	if customer == nil {
		customer = &customerLine{name: ask.Customer, queue: newTree(dueBefore)}
		tier.customers[ask.Customer] = customer
	}
	item := &waiting{ask: ask, sequence: l.sequence, due: dueTime(ask), cost: cost, customer: customer}
	if customer.queue.Len() == 0 {
		// A customer that comes back starts level with those in line: what it did
		// not use while away is not saved up.
		if least, ok := tier.active.Min(); ok {
			customer.served = max(customer.served, least.served)
		}
		tier.active.Set(customer)
	}
	customer.queue.Set(item)
	item.age = tier.byAge.PushBack(item)
	tier.cost += cost
	l.byID[ask.ID] = item
	l.byDue.Set(item)
	return item
}

func (l *line) remove(item *waiting) {
	tier := l.tier(item.ask.Tier)
	tier.byAge.Remove(item.age)
	tier.cost -= item.cost
	item.customer.queue.Delete(item)
	if item.customer.queue.Len() == 0 {
		tier.active.Delete(item.customer)
	}
	if tier.byAge.Len() == 0 {
		tier.cost = 0
	}
	l.byDue.Delete(item)
	delete(l.byID, item.ask.ID)
}

// serve takes a granted request out and charges its customer for the work.
func (l *line) serve(item *waiting, work float64) {
	l.remove(item)
	tier := l.tier(item.ask.Tier)
	weight := item.ask.Weight
	if weight <= 0 {
		weight = 1
	}
	stillActive := item.customer.queue.Len() > 0
	if stillActive {
		tier.active.Delete(item.customer)
	}
	item.customer.served += work / weight
	if stillActive {
		tier.active.Set(item.customer)
	}
}

// costAhead returns the work in line of the tier and those above it.
func (l *line) costAhead(tier shelfshelf.Tier) float64 {
	ahead := 0.0
	for index := 0; index <= int(tier) && index < len(l.tiers); index++ {
		ahead += l.tiers[index].cost
	}
	return ahead
}

// lowest returns the request to shed first: the newest of the lowest tier.
func (l *line) lowest() *waiting {
	for index := len(l.tiers) - 1; index >= 0; index-- {
		if back := l.tiers[index].byAge.Back(); back != nil {
			return back.Value.(*waiting)
		}
	}
	return nil
}

func (l *line) len() int {
	return len(l.byID)
}

func dueTime(ask shelfshelf.Ask) time.Time {
	if !ask.FirstTokenBy.IsZero() && ask.FirstTokenBy.Before(ask.Deadline) {
		return ask.FirstTokenBy
	}
	return ask.Deadline
}
