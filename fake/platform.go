package fake

import (
	"context"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/shelfshelf/shelfshelf"
)

// headerEra tells in all answers how often the store has come back from an older copy.
const headerEra = "Store-Era"

// maxBlob bounds an object, in bytes.
const maxBlob = 16 << 20

// PlatformFaults is what a Platform does wrong; the zero value does nothing wrong.
type PlatformFaults struct {
	// Busy answers 503, Silent never answers, Reset breaks the connection.
	Busy   bool
	Silent bool
	Reset  bool
	// Delay holds every answer back.
	Delay time.Duration
	// LoseWrites makes so many of the next writes take effect and then break the
	// connection.
	LoseWrites int
	// Deaf makes waiting calls hear of no change.
	Deaf bool
	// WritesPerSecond bounds the transactions of one part, which are done one after the other; what would
	// wait for over a second is turned away. 0 means any number.
	WritesPerSecond int
}

// Platform is the platform's store over HTTP, in memory. It is safe for concurrent
// use.
type Platform struct {
	Clock shelfshelf.Clock
	Rows  *Rows

	started time.Time
	mu      sync.Mutex
	faults  PlatformFaults
	blobs   map[string][]byte
	calls   int
	// kinds counts the calls by path and table.
	kinds map[string]int
	// writtenAt is when the last write of each part will be done that has come.
	writtenAt map[string]time.Time
	// sent counts the bytes of answers.
	sent atomic.Int64
}

// NewPlatform returns an empty store.
func NewPlatform(clock shelfshelf.Clock) *Platform {
	return &Platform{Clock: clock, started: clock.Now(), Rows: NewRows(), blobs: make(map[string][]byte), kinds: make(map[string]int)}
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(faults PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
}

// Calls returns how many calls have come.
func (p *Platform) Calls() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// CallsByKind returns how many calls have come, by path and table; a write's table is
// empty.
func (p *Platform) CallsByKind() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.kinds)
}

// Put writes a row as an operator or a target would.
func (p *Platform) Put(table, key string, value []byte) {
	p.PutInPart(table, "", key, value)
}

// PutInPart writes a row into a part of a table.
func (p *Platform) PutInPart(table, part, key string, value []byte) {
	p.Rows.Transact(nil, []RowWrite{{RowID: RowID{Table: table, Part: part, Key: key}, Value: value}})
}

// Drop removes a row as an operator or a target would.
func (p *Platform) Drop(table, key string) {
	p.Rows.Transact(nil, []RowWrite{{RowID: RowID{Table: table, Key: key}, Remove: true}})
}

// Handler returns the store's HTTP interface.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/rows-tx", p.transact)
	mux.HandleFunc("GET /-/rows-get", p.list)
	mux.HandleFunc("GET /-/rows-feed", p.feed)
	mux.HandleFunc("PUT /-/blob-put/{id...}", p.putBlob)
	mux.HandleFunc("GET /-/blob-get/{id...}", p.getBlob)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		p.calls++
		p.kinds[r.URL.Path+" "+r.URL.Query().Get("Table")]++
		faults := p.faults
		p.mu.Unlock()
		w.Header().Set(headerEra, strconv.FormatUint(p.Rows.Era(), 10))
		switch {
		case faults.Reset:
			panic(http.ErrAbortHandler)
		case faults.Silent:
			<-r.Context().Done()
			return
		case faults.Busy:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case faults.Delay > 0:
			<-p.Clock.After(faults.Delay)
		}
		mux.ServeHTTP(w, r)
	})
}

type (
	wireRow struct {
		Table         string `json:"Table"`
		Part          string `json:"part"`
		Key           string `json:"TlsKey"`
		Value         []byte `json:"Value,omitempty"`
		SchemaVersion uint64 `json:"SchemaVersion"`
		Tombstone     bool   `json:"Tombstone,omitempty"`
	}
	wireRows struct {
		Rows          []wireRow `json:"Rows"`
		HasMore       bool      `json:"HasMore"`
		SchemaVersion uint64    `json:"SchemaVersion"`
		NowMs         int64     `json:"NowMs"`
	}
	wireTransaction struct {
		ExpectedRevision []wireRow
		Puts             []wireRow
		Remove           []wireRow
	}
)

func (w wireRow) id() RowID {
	return RowID{Table: w.Table, Part: w.Part, Key: w.Key}
}

func toWire(rows []StoredRow) []wireRow {
	wire := make([]wireRow, len(rows))
	for i, row := range rows {
		wire[i] = wireRow{
			Table: row.Table, Part: row.Part, Key: row.Key,
			Value: row.Value, SchemaVersion: row.Version, Tombstone: row.Removed,
		}
	}
	return wire
}

func (p *Platform) transact(w http.ResponseWriter, r *http.Request) {
	var wire wireTransaction
	if err := json.NewDecoder(r.Body).Decode(&wire); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var conditions []RowCondition
	for _, row := range wire.ExpectedRevision {
		conditions = append(conditions, RowCondition{RowID: row.id(), Version: row.SchemaVersion})
	}
	var writes []RowWrite
	for _, row := range wire.Puts {
		writes = append(writes, RowWrite{RowID: row.id(), Value: row.Value})
	}
	for _, row := range wire.Remove {
		writes = append(writes, RowWrite{RowID: row.id(), Remove: true})
	}
	if !p.awaitTurn(writes) {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	version, failed := p.Rows.Transact(conditions, writes)
	p.loseWrite()
	if len(failed) > 0 {
		// All rows under condition are shown as they stand, absent ones left out.
		var rows []StoredRow
		for _, condition := range conditions {
			if row := p.Rows.Get(condition.RowID); row.Version > 0 {
				rows = append(rows, row)
			}
		}
		p.answer(w, http.StatusPreconditionFailed, wireRows{Rows: toWire(rows), SchemaVersion: version})
		return
	}
	p.answer(w, http.StatusOK, wireRows{SchemaVersion: version})
}

// awaitTurn waits until the writes of a part before this one are done; false if that would take over
// a second.
func (p *Platform) awaitTurn(writes []RowWrite) bool {
	p.mu.Lock()
	if p.faults.WritesPerSecond == 0 || len(writes) == 0 {
		p.mu.Unlock()
		return true
	}
	if p.writtenAt == nil {
		p.writtenAt = make(map[string]time.Time)
	}
	now := p.Clock.Now()
	part := writes[0].Part
	at := p.writtenAt[part]
	if at.Before(now) {
		at = now
	}
	if at.Sub(now) > time.Second {
		p.mu.Unlock()
		return false
	}
	at = at.Add(time.Second / time.Duration(p.faults.WritesPerSecond))
	p.writtenAt[part] = at
	p.mu.Unlock()
	<-p.Clock.After(at.Sub(now))
	return true
}

// Sent returns how many bytes of rows have been sent.
func (p *Platform) Sent() int64 { return p.sent.Load() }

// loseWrite breaks the connection if this write's answer is to be lost.
func (p *Platform) loseWrite() {
	p.mu.Lock()
	lost := p.faults.LoseWrites > 0
	if lost {
		p.faults.LoseWrites--
	}
	p.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("Limit"))
	if err != nil {
		http.Error(w, "Limit is not a number", http.StatusBadRequest)
		return
	}
	all, version := p.Rows.List(query.Get("Table"), query.Get("part"))
	var rows []StoredRow
	for _, row := range all {
		before := query.Has("TargetVersion") && row.Key >= query.Get("TargetVersion")
		if row.Key >= query.Get("From") && !before {
			rows = append(rows, row)
		}
	}
	page := wireRows{SchemaVersion: version}
	if len(rows) > limit {
		rows = rows[:limit]
		page.HasMore = true
	}
	page.Rows = toWire(rows)
	p.answer(w, http.StatusOK, page)
}

func (p *Platform) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, errAfter := strconv.ParseUint(query.Get("After"), 10, 64)
	wait, errWait := strconv.Atoi(query.Get("WaitMs"))
	if errAfter != nil || errWait != nil {
		http.Error(w, "After or WaitMs is not a number", http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	for {
		rows, version, known := p.Rows.Changes(query.Get("Table"), after)
		p.mu.Lock()
		deaf := p.faults.Deaf
		p.mu.Unlock()
		switch {
		case deaf:
			rows, version = nil, after
		case !known:
			w.Header().Set(headerEra, strconv.FormatUint(p.Rows.Era(), 10))
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(rows) > 0 || ctx.Err() != nil {
			p.answer(w, http.StatusOK, wireRows{Rows: toWire(rows), SchemaVersion: version})
			return
		}
		p.Rows.Await(ctx)
	}
}

func (p *Platform) answer(w http.ResponseWriter, status int, page wireRows) {
	w.Header().Set(headerEra, strconv.FormatUint(p.Rows.Era(), 10))
	page.NowMs = p.Clock.Now().Sub(p.started).Milliseconds() + 1
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	for _, row := range page.Rows {
		p.sent.Add(int64(len(row.Value)))
	}
	// A caller that is gone needs no answer.
	_ = json.NewEncoder(w).Encode(page)
}

func (p *Platform) putBlob(w http.ResponseWriter, r *http.Request) {
	content, err := io.ReadAll(io.LimitReader(r.Body, maxBlob))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	id := r.PathValue("id")
	p.mu.Lock()
	_, exists := p.blobs[id]
	if exists && strings.TrimSpace(r.Header.Get("If-None-Match")) == "*" {
		p.mu.Unlock()
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	p.blobs[id] = content
	p.mu.Unlock()
	p.loseWrite()
}

func (p *Platform) getBlob(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	content, exists := p.blobs[r.PathValue("id")]
	p.mu.Unlock()
	if !exists {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	// A caller that is gone needs no answer.
	_, _ = w.Write(content)
}
