package crashes

import (
	"testing"
	"time"

	"github.com/shelfshelf/shelfshelf"
)

// at makes a crash of the requests that ran; a negative one has outlived it.
func at(requests ...int) *crash {
	c := &crash{at: time.Unix(1, 0), runs: make(map[shelfshelf.Fingerprint]bool)}
	for _, request := range requests {
		c.runs[shelfshelf.Fingerprint(max(request, -request))] = request < 0
	}
	return c
}

// Request 1 ends targets; the others are beside it.
func TestWhoIsHeldBack(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		crashes []*crash
		held    []int
		served  []int
	}{
		"two ends": {[]*crash{at(1, 2), at(1, 2)}, nil, []int{1, 2}},
		"three ends, others beside it": {
			[]*crash{at(1, 2, 3), at(1, 4), at(1, 5)},
			[]int{1},
			[]int{2, 3, 4, 5},
		},
		"beside it at three of four": {
			[]*crash{at(1, 2), at(1, 2), at(1, 2), at(1, 3)},
			[]int{1},
			[]int{2, 3},
		},
		"beside two such requests in turn": {
			[]*crash{at(1, 3), at(1, 3), at(1), at(2, 3), at(2, 3), at(2), at(1), at(1), at(2), at(2)},
			[]int{1, 2},
			[]int{3},
		},
		"beside one, and twice where nothing explains it": {
			[]*crash{at(1, 2), at(1, 3), at(1, 4), at(1), at(2), at(2)},
			[]int{1},
			[]int{2, 3, 4},
		},
		"outlived": {[]*crash{at(-1, 2), at(1, 2), at(1, 2), at(-1, -2)}, []int{2}, []int{1}},
		"two that share their targets": {
			[]*crash{at(1, 2), at(1, 2), at(1, 2), at(1, 2), at(1), at(2)},
			[]int{1, 2},
			nil,
		},
		"one that hides behind another": {
			[]*crash{at(1, 2), at(1, 2), at(1, 2), at(1, 2), at(1, 2), at(1)},
			[]int{1, 2},
			nil,
		},
		"nothing": {nil, nil, []int{1}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			crashes := make(map[shelfshelf.CrashID]*crash)
			for i, c := range c.crashes {
				crashes[shelfshelf.CrashID(i)] = c
			}
			verdicts := judge(crashes)
			for _, request := range c.held {
				if v := verdicts[shelfshelf.Fingerprint(request)]; !v.held() {
					t.Errorf("request %d is let through: %+v", request, v)
				}
			}
			for _, request := range c.served {
				if v := verdicts[shelfshelf.Fingerprint(request)]; v.held() {
					t.Errorf("request %d is held back: %+v", request, v)
				}
			}
		})
	}
}
