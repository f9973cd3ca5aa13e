package schedule

import (
	"container/list"
	"slices"
	"time"

	"github.com/shelfshelf/shelfshelf"
)

// prefixIndex is the owner's view of which engine holds which prompt blocks. It
// is made from the owner's own dispatches and mended by cache events and by
// what engines say they found, so it may be wrong either way.
type prefixIndex struct {
	holders map[shelfshelf.BlockHash][]*engineState
}

func newPrefixIndex() *prefixIndex {
	return &prefixIndex{holders: make(map[shelfshelf.BlockHash][]*engineState)}
}

// heldBlock is one block that an engine is thought to hold. It stands in the
// list of our own dispatches, in that of the engine's events, or in both.
type heldBlock struct {
	hash shelfshelf.BlockHash
	// tokens is what the block adds to the mark before it; for our own only.
	tokens int
	used   time.Time
	own    *list.Element
	told   *list.Element
}

// prefixView is one engine's part: a model of its cache. Own holds the marks of
// our dispatches, which together cover each prompt once, within the size of the
// cache. Told holds the blocks that events name, which cover prompts of others
// and of earlier owners, within as many blocks as the cache has.
type prefixView struct {
	blocks map[shelfshelf.BlockHash]*heldBlock
	// own and told hold *heldBlock, the most recently used or told first.
	own          *list.List
	told         *list.List
	ownTokens    int
	lastSequence uint64
}

func newPrefixView() *prefixView {
	return &prefixView{
		blocks: make(map[shelfshelf.BlockHash]*heldBlock),
		own:    list.New(),
		told:   list.New(),
	}
}

// cachedTokens returns how much of the prompt the engine is thought to hold.
func (v *prefixView) cachedTokens(prefix []shelfshelf.PromptPrefix) int {
	for i := len(prefix) - 1; i >= 0; i-- {
		if _, held := v.blocks[prefix[i].Hash]; held {
			return prefix[i].Tokens
		}
	}
	return 0
}

// block returns an engine's block, made if need be.
func (x *prefixIndex) block(engine *engineState, hash shelfshelf.BlockHash) *heldBlock {
	block := engine.view.blocks[hash]
	if block == nil {
		block = &heldBlock{hash: hash}
		engine.view.blocks[hash] = block
		x.holders[hash] = append(x.holders[hash], engine)
	}
	return block
}

// use records that the engine has read, or is about to read, the prompt. The
// end of a prompt is dropped before its beginning, as engines do.
func (x *prefixIndex) use(now time.Time, engine *engineState, prefix []shelfshelf.PromptPrefix) {
	view := engine.view
	for i := len(prefix) - 1; i >= 0; i-- {
		block := x.block(engine, prefix[i].Hash)
		block.used = now
		if block.own != nil {
			view.own.MoveToFront(block.own)
			continue
		}
		block.tokens = prefix[i].Tokens
		if i > 0 {
			block.tokens -= prefix[i-1].Tokens
		}
		block.own = view.own.PushFront(block)
		view.ownTokens += block.tokens
	}
	for view.ownTokens > engine.target.CacheTokens && view.own.Len() > 0 {
		x.dropOwn(engine, view.own.Back().Value.(*heldBlock))
	}
}

// dropOwn takes a block out of the list of our own dispatches.
func (x *prefixIndex) dropOwn(engine *engineState, block *heldBlock) {
	if block.own == nil {
		return
	}
	engine.view.own.Remove(block.own)
	engine.view.ownTokens -= block.tokens
	block.own = nil
	x.forgetUnheld(engine, block)
}

// dropTold takes a block out of the list of the engine's events.
func (x *prefixIndex) dropTold(engine *engineState, block *heldBlock) {
	if block.told == nil {
		return
	}
	engine.view.told.Remove(block.told)
	block.told = nil
	x.forgetUnheld(engine, block)
}

// forgetUnheld forgets a block that stands in neither list.
func (x *prefixIndex) forgetUnheld(engine *engineState, block *heldBlock) {
	if block.own != nil || block.told != nil {
		return
	}
	delete(engine.view.blocks, block.hash)
	holders := x.holders[block.hash]
	if len(holders) == 1 {
		delete(x.holders, block.hash)
		return
	}
	at := slices.Index(holders, engine)
	holders[at] = holders[len(holders)-1]
	x.holders[block.hash] = holders[:len(holders)-1]
}

func (x *prefixIndex) drop(engine *engineState, block *heldBlock) {
	x.dropOwn(engine, block)
	x.dropTold(engine, block)
}

// mend corrects the view by how much of a prompt the engine really held when it
// began to read it; now it holds the prompt.
func (x *prefixIndex) mend(now time.Time, engine *engineState, prefix []shelfshelf.PromptPrefix, found int) {
	for _, mark := range prefix {
		if block := engine.view.blocks[mark.Hash]; block != nil && mark.Tokens > found {
			x.drop(engine, block)
		}
	}
	x.use(now, engine, prefix)
}

// eventAge is how old a cache event may be: a block that we had read later than
// that may have come back since it was dropped.
const eventAge = 5 * time.Second

func (x *prefixIndex) event(now time.Time, engine *engineState, event shelfshelf.CacheEvent) {
	view := engine.view
	if event.Sequence <= view.lastSequence {
		return
	}
	view.lastSequence = event.Sequence
	for _, hash := range event.Removed {
		block := view.blocks[hash]
		if block == nil {
			continue
		}
		x.dropTold(engine, block)
		if now.Sub(block.used) > eventAge {
			x.dropOwn(engine, block)
		}
	}
	for _, hash := range event.Stored {
		block := x.block(engine, hash)
		if block.told == nil {
			block.told = view.told.PushFront(block)
		}
	}
	for view.told.Len() > engine.target.CacheTokens/shelfshelf.BlockTokens {
		x.dropTold(engine, view.told.Back().Value.(*heldBlock))
	}
}

func (x *prefixIndex) forget(engine *engineState) {
	for _, block := range engine.view.blocks {
		x.drop(engine, block)
	}
}
