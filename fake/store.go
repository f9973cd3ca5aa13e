package fake

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/shelfshelf/shelfshelf"
)

// StoreFaults is what a Store does wrong; the zero value does nothing wrong.
type StoreFaults struct {
	// Down makes every call fail without effect.
	Down bool
	// Delay holds every call back.
	Delay time.Duration
	// LoseAnswers makes so many of the next writes take effect and then fail.
	LoseAnswers int
}

// Store is the platform's table service, object store and instance list in
// memory. It is safe for concurrent use.
type Store struct {
	Clock shelfshelf.Clock

	mu        sync.Mutex
	faults    StoreFaults
	rows      *Rows
	objects   map[string][]byte
	instances map[shelfshelf.InstanceID]shelfshelf.Instance
	leaving   map[shelfshelf.TargetName]bool
	reads     int
	writes    int
}

// NewStore returns an empty store.
func NewStore(clock shelfshelf.Clock) *Store {
	return &Store{
		Clock:     clock,
		rows:      NewRows(),
		objects:   make(map[string][]byte),
		instances: make(map[shelfshelf.InstanceID]shelfshelf.Instance),
		leaving:   make(map[shelfshelf.TargetName]bool),
	}
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(faults StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Counts returns how many reads and writes the store has served.
func (s *Store) Counts() (reads, writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads, s.writes
}

// begin waits out the delay and fails if the store is down.
func (s *Store) begin(ctx context.Context) error {
	s.mu.Lock()
	faults := s.faults
	s.mu.Unlock()
	if faults.Delay > 0 {
		select {
		case <-ctx.Done():
			return shelfshelf.ErrUnavailable
		case <-s.Clock.After(faults.Delay):
		}
	}
	if faults.Down {
		return shelfshelf.ErrUnavailable
	}
	return nil
}

// Get returns a row.
func (s *Store) Get(ctx context.Context, key string) (shelfshelf.Row, error) {
	if err := s.begin(ctx); err != nil {
		return shelfshelf.Row{}, err
	}
	s.count(1, 0)
	return domainRow(s.rows.Get(rowID(key))), nil
}

// Transact does all the writes or none.
func (s *Store) Transact(ctx context.Context, puts []shelfshelf.Put) (uint64, error) {
	if err := s.begin(ctx); err != nil {
		return 0, err
	}
	s.count(0, 1)
	conditions := make([]RowCondition, len(puts))
	writes := make([]RowWrite, len(puts))
	for i, put := range puts {
		conditions[i] = RowCondition{RowID: rowID(put.Key), Version: put.IfVersion}
		writes[i] = RowWrite{RowID: rowID(put.Key), Value: put.Value, Remove: put.Delete}
	}
	version, failed := s.rows.Transact(conditions, writes)
	if s.loseAnswer() {
		return 0, shelfshelf.ErrAmbiguous
	}
	if len(failed) > 0 {
		conflict := &shelfshelf.ConflictError{}
		for _, row := range failed {
			conflict.Keys = append(conflict.Keys, row.Key)
		}
		return 0, conflict
	}
	return version, nil
}

func (s *Store) loseAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseAnswers == 0 {
		return false
	}
	s.faults.LoseAnswers--
	return true
}

func (s *Store) count(reads, writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads += reads
	s.writes += writes
}

// Scan returns rows by prefix in key order.
func (s *Store) Scan(ctx context.Context, prefix string, limit int) ([]shelfshelf.Row, error) {
	if err := s.begin(ctx); err != nil {
		return nil, err
	}
	s.count(1, 0)
	stored, _ := s.rows.List("", "")
	var rows []shelfshelf.Row
	for _, row := range stored {
		if strings.HasPrefix(row.Key, prefix) {
			rows = append(rows, domainRow(row))
		}
	}
	if limit > 0 && len(rows) > limit {
		rows = rows[:limit]
	}
	return rows, nil
}

// rowID names a row of the one table that a Store has.
func rowID(key string) RowID {
	return RowID{Key: key}
}

func domainRow(stored StoredRow) shelfshelf.Row {
	return shelfshelf.Row{Key: stored.Key, Value: slices.Clone(stored.Value), Version: stored.Version}
}

// PutObject stores content under its digest.
func (s *Store) PutObject(ctx context.Context, content []byte) (string, error) {
	if err := s.begin(ctx); err != nil {
		return "", err
	}
	sum := sha256.Sum256(content)
	digest := hex.EncodeToString(sum[:])
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	s.objects[digest] = slices.Clone(content)
	return digest, nil
}

// GetObject returns the content of a digest.
func (s *Store) GetObject(ctx context.Context, digest string) ([]byte, error) {
	if err := s.begin(ctx); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	content, ok := s.objects[digest]
	if !ok {
		return nil, shelfshelf.ErrNotFound
	}
	return slices.Clone(content), nil
}

// Instances returns the list.
func (s *Store) Instances(ctx context.Context) ([]shelfshelf.Instance, error) {
	if err := s.begin(ctx); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	instances := make([]shelfshelf.Instance, 0, len(s.instances))
	for _, instance := range s.instances {
		instances = append(instances, instance)
	}
	slices.SortFunc(instances, func(a, b shelfshelf.Instance) int { return cmp.Compare(a.ID, b.ID) })
	return instances, nil
}

// LeavingTargets returns the targets about to stop.
func (s *Store) LeavingTargets(ctx context.Context) ([]shelfshelf.TargetName, error) {
	if err := s.begin(ctx); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	var targets []shelfshelf.TargetName
	for target := range s.leaving {
		targets = append(targets, target)
	}
	slices.Sort(targets)
	return targets, nil
}

// SetInstance adds an instance to the list or replaces it.
func (s *Store) SetInstance(instance shelfshelf.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances[instance.ID] = instance
}

// RemoveInstance takes an instance off the list.
func (s *Store) RemoveInstance(id shelfshelf.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.instances, id)
}

// SetLeavingTarget marks a target as about to stop.
func (s *Store) SetLeavingTarget(target shelfshelf.TargetName) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving[target] = true
}
