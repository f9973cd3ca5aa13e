package claim

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/shelfshelf/shelfshelf"
)

const (
	// gatherFor is how long a write waits for others to go with it.
	gatherFor = 3 * time.Millisecond
	// maxGroup bounds a transaction; the store takes 100 writes at most.
	maxGroup = 100
	// maxQueued bounds the writes in line.
	maxQueued = 4096
	// groupTimeout bounds one transaction.
	groupTimeout = 2 * time.Second
	// maxGroupsAtOnce bounds the transactions under way.
	maxGroupsAtOnce = 4
)

// writer puts rows in groups, since the table takes few transactions a second
// but many rows in each.
type writer struct {
	table shelfshelf.TableService
	clock shelfshelf.Clock
	queue chan *pendingPut
	slots chan struct{}

	mu           sync.Mutex
	transactions uint64
	rows         uint64
	stopped      chan struct{}
}

// pendingPut is one write in line; its result comes once.
type pendingPut struct {
	put    shelfshelf.Put
	result chan putResult
}

// putResult is what became of a write: the version that the row has, or an error.
type putResult struct {
	version uint64
	err     error
}

func newWriter(table shelfshelf.TableService, clock shelfshelf.Clock) *writer {
	return &writer{
		table:   table,
		clock:   clock,
		queue:   make(chan *pendingPut, maxQueued),
		slots:   make(chan struct{}, maxGroupsAtOnce),
		stopped: make(chan struct{}),
	}
}

func (w *writer) counts() (transactions, rows uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.transactions, w.rows
}

// put writes a row with a group and returns the version that it has. The error is
// the table's; if the context ends first, the write may still happen and the error
// is ErrAmbiguous.
func (w *writer) put(ctx context.Context, put shelfshelf.Put) (uint64, error) {
	pending := &pendingPut{put: put, result: make(chan putResult, 1)}
	select {
	case w.queue <- pending:
	case <-w.stopped:
		return 0, ErrStopped
	case <-ctx.Done():
		return 0, shelfshelf.ErrUnavailable
	}
	select {
	case result := <-pending.result:
		return result.version, result.err
	case <-w.stopped:
		return 0, shelfshelf.ErrAmbiguous
	case <-ctx.Done():
		return 0, shelfshelf.ErrAmbiguous
	}
}

// Run writes groups until the context ends.
func (w *writer) Run(ctx context.Context) error {
	var groups sync.WaitGroup
	defer groups.Wait()
	defer close(w.stopped)
	for {
		var group []*pendingPut
		select {
		case <-ctx.Done():
			return nil
		case first := <-w.queue:
			group = w.gather(first)
		}
		w.slots <- struct{}{}
		groups.Add(1)
		go w.runGroup(group, &groups)
	}
}

// gather collects the writes that come soon after the first.
func (w *writer) gather(first *pendingPut) []*pendingPut {
	group := []*pendingPut{first}
	over := w.clock.After(gatherFor)
	for len(group) < maxGroup {
		select {
		case next := <-w.queue:
			group = append(group, next)
		case <-over:
			return group
		}
	}
	return group
}

func (w *writer) runGroup(group []*pendingPut, groups *sync.WaitGroup) {
	defer groups.Done()
	defer func() { <-w.slots }()
	ctx, cancel := context.WithTimeout(context.Background(), groupTimeout)
	defer cancel()
	w.write(ctx, distinct(group))
}

// distinct answers all but the first write of a row with a conflict, since one
// transaction can't write a row twice.
func distinct(group []*pendingPut) []*pendingPut {
	seen := make(map[string]bool, len(group))
	kept := group[:0]
	for _, pending := range group {
		if seen[pending.put.Key] {
			pending.result <- putResult{err: shelfshelf.ErrConflict}
			continue
		}
		seen[pending.put.Key] = true
		kept = append(kept, pending)
	}
	return kept
}

// write does one transaction. Rows in conflict are answered and the others are
// written without them.
func (w *writer) write(ctx context.Context, group []*pendingPut) {
	for len(group) > 0 {
		puts := make([]shelfshelf.Put, len(group))
		for i, pending := range group {
			puts[i] = pending.put
		}
		version, err := w.table.Transact(ctx, puts)
		w.mu.Lock()
		w.transactions++
		w.mu.Unlock()
		var conflict *shelfshelf.ConflictError
		if !errors.As(err, &conflict) || len(conflict.Keys) == 0 {
			w.answer(group, version, err)
			return
		}
		group = w.answerConflicts(group, conflict)
	}
}

func (w *writer) answer(group []*pendingPut, version uint64, err error) {
	if err == nil {
		w.mu.Lock()
		w.rows += uint64(len(group))
		w.mu.Unlock()
	}
	for _, pending := range group {
		pending.result <- putResult{version: version, err: err}
	}
}

func (w *writer) answerConflicts(group []*pendingPut, conflict *shelfshelf.ConflictError) []*pendingPut {
	conflicting := make(map[string]bool, len(conflict.Keys))
	for _, key := range conflict.Keys {
		conflicting[key] = true
	}
	var left []*pendingPut
	for _, pending := range group {
		if conflicting[pending.put.Key] {
			pending.result <- putResult{err: conflict}
			continue
		}
		left = append(left, pending)
	}
	if len(left) == len(group) {
		w.answer(group, 0, conflict)
		return nil
	}
	return left
}
