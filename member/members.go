package member

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/shelfshelf/shelfshelf"
)

const (
	// BeatPeriod is how often an instance sends each other a heartbeat.
	BeatPeriod = 500 * time.Millisecond
	// SuspectAfter is how long an instance may be silent and still own pools.
	SuspectAfter = 2 * time.Second
	// ForgetAfter is how long a silent instance is still tried.
	ForgetAfter = time.Minute
	beatTimeout = 400 * time.Millisecond
	listPeriod  = 2 * time.Second
	listTimeout = time.Second
	// leavingKept is how long a target counts as leaving after it was last said.
	leavingKept = 30 * time.Second
	jitterShare = 0.2
	// sampleSize is how many other instances a heartbeat names.
	sampleSize = 2
)

// Members keeps the live instances. It is safe for concurrent use.
type Members struct {
	Clock shelfshelf.Clock
	Log   *log.Logger
	Self  shelfshelf.Instance
	// Incarnation must be greater than that of any earlier start.
	Incarnation uint64
	// Static are instances known from settings; may be empty.
	Static []shelfshelf.Instance
	List   shelfshelf.InstanceList
	Peers  shelfshelf.Peers
	// Head returns the bundle in force here, for heartbeats.
	Head func() shelfshelf.Head
	// StoreAt returns when this instance last read the store's head; zero if never.
	StoreAt func() time.Time
	// Crashes returns the ends of targets to be told, and CrashesHeard takes those that
	// others tell; both may be nil.
	Crashes      func() []shelfshelf.Crash
	CrashesHeard func([]shelfshelf.Crash)
	// HeadHeard is called with each head heard and who told it.
	HeadHeard func(from shelfshelf.Instance, head shelfshelf.Head)
	// Changed is called, outside locks, after the live instances or the leaving
	// targets have changed.
	Changed func()

	mu      sync.Mutex
	others  map[shelfshelf.InstanceID]*other
	leaving map[shelfshelf.TargetName]leavingMark
	// relayedAt is when the store's head was last read by others, as they tell.
	relayedAt time.Time
	view      []shelfshelf.Instance
}

// leavingMark is how long a target counts as leaving. Only what an instance
// knows first hand goes into its heartbeats, or two instances would remind each
// other of a target for ever.
type leavingMark struct {
	until     time.Time
	firstHand bool
}

// other is what is known of another instance.
type other struct {
	instance    shelfshelf.Instance
	incarnation uint64
	// heard is when it last answered or sent a heartbeat; zero if never.
	heard time.Time
	// answered is when we sent the latest heartbeat that it has answered. Unlike
	// heard it can't be late: a message may be held up on its way, or in a process
	// that stands still, for any time.
	answered time.Time
	// told is when anyone last named it.
	told time.Time
}

// init makes the maps; the lock is held.
func (m *Members) init() {
	if m.others == nil {
		m.others = make(map[shelfshelf.InstanceID]*other)
		m.leaving = make(map[shelfshelf.TargetName]leavingMark)
		for _, instance := range m.Static {
			m.learn(instance)
		}
		m.view = m.live()
	}
}

// Live returns the live instances that own pools, this one included unless it
// is leaving, by name.
func (m *Members) Live() []shelfshelf.Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.init()
	return m.live()
}

func (m *Members) live() []shelfshelf.Instance {
	now := m.Clock.Now()
	var live []shelfshelf.Instance
	if m.Self.State != shelfshelf.InstanceLeaving {
		live = append(live, m.Self)
	}
	for _, o := range m.others {
		if o.heard.IsZero() || now.Sub(o.heard) > SuspectAfter || o.instance.State == shelfshelf.InstanceLeaving {
			continue
		}
		live = append(live, o.instance)
	}
	slices.SortFunc(live, func(a, b shelfshelf.Instance) int { return cmp.Compare(a.ID, b.ID) })
	return live
}

// StoreSeenAt returns when the store's head was last read, by this instance or
// by one that it has heard from, however far; zero if never.
func (m *Members) StoreSeenAt() time.Time {
	own := m.StoreAt()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.relayedAt.After(own) {
		return m.relayedAt
	}
	return own
}

// HearsMost reports whether this instance has lately heard more than half of
// the instances that it knows, itself included. While the store is down, such
// a part goes on: no other part can say the same.
func (m *Members) HearsMost(within time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.init()
	now := m.Clock.Now()
	heard, known := 1, 1
	for _, o := range m.others {
		known++
		if !o.answered.IsZero() && now.Sub(o.answered) < within {
			heard++
		}
	}
	return 2*heard > known
}

// LeavingTargets returns the targets known to be leaving, by name.
func (m *Members) LeavingTargets() []shelfshelf.TargetName {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leavingNow(false)
}

func (m *Members) leavingNow(firstHand bool) []shelfshelf.TargetName {
	now := m.Clock.Now()
	var targets []shelfshelf.TargetName
	for target, mark := range m.leaving {
		if now.Before(mark.until) && (mark.firstHand || !firstHand) {
			targets = append(targets, target)
		}
	}
	slices.Sort(targets)
	return targets
}

// MarkLeaving notes that a target is leaving, as its report or the list says.
func (m *Members) MarkLeaving(targets ...shelfshelf.TargetName) {
	m.mu.Lock()
	m.init()
	changed := m.markLeaving(targets, true)
	m.mu.Unlock()
	if changed {
		m.Changed()
	}
}

func (m *Members) markLeaving(targets []shelfshelf.TargetName, firstHand bool) (changed bool) {
	now := m.Clock.Now()
	for _, target := range targets {
		mark := m.leaving[target]
		known := now.Before(mark.until)
		if known && mark.firstHand && !firstHand {
			continue
		}
		m.leaving[target] = leavingMark{until: now.Add(leavingKept), firstHand: firstHand}
		changed = changed || !known
	}
	return changed
}

// Leave marks this instance as leaving and tells the others at the next beat.
func (m *Members) Leave() {
	m.mu.Lock()
	m.Self.State = shelfshelf.InstanceLeaving
	m.mu.Unlock()
	m.Changed()
}

// Beat returns this instance's heartbeat.
func (m *Members) Beat() shelfshelf.Heartbeat {
	storeAt := m.StoreSeenAt()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.init()
	beat := shelfshelf.Heartbeat{From: m.Self, Incarnation: m.Incarnation, Head: m.Head()}
	if !storeAt.IsZero() {
		beat.StoreSeen = true
		beat.StoreAge = m.Clock.Now().Sub(storeAt)
	}
	beat.Leaving = m.leavingNow(true)
	beat.Known = m.sample()
	if m.Crashes != nil {
		beat.Crashes = m.Crashes()
	}
	return beat
}

// sample returns a few of the live instances, others at each call: in a second
// or two they have all been named, and a heartbeat stays small.
func (m *Members) sample() []shelfshelf.Instance {
	live := m.live()
	live = slices.DeleteFunc(live, func(i shelfshelf.Instance) bool { return i.ID == m.Self.ID })
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	return live[:min(len(live), sampleSize)]
}

// Heard takes another instance's heartbeat, sent or answered. A beat of an
// earlier incarnation is ignored.
func (m *Members) Heard(beat shelfshelf.Heartbeat) {
	if beat.From.ID == m.Self.ID {
		return
	}
	m.mu.Lock()
	m.init()
	m.learn(beat.From)
	o := m.others[beat.From.ID]
	if beat.Incarnation < o.incarnation {
		m.mu.Unlock()
		return
	}
	o.instance = beat.From
	o.incarnation = beat.Incarnation
	o.heard = m.Clock.Now()
	o.told = o.heard
	for _, instance := range beat.Known {
		m.learn(instance)
	}
	changed := m.markLeaving(beat.Leaving, false)
	changed = m.refresh() || changed
	m.mu.Unlock()
	m.HeadHeard(beat.From, beat.Head)
	if m.CrashesHeard != nil {
		m.CrashesHeard(beat.Crashes)
	}
	if changed {
		m.Changed()
	}
}

// learn notes that an instance exists; whether it lives, heartbeats tell.
func (m *Members) learn(instance shelfshelf.Instance) {
	if instance.ID == m.Self.ID || instance.ID == "" {
		return
	}
	o := m.others[instance.ID]
	if o == nil {
		o = &other{instance: instance}
		m.others[instance.ID] = o
	}
	if o.heard.IsZero() || m.Clock.Now().Sub(o.heard) > SuspectAfter {
		// A silent instance may have been replaced under its name.
		o.instance = instance
	}
	o.told = m.Clock.Now()
}

// refresh reports whether the live instances have changed since the last call.
func (m *Members) refresh() bool {
	live := m.live()
	if slices.Equal(live, m.view) {
		return false
	}
	m.view = live
	return true
}

// Run sends heartbeats and reads the list until the context ends.
func (m *Members) Run(ctx context.Context) error {
	go m.loopList(ctx)
	for {
		m.beatAll(ctx)
		m.expire()
		select {
		case <-ctx.Done():
			return nil
		case <-m.Clock.After(jitter(BeatPeriod)):
		}
	}
}

func (m *Members) expire() {
	now := m.Clock.Now()
	m.mu.Lock()
	for id, o := range m.others {
		if now.Sub(o.told) > ForgetAfter && now.Sub(o.heard) > ForgetAfter {
			delete(m.others, id)
		}
	}
	changed := m.refresh()
	m.mu.Unlock()
	if changed {
		m.Changed()
	}
}

func (m *Members) beatAll(ctx context.Context) {
	beat := m.Beat()
	m.mu.Lock()
	instances := make([]shelfshelf.Instance, 0, len(m.others))
	for _, o := range m.others {
		instances = append(instances, o.instance)
	}
	m.mu.Unlock()
	for _, instance := range instances {
		go m.runBeat(ctx, instance, beat)
	}
}

// runBeat exchanges heartbeats with one instance.
func (m *Members) runBeat(ctx context.Context, to shelfshelf.Instance, beat shelfshelf.Heartbeat) {
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	sent := m.Clock.Now()
	answer, err := m.Peers.Heartbeat(ctx, to, beat)
	if err != nil {
		m.Log.Debug("An instance did not answer.", "instance", to.ID, "error", err)
		return
	}
	if answer.From.ID == to.ID {
		m.Heard(answer)
		m.answered(answer, sent)
	}
}

// answered notes what an answer to a heartbeat of ours proves: that the other
// side, and what it tells of the store, are no older than our question. What it
// tells of the store counts only if its bundle is in force here too.
func (m *Members) answered(answer shelfshelf.Heartbeat, sent time.Time) {
	upToDate := m.Head().Revision >= answer.Head.Revision
	m.mu.Lock()
	defer m.mu.Unlock()
	if o := m.others[answer.From.ID]; o != nil && sent.After(o.answered) {
		o.answered = sent
	}
	if at := sent.Add(-answer.StoreAge); answer.StoreSeen && upToDate && at.After(m.relayedAt) {
		m.relayedAt = at
	}
}

func (m *Members) loopList(ctx context.Context) {
	for {
		m.readList(ctx)
		select {
		case <-ctx.Done():
			return
		case <-m.Clock.After(jitter(listPeriod)):
		}
	}
}

func (m *Members) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	instances, err := m.List.Instances(ctx)
	if err != nil {
		m.Log.Debug("The instance list can't be read.", "error", err)
		return
	}
	m.mu.Lock()
	m.init()
	for _, instance := range instances {
		m.learn(instance)
	}
	m.mu.Unlock()
	targets, err := m.List.LeavingTargets(ctx)
	if err != nil {
		return
	}
	m.MarkLeaving(targets...)
}

// jitter spreads a period so that instances don't fall into step.
func jitter(period time.Duration) time.Duration {
	return time.Duration(float64(period) * (1 + jitterShare*(2*rand.Float64()-1)))
}
