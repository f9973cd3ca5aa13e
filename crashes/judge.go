package crashes

import (
	"time"

	"github.com/shelfshelf/shelfshelf"
)

const (
	// heldFrom is how many targets have to have ended under a request, with nothing else
	// to explain it, for it to be held back. Fewer would hold those back that were twice
	// beside such a request: while 22 engines ended within 14 s, with 18 there at a time,
	// 3 of 35 resumed streams met a second dying one.
	heldFrom = 3
	// heldAnyway is the same whatever ran beside it: two requests that end targets and
	// that often share one would else excuse each other.
	heldAnyway = 5
)

// crash is one end of a target.
type crash struct {
	at time.Time
	// runs are the requests that it ran; true for those that have outlived it.
	runs map[shelfshelf.Fingerprint]bool
}

// verdict is what the crashes say of one request.
type verdict struct {
	// ends is how many targets have ended under it, and unexplained how many of them ran
	// no request under which more have.
	ends        int
	unexplained int
	// last is when the last one ended.
	last time.Time
}

// held reports that the request is to be held back.
func (v verdict) held() bool {
	return v.unexplained >= heldFrom || v.ends >= heldAnyway
}

// judge says of each request that was at a target which ended how far that was its doing.
// Whatever ran beside a request under which more targets have ended is excused: that one
// explains the crash. For example, of a request that ended engines a, b, c and d and a
// stream that was beside it on a, b and c, only the first is to blame.
func judge(crashes map[shelfshelf.CrashID]*crash) map[shelfshelf.Fingerprint]verdict {
	verdicts := make(map[shelfshelf.Fingerprint]verdict)
	for _, c := range crashes {
		for request, outlived := range c.runs {
			if outlived {
				continue
			}
			v := verdicts[request]
			v.ends++
			if c.at.After(v.last) {
				v.last = c.at
			}
			verdicts[request] = v
		}
	}
	for _, c := range crashes {
		most := 0
		for request, outlived := range c.runs {
			if !outlived {
				most = max(most, verdicts[request].ends)
			}
		}
		for request, outlived := range c.runs {
			if v := verdicts[request]; !outlived && v.ends == most {
				v.unexplained++
				verdicts[request] = v
			}
		}
	}
	return verdicts
}
