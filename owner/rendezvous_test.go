package owner_test

import (
	"fmt"
	"hash/fnv"
	"testing"

	"pgregory.net/rapid"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/owner"
)

func instances(count int) []shelfshelf.Instance {
	live := make([]shelfshelf.Instance, count)
	for i := range live {
		live[i].ID = shelfshelf.InstanceID(fmt.Sprintf("entry-%d", i))
	}
	return live
}

func shard(number int) shelfshelf.Shard {
	return shelfshelf.Shard{Pool: shelfshelf.PoolName(fmt.Sprintf("pool-%d", number))}
}

// TestOnlyWhatMustMoves checks that a joining instance takes shards only for
// itself and a leaving one gives away only its own, whatever the order of the
// list.
func TestOnlyWhatMustMoves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		live := instances(rapid.IntRange(1, 12).Draw(t, "instances"))
		number := rapid.IntRange(0, 1000).Draw(t, "shard")
		joined := instances(len(live) + 1)
		joiner := joined[len(live)]
		before, ok := owner.Of(shard(number), live)
		if !ok {
			t.Fatal("no owner")
		}
		shuffled := rapid.Permutation(joined).Draw(t, "order")
		after, _ := owner.Of(shard(number), shuffled)
		if after.ID != before.ID && after.ID != joiner.ID {
			t.Fatalf("the shard moved from %s to %s, %s joined", before.ID, after.ID, joiner.ID)
		}
	})
	if _, ok := owner.Of(shard(1), nil); ok {
		t.Error("an owner was found among nobody")
	}
}

// TestShareMoved compares with an owner by position in the list, which moves
// nearly everything.
func TestShareMoved(t *testing.T) {
	const pools = 2400
	byPlace := func(number int, live []shelfshelf.Instance) shelfshelf.InstanceID {
		hash := fnv.New64a()
		_, _ = hash.Write([]byte(shard(number).String()))
		return live[hash.Sum64()%uint64(len(live))].ID
	}
	before, after := instances(7), instances(8)
	moved, movedByPlace := 0, 0
	for number := range pools {
		old, _ := owner.Of(shard(number), before)
		next, _ := owner.Of(shard(number), after)
		if old.ID != next.ID {
			moved++
		}
		if byPlace(number, before) != byPlace(number, after) {
			movedByPlace++
		}
	}
	t.Logf("an eighth instance joins: %.1f%% of pools move by rendezvous, %.1f%% by place in the list",
		100*float64(moved)/pools, 100*float64(movedByPlace)/pools)
	if moved > pools/6 {
		t.Errorf("%d of %d pools moved", moved, pools)
	}
}
