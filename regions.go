package shelfshelf

import "slices"

// RegionSet are the allowed regions of a request: those whose targets may serve it. The zero value allows
// all.
type RegionSet struct {
	// Restricted is set if only Regions are allowed; Regions may then be empty, which allows none.
	Restricted bool
	Regions    []Region
}

// Allows reports whether a request may be served in a region.
func (h RegionSet) Allows(region Region) bool {
	return !h.Restricted || slices.Contains(h.Regions, region)
}

// Intersect returns the intersection: the regions that both allow.
func (h RegionSet) Intersect(other RegionSet) RegionSet {
	switch {
	case !h.Restricted:
		return other
	case !other.Restricted:
		return h
	}
	both := RegionSet{Restricted: true}
	for _, region := range h.Regions {
		if other.Allows(region) {
			both.Regions = append(both.Regions, region)
		}
	}
	return both
}
