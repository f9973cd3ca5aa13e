package origin

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/shelfshelf/shelfshelf"
)

// dropLogInterval is how often it is logged at most that there was no room for records.
const dropLogInterval = time.Second

// Registry holds the records of one instance, tells them to others and asks for theirs. Its exported fields
// are set before Init. It is safe for concurrent use.
type Registry struct {
	Clock shelfshelf.Clock
	Log   *log.Logger
	// Self and DataCentre are this instance's address for datagrams, and where it runs.
	Self       netip.AddrPort
	DataCentre shelfshelf.DataCentre
	// Members returns the live instances that aren't leaving, this one included, by data centre.
	Members func() map[shelfshelf.DataCentre][]shelfshelf.Member
	// Send sends a datagram, which may be lost.
	Send func(to netip.AddrPort, content []byte)
	// StoreContact returns when the store last showed that this instance reaches it, itself or through others.
	StoreContact func() time.Time
	// AllLive reports whether no instance that existed lately has fallen silent.
	AllLive func() bool
	// StreamTime returns for how long a stream and its take-ups last at most.
	StreamTime func() time.Duration
	// Store keeps the history of versions. IsSaver reports whether this instance is in charge of saving it.
	Store   shelfshelf.VersionStore
	IsSaver func() bool
	// FirstStart says that the whole deployment starts for the first time, so that no stream began before.
	FirstStart bool

	mu      sync.Mutex
	records records
	history history
	// questions holds the channels that wait for answers, by the IDs of the questions.
	questions map[uint64]chan message
	lastID    uint64
	droppedAt time.Time
	saver     saver
}

// Init prepares the registry; it comes before all other methods.
func (r *Registry) Init() {
	r.history.knownSince = r.Clock.Now()
	if r.FirstStart {
		r.history.knownSince = time.Time{}
	}
	r.questions = make(map[uint64]chan message)
	// Answers to an earlier process at this address match no question.
	r.lastID = rand.Uint64()
	r.saver.init()
}

// SetTargets takes the targets that are listed now.
func (r *Registry) SetTargets(targets []shelfshelf.Target) {
	r.mu.Lock()
	now := r.Clock.Now()
	changed := false
	told := r.changeHistory(now, func() { changed = r.history.set(targets, now) })
	r.mu.Unlock()
	if changed {
		r.saver.changed()
	}
	r.tell(told)
}

// changeHistory changes the history and returns the records of the streams that others have to be told of, because
// their pools have come to have several versions by it. The caller must hold r.mu.
func (r *Registry) changeHistory(now time.Time, change func()) []sharedRecord {
	before := r.mixedPools(now)
	change()
	var told []sharedRecord
	for pool := range r.mixedPools(now) {
		if !before[pool] {
			begun := r.records.list(now, func(known record) bool { return known.pool == pool })
			told = append(told, begun...)
			r.Log.Info("A pool has targets of several versions.", "pool", pool, "versions", r.versions(pool, now), "streams", len(begun))
		}
	}
	return told
}

// mixedPools returns the pools that have targets of several versions, or had them a short time ago. The caller
// must hold r.mu.
func (r *Registry) mixedPools(now time.Time) map[shelfshelf.PoolName]bool {
	mixed := make(map[shelfshelf.PoolName]bool)
	for pool := range r.history.lastListed {
		if len(r.versions(pool, now)) > 1 {
			mixed[pool] = true
		}
	}
	return mixed
}

// versions returns the versions at which a stream that may still be taken up can have begun, as far as this
// instance knows. The caller must hold r.mu.
func (r *Registry) versions(pool shelfshelf.PoolName, now time.Time) []shelfshelf.TargetVersion {
	return r.history.since(pool, now.Add(-r.StreamTime()))
}

// StoreReset has the history of versions saved again: the store may have lost it.
func (r *Registry) StoreReset() { r.saver.changed() }

// Begun records where a stream began and, if its pool has several versions, tells others before it returns.
func (r *Registry) Begun(origin shelfshelf.StreamOrigin) {
	r.mu.Lock()
	now := r.Clock.Now()
	told := sharedRecord{StreamOrigin: origin}
	r.put(told, now)
	mixed := len(r.versions(origin.Pool, now)) > 1
	r.mu.Unlock()
	if mixed {
		r.tell([]sharedRecord{told})
	}
}

// put adds a record and logs if there is no room for it. The caller must hold r.mu.
func (r *Registry) put(told sharedRecord, now time.Time) {
	if r.records.put(told, now) || now.Sub(r.droppedAt) < dropLogInterval {
		return
	}
	r.droppedAt = now
	r.Log.Warn("There is no room for records of streams.", "records", len(r.records.byKey), "dropped", r.records.dropped-r.records.loggedDropped)
	r.records.loggedDropped = r.records.dropped
}

// HandOver tells all records to others, since this instance is about to stop.
func (r *Registry) HandOver() {
	r.mu.Lock()
	told := r.records.list(r.Clock.Now(), func(record) bool { return true })
	mixed := len(r.mixedPools(r.Clock.Now())) > 0
	r.mu.Unlock()
	if !mixed {
		return
	}
	r.Log.Info("Records of streams are handed over.", "records", len(told))
	r.tell(told)
}

// tell sends records to their holders.
func (r *Registry) tell(told []sharedRecord) {
	if len(told) == 0 {
		return
	}
	members := r.Members()
	byHolder := make(map[netip.AddrPort][]sharedRecord)
	for _, one := range told {
		if len(one.Version) > maxVersionBytes {
			continue
		}
		for _, holder := range r.rank(one.Key, members, holderDepth).holders(r.Self) {
			byHolder[holder] = append(byHolder[holder], one)
		}
	}
	for holder, list := range byHolder {
		for part := range slices.Chunk(list, maxDatagramRecords) {
			r.send(holder, message{kind: kindTell, records: part})
		}
	}
}

func (r *Registry) send(to netip.AddrPort, m message) {
	content, err := encode(m)
	if err != nil {
		r.Log.Error("Failed to encode a message on streams.", "error", err)
		return
	}
	r.Send(to, content)
}

// Receive handles a datagram from another instance.
func (r *Registry) Receive(content []byte, from netip.AddrPort) {
	m, err := decode(content)
	if err != nil {
		r.Log.Warn("Failed to decode a message on streams.", "from", from, "error", err)
		return
	}
	switch m.kind {
	case kindTell:
		r.takeRecords(m.records)
	case kindAsk:
		r.send(from, r.answer(m))
	case kindAnswer:
		r.takeAnswer(m)
	default:
		// A later build's message says nothing that this one could use.
		r.Log.Debug("A message on streams has an unknown kind.", "from", from, "kind", m.kind)
	}
}

func (r *Registry) takeRecords(told []sharedRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	for _, one := range told {
		r.put(one, now)
	}
}

// answer returns what this instance knows of a stream that another one asks for.
func (r *Registry) answer(question message) message {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	answer := message{kind: kindAnswer, id: question.id, several: len(r.versions(question.pool, now)) > 1}
	known, found := r.records.get(question.key, now)
	switch {
	case found && known.conflicting:
		answer.state = stateConflicting
	case found:
		answer.state, answer.version = stateKnown, known.version
	}
	return answer
}

func (r *Registry) takeAnswer(answer message) {
	r.mu.Lock()
	waiting := r.questions[answer.id]
	r.mu.Unlock()
	select {
	case waiting <- answer:
	default:
		// Nobody waits any more.
	}
}

// Count returns the number of records.
func (r *Registry) Count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.records.byKey)
}

// Dropped returns how many records there was no room for.
func (r *Registry) Dropped() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.records.dropped
}
