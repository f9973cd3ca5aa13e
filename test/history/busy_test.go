package history

import (
	"testing"
	"testing/synctest"

	"github.com/jonboulle/clockwork"
)

// TestHistoryIsBusy makes sure that the runs exercise what they claim to: calls
// of every outcome, bundles rolled, instances killed and replaced.
func TestHistoryIsBusy(t *testing.T) {
	outcomes := make(map[string]int)
	rolls, nodes, keys, lost := 0, 0, 0, 0
	for seed := range uint64(10) {
		synctest.Test(t, func(*testing.T) {
			s := &scenario{seed: seed, faults: faultKinds}
			s.run(clockwork.NewRealClock())
			for _, record := range s.history {
				outcomes[record.outcome]++
				if record.lost {
					lost++
				}
			}
			rolls += len(s.rolled)
			nodes += s.serial
			keys += len(s.world.keyRuns)
		})
	}
	t.Logf("outcomes %v, lost %d, rolls %d, nodes %d, keys run %d", outcomes, lost, rolls, nodes, keys)
	for _, outcome := range []string{"done", "not run", "unknown"} {
		if outcomes[outcome] == 0 {
			t.Errorf("no call was told %q", outcome)
		}
	}
	if rolls == 0 || nodes <= 10*nodeCount || keys == 0 || lost == 0 {
		t.Error("the runs miss a fault")
	}
}
