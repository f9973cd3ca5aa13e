package chart

import (
	"bytes"
	"html/template"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	pointRadius = vg.Length(1)
	// legendRoom is how much higher than its highest point a plot is, if its legend
	// stands at the top.
	legendRoom = 1.4
)

// Line is one line of a chart.
type Line struct {
	Name   string
	Points []Point
}

// Point is one point of a line.
type Point struct {
	X, Y float64
}

// Chart is a plot of lines over a shared axis.
type Chart struct {
	Title  string
	XLabel string
	YLabel string
	// TimeFormat, if set, takes X for seconds since 1970 and writes it so.
	TimeFormat string
	// LegendBelow puts the legend at the bottom, for lines that lie high.
	LegendBelow bool
	Lines       []Line
	// Marks are drawn as upright lines at their X.
	Marks []float64
	// Width and Height are in inches.
	Width  float64
	Height float64
}

// SVG draws the chart.
func (c *Chart) SVG() (template.HTML, error) {
	p := plot.New()
	p.Title.Text = c.Title
	p.X.Label.Text, p.Y.Label.Text = c.XLabel, c.YLabel
	p.Y.Min = 0
	if c.TimeFormat != "" {
		p.X.Tick.Marker = plot.TimeTicks{Format: c.TimeFormat}
	}
	p.Legend.Top = !c.LegendBelow
	p.Legend.Left = true
	p.Add(plotter.NewGrid())
	highest, err := c.addLines(p)
	if err != nil {
		return "", err
	}
	if !c.LegendBelow {
		p.Y.Max = legendRoom * highest
	}
	for _, mark := range c.Marks {
		line, err := plotter.NewLine(plotter.XYs{{X: mark, Y: 0}, {X: mark, Y: highest}})
		if err != nil {
			return "", eris.Wrap(err, "plot")
		}
		line.Dashes = plotutil.Dashes(1)
		p.Add(line)
	}
	writer, err := p.WriterTo(vg.Length(c.Width)*vg.Inch, vg.Length(c.Height)*vg.Inch, "svg")
	if err != nil {
		return "", eris.Wrap(err, "plot")
	}
	var drawing bytes.Buffer
	if _, err := writer.WriteTo(&drawing); err != nil {
		return "", eris.Wrap(err, "plot")
	}
	return template.HTML(drawing.String()), nil //nolint:gosec // made by the plot library
}

// addLines draws the lines and returns their highest Y, at least 1.
func (c *Chart) addLines(p *plot.Plot) (highest float64, err error) {
	highest = 1
	for index, one := range c.Lines {
		points := make(plotter.XYs, len(one.Points))
		for i, point := range one.Points {
			points[i] = plotter.XY{X: point.X, Y: point.Y}
			highest = max(highest, point.Y)
		}
		line, dots, err := plotter.NewLinePoints(points)
		if err != nil {
			return 0, eris.Wrap(err, "plot")
		}
		line.Color = plotutil.Color(index)
		dots.Color = line.Color
		dots.Radius = pointRadius
		p.Add(line, dots)
		p.Legend.Add(one.Name, line)
	}
	return highest, nil
}
