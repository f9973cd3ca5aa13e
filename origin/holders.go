package origin

import (
	"cmp"
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
	// holderDepth is how many instances of each data centre are ranked for holders: one data centre alone has
	// all, and the instance itself may be among them.
	holderDepth = holderCount + 1
)

// ranking orders instances for one stream.
type ranking struct {
	// order holds the first of each data centre, then the second of each, and so on.
	order []netip.AddrPort
	// nearest is the first other instance of this data centre; invalid if there is none.
	nearest netip.AddrPort
}

// scored is an instance with its score for a stream.
type scored struct {
	address netip.AddrPort
	score   uint64
}

// rank orders instances by rendezvous hashing: when one joins or leaves, only the streams that it gains or loses
// change their holders. Only the first of each data centre are ranked, depth of them.
func (r *Registry) rank(key shelfshelf.StreamKey, members map[shelfshelf.DataCentre][]shelfshelf.Member, depth int) ranking {
	names := make([]shelfshelf.DataCentre, 0, len(members))
	for name := range members {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b shelfshelf.DataCentre) int {
		return cmp.Or(cmp.Compare(score(key, hashOf(b)), score(key, hashOf(a))), cmp.Compare(a, b))
	})
	var ranked ranking
	centres := make([][]scored, len(names))
	for i, name := range names {
		centres[i] = topMembers(key, members[name], depth)
		if name == r.DataCentre {
			ranked.nearest = firstOther(centres[i], r.Self)
		}
	}
	for round := range depth {
		for _, list := range centres {
			if round < len(list) {
				ranked.order = append(ranked.order, list[round].address)
			}
		}
	}
	return ranked
}

// topMembers returns the members of a data centre with the highest scores for a stream, the highest first.
func topMembers(key shelfshelf.StreamKey, members []shelfshelf.Member, depth int) []scored {
	list := make([]scored, 0, depth+1)
	for _, member := range members {
		one := scored{address: member.Address, score: score(key, member.Hash)}
		at := len(list)
		for at > 0 && list[at-1].score < one.score {
			at--
		}
		if at < depth {
			list = slices.Insert(list, at, one)
			list = list[:min(len(list), depth)]
		}
	}
	return list
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
func firstOther(list []scored, self netip.AddrPort) netip.AddrPort {
	for _, one := range list {
		if one.address != self {
			return one.address
		}
	}
	return netip.AddrPort{}
}

func hashOf(centre shelfshelf.DataCentre) uint64 { return xxhash.Sum64String(string(centre)) }

// score ranks what has a hash for a stream; the highest score comes first.
func score(key shelfshelf.StreamKey, hash uint64) uint64 {
	var content [len(key) + 8]byte
	copy(content[:], key[:])
	binary.LittleEndian.PutUint64(content[len(key):], hash)
	return xxhash.Sum64(content[:])
}
