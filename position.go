package shelfshelf

// epochShift is the bit offset of the epoch in a position. The 48 bits below it are enough for about
// 9,000 years of 1,000 writes per second.
const epochShift = 48

// PositionOf combines the store's epoch and version into one number that only increases. The store's
// version goes back when the store is restored from an older copy, and the same versions are then
// assigned again; the epoch increases with each such restore. Rows, lists and feeds are compared by
// position. Version 0, as of an absent row, has position 0.
func PositionOf(epoch, version uint64) uint64 {
	if version == 0 {
		return 0
	}
	return epoch<<epochShift | VersionOf(version)
}

// EpochOf returns the epoch of a position.
func EpochOf(position uint64) uint64 { return position >> epochShift }

// VersionOf returns the store's own version number in a position.
func VersionOf(position uint64) uint64 { return position & (1<<epochShift - 1) }
