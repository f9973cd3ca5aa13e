package quota

import (
	"math"
	"time"

	"github.com/shelfshelf/shelfshelf"
)

// history is a use by parts of the window between marks that stay where they are, the newest
// first: shifted with every word by a fraction of a part, it would blur over all of the window
// within some seconds. The first part is the one that is not over yet.
type history [shelfshelf.UseParts + 1]float64

// marks tell when the parts of a history were.
type marks struct {
	// began is when the newest part began, and at up to when it is known.
	began time.Time
	at    time.Time
	part  time.Duration
	// late has a part's use leave the window all at once, with the last of it.
	late bool
}

// historyOf returns the history of a use that ends where the newest part begins.
func historyOf(use spread) history {
	var h history
	copy(h[1:], use[:])
	return h
}

// moved returns the marks at a later instant, and how many parts have begun since.
func (m marks) moved(at time.Time) (later marks, parts int) {
	if at.Before(m.at) {
		return m, 0
	}
	parts = int(at.Sub(m.began) / m.part)
	m.began = m.began.Add(time.Duration(parts) * m.part)
	m.at = at
	return m, parts
}

// shifted returns a history after so many parts have begun.
func (h history) shifted(parts int) history {
	var later history
	if parts < len(h) {
		copy(later[parts:], h[:])
	}
	return later
}

// ages returns how old the newest and the oldest use of a part is, in parts.
func (m marks) ages(i int, now time.Time) (newest, oldest float64) {
	began := float64(now.Sub(m.began)) / float64(m.part)
	if i == 0 {
		return float64(now.Sub(m.at)) / float64(m.part), began
	}
	return began + float64(i-1), began + float64(i)
}

// within returns which share of a part's use is still in the window.
func (m marks) within(i int, now time.Time) float64 {
	newest, oldest := m.ages(i, now)
	switch {
	case newest >= shelfshelf.UseParts:
		return 0
	case oldest <= shelfshelf.UseParts || m.late:
		return 1
	}
	return (shelfshelf.UseParts - newest) / (oldest - newest)
}

// left returns how much of a use is still in the window: all of the parts that are within it, and
// a share of the one that it is just leaving.
func (h *history) left(m marks, now time.Time) float64 {
	inside := shelfshelf.UseParts - float64(now.Sub(m.began))/float64(m.part)
	if inside < 0 {
		return h[0] * m.within(0, now)
	}
	whole := min(int(inside), shelfshelf.UseParts)
	sum := 0.0
	for _, amount := range h[:whole+1] {
		sum += amount
	}
	share := inside - float64(whole)
	if m.late {
		share = math.Ceil(share)
	}
	if leaving := whole + 1; leaving < len(h) {
		sum += h[leaving] * share
	}
	return sum
}

// become returns a use as it is known now that its sum is another one: what it has grown by is the
// newest, and what it lacks has left the window sooner than was thought.
func (h history) become(amount float64, m marks) history {
	missing := h.left(m, m.at) - amount
	if missing <= 0 {
		h[0] -= missing
		return h
	}
	for i := len(h) - 1; i >= 0; i-- {
		share := m.within(i, m.at)
		if share == 0 {
			continue
		}
		gone := min(h[i]*share, missing)
		h[i] -= gone / share
		missing -= gone
	}
	return h
}

// before returns a use by parts of the window before an instant.
func (h history) before(m marks, now time.Time) spread {
	var s spread
	for i, amount := range h {
		if amount > 0 {
			newest, oldest := m.ages(i, now)
			if m.late {
				oldest = newest
			}
			s.add(amount, max(newest, 0), max(oldest, 0))
		}
	}
	return s
}

// add adds a use that was even between two ages, in parts.
func (s *spread) add(amount, newest, oldest float64) {
	for i := int(newest); i < len(s) && float64(i) <= oldest; i++ {
		share := 1.0
		if oldest > newest {
			share = (min(oldest, float64(i+1)) - max(newest, float64(i))) / (oldest - newest)
		}
		s[i] += amount * share
	}
}
