package quota

import (
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

// newHistory takes over the shape of a use that ends where the newest part begins, with another sum;
// without a shape it is even.
func newHistory(shape spread, amount float64) history {
	sum := shape.sum()
	var h history
	for i := range shape {
		if sum > 0 {
			h[i+1] = amount * shape[i] / sum
		} else {
			h[i+1] = amount / float64(len(shape))
		}
	}
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

// left returns how much of a use is still in the window.
func (h history) left(m marks, now time.Time) float64 {
	sum := 0.0
	for i, amount := range h {
		if amount > 0 {
			sum += amount * m.within(i, now)
		}
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
