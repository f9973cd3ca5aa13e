package rollout

import (
	"math"

	"github.com/shelfshelf/shelfshelf"
)

const (
	// bucketCount is the number of buckets of a histogram, with bucketsPerDoubling of them between a
	// time and its double; expectedBucket is the bucket of the expected time.
	bucketCount        = 24
	bucketsPerDoubling = 2
	expectedBucket     = 8
	// maxRoutes limits the routes that are counted separately, since a configuration may have
	// thousands; the others are counted as one.
	maxRoutes   = 64
	otherRoutes = shelfshelf.RouteName("(others)")
)

// Histogram counts times in exponential buckets, each larger by the square root of 2.
type Histogram [bucketCount]uint64

// observe counts one time, given as a ratio to the expected time.
func (h *Histogram) observe(ratio float64) {
	if ratio <= 0 {
		return
	}
	bucket := int(math.Round(bucketsPerDoubling*math.Log2(ratio))) + expectedBucket
	h[min(max(bucket, 0), bucketCount-1)]++
}

// above returns the number of times beyond a bucket, and of all.
func (h *Histogram) above(bucket int) (above, all uint64) {
	for i, count := range h {
		all += count
		if i > bucket {
			above += count
		}
	}
	return above, all
}

func (h *Histogram) add(other *Histogram) {
	for i := range h {
		h[i] += other[i]
	}
}

// subtract removes an earlier state of the counts.
func (h *Histogram) subtract(before *Histogram) {
	for i := range h {
		h[i] -= min(before[i], h[i])
	}
}

// CellName identifies a cell by route, and for the new version also by target.
type CellName struct {
	Route shelfshelf.RouteName
	// Target is empty for the targets of old versions, which are counted together.
	Target shelfshelf.TargetName
}

// Cell counts the results of requests; the counts never decrease.
type Cell struct {
	// Answers counts all results, failures included.
	Answers uint64
	Failed  uint64
	// First and Pace count the times to the first event or plain response, and per token, of the
	// requests that didn't fail.
	First Histogram
	Pace  Histogram
}

func (c *Cell) observe(report shelfshelf.AttemptReport) {
	c.Answers++
	if report.Failed {
		c.Failed++
		return
	}
	c.First.observe(report.First)
	c.Pace.observe(report.Pace)
}

func (c *Cell) add(other *Cell) {
	c.Answers += other.Answers
	c.Failed += other.Failed
	c.First.add(&other.First)
	c.Pace.add(&other.Pace)
}

func (c *Cell) subtract(before *Cell) {
	c.Answers -= min(before.Answers, c.Answers)
	c.Failed -= min(before.Failed, c.Failed)
	c.First.subtract(&before.First)
	c.Pace.subtract(&before.Pace)
}

// Evidence is what one instance has counted since it learnt of a rollout. Counts only grow, so repeated
// and reordered reports do no harm.
type Evidence struct {
	Pool     shelfshelf.PoolName
	Revision uint64
	Sent     Sent
	// OldRunning is the number of requests that the instance has running at targets of other versions.
	OldRunning int
	// NewRunning is the number of requests that it has running at targets of the new version.
	NewRunning int
	// Moved reports that the instance no longer sends requests to old targets.
	Moved bool
	Cells map[CellName]*Cell
}

// observe counts the result of one request.
func (e *Evidence) observe(name CellName, report shelfshelf.AttemptReport) {
	cell := e.Cells[name]
	if cell == nil {
		if len(e.Cells) >= maxRoutes && e.Cells[CellName{Route: name.Route}] == nil {
			name.Route = otherRoutes
		}
		if cell = e.Cells[name]; cell == nil {
			cell = &Cell{}
			e.Cells[name] = cell
		}
	}
	cell.observe(report)
}

// answers returns the number of all answers.
func (e *Evidence) answers() uint64 {
	sum := uint64(0)
	for _, cell := range e.Cells {
		sum += cell.Answers
	}
	return sum
}

// Merger sums up the counts of all incarnations of all instances. The zero value is ready to use.
type Merger struct {
	latest map[Life]*Evidence
}

// Life identifies one incarnation of an instance: one run of its process, from start to end.
type Life struct {
	Instance    shelfshelf.InstanceID
	Incarnation uint64
}

// Take merges the counts of one incarnation and returns the increments since its previous report. The
// counts of incarnations that have ended are kept.
func (m *Merger) Take(life Life, received Evidence) map[CellName]*Cell {
	if m.latest == nil {
		m.latest = make(map[Life]*Evidence)
	}
	before := m.latest[life]
	if before != nil && received.answers() < before.answers() {
		// An older report that arrived late.
		return nil
	}
	increments := make(map[CellName]*Cell, len(received.Cells))
	for name, cell := range received.Cells {
		increment := *cell
		if before != nil && before.Cells[name] != nil {
			increment.subtract(before.Cells[name])
		}
		if increment.Answers > 0 {
			increments[name] = &increment
		}
	}
	m.latest[life] = &received
	return increments
}

// Sum returns the requests sent by all incarnations of all instances.
func (m *Merger) Sum() Sent {
	var sent Sent
	for _, received := range m.latest {
		sent.All += received.Sent.All
		sent.New += received.Sent.New
	}
	return sent
}
