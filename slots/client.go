package slots

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
	// answerTimeout is how long a slot request waits for its answer before other targets are tried;
	// an answer usually takes some milliseconds. The request stays open after that: on a machine
	// with a link of 10 Mbit/s, datagrams queue behind prompts for 40 to 150 ms.
	answerTimeout = 40 * time.Millisecond
	// syncPeriod is how often holders send owners the list of the slots that they hold (a sync).
	syncPeriod = time.Second
	// trailingSyncs is how many syncs an owner still gets after the last contact with it. The slots
	// that it granted may have been released to another owner, and the release message or one of the
	// syncs may be lost.
	trailingSyncs = 2
)

// Client requests slots from the owners of targets, and acts as the owner of the targets of this
// instance. Its fields are set before use. It is safe for concurrent use.
type Client struct {
	Clock shelfshelf.Clock
	Log   *log.Logger
	// Self is this instance as the others see it.
	Self  Holder
	Table *SlotTable
	// Candidates returns the instances of a data centre that may own its targets, including this
	// one if it runs there.
	Candidates func(shelfshelf.DataCentre) []shelfshelf.Member
	// EnginesPerQueue is how many engines of a data centre share one queue on average; with up to 1, each has its own.
	EnginesPerQueue int
	// FallbackCandidates returns the instances that own the rate-limited targets of a data centre in which
	// no instance runs; a nil function means that there are none.
	FallbackCandidates func(shelfshelf.DataCentre) []shelfshelf.Member
	// OnAnnouncement receives what the sender of a slot request knows of the announcements of its target.
	OnAnnouncement func(shelfshelf.TargetAnnouncement)
	// Allowance returns how much longer an answer may take because this instance is late itself; nil means no longer.
	Allowance func() time.Duration
	// Send sends a datagram. The next sync makes up for lost ones.
	Send func(to netip.AddrPort, content []byte)

	engines engineList

	mu     sync.Mutex
	lastID shelfshelf.SlotID
	// slots holds all slots and slot requests that have not been released.
	slots map[shelfshelf.SlotID]*slot
	// pendingAnswers holds the owners with unanswered requests.
	pendingAnswers map[netip.AddrPort]*pendingAnswer
	// recentOwners maps the owners that may believe that this instance holds slots of theirs to the
	// number of syncs that they still get if it holds none.
	recentOwners map[netip.AddrPort]int
}

// slot is a slot that this instance holds or has requested.
type slot struct {
	// target is the target of a slot that is held, and the first one named by a slot request.
	target     shelfshelf.TargetKey
	dataCentre shelfshelf.DataCentre
	owner      netip.AddrPort
	held       bool
	// answer receives the first answer; it is nil once that has arrived or is late.
	answer  chan<- shelfshelf.SlotResponse
	granted chan<- shelfshelf.SlotResponse
}

// Request requests a slot from the owner of the target. An owner that answers within ownerTimeout
// remains the owner, however late that is for the request: with a second one, the target would have
// two slot tables, each granting all of its slots.
func (c *Client) Request(ctx context.Context, req shelfshelf.SlotRequest, granted chan<- shelfshelf.SlotResponse) shelfshelf.SlotResponse {
	owner, found := c.ownerFor(req)
	if !found {
		return shelfshelf.SlotResponse{}
	}
	req.Targets = c.ownedBy(owner, req)
	answers := make(chan shelfshelf.SlotResponse, 1)
	id := c.register(&slot{target: req.Target, dataCentre: req.DataCentre, owner: owner, answer: answers, granted: granted})
	if owner == c.Self.Address {
		c.deliverAnswer(c.Table.Request(c.Self, id, req))
	} else {
		c.send(owner, message{kind: kindRequest, incarnation: c.Self.Incarnation, id: id, request: req})
	}
	select {
	case answer := <-answers:
		if answer.Outcome == shelfshelf.SlotNoOwner {
			c.Release(id, false)
		}
		if answer.Outcome == shelfshelf.SlotUnavailable {
			// The owner does not store the request.
			c.forget(id)
		}
		return answer
	case <-ctx.Done():
	case <-c.Clock.After(c.answerTimeout(req)):
	}
	c.logSkippedOwner(owner)
	return c.detachAnswer(id, answers)
}

// answerTimeout is how long the answer to a request is awaited: longer while this instance is late, but not longer than
// the request may wait for a slot.
func (c *Client) answerTimeout(req shelfshelf.SlotRequest) time.Duration {
	return max(answerTimeout, min(answerTimeout+c.allowance(), req.MaxWait))
}

func (c *Client) allowance() time.Duration {
	if c.Allowance == nil {
		return 0
	}
	return c.Allowance()
}

// detachAnswer keeps a request open whose answer is late. A slot granted from now on is sent to the
// granted channel.
func (c *Client) detachAnswer(id shelfshelf.SlotID, answers <-chan shelfshelf.SlotResponse) shelfshelf.SlotResponse {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case answer := <-answers:
		// The answer arrived at the same moment.
		return answer
	default:
	}
	if s := c.slots[id]; s != nil {
		s.answer = nil
	}
	return shelfshelf.SlotResponse{ID: id, Outcome: shelfshelf.SlotPending}
}

func (c *Client) register(s *slot) shelfshelf.SlotID {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.slots == nil {
		c.slots = make(map[shelfshelf.SlotID]*slot)
	}
	c.lastID++
	c.slots[c.lastID] = s
	if s.owner.IsValid() {
		c.recordOwnerContact(s.owner)
		c.awaitAnswer(s.owner)
	}
	return c.lastID
}

// recordOwnerContact records an owner that must be sent the list of held slots. The caller must
// hold c.mu.
func (c *Client) recordOwnerContact(owner netip.AddrPort) {
	if c.recentOwners == nil {
		c.recentOwners = make(map[netip.AddrPort]int)
	}
	c.recentOwners[owner] = trailingSyncs
}

// RecordLocalGrant records a slot that was taken without a grant by an owner. The next sync reports it to the
// owner.
func (c *Client) RecordLocalGrant(target shelfshelf.TargetKey, dataCentre shelfshelf.DataCentre) shelfshelf.SlotID {
	return c.register(&slot{target: target, dataCentre: dataCentre, held: true})
}

// Release releases a slot. If the target was unreachable, its owner starts a backoff for all
// instances.
func (c *Client) Release(id shelfshelf.SlotID, unreachable bool) {
	owner := c.forget(id)
	switch {
	case !owner.IsValid():
	case !unreachable:
		c.release(owner, id)
	case owner == c.Self.Address:
		c.Table.ReleaseUnreachable(c.Self, id)
	default:
		c.send(owner, message{kind: kindUnreachable, incarnation: c.Self.Incarnation, id: id})
	}
}

// Withdraw withdraws a queued request; served says whether it got a slot at another target.
func (c *Client) Withdraw(id shelfshelf.SlotID, served bool) {
	owner := c.forget(id)
	switch {
	case !owner.IsValid():
	case owner == c.Self.Address:
		c.Table.Withdraw(c.Self, id, served)
	default:
		outcome := shelfshelf.SlotNoOwner
		if served {
			outcome = shelfshelf.SlotGranted
		}
		c.send(owner, message{kind: kindWithdraw, incarnation: c.Self.Incarnation, id: id, outcome: outcome})
	}
}

// forget removes a slot and returns the owner that knows of it, if any.
func (c *Client) forget(id shelfshelf.SlotID) netip.AddrPort {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.slots[id]
	if s == nil {
		return netip.AddrPort{}
	}
	delete(c.slots, id)
	return s.owner
}

func (c *Client) release(owner netip.AddrPort, id shelfshelf.SlotID) {
	if owner == c.Self.Address {
		c.Table.Release(c.Self, id)
		return
	}
	c.send(owner, message{kind: kindRelease, incarnation: c.Self.Incarnation, id: id})
}

// deliverAnswer handles an owner's answer to a request of this instance: the first one goes to the
// caller of Request, and a later grant to the granted channel. It reports whether the request is still
// open.
func (c *Client) deliverAnswer(answer shelfshelf.SlotResponse) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.slots[answer.ID]
	if s == nil {
		return false
	}
	if s.held {
		return true
	}
	s.held = answer.Outcome == shelfshelf.SlotGranted
	if s.held {
		s.target = answer.Target
	}
	switch {
	case s.answer != nil:
		s.answer <- answer
		s.answer = nil
	case s.held:
		return c.deliverGrant(s, answer)
	}
	return true
}

// deliverGrant sends a slot to the granted channel. The caller must hold c.mu, so the send must not
// block: the channel may be full if its receiver is withdrawing its requests at this moment. It
// reports whether the slot was delivered.
func (c *Client) deliverGrant(s *slot, grant shelfshelf.SlotResponse) bool {
	select {
	case s.granted <- grant:
		return true
	default:
		delete(c.slots, grant.ID)
		return false
	}
}

// Receive handles a datagram from another instance.
func (c *Client) Receive(content []byte, from netip.AddrPort) {
	m, err := decode(content)
	if err != nil {
		c.Log.Warn("Failed to decode a slot message.", "from", from, "error", err)
		return
	}
	holder := Holder{Address: from, Incarnation: m.incarnation}
	switch m.kind {
	case kindRequest:
		if m.request.Announcement.Version > 0 {
			c.OnAnnouncement(m.request.Announcement)
		}
		c.reply(holder, c.Table.Request(holder, m.id, m.request))
	case kindRelease:
		c.Table.Release(holder, m.id)
	case kindUnreachable:
		c.Table.ReleaseUnreachable(holder, m.id)
	case kindWithdraw:
		c.Table.Withdraw(holder, m.id, m.outcome == shelfshelf.SlotGranted)
	case kindSync:
		c.Table.Sync(holder, m.held)
	case kindAnswer:
		c.handleAnswer(m, from)
	default:
		c.Log.Warn("Slot message has an unknown kind.", "from", from, "kind", m.kind)
	}
}

// handleAnswer handles the answer of an owner. A slot for which nobody waits any more is released.
func (c *Client) handleAnswer(m message, from netip.AddrPort) {
	if m.incarnation != c.Self.Incarnation {
		return
	}
	c.clearPendingAnswer(from)
	active := c.deliverAnswer(shelfshelf.SlotResponse{
		ID: m.id, Outcome: m.outcome, Target: m.request.Target, InUse: m.requests, RetryAfter: m.backoff,
		ExpectedWait: m.wait, WaitKnown: m.waitKnown,
	})
	if !active && m.outcome != shelfshelf.SlotNoOwner && m.outcome != shelfshelf.SlotUnavailable {
		c.release(from, m.id)
	}
}

// reply sends an owner's answer to a holder.
func (c *Client) reply(to Holder, answer shelfshelf.SlotResponse) {
	c.send(to.Address, message{
		kind: kindAnswer, incarnation: to.Incarnation, id: answer.ID, outcome: answer.Outcome, requests: answer.InUse, backoff: answer.RetryAfter,
		request: shelfshelf.SlotRequest{Target: answer.Target}, wait: answer.ExpectedWait, waitKnown: answer.WaitKnown,
	})
}

// SendGrant tells a holder that its queued request was granted; it is meant for SlotTable.SendGrant.
func (c *Client) SendGrant(holder Holder, id shelfshelf.SlotID, target shelfshelf.TargetKey, requests int) {
	answer := shelfshelf.SlotResponse{ID: id, Target: target, Outcome: shelfshelf.SlotGranted, InUse: requests}
	if holder != c.Self {
		c.reply(holder, answer)
		return
	}
	if !c.deliverAnswer(answer) {
		c.Table.Release(holder, id)
	}
}

func (c *Client) send(to netip.AddrPort, m message) {
	content, err := encode(m)
	if err != nil {
		c.Log.Error("Failed to encode a slot message.", "error", err)
		return
	}
	c.Send(to, content)
}

// Run sends the syncs, frees the slots of silent holders and grants slots when gates open, until
// the context ends.
func (c *Client) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	var group run.Group
	group.Add(func() error { return c.runSyncLoop(ctx) }, func(error) { cancel() })
	group.Add(func() error { return c.runGateLoop(ctx) }, func(error) { cancel() })
	return group.Run()
}

// runGateLoop grants slots to queued requests whenever the gate of their target opens.
func (c *Client) runGateLoop(ctx context.Context) error {
	for {
		at, earlier := c.Table.NextGateOpening()
		var opens <-chan time.Time
		if !at.IsZero() {
			opens = c.Clock.After(at.Sub(c.Clock.Now()))
		}
		select {
		case <-ctx.Done():
			return nil
		case <-earlier:
		case <-opens:
			c.Table.GrantOpened()
		}
	}
}

func (c *Client) runSyncLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.Clock.After(syncPeriod):
		}
		for owner, held := range c.heldByOwner() {
			if owner == c.Self.Address {
				c.Table.Sync(c.Self, held)
				continue
			}
			c.send(owner, message{kind: kindSync, incarnation: c.Self.Incarnation, held: held})
		}
		c.Table.Sweep(c.Self)
	}
}

// heldByOwner returns the held slots by their current owner. Owners that this instance was recently
// in contact with are included with an empty list if it holds none of their slots.
func (c *Client) heldByOwner() map[netip.AddrPort]map[shelfshelf.SlotID]shelfshelf.TargetKey {
	c.mu.Lock()
	defer c.mu.Unlock()
	lists := make(map[netip.AddrPort]map[shelfshelf.SlotID]shelfshelf.TargetKey)
	for id, s := range c.slots {
		if !s.held {
			continue
		}
		owner, found := c.respondingOwnerLocked(s.target, s.dataCentre)
		if !found {
			continue
		}
		s.owner = owner
		if lists[owner] == nil {
			lists[owner] = make(map[shelfshelf.SlotID]shelfshelf.TargetKey)
		}
		lists[owner][id] = s.target
		c.recordOwnerContact(owner)
	}
	for owner, remaining := range c.recentOwners {
		if lists[owner] != nil {
			continue
		}
		lists[owner] = nil
		c.recentOwners[owner] = remaining - 1
		if remaining <= 1 {
			delete(c.recentOwners, owner)
		}
	}
	return lists
}
