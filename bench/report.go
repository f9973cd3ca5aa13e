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
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/shelfshelf/shelfshelf"
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
	reportFile       = "index.html"
	plotWidth        = 7 * vg.Inch
	plotHeight       = 3 * vg.Inch
	tokensPerMillion = 1e6
	legendRoom       = 1.4
	folderMode       = 0o755
)

// figure is one plot of the page.
type figure struct {
	Title   string
	Drawing template.HTML
}

// series is one line of a plot.
type series struct {
	name   string
	points plotter.XYs
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
	add := func(title, x, y string, lines []series, marks []float64) error {
		drawing, err := draw(x, y, lines, marks)
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
func (o *Outcome) overLoad(fault string, of func(*Result) float64) []series {
	byPolicy := make(map[string]int)
	var lines []series
	for _, cell := range o.Cells {
		if cell.Fault != fault {
			continue
		}
		for _, result := range cell.Results {
			at, known := byPolicy[result.Policy]
			if !known {
				at = len(lines)
				byPolicy[result.Policy] = at
				lines = append(lines, series{name: result.Policy})
			}
			lines[at].points = append(lines[at].points, plotter.XY{X: cell.Load, Y: of(result)})
		}
	}
	return lines
}

// overTime is the line by tier, a point a second, while requests arrive.
func (o *Outcome) overTime(result *Result) []series {
	var lines []series
	seconds := min(len(result.Waiting), int(o.Length.Seconds())+1)
	for rank, tier := range o.Tiers {
		line := series{name: tier.Name}
		for at := range seconds {
			count := result.Waiting[at][shelfshelf.Tier(rank)]
			line.points = append(line.points, plotter.XY{X: float64(at), Y: float64(count)})
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

// draw plots lines with points, and marks as upright lines.
func draw(x, y string, lines []series, marks []float64) (template.HTML, error) {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = x, y
	p.Y.Min = 0
	// Goodput lies high, so the legend stands below it; other plots get room above.
	low := strings.HasPrefix(y, "%")
	p.Legend.Top = !low
	p.Legend.Left = true
	p.Add(plotter.NewGrid())
	highest := 1.0
	for index, one := range lines {
		line, points, err := plotter.NewLinePoints(one.points)
		if err != nil {
			return "", eris.Wrap(err, "plot")
		}
		line.Color = plotutil.Color(index)
		points.Color = line.Color
		points.Radius = vg.Points(1)
		p.Add(line, points)
		p.Legend.Add(one.name, line)
		for _, point := range one.points {
			highest = max(highest, point.Y)
		}
	}
	if !low {
		p.Y.Max = legendRoom * highest
	}
	for _, mark := range marks {
		line, err := plotter.NewLine(plotter.XYs{{X: mark, Y: 0}, {X: mark, Y: highest}})
		if err != nil {
			return "", eris.Wrap(err, "plot")
		}
		line.Dashes = plotutil.Dashes(1)
		p.Add(line)
	}
	writer, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return "", eris.Wrap(err, "plot")
	}
	var drawing bytes.Buffer
	if _, err := writer.WriteTo(&drawing); err != nil {
		return "", eris.Wrap(err, "plot")
	}
	return template.HTML(drawing.String()), nil //nolint:gosec // made by the plot library
}
