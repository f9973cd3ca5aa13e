package bench

import (
	"bytes"
	_ "embed" // for the page
	"fmt"
	"html/template"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/chart"
)

//go:embed page.html
var pageSource string

var page = template.Must(template.New("bench").Funcs(template.FuncMap{
	"percent": func(share float64) string { return fmt.Sprintf("%.2f%%", 100*share) },
	"millions": func(count int) string {
		return fmt.Sprintf("%.3f", float64(count)/tokensPerMillion)
	},
}).Parse(pageSource))

const (
	reportFile = "index.html"
	// A plot's size is in inches.
	plotWidth        = 7
	plotHeight       = 3
	tokensPerMillion = 1e6
	folderMode       = 0o755
)

// figure is one plot of the page.
type figure struct {
	Title   string
	Drawing template.HTML
}

// WriteReport writes a page with plots into a folder and returns its file.
func (o *Outcome) WriteReport(folder string) (string, error) {
	var figures []figure
	for _, fault := range o.faults() {
		if err := o.drawFault(fault, &figures); err != nil {
			return "", err
		}
	}
	var content bytes.Buffer
	if err := page.Execute(&content, map[string]any{"Outcome": o, "Figures": figures}); err != nil {
		return "", eris.Wrap(err, "write page")
	}
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return "", eris.Wrap(err, "write page")
	}
	file := filepath.Join(folder, reportFile)
	return file, eris.Wrap(os.WriteFile(file, content.Bytes(), 0o644), "write page") //nolint:gosec // a page to be read
}

func (o *Outcome) faults() []string {
	var faults []string
	for _, cell := range o.Cells {
		if !slices.Contains(faults, cell.Fault) {
			faults = append(faults, cell.Fault)
		}
	}
	return faults
}

// drawFault plots everything of one set of faults.
func (o *Outcome) drawFault(fault string, figures *[]figure) error {
	add := func(title, x, y string, lines []chart.Line, marks []float64) error {
		drawing, err := (&chart.Chart{
			XLabel:      x,
			YLabel:      y,
			LegendBelow: strings.HasPrefix(y, "%"),
			Lines:       lines,
			Marks:       marks,
			Width:       plotWidth,
			Height:      plotHeight,
		}).SVG()
		*figures = append(*figures, figure{Title: title + ", faults: " + fault, Drawing: drawing})
		return err
	}
	for _, tier := range o.Tiers {
		lines := o.overLoad(fault, func(r *Result) float64 { return 100 * r.Share(tier.Name) })
		if err := add("Goodput of tier "+tier.Name, "load", "% of offered", lines, nil); err != nil {
			return err
		}
	}
	lines := o.overLoad(fault, func(r *Result) float64 { return float64(r.WastedPrefill) / tokensPerMillion })
	if err := add("Wasted prefill", "load", "million tokens", lines, nil); err != nil {
		return err
	}
	for _, cell := range o.Cells {
		if cell.Fault != fault {
			continue
		}
		for _, result := range cell.Results {
			if result.Policy != "shelfshelf" {
				continue
			}
			title := fmt.Sprintf("Line of shelfshelf at load %g, faults marked", cell.Load)
			if err := add(title, "seconds", "requests waiting", o.overTime(result), o.marks(fault)); err != nil {
				return err
			}
		}
	}
	return nil
}

// overLoad is a figure of each policy by load.
func (o *Outcome) overLoad(fault string, of func(*Result) float64) []chart.Line {
	byPolicy := make(map[string]int)
	var lines []chart.Line
	for _, cell := range o.Cells {
		if cell.Fault != fault {
			continue
		}
		for _, result := range cell.Results {
			at, known := byPolicy[result.Policy]
			if !known {
				at = len(lines)
				byPolicy[result.Policy] = at
				lines = append(lines, chart.Line{Name: result.Policy})
			}
			lines[at].Points = append(lines[at].Points, chart.Point{X: cell.Load, Y: of(result)})
		}
	}
	return lines
}

// overTime is the line by tier, a point a second, while requests arrive.
func (o *Outcome) overTime(result *Result) []chart.Line {
	var lines []chart.Line
	seconds := min(len(result.Waiting), int(o.Length.Seconds())+1)
	for rank, tier := range o.Tiers {
		line := chart.Line{Name: tier.Name}
		for at := range seconds {
			count := result.Waiting[at][shelfshelf.Tier(rank)]
			line.Points = append(line.Points, chart.Point{X: float64(at), Y: float64(count)})
		}
		lines = append(lines, line)
	}
	return lines
}

// marks are the instants, in seconds, at which the faults of a set begin.
func (o *Outcome) marks(fault string) []float64 {
	faults, err := ParseFaults(fault)
	if err != nil {
		return nil
	}
	var marks []float64
	for _, one := range []struct {
		on    bool
		share float64
	}{
		{faults.Slow, slowFrom},
		{faults.Drain, drainAt},
		{faults.EngineDeath, deathAt},
		{faults.OwnerLoss, ownerLossAt},
		{faults.EntryDeath, entryAt},
	} {
		if one.on {
			marks = append(marks, one.share*o.Length.Seconds())
		}
	}
	return marks
}
