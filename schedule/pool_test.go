package schedule_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/schedule"
)

var tiers = []shelfshelf.TierSpec{
	{Name: "high", Weight: 4},
	{Name: "middle", Weight: 2, MaxWait: 10 * time.Second},
	{Name: "low", Weight: 1, MaxWait: 20 * time.Second},
}

func engineNamed(name string, slots int) shelfshelf.Target {
	return shelfshelf.Target{
		Name:        shelfshelf.TargetName(name),
		Kind:        shelfshelf.KindEngine,
		Slots:       slots,
		PrefillRate: 5000,
		StepTime:    10 * time.Millisecond,
		CacheTokens: 20000,
	}
}

// fate is where a request is; each is in one place at any time.
type fate uint8

const (
	inLine fate = iota
	inFlight
	gone
)

// machine drives a pool with any sequence of calls.
type machine struct {
	pool     *schedule.Pool
	now      time.Time
	serial   int
	fates    map[shelfshelf.RequestID]fate
	asks     map[shelfshelf.RequestID]shelfshelf.Ask
	on       map[shelfshelf.RequestID]shelfshelf.TargetName
	occupied map[shelfshelf.TargetName]int
	targets  map[shelfshelf.TargetName]shelfshelf.Target
}

func newMachine() *machine {
	tuning := schedule.DefaultTuning()
	tuning.MaxWaiting = 12
	m := &machine{
		pool:     schedule.NewPool(schedule.Config{Tiers: tiers, Tuning: tuning}),
		now:      time.Unix(1000, 0),
		fates:    make(map[shelfshelf.RequestID]fate),
		asks:     make(map[shelfshelf.RequestID]shelfshelf.Ask),
		on:       make(map[shelfshelf.RequestID]shelfshelf.TargetName),
		occupied: make(map[shelfshelf.TargetName]int),
		targets:  make(map[shelfshelf.TargetName]shelfshelf.Target),
	}
	m.setTargets(3, 0)
	return m
}

func (m *machine) setTargets(count, leaving int) {
	var targets []shelfshelf.Target
	m.targets = make(map[shelfshelf.TargetName]shelfshelf.Target)
	for i := range count {
		target := engineNamed(fmt.Sprintf("e%d", i), 2+i)
		target.Leaving = i < leaving
		targets = append(targets, target)
		m.targets[target.Name] = target
	}
	m.pool.SetTargets(m.now, targets)
}

func (m *machine) in(where fate) []shelfshelf.RequestID {
	var found []shelfshelf.RequestID
	for i := 1; i <= m.serial; i++ {
		id := shelfshelf.RequestID(fmt.Sprintf("r%d", i))
		if m.fates[id] == where {
			found = append(found, id)
		}
	}
	return found
}

func (m *machine) ask(t *rapid.T) {
	m.serial++
	id := shelfshelf.RequestID(fmt.Sprintf("r%d", m.serial))
	ask := shelfshelf.Ask{
		ID:           id,
		Customer:     shelfshelf.CustomerName(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "customer")),
		Tier:         shelfshelf.Tier(rapid.IntRange(0, 2).Draw(t, "tier")),
		PromptTokens: rapid.IntRange(1, 8000).Draw(t, "prompt"),
		OutputTokens: rapid.IntRange(1, 200).Draw(t, "output"),
		Arrived:      m.now,
		Deadline:     m.now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "deadline")) * time.Second),
	}
	mark := shelfshelf.BlockHash(rapid.IntRange(1, 4).Draw(t, "document"))
	ask.Prefix = []shelfshelf.PromptPrefix{{Tokens: min(ask.PromptTokens, 2048), Hash: mark}}
	if rapid.Bool().Draw(t, "avoids") {
		ask.Avoid = []shelfshelf.TargetName{"e0"}
	}
	m.asks[id] = ask
	m.fates[id] = inLine
	m.pool.Ask(m.now, ask)
	m.decide(t)
}

// decide checks every decision as it comes.
func (m *machine) decide(t *rapid.T) {
	decisions := m.pool.Decide(m.now)
	for _, decision := range decisions {
		if m.fates[decision.ID] != inLine {
			t.Fatalf("%s was decided twice, or was never asked", decision.ID)
		}
		ask := m.asks[decision.ID]
		if !decision.Granted {
			m.fates[decision.ID] = gone
			continue
		}
		m.fates[decision.ID] = inFlight
		target, known := m.targets[decision.Target]
		if !known || target.Leaving {
			t.Fatalf("%s was granted %s, which gets no new work", decision.ID, decision.Target)
		}
		for _, avoided := range ask.Avoid {
			if avoided == decision.Target {
				t.Fatalf("%s was granted %s, which refused it", decision.ID, decision.Target)
			}
		}
		m.on[decision.ID] = decision.Target
		m.occupied[decision.Target]++
		if m.occupied[decision.Target] > target.Slots {
			t.Fatalf("%s has %d requests for %d slots", decision.Target, m.occupied[decision.Target], target.Slots)
		}
	}
	m.checkSheds(t, decisions)
	waiting := 0
	for _, count := range m.pool.Waiting() {
		waiting += count
	}
	if left := len(m.in(inLine)); left != waiting {
		t.Fatalf("%d requests are neither decided nor cancelled, the line has %d", left, waiting)
	}
}

// checkSheds makes sure that what was shed was of the lowest tier in line.
func (m *machine) checkSheds(t *rapid.T, decisions []shelfshelf.Decision) {
	for _, decision := range decisions {
		if decision.Granted || decision.Reason != shelfshelf.RefusedShed {
			continue
		}
		for _, other := range m.in(inLine) {
			if m.asks[other].Tier > m.asks[decision.ID].Tier {
				t.Fatalf("%s of tier %d was shed while %s of tier %d waits",
					decision.ID, m.asks[decision.ID].Tier, other, m.asks[other].Tier)
			}
		}
	}
}

func (m *machine) done(t *rapid.T) {
	flying := m.in(inFlight)
	if len(flying) == 0 {
		t.Skip("nothing in flight")
	}
	id := rapid.SampledFrom(flying).Draw(t, "request")
	if rapid.Bool().Draw(t, "first token") {
		m.pool.FirstToken(m.now, id)
	}
	if rapid.Bool().Draw(t, "not yet") {
		return
	}
	m.fates[id] = gone
	m.occupied[m.on[id]]--
	m.pool.Done(m.now, shelfshelf.Completion{
		ID:           id,
		Target:       m.on[id],
		Outcome:      shelfshelf.OutcomeDone,
		CacheKnown:   rapid.Bool().Draw(t, "cache known"),
		CachedTokens: rapid.IntRange(0, 2048).Draw(t, "cached"),
	})
	m.decide(t)
}

func TestPoolProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		t.Repeat(map[string]func(*rapid.T){
			"ask":  m.ask,
			"done": m.done,
			"cancel": func(t *rapid.T) {
				waiting := m.in(inLine)
				if len(waiting) == 0 {
					t.Skip("nobody waits")
				}
				id := rapid.SampledFrom(waiting).Draw(t, "request")
				m.fates[id] = gone
				m.pool.Cancel(m.now, id)
			},
			"wait": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "millis")) * time.Millisecond)
				m.decide(t)
			},
			"targets": func(t *rapid.T) {
				m.setTargets(rapid.IntRange(1, 4).Draw(t, "count"), rapid.IntRange(0, 2).Draw(t, "leaving"))
				m.decide(t)
			},
			"report": func(t *rapid.T) {
				m.pool.Report(m.now, shelfshelf.LoadReport{
					Target:           "e1",
					At:               m.now,
					StepTime:         time.Duration(rapid.IntRange(1, 100).Draw(t, "step")) * time.Millisecond,
					ExpectedStepTime: 10 * time.Millisecond,
				})
				m.decide(t)
			},
			"cache event": func(t *rapid.T) {
				m.pool.CacheEvent(m.now, shelfshelf.CacheEvent{
					Target:   "e2",
					Sequence: uint64(rapid.IntRange(1, 50).Draw(t, "sequence")),
					Stored:   []shelfshelf.BlockHash{shelfshelf.BlockHash(rapid.IntRange(1, 4).Draw(t, "stored"))},
					Removed:  []shelfshelf.BlockHash{shelfshelf.BlockHash(rapid.IntRange(1, 4).Draw(t, "removed"))},
				})
			},
		})
	})
}

func ask(id string, tier shelfshelf.Tier, now time.Time, prompt int, deadline time.Duration) shelfshelf.Ask {
	return shelfshelf.Ask{
		ID:           shelfshelf.RequestID(id),
		Customer:     "c",
		Tier:         tier,
		PromptTokens: prompt,
		OutputTokens: 10,
		Arrived:      now,
		Deadline:     now.Add(deadline),
	}
}

func TestPoolDecisions(t *testing.T) {
	now := time.Unix(1000, 0)
	newPool := func(targets ...shelfshelf.Target) *schedule.Pool {
		pool := schedule.NewPool(schedule.Config{Tiers: tiers, Tuning: schedule.DefaultTuning()})
		pool.SetTargets(now, targets)
		return pool
	}
	Convey("A request no target could ever serve is refused at once", t, func() {
		pool := newPool()
		pool.Ask(now, ask("a", 0, now, 10, time.Minute))
		decisions := pool.Decide(now)
		So(decisions, ShouldHaveLength, 1)
		So(decisions[0].Reason, ShouldEqual, shelfshelf.RefusedNoTarget)
	})
	Convey("A prompt that the quickest engine can't read in time is refused at once", t, func() {
		pool := newPool(engineNamed("e", 4))
		pool.Ask(now, ask("a", 0, now, 50000, time.Second))
		decisions := pool.Decide(now)
		So(decisions, ShouldHaveLength, 1)
		So(decisions[0].Reason, ShouldEqual, shelfshelf.RefusedDeadline)
		So(decisions[0].RetryAfter, ShouldBeGreaterThan, 0)
	})
	Convey("A request is sent to the engine that holds its prompt", t, func() {
		pool := newPool(engineNamed("e1", 4), engineNamed("e2", 4))
		first := ask("a", 0, now, 4096, time.Minute)
		first.Prefix = []shelfshelf.PromptPrefix{{Tokens: 4096, Hash: 7}}
		pool.Ask(now, first)
		granted := pool.Decide(now)
		So(granted, ShouldHaveLength, 1)
		pool.FirstToken(now.Add(time.Second), "a")
		second := ask("b", 0, now, 4096, time.Minute)
		second.Prefix = first.Prefix
		pool.Ask(now.Add(time.Second), second)
		again := pool.Decide(now.Add(time.Second))
		So(again, ShouldHaveLength, 1)
		So(again[0].Target, ShouldEqual, granted[0].Target)
		So(again[0].CachedTokens, ShouldEqual, 4096)
	})
	Convey("A request asked again before the word of its refusal is decided again", t, func() {
		pool := newPool(engineNamed("e1", 4), engineNamed("e2", 4))
		one := ask("a", 0, now, 100, time.Minute)
		pool.Ask(now, one)
		first := pool.Decide(now)
		So(first, ShouldHaveLength, 1)
		one.Avoid = []shelfshelf.TargetName{first[0].Target}
		pool.Ask(now, one)
		second := pool.Decide(now)
		So(second, ShouldHaveLength, 1)
		So(second[0].Target, ShouldNotEqual, first[0].Target)
		// The late word is about the first grant, not the second.
		pool.Done(now, shelfshelf.Completion{ID: "a", Target: first[0].Target, Outcome: shelfshelf.OutcomeNotRun, Refused: true})
		So(pool.InFlight()[second[0].Target], ShouldEqual, 1)
		So(pool.InFlight()[first[0].Target], ShouldEqual, 0)
	})
	Convey("A long wait puts a low request before higher ones, one in AgedEvery grants", t, func() {
		pool := newPool(engineNamed("e", 1))
		pool.Ask(now, ask("low", 2, now, 10, time.Hour))
		pool.Decide(now)
		late := now
		pool.Ask(now, ask("old", 2, now, 10, time.Hour))
		served := -1
		for i := range 100 {
			late = late.Add(time.Second)
			pool.Ask(late, ask(fmt.Sprintf("h%d", i), 0, late, 10, time.Hour))
			pool.Ask(late, ask(fmt.Sprintf("g%d", i), 0, late, 10, time.Hour))
			for _, decision := range pool.Decide(late) {
				if decision.ID == "old" {
					served = i
				}
			}
			if served >= 0 {
				break
			}
			pool.Done(late, shelfshelf.Completion{ID: "low"})
			for j := 0; j <= i; j++ {
				pool.Done(late, shelfshelf.Completion{ID: shelfshelf.RequestID(fmt.Sprintf("h%d", j))})
				pool.Done(late, shelfshelf.Completion{ID: shelfshelf.RequestID(fmt.Sprintf("g%d", j))})
			}
		}
		So(served, ShouldBeBetween, 15, 45)
	})
	Convey("Customers of one tier share by work, not by the number they send", t, func() {
		pool := newPool(engineNamed("e", 1))
		for i := range 40 {
			one := ask(fmt.Sprintf("big%d", i), 0, now, 1000, time.Hour)
			one.Customer = "big"
			pool.Ask(now, one)
		}
		for i := range 5 {
			one := ask(fmt.Sprintf("small%d", i), 0, now, 1000, time.Hour)
			one.Customer = "small"
			pool.Ask(now, one)
		}
		small := 0
		for range 12 {
			now = now.Add(time.Second)
			for _, decision := range pool.Decide(now) {
				if decision.ID[0] == 's' {
					small++
				}
				pool.Done(now, shelfshelf.Completion{ID: decision.ID, Target: decision.Target})
			}
		}
		So(small, ShouldEqual, 5)
	})
	Convey("A slow engine gets a trickle, and its slots back as it recovers", t, func() {
		pool := newPool(engineNamed("e", 16))
		report := shelfshelf.LoadReport{Target: "e", StepTime: 80 * time.Millisecond, ExpectedStepTime: 10 * time.Millisecond}
		for range 10 {
			pool.Report(now, report)
		}
		for i := range 16 {
			pool.Ask(now, ask(fmt.Sprintf("r%d", i), 0, now, 10, time.Hour))
		}
		trickle := len(pool.Decide(now))
		So(trickle, ShouldBeBetween, 0, 4)
		report.StepTime = 10 * time.Millisecond
		pool.Report(now, report)
		So(len(pool.Decide(now)), ShouldBeLessThan, 16-trickle)
		for range 20 {
			pool.Report(now, report)
		}
		pool.Decide(now)
		So(pool.InFlight()["e"], ShouldEqual, 16)
	})
}
