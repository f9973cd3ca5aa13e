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

// CellKey identifies a cell by route, and for the new version also by target.
type CellKey struct {
	Route shelfshelf.RouteName
	// Target is empty for the targets of old versions, which are counted together.
	Target shelfshelf.TargetName
}

// ResultCounts counts the results of requests; the counts never decrease.
type ResultCounts struct {
	// Answers counts all results, failures included.
	Answers uint64
	Failed  uint64
	// FirstAnswerTimes and TokenTimes count the times to the first event or plain response, and per token, of the
	// requests that didn't fail.
	FirstAnswerTimes Histogram
	TokenTimes       Histogram
}

func (c *ResultCounts) observe(report shelfshelf.AttemptReport) {
	c.Answers++
	if report.Failed {
		c.Failed++
		return
	}
	c.FirstAnswerTimes.observe(report.FirstAnswerRatio)
	c.TokenTimes.observe(report.TokenTimeRatio)
}

func (c *ResultCounts) add(other *ResultCounts) {
	c.Answers += other.Answers
	c.Failed += other.Failed
	c.FirstAnswerTimes.add(&other.FirstAnswerTimes)
	c.TokenTimes.add(&other.TokenTimes)
}

func (c *ResultCounts) subtract(before *ResultCounts) {
	c.Answers -= min(before.Answers, c.Answers)
	c.Failed -= min(before.Failed, c.Failed)
	c.FirstAnswerTimes.subtract(&before.FirstAnswerTimes)
	c.TokenTimes.subtract(&before.TokenTimes)
}

// Evidence is what one instance has counted since it learnt of a rollout. Counts only grow, so repeated
// and reordered reports do no harm.
type Evidence struct {
	Pool     shelfshelf.PoolName
	Revision uint64
	Sent     SentCounts
	// OldRunning is the number of requests that the instance has running at targets of other versions.
	OldRunning int
	// NewRunning is the number of requests that it has running at targets of the new version.
	NewRunning int
	// OldTrafficStopped reports that the instance no longer sends requests to old targets.
	OldTrafficStopped bool
	Cells             map[CellKey]*ResultCounts
}

// observe counts the result of one request.
func (e *Evidence) observe(name CellKey, report shelfshelf.AttemptReport) {
	cell := e.Cells[name]
	if cell == nil {
		if len(e.Cells) >= maxRoutes && e.Cells[CellKey{Route: name.Route}] == nil {
			name.Route = otherRoutes
		}
		if cell = e.Cells[name]; cell == nil {
			cell = &ResultCounts{}
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

// ReportMerger sums up the counts of all incarnations of all instances. The zero value is ready to use.
type ReportMerger struct {
	latest map[InstanceRun]*Evidence
}

// InstanceRun identifies one incarnation of an instance: one run of its process, from start to end.
type InstanceRun struct {
	Instance    shelfshelf.InstanceID
	Incarnation uint64
}

// Add merges the counts of one incarnation and returns the increments since its previous report. The
// counts of incarnations that have ended are kept.
func (m *ReportMerger) Add(run InstanceRun, received Evidence) map[CellKey]*ResultCounts {
	if m.latest == nil {
		m.latest = make(map[InstanceRun]*Evidence)
	}
	before := m.latest[run]
	if before != nil && received.answers() < before.answers() {
		// An older report that arrived late.
		return nil
	}
	increments := make(map[CellKey]*ResultCounts, len(received.Cells))
	for name, cell := range received.Cells {
		increment := *cell
		if before != nil && before.Cells[name] != nil {
			increment.subtract(before.Cells[name])
		}
		if increment.Answers > 0 {
			increments[name] = &increment
		}
	}
	m.latest[run] = &received
	return increments
}

// TotalSent returns the requests sent by all incarnations of all instances.
func (m *ReportMerger) TotalSent() SentCounts {
	var sent SentCounts
	for _, received := range m.latest {
		sent.All += received.Sent.All
		sent.New += received.Sent.New
	}
	return sent
}
