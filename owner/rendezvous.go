package owner

import (
	"github.com/cespare/xxhash/v2"

	"github.com/shelfshelf/shelfshelf"
)

// Of returns the owner of a shard among the live instances, by rendezvous
// hashing: when one joins or leaves, only the shards that it gains or loses
// change their owner. ok is false if there is no live instance.
func Of(shard shelfshelf.Shard, live []shelfshelf.Instance) (owner shelfshelf.Instance, ok bool) {
	var best uint64
	for _, instance := range live {
		weight := xxhash.Sum64String(string(instance.ID) + "\x00" + shard.String())
		if !ok || weight > best || (weight == best && instance.ID < owner.ID) {
			owner, best, ok = instance, weight, true
		}
	}
	return owner, ok
}
