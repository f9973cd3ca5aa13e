package origin

import (
	"context"
	"net/netip"
	"time"

	"github.com/shelfshelf/shelfshelf"
)

const (
	// answerTimeout is how long the instances that were asked have to answer; it usually takes a few
	// milliseconds. The caller of a stream waits for two such rounds at most.
	answerTimeout = 60 * time.Millisecond
	// maxContactAge is how long ago the store may have been in contact with an instance that goes by the others'
	// answers: less than the 30 s after which silent instances no longer count as existing.
	maxContactAge = 25 * time.Second
)

// search is one look-up of a stream.
type search struct {
	registry *Registry
	key      shelfshelf.StreamKey
	pool     shelfshelf.PoolName
	found    shelfshelf.FoundOrigin
	known    state
	// several says that an instance that was asked knows of several versions.
	several bool
}

// Find returns the version at which a stream that a caller takes up may go on: that of the record if there is
// one here or at another instance, else the only one that the pool's targets have run for as long as streams
// last.
func (r *Registry) Find(ctx context.Context, customer shelfshelf.CustomerName, pool shelfshelf.PoolName, first shelfshelf.RequestID) (shelfshelf.FoundOrigin, error) {
	s := &search{registry: r, pool: pool, key: shelfshelf.KeyOfStream(customer, pool, first)}
	if first != "" {
		if known, err := s.findRecord(ctx); known || err != nil {
			return s.found, err
		}
	}
	version, only := s.onlyVersion(ctx)
	if !only {
		return s.found, shelfshelf.ErrOriginUnknown
	}
	s.found.Version, s.found.Basis = version, shelfshelf.OriginOnlyVersion
	return s.found, nil
}

// findRecord looks for a record, here and at other instances. The error is ErrOriginUnknown if records
// contradict each other. The holders are asked although there is a record here: a caller may have used an ID
// twice, and this instance need not know of both streams.
func (s *search) findRecord(ctx context.Context) (known bool, err error) {
	r := s.registry
	here := r.answer(message{key: s.key, pool: s.pool})
	s.merge(here, shelfshelf.OriginRecorded)
	ranked := r.rank(s.key, r.Members(), holderDepth+maxMoreAsked)
	s.ask(ctx, ranked.holders(r.Self), allAnswers)
	if s.known == stateNone && (here.several || s.several) {
		// Others are told only of streams of pools with several versions.
		s.ask(ctx, ranked.others(r.Self), firstRecord)
	}
	if s.known == stateConflicting {
		return false, shelfshelf.ErrOriginUnknown
	}
	return s.known == stateKnown, nil
}

// merge adds what an instance knows.
func (s *search) merge(answer message, basis shelfshelf.OriginBasis) {
	s.several = s.several || answer.several
	switch {
	case answer.state == stateNone:
	case answer.state == stateConflicting, s.known == stateKnown && s.found.Version != answer.version:
		s.known = stateConflicting
	case s.known == stateNone:
		s.known = stateKnown
		s.found.Version, s.found.Basis = answer.version, basis
	}
}

// waitMode says how long instances that were asked are waited for.
type waitMode uint8

const (
	// allAnswers waits until all have answered, and firstRecord until one has a record.
	allAnswers waitMode = iota
	firstRecord
)

// ask asks instances and collects their answers.
func (s *search) ask(ctx context.Context, instances []netip.AddrPort, mode waitMode) {
	if len(instances) == 0 {
		return
	}
	r := s.registry
	id, answers := r.question(len(instances))
	defer r.forget(id)
	for _, address := range instances {
		r.send(address, message{kind: kindAsk, id: id, key: s.key, pool: s.pool})
	}
	s.found.Asked += len(instances)
	s.collect(ctx, answers, mode)
}

// collect waits for answers as long as the mode says, and answerTimeout at most.
func (s *search) collect(ctx context.Context, answers <-chan message, mode waitMode) {
	timeout := s.registry.Clock.After(answerTimeout)
	for range cap(answers) {
		select {
		case answer := <-answers:
			s.found.Answered++
			s.merge(answer, shelfshelf.OriginAsked)
		case <-timeout:
			return
		case <-ctx.Done():
			return
		}
		if mode == firstRecord && s.known != stateNone {
			return
		}
	}
}

// question returns the ID of a new question and the channel of its answers, one of each instance.
func (r *Registry) question(instances int) (uint64, <-chan message) {
	r.mu.Lock()
	defer r.mu.Unlock()
	answers := make(chan message, instances)
	r.lastID++
	r.questions[r.lastID] = answers
	return r.lastID, answers
}

// forget drops a question.
func (r *Registry) forget(id uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.questions, id)
}

// onlyVersion returns the version at which the stream must have begun because the pool has had no other. That
// isn't known while this instance may be cut off, nor soon after its start without the history in the store.
func (s *search) onlyVersion(ctx context.Context) (shelfshelf.TargetVersion, bool) {
	r := s.registry
	if s.several || !s.inTouch(ctx) || !s.historyKnown(ctx) {
		return "", false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	versions := r.versions(s.pool, r.Clock.Now())
	// inTouch may have heard of several from others.
	if s.several || len(versions) != 1 {
		return "", false
	}
	return versions[0], true
}

// inTouch reports whether a version that has just been listed would be known here or to an instance that was
// asked: new versions reach all instances within some 0.3 s. The answers of some don't show it, since a whole data
// centre may be cut off. They do if all answer and none has fallen silent; else the store has to answer.
func (s *search) inTouch(ctx context.Context) bool {
	r := s.registry
	if s.found.Asked == 0 {
		s.ask(ctx, r.rank(s.key, r.Members(), holderDepth).holders(r.Self), allAnswers)
	}
	contactAge := r.Clock.Now().Sub(r.StoreContact())
	if s.found.Answered == s.found.Asked && r.AllLive() && contactAge <= maxContactAge {
		return true
	}
	return s.readStore(ctx)
}

// historyKnown reports whether all versions are known that were listed for as long as streams last, and reads
// the history in the store if this instance has not been running for so long.
func (s *search) historyKnown(ctx context.Context) bool {
	r := s.registry
	return r.knowsHistory() || s.readStore(ctx) && r.knowsHistory()
}

// readStore has the history of versions read, and reports whether the store answers.
func (s *search) readStore(ctx context.Context) bool {
	s.found.StoreAsked = true
	s.found.StoreAnswered = s.registry.readHistory(ctx)
	return s.found.StoreAnswered
}

func (r *Registry) knowsHistory() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Clock.Now().Sub(r.history.knownSince) >= r.StreamTime()
}
