package gateway

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/shelfshelf/shelfshelf/bounds"
	"github.com/shelfshelf/shelfshelf/quota"
	"github.com/shelfshelf/shelfshelf/transfer"
)

// Metrics holds the gateway's metrics and those that other parts of the process register with it.
type Metrics struct {
	set *metrics.Set
}

// NewMetrics returns an empty set of metrics.
func NewMetrics() *Metrics {
	return &Metrics{set: metrics.NewSet()}
}

// Gauge registers a gauge whose value is read whenever the metrics are written.
func (m *Metrics) Gauge(name string, read func() float64) {
	m.set.NewGauge(name, read)
}

// Collect registers a function that adds metrics whose labels change whenever the metrics are written.
func (m *Metrics) Collect(write func(w io.Writer)) {
	m.set.RegisterMetricsWriter(write)
}

// Write writes the metrics in the Prometheus text format.
func (m *Metrics) Write(w io.Writer) {
	m.set.WritePrometheus(w)
}

// Fetched records a fetch of one kind of data from another instance.
func (m *Metrics) Fetched(kind string, progress transfer.Progress, ok bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`shelf_fetches_total{kind=%q,ok="%t"}`, kind, ok)).Inc()
	m.set.GetOrCreateCounter(fmt.Sprintf(`shelf_fetched_bytes_total{kind=%q,ok="%t"}`, kind, ok)).AddInt64(progress.Bytes)
	m.set.GetOrCreateHistogram(fmt.Sprintf(`shelf_fetch_seconds{kind=%q,ok="%t"}`, kind, ok)).Update(progress.Took.Seconds())
}

// StoreCalled counts a call to the platform's store.
func (m *Metrics) StoreCalled(call, table string, answered bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`shelf_store_calls_total{call=%q,table=%q,answered="%t"}`, call, table, answered)).Inc()
}

// BoundExceeded counts a peer that exceeded a bound on what is read from it, by the kind of peer and of bound.
func (m *Metrics) BoundExceeded(peer string, bound bounds.Kind) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`shelf_bounds_exceeded_total{peer=%q,bound=%q}`, peer, bound)).Inc()
}

// HandoverEnded counts an attempt to hand a request over to another instance, by its outcome.
func (m *Metrics) HandoverEnded(outcome string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`shelf_handovers_total{outcome=%q}`, outcome)).Inc()
}

// ServedForOther counts a request of another instance, by its outcome.
func (m *Metrics) ServedForOther(outcome string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`shelf_requests_of_others_total{outcome=%q}`, outcome)).Inc()
}

// ProcessorDelayed records how long work that was ready waited for the processor.
func (m *Metrics) ProcessorDelayed(delay time.Duration) {
	m.set.GetOrCreateHistogram("shelf_processor_delay_seconds").Update(delay.Seconds())
}

func (m *Metrics) countFailedAttempt() {
	m.set.GetOrCreateCounter("shelf_attempts_failed_total").Inc()
}

// countQuotaVerdict counts a decision on a charge and records the age of the reports behind it.
func (m *Metrics) countQuotaVerdict(v quota.Verdict) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`shelf_quota_charges_total{rule=%q}`, v.Rule)).Inc()
	m.set.GetOrCreateHistogram(`shelf_quota_report_age_seconds`).Update(v.ReportAge.Seconds())
}

// observeTakenUp counts a stream that a caller takes up, by what is known of its beginning, and records how long
// it took to find that out.
func (m *Metrics) observeTakenUp(basis string, took time.Duration) {
	m.set.GetOrCreateHistogram(`shelf_stream_lookup_seconds`).Update(took.Seconds())
	m.set.GetOrCreateCounter(fmt.Sprintf(`shelf_streams_taken_up_total{origin=%q}`, basis)).Inc()
}

// countUnplaced counts a request for which no slot was found, by whether a target that was not asked had room.
func (m *Metrics) countUnplaced(room bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`shelf_requests_unplaced_total{room="%t"}`, room)).Inc()
}

// countAdmission counts a decision to hold or refuse a request by a forecast, and whether the request got a slot.
func (m *Metrics) countAdmission(decision string, granted bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`shelf_admissions_total{decision=%q,granted="%t"}`, decision, granted)).Inc()
}

// countHeldInVain counts a request that was held for over heldGoalShare of its goal and then refused.
func (m *Metrics) countHeldInVain(tier int) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`shelf_requests_held_in_vain_total{tier="%d"}`, tier)).Inc()
}

func (m *Metrics) countQuarantined() {
	m.set.GetOrCreateCounter("shelf_requests_held_back_total").Inc()
}

// observe counts a finished request by route and status, and records its durations.
func (m *Metrics) observe(c *request) {
	route := "none"
	if c.route != nil {
		route = string(c.route.Name)
	}
	m.set.GetOrCreateCounter(fmt.Sprintf(`shelf_requests_total{route=%q,status="%d"}`, route, c.status)).Inc()
	now := c.server.Clock.Now()
	m.set.GetOrCreateHistogram(fmt.Sprintf(`shelf_request_seconds{route=%q}`, route)).Update(now.Sub(c.arrived).Seconds())
	if !c.firstByte.IsZero() {
		m.set.GetOrCreateHistogram(fmt.Sprintf(`shelf_first_byte_seconds{route=%q}`, route)).Update(c.firstByte.Sub(c.arrived).Seconds())
	}
	if !c.chargedAt.IsZero() {
		m.set.GetOrCreateHistogram(`shelf_quota_counted_after_seconds`).Update(c.chargedAt.Sub(c.arrived).Seconds())
	}
	m.set.GetOrCreateHistogram(`shelf_wait_seconds`).Update(c.queueTime.Seconds())
	if c.resumptions > 0 {
		m.set.GetOrCreateCounter("shelf_streams_resumed_total").Add(c.resumptions)
	}
}
