package schedule

import (
	"container/list"
	"slices"

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

// heldBlock is one entry of an engine's view, in order of use.
type heldBlock struct {
	hash shelfshelf.BlockHash
	// tokens is what the block adds to the one before it.
	tokens int
}

// prefixView is one engine's part: a model of its cache, least recent dropped.
type prefixView struct {
	blocks map[shelfshelf.BlockHash]*list.Element
	// recent holds heldBlock, the most recently used first.
	recent       *list.List
	tokens       int
	lastSequence uint64
}

func newPrefixView() *prefixView {
	return &prefixView{blocks: make(map[shelfshelf.BlockHash]*list.Element), recent: list.New()}
}

// cachedTokens returns how much of the prompt the engine is thought to hold.
func (v *prefixView) cachedTokens(prefix []shelfshelf.PrefixMark) int {
	for i := len(prefix) - 1; i >= 0; i-- {
		if _, held := v.blocks[prefix[i].Hash]; held {
			return prefix[i].Tokens
		}
	}
	return 0
}

// use records that the engine has read, or is about to read, the prompt. The
// end of a prompt is dropped before its beginning, as engines do.
func (x *prefixIndex) use(engine *engineState, prefix []shelfshelf.PrefixMark) {
	for i := len(prefix) - 1; i >= 0; i-- {
		before := 0
		if i > 0 {
			before = prefix[i-1].Tokens
		}
		x.store(engine, prefix[i].Hash, prefix[i].Tokens-before)
	}
	x.trim(engine)
}

func (x *prefixIndex) store(engine *engineState, hash shelfshelf.BlockHash, tokens int) {
	view := engine.view
	if element, held := view.blocks[hash]; held {
		view.recent.MoveToFront(element)
		return
	}
	view.blocks[hash] = view.recent.PushFront(heldBlock{hash: hash, tokens: tokens})
	view.tokens += tokens
	x.holders[hash] = append(x.holders[hash], engine)
}

func (x *prefixIndex) trim(engine *engineState) {
	for engine.view.tokens > engine.target.CacheTokens {
		back := engine.view.recent.Back()
		if back == nil {
			return
		}
		x.drop(engine, back.Value.(heldBlock).hash)
	}
}

func (x *prefixIndex) drop(engine *engineState, hash shelfshelf.BlockHash) {
	element, held := engine.view.blocks[hash]
	if !held {
		return
	}
	engine.view.tokens -= element.Value.(heldBlock).tokens
	engine.view.recent.Remove(element)
	delete(engine.view.blocks, hash)
	left := slices.DeleteFunc(x.holders[hash], func(other *engineState) bool { return other == engine })
	if len(left) == 0 {
		delete(x.holders, hash)
		return
	}
	x.holders[hash] = left
}

// mend corrects the view by how much of a prompt the engine really held.
func (x *prefixIndex) mend(engine *engineState, prefix []shelfshelf.PrefixMark, found int) {
	for _, mark := range prefix {
		if mark.Tokens > found {
			x.drop(engine, mark.Hash)
		}
	}
}

func (x *prefixIndex) event(engine *engineState, event shelfshelf.CacheEvent) {
	if event.Sequence <= engine.view.lastSequence {
		return
	}
	engine.view.lastSequence = event.Sequence
	for _, hash := range event.Removed {
		x.drop(engine, hash)
	}
	for _, hash := range event.Stored {
		x.store(engine, hash, shelfshelf.BlockTokens)
	}
	x.trim(engine)
}

func (x *prefixIndex) forget(engine *engineState) {
	for hash := range engine.view.blocks {
		x.drop(engine, hash)
	}
}
