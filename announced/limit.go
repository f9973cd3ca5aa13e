package announced

import (
	"time"

	"github.com/shelfshelf/shelfshelf"
)

// sameShare is by how much a limit may differ from the one known and still count as the same: a
// figure that differs a little in each answer is no news.
const sameShare = 0.05

// newLimit reports that an answer changes the limit that is known of its target's life, and notes
// where it names the same again.
func newLimit(w *word, known shelfshelf.TargetWord, limit shelfshelf.RateLimit, sent, now time.Time) bool {
	switch {
	case limit.Named && same(known.Limit, limit):
		w.namedAt = now
		return false
	case limit.Named:
		return true
	}
	return known.Limit.Named && sent.After(w.namedAt)
}

// same reports that two limits are as good as equal.
func same(known, limit shelfshelf.RateLimit) bool {
	if !known.Named {
		return false
	}
	least, most := known.PerSecond*(1-sameShare), known.PerSecond*(1+sameShare)
	return limit.PerSecond >= least && limit.PerSecond <= most
}

// newer reports that a limit goes before the one known. Of two that were read at the same
// moment the smaller one does.
func newer(told shelfshelf.TargetWord, w *word) bool {
	switch {
	case told.Version != w.Version:
		return told.Version > w.Version
	case told.Limit.Named != w.Limit.Named:
		return told.Limit.Named
	}
	return told.Limit.PerSecond < w.Limit.PerSecond
}
