package origin

import (
	"encoding/binary"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/shelfshelf/shelfshelf"
)

const (
	// holderCount is how many instances of different data centres keep the record of a stream, beside one of
	// the data centre where it began.
	holderCount = 3
	// maxMoreAsked is how many further instances are asked if none of those has the record: where there are
	// few, all, so that the one at which the stream began is among them.
	maxMoreAsked = 16
)

// ranking orders the other instances for one stream.
type ranking struct {
	// order holds the first of each data centre, then the second of each, and so on.
	order []netip.AddrPort
	// nearest is the first other instance of this data centre; invalid if there is none.
	nearest netip.AddrPort
}

// rank orders the instances by rendezvous hashing: when one joins or leaves, only the streams that it gains or
// loses change their holders.
func (r *Registry) rank(key shelfshelf.StreamKey) ranking {
	var centres [][]shelfshelf.Member
	members := r.Members()
	names := make([]shelfshelf.DataCentre, 0, len(members))
	for name := range members {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b shelfshelf.DataCentre) int {
		return byScore(key, xxhash.Sum64String(string(a)), xxhash.Sum64String(string(b)))
	})
	var ranked ranking
	for _, name := range names {
		list := slices.Clone(members[name])
		slices.SortFunc(list, func(a, b shelfshelf.Member) int { return byScore(key, a.Hash, b.Hash) })
		if name == r.DataCentre {
			ranked.nearest = firstOther(list, r.Self)
		}
		centres = append(centres, list)
	}
	for round := 0; ; round++ {
		before := len(ranked.order)
		for _, list := range centres {
			if round < len(list) {
				ranked.order = append(ranked.order, list[round].Address)
			}
		}
		if len(ranked.order) == before {
			return ranked
		}
	}
}

// holders returns the other instances that keep the record of a stream which began here.
func (k ranking) holders(self netip.AddrPort) []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, address := range append(slices.Clone(k.order[:min(holderCount, len(k.order))]), k.nearest) {
		if address.IsValid() && address != self && !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// others returns up to maxMoreAsked instances that are asked after the holders.
func (k ranking) others(self netip.AddrPort) []netip.AddrPort {
	asked := k.holders(self)
	var more []netip.AddrPort
	for _, address := range k.order {
		if len(more) < maxMoreAsked && address != self && !slices.Contains(asked, address) {
			more = append(more, address)
		}
	}
	return more
}

// firstOther returns the first instance of a list but this one.
func firstOther(list []shelfshelf.Member, self netip.AddrPort) netip.AddrPort {
	for _, member := range list {
		if member.Address != self {
			return member.Address
		}
	}
	return netip.AddrPort{}
}

// byScore compares two hashes by their scores for a stream, the highest first.
func byScore(key shelfshelf.StreamKey, a, b uint64) int {
	switch scoreA, scoreB := score(key, a), score(key, b); {
	case scoreA > scoreB:
		return -1
	case scoreA < scoreB:
		return 1
	}
	return 0
}

func score(key shelfshelf.StreamKey, hash uint64) uint64 {
	var content [len(key) + 8]byte
	copy(content[:], key[:])
	binary.LittleEndian.PutUint64(content[len(key):], hash)
	return xxhash.Sum64(content[:])
}
