package burn

import (
	_ "embed" // for the page
	"html/template"
	"io"
	"maps"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/shelfshelf/shelfshelf/chart"
)

//go:embed page.html
var pageSource string

var page = template.Must(template.New("burn").Funcs(template.FuncMap{
	"percent": func(share float64) float64 { return 100 * share },
	"dash":    orDash,
	"span":    shortSpan,
}).Parse(pageSource))

const (
	// The plot's size is in inches.
	plotWidth  = 9
	plotHeight = 3.5
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
		"Plot":    drawing,
	})
	return eris.Wrap(err, "write page")
}

// draw plots the burn rate of each route over time.
func (r *Report) draw() (template.HTML, error) {
	drawing := &chart.Chart{
		Title:      "Burn rate by route, over " + shortSpan(Windows[0]),
		YLabel:     "times the allowed rate",
		TimeFormat: "15:04:05",
		Width:      plotWidth,
		Height:     plotHeight,
	}
	for _, route := range slices.Sorted(maps.Keys(r.Points)) {
		line := chart.Line{Name: route}
		for _, point := range r.Points[route] {
			line.Points = append(line.Points, chart.Point{X: float64(point.At.Unix()), Y: point.Rate})
		}
		drawing.Lines = append(drawing.Lines, line)
	}
	return drawing.SVG()
}
