package gateway

import "github.com/shelfshelf/shelfshelf/balance"

// heldGoalShare is the share of the goal beyond which a request that was held counts as held in vain if it is refused: its
// caller would have lost less by an early refusal.
const heldGoalShare = 1.0 / 8

// recordAdmission records and counts the decision to hold or refuse the request, and whether it got a slot.
func (c *request) recordAdmission(admission balance.Admission, granted bool) {
	c.admission = admission
	if admission.Kind == 0 {
		return
	}
	c.server.Metrics.countAdmission(admission.Kind.String(), granted)
	if !granted && float64(c.held) > heldGoalShare*float64(c.latencyGoal()) {
		c.server.Metrics.countHeldInVain(int(c.route.Tier))
	}
}

// forecastFields tells how the request was decided on, and by what forecast of its wait.
func (c *request) forecastFields() []any {
	if c.admission.Kind == 0 {
		return nil
	}
	fields := []any{"decision", c.admission.Kind.String()}
	if c.admission.Forecast.Known {
		fields = append(fields, "forecast", c.admission.Forecast.Wait)
	}
	if c.refusedAfter > 0 {
		fields = append(fields, "retryAfter", c.refusedAfter)
	}
	if c.target == "" {
		fields = append(fields, "waited", c.queueTime)
	}
	return fields
}
