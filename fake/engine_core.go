package fake

import (
	"container/list"
	"slices"
	"time"

	"github.com/shelfshelf/shelfshelf"
)

const (
	// chunkTokens is how much prompt an engine reads in one step.
	chunkTokens = 512
	// batchStretch is how much longer a decoding step takes with a full batch.
	batchStretch = 1.0
	// contextStretch is the same for a full batch of long contexts.
	contextStretch = 0.25
	// longContext is what counts as a long context, in tokens.
	longContext = 4096
	// idleStep is a step that only reads prompts, as a share of the declared step.
	idleStep = 0.25
)

// Sequence is one request inside an engine.
type Sequence struct {
	ID       shelfshelf.RequestID
	Priority int
	// Blocks are the hashes of the prompt's full blocks, chained from the start.
	Blocks       []shelfshelf.BlockHash
	PromptTokens int
	OutputTokens int

	order    uint64
	started  bool
	cached   int
	read     int
	produced int
}

// Progress is what one step did for one sequence.
type Progress struct {
	ID shelfshelf.RequestID
	// Started is set on the step that began to read the prompt.
	Started bool
	// CachedTokens is how much of the prompt the engine held when it started.
	CachedTokens int
	// Produced is the number of tokens written so far.
	Produced int
	// Finished is set with the last token.
	Finished bool
}

// EngineCore models one engine: continuous batching, prompts read in chunks
// beside decoding, priorities, and a prefix cache that drops the least recent.
// It is not safe for concurrent use.
type EngineCore struct {
	Target shelfshelf.Target
	// Slowdown multiplies every step; 1 is the declared speed.
	Slowdown float64

	waiting  []*Sequence
	running  []*Sequence
	order    uint64
	cache    blockCache
	stepTime time.Duration
	declared time.Duration
	steps    uint64
}

// NewEngineCore returns an idle engine with an empty cache.
func NewEngineCore(target shelfshelf.Target) *EngineCore {
	return &EngineCore{
		Target:   target,
		Slowdown: 1,
		cache:    newBlockCache(target.CacheTokens / shelfshelf.BlockTokens),
	}
}

// Submit puts a sequence into the engine's own queue.
func (c *EngineCore) Submit(sequence *Sequence) {
	c.order++
	sequence.order = c.order
	at, _ := slices.BinarySearchFunc(c.waiting, sequence, beforeInQueue)
	c.waiting = slices.Insert(c.waiting, at, sequence)
}

func beforeInQueue(a, b *Sequence) int {
	if a.Priority != b.Priority {
		return a.Priority - b.Priority
	}
	if a.order < b.order {
		return -1
	}
	return 1
}

// Cancel drops a sequence; it reports whether the engine had it.
func (c *EngineCore) Cancel(id shelfshelf.RequestID) bool {
	before := len(c.waiting) + len(c.running)
	named := func(s *Sequence) bool { return s.ID == id }
	c.waiting = slices.DeleteFunc(c.waiting, named)
	c.running = slices.DeleteFunc(c.running, named)
	return len(c.waiting)+len(c.running) < before
}

// Idle reports that a step would do nothing.
func (c *EngineCore) Idle() bool {
	return len(c.waiting)+len(c.running) == 0
}

// Step runs one step and returns how long it takes and what it has done by then.
func (c *EngineCore) Step() (time.Duration, []Progress) {
	for len(c.waiting) > 0 && len(c.running) < c.Target.Slots {
		c.running = append(c.running, c.waiting[0])
		c.waiting = c.waiting[1:]
	}
	var progress []Progress
	read := c.readPrompts(&progress)
	decoding, context := 0, 0
	for _, sequence := range c.running {
		if sequence.read < sequence.PromptTokens {
			continue
		}
		decoding++
		context += sequence.PromptTokens + sequence.produced
		sequence.produced++
		progress = append(progress, Progress{
			ID:           sequence.ID,
			CachedTokens: sequence.cached,
			Produced:     sequence.produced,
			Finished:     sequence.produced >= sequence.OutputTokens,
		})
	}
	c.running = slices.DeleteFunc(c.running, func(s *Sequence) bool { return s.produced >= s.OutputTokens && s.read >= s.PromptTokens })
	c.declared = c.declaredStep(read, decoding, context)
	c.stepTime = time.Duration(float64(c.declared) * c.Slowdown)
	c.steps++
	return c.stepTime, progress
}

// readPrompts spends the step's chunk on prompts by priority.
func (c *EngineCore) readPrompts(progress *[]Progress) int {
	budget := chunkTokens
	readers := make([]*Sequence, 0, len(c.running))
	for _, sequence := range c.running {
		if sequence.read < sequence.PromptTokens || !sequence.started {
			readers = append(readers, sequence)
		}
	}
	slices.SortFunc(readers, beforeInQueue)
	for _, sequence := range readers {
		if budget == 0 {
			break
		}
		if !sequence.started {
			c.start(sequence)
			*progress = append(*progress, Progress{ID: sequence.ID, Started: true, CachedTokens: sequence.cached})
		}
		chunk := min(budget, sequence.PromptTokens-sequence.read)
		budget -= chunk
		c.cache.insert(sequence.Blocks, sequence.read/shelfshelf.BlockTokens, (sequence.read+chunk)/shelfshelf.BlockTokens)
		sequence.read += chunk
	}
	return chunkTokens - budget
}

// start looks a prompt up; its last token is always computed.
func (c *EngineCore) start(sequence *Sequence) {
	sequence.started = true
	held := c.cache.held(sequence.Blocks, true) * shelfshelf.BlockTokens
	sequence.cached = max(0, min(held, sequence.PromptTokens-1))
	sequence.read = sequence.cached
}

func (c *EngineCore) declaredStep(read, decoding, context int) time.Duration {
	slots := float64(max(c.Target.Slots, 1))
	stretch := idleStep
	if decoding > 0 {
		stretch = 1 + batchStretch*float64(decoding)/slots + contextStretch*float64(context)/(slots*longContext)
	}
	step := stretch * float64(c.Target.StepTime)
	if c.Target.PrefillRate > 0 {
		step += float64(read) / c.Target.PrefillRate * float64(time.Second)
	}
	return time.Duration(step)
}

// Report returns the engine's load as it is now.
func (c *EngineCore) Report(now time.Time) shelfshelf.LoadReport {
	return shelfshelf.LoadReport{
		Target:               c.Target.Name,
		At:                   now,
		Running:              len(c.running),
		Waiting:              len(c.waiting),
		PendingPrefillTokens: c.PendingPrefill(),
		StepTime:             c.stepTime,
		ExpectedStepTime:     c.declared,
	}
}

// PendingPrefill returns the prompt tokens the engine has yet to read.
func (c *EngineCore) PendingPrefill() int {
	pending := 0
	for _, sequence := range c.running {
		pending += sequence.PromptTokens - sequence.read
	}
	for _, sequence := range c.waiting {
		pending += sequence.PromptTokens
	}
	return pending
}

// Occupied returns how many sequences the engine has.
func (c *EngineCore) Occupied() int {
	return len(c.running) + len(c.waiting)
}

// CachedTokens returns how much of a prompt the cache holds, in tokens.
func (c *EngineCore) CachedTokens(blocks []shelfshelf.BlockHash) int {
	return c.cache.held(blocks, false) * shelfshelf.BlockTokens
}

// Holds reports whether the cache holds one block.
func (c *EngineCore) Holds(hash shelfshelf.BlockHash) bool {
	_, held := c.cache.blocks[hash]
	return held
}

// TakeCacheEvent returns what the cache stored and dropped since the last call;
// ok is false if nothing.
func (c *EngineCore) TakeCacheEvent() (_ shelfshelf.CacheEvent, ok bool) {
	if len(c.cache.stored)+len(c.cache.removed) == 0 {
		return shelfshelf.CacheEvent{}, false
	}
	c.cache.sequence++
	event := shelfshelf.CacheEvent{
		Target:   c.Target.Name,
		Sequence: c.cache.sequence,
		Stored:   c.cache.stored,
		Removed:  c.cache.removed,
	}
	c.cache.stored, c.cache.removed = nil, nil
	return event, true
}

// blockCache is a prefix cache of so many blocks.
type blockCache struct {
	capacity int
	blocks   map[shelfshelf.BlockHash]*list.Element
	// recent holds hashes, the most recently used first.
	recent   *list.List
	stored   []shelfshelf.BlockHash
	removed  []shelfshelf.BlockHash
	sequence uint64
}

func newBlockCache(capacity int) blockCache {
	return blockCache{
		capacity: capacity,
		blocks:   make(map[shelfshelf.BlockHash]*list.Element),
		recent:   list.New(),
	}
}

// held returns how many blocks from the start are in the cache.
func (b *blockCache) held(blocks []shelfshelf.BlockHash, touch bool) int {
	count := 0
	for _, hash := range blocks {
		if _, held := b.blocks[hash]; !held {
			break
		}
		count++
	}
	if touch {
		// From the end, so that a prompt's beginning is dropped last.
		for i := count - 1; i >= 0; i-- {
			b.recent.MoveToFront(b.blocks[blocks[i]])
		}
	}
	return count
}

func (b *blockCache) insert(blocks []shelfshelf.BlockHash, from, to int) {
	for i := from; i < min(to, len(blocks)); i++ {
		hash := blocks[i]
		if element, held := b.blocks[hash]; held {
			b.recent.MoveToFront(element)
			continue
		}
		b.blocks[hash] = b.recent.PushFront(hash)
		b.stored = append(b.stored, hash)
	}
	for len(b.blocks) > b.capacity {
		back := b.recent.Back()
		hash := back.Value.(shelfshelf.BlockHash)
		b.recent.Remove(back)
		delete(b.blocks, hash)
		b.removed = append(b.removed, hash)
	}
}
