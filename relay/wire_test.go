package relay

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/catalog"
)

// An instance that doesn't ask since when targets are leaving gets what it can decode, and one that asks decodes the
// answer of a build that doesn't know the question.
func TestListsOfTargetsGoBetweenBuilds(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	delta := catalog.Delta{Since: 1, Snapshot: catalog.Snapshot{
		Version: 2, ValidAt: now, Targets: []shelfshelf.Target{{Name: "a", Pool: "p", Leaving: true}},
		LeavingSince: map[shelfshelf.TargetName]time.Time{"a": now.Add(-time.Second)},
	}}
	for _, leaving := range []bool{false, true} {
		content, err := encodeTargets(delta, now, leaving)
		if err != nil {
			t.Fatal(err)
		}
		var earlier wireTargets
		if err := cbor.Unmarshal(content, &earlier); (err == nil) == leaving {
			t.Errorf("asked %v: a build that doesn't ask decodes %+v, %v", leaving, earlier, err)
		}
		got, err := decodeTargets(content, now)
		if err != nil || len(got.Targets) != 1 || got.Version != 2 || got.Since != 1 {
			t.Errorf("asked %v: %+v, %v", leaving, got, err)
		}
		want := time.Time{}
		if leaving {
			want = now.Add(-time.Second)
		}
		if since := got.LeavingSince["a"]; !since.Equal(want) {
			t.Errorf("asked %v: leaving since %v, not %v", leaving, since, want)
		}
	}
	if _, err := decodeTargets([]byte{0xff}, now); err == nil {
		t.Error("an unreadable list is taken")
	}
}
