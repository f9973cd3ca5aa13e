package history

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/shelfshelf/shelfshelf/bundle"
	"github.com/shelfshelf/shelfshelf/claim"
)

var seeds = flag.Int("seeds", 150, "how many seeded schedules of faults to run")

// verdict runs one seed in simulated time.
func verdict(t *testing.T, seed uint64, guards Guards, faults []faultKind) (broken []string, told int) {
	synctest.Test(t, func(*testing.T) {
		s := &scenario{seed: seed, guards: guards, faults: faults}
		s.run(clockwork.NewRealClock())
		broken, told = s.check(), len(s.history)
	})
	return broken, told
}

func TestHistory(t *testing.T) {
	for seed := range *seeds {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			t.Parallel()
			broken, told := verdict(t, uint64(seed), Guards{}, faultKinds)
			for _, problem := range broken {
				t.Error(problem)
			}
			if told < 50 {
				t.Errorf("only %d calls were made", told)
			}
		})
	}
}

// TestGuards breaks each protection on purpose: the check must notice on some
// seed, or it could not fail.
func TestGuards(t *testing.T) {
	cases := map[string]Guards{
		"dispatch before the claim is confirmed": {Claim: claim.Guards{SkipConfirm: true}},
		"claim lapses by time":                   {Claim: claim.Guards{Lapse: 500 * time.Millisecond}},
		"apply a lower revision":                 {Bundle: bundle.Guards{ApplyLower: true}},
	}
	for name, guards := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range 40 {
				if broken, _ := verdict(t, uint64(seed), guards, faultKinds); len(broken) > 0 {
					t.Logf("seed %d: %s", seed, broken[0])
					return
				}
			}
			t.Error("no seed noticed")
		})
	}
}
