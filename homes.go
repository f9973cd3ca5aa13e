package shelfshelf

import "slices"

// Homes are the regions that a request may be served in; the zero value allows all.
type Homes struct {
	// Bound says that no other regions than Regions are allowed, of which there may be none.
	Bound   bool
	Regions []Region
}

// Allows reports that a request may be served in a region.
func (h Homes) Allows(region Region) bool {
	return !h.Bound || slices.Contains(h.Regions, region)
}

// And returns the regions that both allow.
func (h Homes) And(other Homes) Homes {
	switch {
	case !h.Bound:
		return other
	case !other.Bound:
		return h
	}
	both := Homes{Bound: true}
	for _, region := range h.Regions {
		if other.Allows(region) {
			both.Regions = append(both.Regions, region)
		}
	}
	return both
}
