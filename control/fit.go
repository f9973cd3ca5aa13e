package control

import (
	"fmt"
	"io"
	"text/tabwriter"

	"gonum.org/v1/gonum/stat"
)

// Fit is a straight line through samples.
type Fit struct {
	// Of is what was measured and By what was varied.
	Of string
	By string
	// At0 and Slope give the line, and R2 how well it fits, 1 being exactly.
	At0   float64
	Slope float64
	R2    float64
	From  float64
	To    float64
}

// measure is one column of a sample.
type measure struct {
	name string
	of   func(*Sample) float64
}

// measures are what slopes are fitted of.
var measures = []measure{
	{"sent bytes/s", func(s *Sample) float64 { return s.SentBytes }},
	{"sent packets/s", func(s *Sample) float64 { return s.SentPackets }},
	{"processor s/s", func(s *Sample) float64 { return s.Processor }},
	{"resident bytes", func(s *Sample) float64 { return s.Resident }},
}

// FitBy fits a line for each measure over one varied quantity.
func FitBy(samples []Sample, by string, x func(*Sample) float64) ([]Fit, error) {
	if len(samples) < 2 {
		return nil, ErrPoints
	}
	xs := make([]float64, len(samples))
	for i := range samples {
		xs[i] = x(&samples[i])
	}
	var fits []Fit
	for _, one := range measures {
		ys := make([]float64, len(samples))
		for i := range samples {
			ys[i] = one.of(&samples[i])
		}
		at0, slope := stat.LinearRegression(xs, ys, nil, false)
		fits = append(fits, Fit{
			Of:    one.name,
			By:    by,
			At0:   at0,
			Slope: slope,
			R2:    stat.RSquared(xs, ys, nil, at0, slope),
			From:  xs[0],
			To:    xs[len(xs)-1],
		})
	}
	return fits, nil
}

// Print writes samples and fits as tables.
func Print(out io.Writer, samples []Sample, fits []Fit) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "members\tpools\tasks/s\tsent B/s\tpackets/s\tprocessor %\tresident MB\t")
	for _, s := range samples {
		_, _ = fmt.Fprintf(table, "%d\t%d\t%g\t%.0f\t%.1f\t%.2f\t%.1f\t\n", s.Members, s.Pools, s.Rate,
			s.SentBytes, s.SentPackets, 100*s.Processor, s.Resident/kilobyte/kilobyte)
	}
	_ = table.Flush()
	lines := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(lines, "an instance's\tby\tat 0\tslope\tR2\tmeasured from\tto")
	for _, fit := range fits {
		_, _ = fmt.Fprintf(lines, "%s\t%s\t%.4g\t%.4g\t%.3f\t%g\t%g\n", fit.Of, fit.By, fit.At0, fit.Slope, fit.R2, fit.From, fit.To)
	}
	_ = lines.Flush()
}
