package shelfshelf

// eraShift is where the era stands in a position; versions below it count some 9,000 years of
// 1,000 writes a second.
const eraShift = 48

// PositionOf returns where the store stands, in one number that only rises: its era, which rises
// each time it comes back from an older copy, then its version, which goes back then and is given
// out again. Rows, lists and feeds are compared by it. A version of 0, as of an absent row, has no
// position.
func PositionOf(era, version uint64) uint64 {
	if version == 0 {
		return 0
	}
	return era<<eraShift | VersionOf(version)
}

// EraOf returns the era of a position.
func EraOf(position uint64) uint64 { return position >> eraShift }

// VersionOf returns the version of a position, as the store counts it.
func VersionOf(position uint64) uint64 { return position & (1<<eraShift - 1) }
