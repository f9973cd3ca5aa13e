package gateway

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"

	"github.com/shelfshelf/shelfshelf/transfer"
)

// Metrics counts what became of requests.
type Metrics struct {
	set *metrics.Set
}

// NewMetrics returns empty counters.
func NewMetrics() *Metrics {
	return &Metrics{set: metrics.NewSet()}
}

// Gauge adds a figure that is read when the metrics are.
func (m *Metrics) Gauge(name string, read func() float64) {
	m.set.NewGauge(name, read)
}

// Write writes the metrics as text.
func (m *Metrics) Write(w io.Writer) {
	m.set.WritePrometheus(w)
}

// Fetched counts a fetch from another instance by what was fetched.
func (m *Metrics) Fetched(kind string, progress transfer.Progress, ok bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`shelf_fetches_total{kind=%q,ok="%t"}`, kind, ok)).Inc()
	m.set.GetOrCreateCounter(fmt.Sprintf(`shelf_fetched_bytes_total{kind=%q,ok="%t"}`, kind, ok)).AddInt64(progress.Bytes)
	m.set.GetOrCreateHistogram(fmt.Sprintf(`shelf_fetch_seconds{kind=%q,ok="%t"}`, kind, ok)).Update(progress.Took.Seconds())
}

// StoreCalled counts a call to the platform's store.
func (m *Metrics) StoreCalled(call, table string, answered bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`shelf_store_calls_total{call=%q,table=%q,answered="%t"}`, call, table, answered)).Inc()
}

func (m *Metrics) attemptFailed() {
	m.set.GetOrCreateCounter("shelf_attempts_failed_total").Inc()
}

func (m *Metrics) heldBack() {
	m.set.GetOrCreateCounter("shelf_requests_held_back_total").Inc()
}

// observe counts one request by route and status, with its times.
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
	m.set.GetOrCreateHistogram(`shelf_wait_seconds`).Update(c.waited.Seconds())
	if c.resumed > 0 {
		m.set.GetOrCreateCounter("shelf_streams_resumed_total").Add(c.resumed)
	}
}
