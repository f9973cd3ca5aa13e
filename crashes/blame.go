package crashes

import (
	"time"

	"github.com/shelfshelf/shelfshelf"
)

const (
	// minUnexplainedCrashes is the number of crashes not explained by another request from which a
	// request is quarantined. A smaller number would quarantine requests that ran beside such a request
	// twice: while 22 engines crashed within 14 s, with 18 running at a time, 3 of 35 resumed streams
	// met a second crash.
	minUnexplainedCrashes = 3
	// minTotalCrashes is the number of crashes from which a request is quarantined whatever ran beside it.
	// Without it, two requests that crash targets and often share one would excuse each other.
	minTotalCrashes = 5
	// minUnexplainedPartCrashes and minTotalPartCrashes are the same for a part of prompts. They are higher, so
	// that a request that crashes targets is quarantined before the parts that it shares with others.
	minUnexplainedPartCrashes = 4
	minTotalPartCrashes       = 6
)

// crash is a crash of a target.
type crash struct {
	at time.Time
	// runs holds the requests that the target was running, and the parts of their prompts. The value is true
	// for those cleared because another run has completed since or, of a part, shortly before.
	runs map[shelfshelf.Fingerprint]bool
}

// blame is what the known crashes indicate about one request.
type blame struct {
	// crashes is the number of crashes of targets that ran the request, except those it is cleared of.
	// unexplained is how many of them have no other request with more crashes.
	crashes     int
	unexplained int
	// lastAt is when the latest of these crashes happened.
	lastAt time.Time
}

// quarantined reports whether a request or a part of prompts has enough crashes to be quarantined.
func (b blame) quarantined(request shelfshelf.Fingerprint) bool {
	if request.IsPart() {
		return b.unexplained >= minUnexplainedPartCrashes || b.crashes >= minTotalPartCrashes
	}
	return b.unexplained >= minUnexplainedCrashes || b.crashes >= minTotalCrashes
}

// assignBlame works out the blame of each request that was running when a target crashed. In each crash,
// only the requests with the most crashes overall are blamed; they explain the crash, which excuses the
// others. For example, if a request crashed targets a, b, c and d and a stream ran beside it on a, b and
// c, only the request is blamed.
func assignBlame(crashes map[shelfshelf.CrashID]*crash) map[shelfshelf.Fingerprint]blame {
	blames := make(map[shelfshelf.Fingerprint]blame)
	for _, c := range crashes {
		for request, cleared := range c.runs {
			if cleared {
				continue
			}
			b := blames[request]
			b.crashes++
			if c.at.After(b.lastAt) {
				b.lastAt = c.at
			}
			blames[request] = b
		}
	}
	for _, c := range crashes {
		most := 0
		for request, cleared := range c.runs {
			if !cleared {
				most = max(most, blames[request].crashes)
			}
		}
		for request, cleared := range c.runs {
			if b := blames[request]; !cleared && b.crashes == most {
				b.unexplained++
				blames[request] = b
			}
		}
	}
	return blames
}
