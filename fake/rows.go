package fake

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
)

// RowID names one row.
type RowID struct {
	Table string
	Part  string
	Key   string
}

// StoredRow is one row as it stands or as it was removed.
type StoredRow struct {
	RowID
	Value []byte
	// Version is the store's counter when the row was last written or removed.
	Version uint64
	Removed bool
}

// RowWrite is one part of a transaction.
type RowWrite struct {
	RowID
	Value  []byte
	Remove bool
}

// RowCondition is the version that a row must have; 0 means that it is absent.
type RowCondition struct {
	RowID
	Version uint64
}

// Rows is a store of versioned rows with one counter for all of them. It is safe
// for concurrent use.
type Rows struct {
	mu      sync.Mutex
	version uint64
	rows    map[RowID]StoredRow
	// forgotten is the version up to which changes are no longer known.
	forgotten uint64
	changed   chan struct{}
	// era rises each time the rows go back to a copy.
	era uint64
}

// RowsCopy is all rows as they stood at one moment.
type RowsCopy struct {
	version   uint64
	forgotten uint64
	rows      map[RowID]StoredRow
}

// NewRows returns an empty store.
func NewRows() *Rows {
	return &Rows{version: 1, rows: make(map[RowID]StoredRow), changed: make(chan struct{})}
}

// Get returns a row; its version is 0 if it is absent.
func (r *Rows) Get(id RowID) StoredRow {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.get(id)
}

func (r *Rows) get(id RowID) StoredRow {
	row, known := r.rows[id]
	if !known || row.Removed {
		return StoredRow{RowID: id}
	}
	return row
}

// Transact does all the writes if all conditions hold. It returns the new version,
// or the rows whose conditions failed.
func (r *Rows) Transact(conditions []RowCondition, writes []RowWrite) (version uint64, failed []StoredRow) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, condition := range conditions {
		if row := r.get(condition.RowID); row.Version != condition.Version {
			failed = append(failed, row)
		}
	}
	if len(failed) > 0 {
		return r.version, failed
	}
	r.version++
	for _, write := range writes {
		r.rows[write.RowID] = StoredRow{
			RowID:   write.RowID,
			Value:   slices.Clone(write.Value),
			Version: r.version,
			Removed: write.Remove,
		}
	}
	close(r.changed)
	r.changed = make(chan struct{})
	return r.version, nil
}

// List returns the rows of a table's part in key order and the newest version.
func (r *Rows) List(table, part string) ([]StoredRow, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var rows []StoredRow
	for id, row := range r.rows {
		if id.Table == table && id.Part == part && !row.Removed {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b StoredRow) int { return cmp.Compare(a.Key, b.Key) })
	return rows, r.version
}

// Changes returns what has changed in a table after a version, in order. Known is
// false if the history doesn't go back so far.
func (r *Rows) Changes(table string, after uint64) (rows []StoredRow, version uint64, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if after < r.forgotten || after > r.version {
		return nil, r.version, false
	}
	for id, row := range r.rows {
		if id.Table == table && row.Version > after {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b StoredRow) int { return cmp.Compare(a.Version, b.Version) })
	return rows, r.version, true
}

// Await waits for a change of any row or the context's end.
func (r *Rows) Await(ctx context.Context) {
	r.mu.Lock()
	changed := r.changed
	r.mu.Unlock()
	select {
	case <-changed:
	case <-ctx.Done():
	}
}

// Forget drops the history of changes.
func (r *Rows) Forget() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version++
	r.forgotten = r.version
	close(r.changed)
	r.changed = make(chan struct{})
}

// Copy returns all rows as they stand.
func (r *Rows) Copy() *RowsCopy {
	r.mu.Lock()
	defer r.mu.Unlock()
	return &RowsCopy{version: r.version, forgotten: r.forgotten, rows: maps.Clone(r.rows)}
}

// GoBack makes the rows stand as in a copy: what was written since is gone, and its versions
// are given out again.
func (r *Rows) GoBack(to *RowsCopy) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version, r.forgotten, r.rows = to.version, to.forgotten, maps.Clone(to.rows)
	r.era++
	close(r.changed)
	r.changed = make(chan struct{})
}

// Era returns how often the rows have gone back.
func (r *Rows) Era() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.era
}
