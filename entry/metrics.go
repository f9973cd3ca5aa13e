package entry

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/shelfshelf/shelfshelf"
)

// Result is how a request ended, as metrics and reports count it.
type Result string

// The results of a request.
const (
	// ResultGood is a whole answer within the route's objective.
	ResultGood Result = "good"
	// ResultLate is a whole answer after the objective.
	ResultLate Result = "late"
	// ResultShed is a request given up because capacity was short.
	ResultShed Result = "shed"
	// ResultRefused is a request not run for any other reason.
	ResultRefused Result = "refused"
	// ResultUnknown is a request that may have run without a whole answer.
	ResultUnknown Result = "unknown"
	// ResultCancelled is a request whose caller went away.
	ResultCancelled Result = "cancelled"
)

// MetricRequests counts requests by customer, route, tier, result, reason and
// target; the burn report is made from it.
const MetricRequests = "shelfshelf_requests_total"

// MetricObjective is the share of requests that a route is to answer in time.
const MetricObjective = "shelfshelf_route_objective_ratio"

// MetricPrefill counts prompt tokens that engines read, by use.
const MetricPrefill = "shelfshelf_prompt_tokens_total"

// Metrics counts what an entry does.
type Metrics struct {
	Set *metrics.Set
}

// count records how a request ended.
func (m *Metrics) count(call *call, result Result, reason string) {
	name := fmt.Sprintf("%s{customer=%q,route=%q,tier=%q,result=%q,reason=%q,target=%q}",
		MetricRequests, call.customer.Name, call.route.Name, call.tierName, result, reason, call.target)
	m.Set.GetOrCreateCounter(name).Inc()
}

// firstToken records the time to the first token, in seconds.
func (m *Metrics) firstToken(call *call, took time.Duration) {
	name := fmt.Sprintf("shelfshelf_first_token_seconds{tier=%q,route=%q}", call.tierName, call.route.Name)
	m.Set.GetOrCreateHistogram(name).Update(took.Seconds())
}

// prompt records how much of a prompt an engine read and how much it held.
func (m *Metrics) prompt(call *call, total, cached int, used bool) {
	use := "used"
	if !used {
		use = "unused"
	}
	m.Set.GetOrCreateCounter(fmt.Sprintf("%s{route=%q,kind=%q}", MetricPrefill, call.route.Name, "read_"+use)).Add(max(total-cached, 0))
	m.Set.GetOrCreateCounter(fmt.Sprintf("%s{route=%q,kind=%q}", MetricPrefill, call.route.Name, "held")).Add(min(cached, total))
}

// objective publishes the objectives of a bundle's routes.
func (m *Metrics) objective(routes []shelfshelf.Route) {
	for _, route := range routes {
		name := fmt.Sprintf("%s{route=%q}", MetricObjective, route.Name)
		m.Set.GetOrCreateGauge(name, nil).Set(route.ObjectiveShare)
	}
}
