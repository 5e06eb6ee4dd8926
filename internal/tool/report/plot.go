package report

import (
	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// The size of the plot.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 14 * vg.Centimeter
)

// savePlot writes a plot to the file path. It shows the value of each day over its runs,
// which must all be of one site. The extension of path selects the format.
func savePlot(path string, runs []Run) error {
	p := plot.New()
	p.Title.Text = "Value of the days of " + runs[0].Site
	p.X.Label.Text = "run"
	p.Y.Label.Text = "value"
	p.Y.Min, p.Y.Max = 0, 1
	p.Legend.Top = false
	for i, d := range groupByDay(runs) {
		points := make(plotter.XYs, len(d.runs))
		for n, r := range d.runs {
			points[n] = plotter.XY{X: float64(n + 1), Y: r.Worth}
		}
		line, marks, err := plotter.NewLinePoints(points)
		if err != nil {
			return errors.Wrap(err, d.name)
		}
		line.Color, marks.Color, marks.Shape = plotutil.Color(i), plotutil.Color(i), plotutil.Shape(i)
		p.Add(line, marks)
		p.Legend.Add(d.name, line, marks)
	}
	return errors.Wrap(p.Save(plotWidth, plotHeight, path), "save plot")
}
