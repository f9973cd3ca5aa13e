package burn

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

const shownCauses = 10

// Print writes the report as text.
func (r *Report) Print(out io.Writer) {
	_, _ = fmt.Fprintf(out, "service levels from %s to %s\n", r.From.Format(time.RFC3339), r.To.Format(time.RFC3339))
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprint(table, "kind\tname\tobjective\trequests\tbad\t")
	for _, window := range Windows {
		_, _ = fmt.Fprintf(table, "burn %s\t", shortSpan(window))
	}
	_, _ = fmt.Fprintln(table, "budget left\talert")
	for _, line := range r.Lines {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%.2f%%\t%.0f\t%.0f\t", line.Kind, line.Name, 100*line.Objective, line.Total, line.Bad)
		for _, rate := range line.Rates {
			_, _ = fmt.Fprintf(table, "%.2f\t", rate)
		}
		alert := "-"
		if len(line.Alerts) > 0 {
			alert = line.Alerts[0].Name
		}
		_, _ = fmt.Fprintf(table, "%.0f%%\t%s\n", 100*line.BudgetLeft, alert)
	}
	_ = table.Flush()
	if len(r.Causes) > 0 {
		_, _ = fmt.Fprintln(out, "\ncauses, the most frequent first")
		causes := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
		_, _ = fmt.Fprintln(causes, "count\troute\tresult\treason\ttarget")
		for _, cause := range r.Causes[:min(len(r.Causes), shownCauses)] {
			_, _ = fmt.Fprintf(causes, "%.0f\t%s\t%s\t%s\t%s\n", cause.Count, cause.Route, cause.Result, orDash(cause.Reason), orDash(cause.Target))
		}
		_ = causes.Flush()
	}
	_, _ = fmt.Fprintf(out, "\nprompt tokens read for answers not used in time: %.2f%%\n", 100*r.WastedPrefill)
}

func shortSpan(span time.Duration) string {
	if span >= time.Hour {
		return fmt.Sprintf("%dh", int(span.Hours()))
	}
	return fmt.Sprintf("%dm", int(span.Minutes()))
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

type (
	wireReport struct {
		From          time.Time   `json:"from"`
		To            time.Time   `json:"to"`
		Lines         []wireLine  `json:"lines"`
		Causes        []wireCause `json:"causes"`
		WastedPrefill float64     `json:"wastedPrefillShare"`
	}
	wireLine struct {
		Kind       string             `json:"kind"`
		Name       string             `json:"name"`
		Objective  float64            `json:"objective"`
		Requests   float64            `json:"requests"`
		Bad        float64            `json:"bad"`
		Burn       map[string]float64 `json:"burn"`
		BudgetLeft float64            `json:"budgetLeft"`
		Alerts     []string           `json:"alerts"`
	}
	wireCause struct {
		Route  string  `json:"route"`
		Result string  `json:"result"`
		Reason string  `json:"reason,omitempty"`
		Target string  `json:"target,omitempty"`
		Count  float64 `json:"count"`
	}
)

// WriteJSON writes the report as JSON.
func (r *Report) WriteJSON(out io.Writer) error {
	wire := wireReport{From: r.From, To: r.To, WastedPrefill: r.WastedPrefill, Lines: []wireLine{}, Causes: []wireCause{}}
	for _, line := range r.Lines {
		one := wireLine{
			Kind:       string(line.Kind),
			Name:       line.Name,
			Objective:  line.Objective,
			Requests:   line.Total,
			Bad:        line.Bad,
			Burn:       make(map[string]float64, len(Windows)),
			BudgetLeft: line.BudgetLeft,
			Alerts:     []string{},
		}
		for i, window := range Windows {
			one.Burn[shortSpan(window)] = line.Rates[i]
		}
		for _, alert := range line.Alerts {
			one.Alerts = append(one.Alerts, alert.Name)
		}
		wire.Lines = append(wire.Lines, one)
	}
	for _, cause := range r.Causes {
		wire.Causes = append(wire.Causes, wireCause(cause))
	}
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(wire)
}
