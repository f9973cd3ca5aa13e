package rollout

import (
	"slices"

	"github.com/shelfshelf/shelfshelf"
)

// earlierKept is how many orders before its last one a pool is known by: a copy of the store is
// some seconds old, in which an operator gives one or two.
const earlierKept = 8

// returned takes an order of a later era of the store than what is known: the same one, which was
// written again or stands in the copy under another position, goes on as it is. It reports false for
// one that the known order has replaced, which the copy has still. The lock is held.
func (o *order) returned(word shelfshelf.Rollout) bool {
	if shelfshelf.EraOf(word.Revision) <= shelfshelf.EraOf(o.word.Revision) {
		return true
	}
	if slices.ContainsFunc(o.earlier, func(earlier shelfshelf.Rollout) bool { return sameRow(earlier, word) }) {
		return false
	}
	if o.word.Version == word.Version && o.word.Period == word.Period {
		o.word.Revision = word.Revision
		o.evidence.Revision = word.Revision
		// What was written down of it is gone with its row's version.
		o.word.Stored = 0
	}
	return true
}

// sameRow reports that two words are of the same row of the store, whatever its era.
func sameRow(a, b shelfshelf.Rollout) bool {
	return shelfshelf.VersionOf(a.Revision) == shelfshelf.VersionOf(b.Revision) && a.Version == b.Version && a.Period == b.Period
}

// replacing returns the orders that a new one replaces, the last ones first.
func replacing(known *order) []shelfshelf.Rollout {
	if known == nil {
		return nil
	}
	earlier := append([]shelfshelf.Rollout{known.word}, known.earlier...)
	return earlier[:min(len(earlier), earlierKept)]
}
