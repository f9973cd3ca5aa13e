package burn

import (
	"bytes"
	_ "embed" // for the page
	"html/template"
	"io"
	"slices"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

//go:embed page.html
var pageSource string

var page = template.Must(template.New("burn").Funcs(template.FuncMap{
	"percent": func(share float64) float64 { return 100 * share },
	"dash":    orDash,
	"span":    shortSpan,
}).Parse(pageSource))

const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 3.5 * vg.Inch
)

// WriteHTML writes the report as one page with a plot.
func (r *Report) WriteHTML(out io.Writer) error {
	drawing, err := r.draw()
	if err != nil {
		return err
	}
	err = page.Execute(out, map[string]any{
		"Report":  r,
		"Windows": Windows,
		"Plot":    template.HTML(drawing), //nolint:gosec // made by the plot library
	})
	return eris.Wrap(err, "write page")
}

// draw plots the burn rate of each route over time.
func (r *Report) draw() (string, error) {
	p := plot.New()
	p.Title.Text = "Burn rate by route, over " + shortSpan(Windows[0])
	p.Y.Label.Text = "times the allowed rate"
	p.Y.Min = 0
	p.X.Tick.Marker = plot.TimeTicks{Format: "15:04:05"}
	p.Legend.Top = true
	var routes []string
	for route := range r.Points {
		routes = append(routes, route)
	}
	slices.Sort(routes)
	for index, route := range routes {
		points := make(plotter.XYs, len(r.Points[route]))
		for i, point := range r.Points[route] {
			points[i] = plotter.XY{X: float64(point.At.Unix()), Y: point.Rate}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return "", eris.Wrap(err, "plot")
		}
		line.Color = plotutil.Color(index)
		line.Dashes = plotutil.Dashes(index)
		p.Add(line)
		p.Legend.Add(route, line)
	}
	writer, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return "", eris.Wrap(err, "plot")
	}
	var drawing bytes.Buffer
	if _, err := writer.WriteTo(&drawing); err != nil {
		return "", eris.Wrap(err, "plot")
	}
	return drawing.String(), nil
}
