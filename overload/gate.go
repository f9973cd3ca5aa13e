package overload

import (
	"math"
	"net/http"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/shelfshelf/shelfshelf"
)

const (
	// windowPeriod is how often a late instance takes connections, and window for how long.
	windowPeriod = 250 * time.Millisecond
	window       = 25 * time.Millisecond
	// minWindowLimit is how many it takes per window at least: the platform expects an instance that calls itself
	// ready to take some. windowShare of what it serves in a period is how many it takes otherwise; with less than all
	// of it, what waits becomes less.
	minWindowLimit = 4
	windowShare    = 0.8
	// maxWindowDebt is for how many windows at most none are taken because earlier ones took too many.
	maxWindowDebt = 3
	// servedMemory is the time constant of the rate at which requests are served.
	servedMemory = time.Second
	// lateShare is how much an instance that was late takes afterwards, as a part of the rate at which it became late.
	lateShare = 0.5
	// growthInterval is how often the limit is multiplied by growthFactor while the instance is in time. Too high a
	// rate takes up to a second to show.
	growthInterval = 100 * time.Millisecond
	growthFactor   = 1.04
	// minLimit is the smallest limit, in connections per second.
	minLimit = 16
	// unusedPeriod is after how long a limit ends that holds nobody back.
	unusedPeriod = time.Second
	// openPeriod is how often the address is opened under a limit, for the connections of that time. Those that are on
	// their way as it is closed again are lost, so that it isn't opened for each.
	openPeriod = 125 * time.Millisecond
	// rateMemory is the time constant of the rate at which connections were taken.
	rateMemory = 400 * time.Millisecond
)

// Gate decides when an instance takes new connections, so that what it has read is served as well as before. While the
// instance is late, it takes hardly any; after that it takes fewer a second than before, and more and more until it is
// late again or nobody is held back. Its fields are set before use. It is safe for concurrent use.
type Gate struct {
	Clock shelfshelf.Clock
	Log   *log.Logger
	Meter *Meter

	mu sync.Mutex
	// lateSince is when the instance became late; zero while it is not.
	lateSince time.Time
	// windowTaken counts the connections that were taken in the window with the number windowNumber since then.
	windowNumber int
	windowTaken  int
	// limit is in connections per second; 0 means none. changedAt is when it last changed, and heldBackAt when it last
	// held a connection back.
	limit      float64
	changedAt  time.Time
	heldBackAt time.Time
	// tokens are the connections that may be taken at once as of tokensAt.
	tokens   float64
	tokensAt time.Time
	// usedUp says that the tokens were used up, and aren't enough yet for another period.
	usedUp bool
	// taken is the decayed number of connections that were taken, as of takenAt.
	taken   float64
	takenAt time.Time
	// served is the decayed number of requests that were served, as of servedAt.
	served   float64
	servedAt time.Time
}

// Limit returns the limit in connections per second; 0 means none.
func (g *Gate) Limit() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limit
}

// Next returns how long no connection is to be taken, or, if one may be taken now, for how long that holds; 0 means
// until it is asked again.
func (g *Gate) Next() (wait, holds time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	g.follow(now)
	switch {
	case !g.lateSince.IsZero():
		return g.nextWindow(now)
	case g.limit > 0:
		return g.nextToken(now), 0
	}
	return 0, 0
}

// nextWindow returns when a late instance may take connections. The caller must hold g.mu.
func (g *Gate) nextWindow(now time.Time) (wait, holds time.Duration) {
	g.heldBackAt = now
	// The first window comes at the end of the first period.
	const opens = windowPeriod - window
	late := now.Sub(g.lateSince)
	in := late % windowPeriod
	if number := int(late / windowPeriod); number != g.windowNumber {
		// Those that were taken beyond the limit as a window closed count against the next ones.
		limit := g.windowLimit(now)
		g.windowTaken = min(max(0, g.windowTaken-limit*(number-g.windowNumber)), maxWindowDebt*limit)
		g.windowNumber = number
	}
	switch {
	case in < opens:
		return opens - in, 0
	case g.windowTaken >= g.windowLimit(now):
		return windowPeriod - in + opens, 0
	}
	return 0, windowPeriod - in
}

// windowLimit returns how many connections a late instance takes per window. The caller must hold g.mu.
func (g *Gate) windowLimit(now time.Time) int {
	perSecond := g.servedLately(now) / servedMemory.Seconds()
	return max(minWindowLimit, int(windowShare*perSecond*windowPeriod.Seconds()))
}

// recordServed records that a request was served.
func (g *Gate) recordServed() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	g.served = g.servedLately(now) + 1
	g.servedAt = now
}

// servedLately returns the decayed number of requests that were served. The caller must hold g.mu.
func (g *Gate) servedLately(now time.Time) float64 {
	return g.served * math.Exp(-float64(now.Sub(g.servedAt))/float64(servedMemory))
}

// nextToken returns when the limit allows connections. The caller must hold g.mu.
func (g *Gate) nextToken(now time.Time) time.Duration {
	batch := max(1, g.limit*openPeriod.Seconds())
	g.tokens = min(g.tokens+g.limit*now.Sub(g.tokensAt).Seconds(), batch)
	g.tokensAt = now
	if g.tokens < 1 {
		g.usedUp = true
	}
	if !g.usedUp || g.tokens >= batch {
		g.usedUp = false
		return 0
	}
	g.heldBackAt = now
	return time.Duration((batch - g.tokens) / g.limit * float64(time.Second))
}

// Taken records that a connection was taken.
func (g *Gate) Taken() {
	g.Meter.Measure()
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	g.taken = g.takenLately(now) + 1
	g.takenAt = now
	// Those that were on their way when the limit was reached are taken all the same, and count against later ones.
	g.tokens = max(g.tokens-1, -g.limit)
	g.windowTaken++
}

// takenLately returns the decayed number of connections that were taken. The caller must hold g.mu.
func (g *Gate) takenLately(now time.Time) float64 {
	return g.taken * math.Exp(-float64(now.Sub(g.takenAt))/float64(rateMemory))
}

// Handler measures at each request, and has answers close their connections while the instance is late: requests on
// open connections would go on past any limit.
func (g *Gate) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.Meter.Measure()
		if g.Meter.IsLate() {
			w.Header().Set("Connection", "close")
		}
		recorder := &statusRecorder{ResponseWriter: w}
		next.ServeHTTP(recorder, r)
		// A refusal takes hardly any work, and shows nothing of what the instance can serve.
		if recorder.status < http.StatusInternalServerError && recorder.status != http.StatusTooManyRequests {
			g.recordServed()
		}
	})
}

// statusRecorder records the status of a response; 0 stands for an implicit 200.
type statusRecorder struct {
	http.ResponseWriter
	status int
}

// WriteHeader records the status and passes it on.
func (r *statusRecorder) WriteHeader(status int) {
	if status >= http.StatusOK {
		r.status = status
	}
	r.ResponseWriter.WriteHeader(status)
}

// Unwrap gives http.ResponseController access to the writer.
func (r *statusRecorder) Unwrap() http.ResponseWriter { return r.ResponseWriter }

// follow follows whether the instance is late, and adjusts the limit. The caller must hold g.mu.
func (g *Gate) follow(now time.Time) {
	late, strained := g.Meter.Late()
	switch {
	case late > 0 && g.lateSince.IsZero():
		g.becomeLate(now, late)
	case late > 0:
	case !g.lateSince.IsZero():
		g.Log.Info("New connections are taken again.", "perSecond", g.limit, "after", now.Sub(g.lateSince))
		g.lateSince = time.Time{}
		g.tokens, g.tokensAt, g.changedAt = 0, now, now
	case g.limit == 0 || strained:
	case now.Sub(g.heldBackAt) >= unusedPeriod:
		g.limit = 0
		g.Log.Info("New connections are taken without a limit again.")
	case now.Sub(g.changedAt) >= growthInterval:
		g.limit *= growthFactor
		g.changedAt = now
	}
}

func (g *Gate) becomeLate(now time.Time, late time.Duration) {
	rate := g.limit
	if g.limit == 0 {
		rate = g.takenLately(now) / rateMemory.Seconds()
	}
	g.limit = max(rate*lateShare, minLimit)
	g.lateSince = now
	g.windowNumber, g.windowTaken = 0, 0
	g.Log.Info("Hardly any new connections are taken: this instance is late.", "since", late, "perSecond", rate)
}
