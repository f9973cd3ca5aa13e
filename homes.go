package shelfshelf

import "slices"

// Homes are the allowed regions of a request: those whose targets may serve it. The zero value allows
// all.
type Homes struct {
	// Bound is set if only Regions are allowed; Regions may then be empty, which allows none.
	Bound   bool
	Regions []Region
}

// Allows reports whether a request may be served in a region.
func (h Homes) Allows(region Region) bool {
	return !h.Bound || slices.Contains(h.Regions, region)
}

// And returns the intersection: the regions that both allow.
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
