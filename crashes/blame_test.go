package crashes

import (
	"testing"
	"time"

	"github.com/shelfshelf/shelfshelf"
)

// crashOf returns a crash with the requests that ran; negative ones are cleared of it.
func crashOf(requests ...int) *crash {
	c := &crash{at: time.Unix(1, 0), runs: make(map[shelfshelf.Fingerprint]bool)}
	for _, request := range requests {
		c.runs[shelfshelf.Fingerprint(max(request, -request))] = request < 0
	}
	return c
}

// In most cases, request 1 crashes targets and the others only run beside it.
func TestWhichRequestsAreQuarantined(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		crashes     []*crash
		quarantined []int
		served      []int
	}{
		"two crashes": {[]*crash{crashOf(1, 2), crashOf(1, 2)}, nil, []int{1, 2}},
		"three crashes, others beside it": {
			[]*crash{crashOf(1, 2, 3), crashOf(1, 4), crashOf(1, 5)},
			[]int{1},
			[]int{2, 3, 4, 5},
		},
		"one other request beside it in three of four crashes": {
			[]*crash{crashOf(1, 2), crashOf(1, 2), crashOf(1, 2), crashOf(1, 3)},
			[]int{1},
			[]int{2, 3},
		},
		"beside two such requests, one after the other": {
			[]*crash{crashOf(1, 3), crashOf(1, 3), crashOf(1), crashOf(2, 3), crashOf(2, 3), crashOf(2), crashOf(1), crashOf(1), crashOf(2), crashOf(2)},
			[]int{1, 2},
			[]int{3},
		},
		"beside one, and in two unexplained crashes": {
			[]*crash{crashOf(1, 2), crashOf(1, 3), crashOf(1, 4), crashOf(1), crashOf(2), crashOf(2)},
			[]int{1},
			[]int{2, 3, 4},
		},
		"cleared": {[]*crash{crashOf(-1, 2), crashOf(1, 2), crashOf(1, 2), crashOf(-1, -2)}, []int{2}, []int{1}},
		"two that mostly share targets": {
			[]*crash{crashOf(1, 2), crashOf(1, 2), crashOf(1, 2), crashOf(1, 2), crashOf(1), crashOf(2)},
			[]int{1, 2},
			nil,
		},
		"one that always runs beside another": {
			[]*crash{crashOf(1, 2), crashOf(1, 2), crashOf(1, 2), crashOf(1, 2), crashOf(1, 2), crashOf(1)},
			[]int{1, 2},
			nil,
		},
		"no crashes": {nil, nil, []int{1}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			crashes := make(map[shelfshelf.CrashID]*crash)
			for i, c := range c.crashes {
				crashes[shelfshelf.CrashID(i)] = c
			}
			blames := assignBlame(crashes)
			for _, request := range c.quarantined {
				if b := blames[shelfshelf.Fingerprint(request)]; !b.quarantined(shelfshelf.Fingerprint(request)) {
					t.Errorf("request %d is not quarantined: %+v", request, b)
				}
			}
			for _, request := range c.served {
				if b := blames[shelfshelf.Fingerprint(request)]; b.quarantined(shelfshelf.Fingerprint(request)) {
					t.Errorf("request %d is quarantined: %+v", request, b)
				}
			}
		})
	}
}
