package places

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/oklog/run"

	"github.com/shelfshelf/shelfshelf"
)

const (
	// answerTime is how long an ask waits for its answer before other engines are tried:
	// its way takes some milliseconds. The ask stands: on a machine with 10 Mbit/s,
	// datagrams queue behind prompts for 40 to 150 ms.
	answerTime = 40 * time.Millisecond
	// syncPeriod is how often holders repeat what they hold.
	syncPeriod = time.Second
	// lastSyncs is how many syncs an owner gets after the last contact with it: the places
	// that it has given out may have been given back to another owner, or the message that
	// did may be lost, as may one of the syncs.
	lastSyncs = 2
)

// Client asks the owners of engines for places, and serves as the owner of its own.
// Fields are set before use. It is safe for concurrent use.
type Client struct {
	Clock shelfshelf.Clock
	Log   *log.Logger
	// Self is this instance as the others see it.
	Self Holder
	Book *Book
	// Candidates returns the instances of a data centre that may own engines, this one
	// included if it is there.
	Candidates func(shelfshelf.DataCentre) []shelfshelf.Member
	// Substitutes returns the instances that own the targets with limits of a data centre where
	// no instance runs; nil means that there are none.
	Substitutes func(shelfshelf.DataCentre) []shelfshelf.Member
	// Heard takes what the sender of an ask knows that its target has said.
	Heard func(shelfshelf.TargetWord)
	// Send sends a datagram; what is lost is mended by the next sync.
	Send func(to netip.AddrPort, content []byte)

	mu   sync.Mutex
	last shelfshelf.PlaceID
	// open holds all asks and places that have not been given back.
	open map[shelfshelf.PlaceID]*place
	// silences are the owners with asks that they have not answered.
	silences map[netip.AddrPort]*silence
	// contacts are the owners that may take this instance to hold something, each with how
	// many of the next syncs go to it though it owns nothing that this instance holds.
	contacts map[netip.AddrPort]int
}

// place is one that this instance holds or asks for.
type place struct {
	target shelfshelf.TargetKey
	centre shelfshelf.DataCentre
	owner  netip.AddrPort
	held   bool
	// answer takes the first answer, and is nil once it has come or is late.
	answer  chan<- shelfshelf.PlaceAnswer
	granted chan<- shelfshelf.PlaceID
}

// Ask asks the engine's owner. One that is slow to answer stays the owner: with a second
// one, an engine would have two books, each with its own places to give out.
func (c *Client) Ask(ctx context.Context, ask shelfshelf.PlaceAsk, granted chan<- shelfshelf.PlaceID) shelfshelf.PlaceAnswer {
	owner, found := c.ownerFor(ask)
	if !found {
		return shelfshelf.PlaceAnswer{}
	}
	answers := make(chan shelfshelf.PlaceAnswer, 1)
	id := c.add(&place{target: ask.Target, centre: ask.DataCentre, owner: owner, answer: answers, granted: granted})
	if owner == c.Self.Address {
		c.settle(c.Book.Ask(c.Self, id, ask))
	} else {
		c.send(owner, message{kind: kindAsk, incarnation: c.Self.Incarnation, id: id, ask: ask})
	}
	select {
	case answer := <-answers:
		if answer.Outcome == shelfshelf.PlaceUnknown {
			c.Give(id, false)
		}
		if answer.Outcome == shelfshelf.PlaceRests {
			// The owner keeps nothing of it.
			c.close(id)
		}
		return answer
	case <-ctx.Done():
	case <-c.Clock.After(answerTime):
	}
	c.reportSilence(owner)
	return c.unanswered(id, answers)
}

// unanswered lets an ask stand whose answer is late: a place that comes from now on is
// told to who waits for it.
func (c *Client) unanswered(id shelfshelf.PlaceID, answers <-chan shelfshelf.PlaceAnswer) shelfshelf.PlaceAnswer {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case answer := <-answers:
		// It came in the same moment.
		return answer
	default:
	}
	if p := c.open[id]; p != nil {
		p.answer = nil
	}
	return shelfshelf.PlaceAnswer{ID: id, Outcome: shelfshelf.PlaceUnanswered}
}

func (c *Client) add(p *place) shelfshelf.PlaceID {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == nil {
		c.open = make(map[shelfshelf.PlaceID]*place)
	}
	c.last++
	c.open[c.last] = p
	if p.owner.IsValid() {
		c.contact(p.owner)
		c.expect(p.owner)
	}
	return c.last
}

// contact notes an owner that is to be told what this instance holds; the lock is held.
func (c *Client) contact(owner netip.AddrPort) {
	if c.contacts == nil {
		c.contacts = make(map[netip.AddrPort]int)
	}
	c.contacts[owner] = lastSyncs
}

// Took notes a place that was taken without an owner's word; the next sync tells it.
func (c *Client) Took(target shelfshelf.TargetKey, centre shelfshelf.DataCentre) shelfshelf.PlaceID {
	return c.add(&place{target: target, centre: centre, held: true})
}

// Give gives a place back; an engine that could not be reached rests.
func (c *Client) Give(id shelfshelf.PlaceID, unreachable bool) {
	owner := c.close(id)
	switch {
	case !owner.IsValid():
	case !unreachable:
		c.giveBack(owner, id)
	case owner == c.Self.Address:
		c.Book.Unreachable(c.Self, id)
	default:
		c.send(owner, message{kind: kindUnreachable, incarnation: c.Self.Incarnation, id: id})
	}
}

// Leave takes an ask out of its line; served says that its request has a place elsewhere.
func (c *Client) Leave(id shelfshelf.PlaceID, served bool) {
	owner := c.close(id)
	switch {
	case !owner.IsValid():
	case owner == c.Self.Address:
		c.Book.Leave(c.Self, id, served)
	default:
		outcome := shelfshelf.PlaceUnknown
		if served {
			outcome = shelfshelf.PlaceGranted
		}
		c.send(owner, message{kind: kindLeave, incarnation: c.Self.Incarnation, id: id, outcome: outcome})
	}
}

// close forgets a place and returns the owner that knows of it, if any.
func (c *Client) close(id shelfshelf.PlaceID) netip.AddrPort {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.open[id]
	if p == nil {
		return netip.AddrPort{}
	}
	delete(c.open, id)
	return p.owner
}

func (c *Client) giveBack(owner netip.AddrPort, id shelfshelf.PlaceID) {
	if owner == c.Self.Address {
		c.Book.Release(c.Self, id)
		return
	}
	c.send(owner, message{kind: kindGive, incarnation: c.Self.Incarnation, id: id})
}

// settle takes an owner's answer to an ask of this instance: the first one goes to
// who asked, and a later grant to who waits. It reports whether the ask is still open.
func (c *Client) settle(answer shelfshelf.PlaceAnswer) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.open[answer.ID]
	if p == nil {
		return false
	}
	if p.held {
		return true
	}
	p.held = answer.Outcome == shelfshelf.PlaceGranted
	switch {
	case p.answer != nil:
		p.answer <- answer
		p.answer = nil
	case p.held:
		return c.hand(p, answer.ID)
	}
	return true
}

// hand tells who waits of a place. One that gives its asks up in this moment may have
// no room for it; the lock is held, so that nothing may wait here.
func (c *Client) hand(p *place, id shelfshelf.PlaceID) bool {
	select {
	case p.granted <- id:
		return true
	default:
		delete(c.open, id)
		return false
	}
}

// Receive takes a datagram of another instance.
func (c *Client) Receive(content []byte, from netip.AddrPort) {
	m, err := decode(content)
	if err != nil {
		c.Log.Warn("A message can't be read.", "from", from, "error", err)
		return
	}
	holder := Holder{Address: from, Incarnation: m.incarnation}
	switch m.kind {
	case kindAsk:
		if m.ask.Said.Version > 0 {
			c.Heard(m.ask.Said)
		}
		c.reply(holder, c.Book.Ask(holder, m.id, m.ask))
	case kindGive:
		c.Book.Release(holder, m.id)
	case kindUnreachable:
		c.Book.Unreachable(holder, m.id)
	case kindLeave:
		c.Book.Leave(holder, m.id, m.outcome == shelfshelf.PlaceGranted)
	case kindSync:
		c.Book.Sync(holder, m.held)
	case kindAnswer:
		c.answered(m, from)
	default:
		c.Log.Warn("A message has an unknown kind.", "from", from, "kind", m.kind)
	}
}

// answered takes an answer; a place that nobody waits for any more is given back.
func (c *Client) answered(m message, from netip.AddrPort) {
	if m.incarnation != c.Self.Incarnation {
		return
	}
	c.heardAnswer(from)
	open := c.settle(shelfshelf.PlaceAnswer{ID: m.id, Outcome: m.outcome, Requests: m.requests, Rest: m.rest})
	if !open && m.outcome != shelfshelf.PlaceUnknown && m.outcome != shelfshelf.PlaceRests {
		c.giveBack(from, m.id)
	}
}

// reply sends an owner's answer to a holder.
func (c *Client) reply(to Holder, answer shelfshelf.PlaceAnswer) {
	c.send(to.Address, message{
		kind: kindAnswer, incarnation: to.Incarnation, id: answer.ID, outcome: answer.Outcome, requests: answer.Requests, rest: answer.Rest,
	})
}

// Grant tells a holder that its ask has left the line; it is the Book's.
func (c *Client) Grant(holder Holder, id shelfshelf.PlaceID, requests int) {
	answer := shelfshelf.PlaceAnswer{ID: id, Outcome: shelfshelf.PlaceGranted, Requests: requests}
	if holder != c.Self {
		c.reply(holder, answer)
		return
	}
	if !c.settle(answer) {
		c.Book.Release(holder, id)
	}
}

func (c *Client) send(to netip.AddrPort, m message) {
	content, err := encode(m)
	if err != nil {
		c.Log.Error("A message can't be encoded.", "error", err)
		return
	}
	c.Send(to, content)
}

// Run repeats what this instance holds, and frees what silent holders had, until the
// context ends.
func (c *Client) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	var group run.Group
	group.Add(func() error { return c.loopSync(ctx) }, func(error) { cancel() })
	group.Add(func() error { return c.loopOpen(ctx) }, func(error) { cancel() })
	return group.Run()
}

// loopOpen gives out the places of engines whose gates open while asks wait before them.
func (c *Client) loopOpen(ctx context.Context) error {
	for {
		at, sooner := c.Book.Opening()
		var open <-chan time.Time
		if !at.IsZero() {
			open = c.Clock.After(at.Sub(c.Clock.Now()))
		}
		select {
		case <-ctx.Done():
			return nil
		case <-sooner:
		case <-open:
			c.Book.Open()
		}
	}
}

func (c *Client) loopSync(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.Clock.After(syncPeriod):
		}
		for owner, held := range c.holdings() {
			if owner == c.Self.Address {
				c.Book.Sync(c.Self, held)
				continue
			}
			c.send(owner, message{kind: kindSync, incarnation: c.Self.Incarnation, held: held})
		}
		c.Book.Sweep(c.Self)
	}
}

// holdings returns what is held of each owner's engines, by today's owners; those that
// this instance was in contact with lately are told so if they own none of it.
func (c *Client) holdings() map[netip.AddrPort]map[shelfshelf.PlaceID]shelfshelf.TargetKey {
	c.mu.Lock()
	defer c.mu.Unlock()
	lists := make(map[netip.AddrPort]map[shelfshelf.PlaceID]shelfshelf.TargetKey)
	for id, p := range c.open {
		if !p.held {
			continue
		}
		owner, found := c.ownerLocked(p.target, p.centre)
		if !found {
			continue
		}
		p.owner = owner
		if lists[owner] == nil {
			lists[owner] = make(map[shelfshelf.PlaceID]shelfshelf.TargetKey)
		}
		lists[owner][id] = p.target
		c.contact(owner)
	}
	for owner, left := range c.contacts {
		if lists[owner] != nil {
			continue
		}
		lists[owner] = nil
		c.contacts[owner] = left - 1
		if left <= 1 {
			delete(c.contacts, owner)
		}
	}
	return lists
}
