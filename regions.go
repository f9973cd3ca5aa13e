package shelfshelf

import "slices"

// RegionSet holds the allowed regions of a request: those whose targets may serve it. The zero value allows
// all.
type RegionSet struct {
	// Restricted is set if only Regions are allowed; Regions may then be empty, which allows none.
	Restricted bool
	Regions    []Region
}

// Allows reports whether a request may be served in a region.
func (r RegionSet) Allows(region Region) bool {
	return !r.Restricted || slices.Contains(r.Regions, region)
}

// Intersect returns the intersection: the regions that both allow.
func (r RegionSet) Intersect(other RegionSet) RegionSet {
	switch {
	case !r.Restricted:
		return other
	case !other.Restricted:
		return r
	}
	both := RegionSet{Restricted: true}
	for _, region := range r.Regions {
		if other.Allows(region) {
			both.Regions = append(both.Regions, region)
		}
	}
	return both
}
