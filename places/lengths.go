package places

import (
	"math/bits"
	"time"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/decay"
)

const (
	// lengthsHalfLife is how fast it is forgotten how well lengths were served: a shortage
	// comes and goes within some seconds.
	lengthsHalfLife = 2 * time.Second
	// evenShare is how often, against all asks of their tier, those of one length must have
	// been served lately; else they go first. Shorter ones first serve more requests, and
	// left alone nearly none of the longest: at twice what engines can serve, 0.70 of all and
	// 0.30 of the longest tenth without this, 0.60 and 0.43 with it (simulated).
	evenShare = 0.8
	// leastAsked is how many asks a length must have had lately for its share to mean
	// anything.
	leastAsked = 2
)

// group is asks that only their length sets apart.
type group struct {
	rank int
	tier shelfshelf.Tier
}

// lengths is how often asks of each length, in octaves of their stay, were served lately
// at an engine or at another one that they asked as well.
type lengths struct {
	groups map[group]map[int]*decay.Share
}

func groupOf(ask shelfshelf.PlaceAsk) group {
	return group{rank: ask.Rank, tier: ask.Tier}
}

// octave is the length of an ask: the bits of its stay in milliseconds.
func octave(ask shelfshelf.PlaceAsk) int {
	return bits.Len64(uint64(max(ask.Stay.Milliseconds(), 0)))
}

// note counts an ask that has left the line.
func (l *lengths) note(ask shelfshelf.PlaceAsk, served bool, now time.Time) {
	if ask.Begun {
		return
	}
	if l.groups == nil {
		l.groups = make(map[group]map[int]*decay.Share)
	}
	octaves := l.groups[groupOf(ask)]
	if octaves == nil {
		octaves = make(map[int]*decay.Share)
		l.groups[groupOf(ask)] = octaves
	}
	share := octaves[octave(ask)]
	if share == nil {
		share = &decay.Share{}
		octaves[octave(ask)] = share
	}
	share.Fade(now, lengthsHalfLife)
	share.Note(served)
}

// next returns which ask of a line has its turn: the first, unless asks of another length
// in its group were served too rarely. Of several such lengths the one that lacks most
// goes, and of its asks the first.
func (l *lengths) next(line []waiting, now time.Time) int {
	first := line[0].ask
	octaves := l.groups[groupOf(first)]
	if first.Begun || len(octaves) == 0 {
		return 0
	}
	var all decay.Share
	for _, share := range octaves {
		share.Fade(now, lengthsHalfLife)
		all.Offered += share.Offered
		all.Served += share.Served
	}
	least := evenShare * all.Served / max(all.Offered, leastAsked)
	next := 0
	for i, w := range line {
		if w.ask.Begun != first.Begun || groupOf(w.ask) != groupOf(first) {
			break
		}
		share := octaves[octave(w.ask)]
		if share == nil || share.Offered < leastAsked {
			continue
		}
		if served := share.Served / share.Offered; served < least {
			next, least = i, served
		}
	}
	return next
}
