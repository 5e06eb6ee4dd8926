package report

import (
	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// The size of the picture.
const (
	width  = 24 * vg.Centimeter
	height = 14 * vg.Centimeter
)

// plotTo draws the worth of each day over its runs, all of one site, into a file
// whose name tells the format.
func plotTo(path string, runs []Run) error {
	p := plot.New()
	p.Title.Text = "Worth of the days of " + runs[0].Site
	p.X.Label.Text = "run"
	p.Y.Label.Text = "worth"
	p.Y.Min, p.Y.Max = 0, 1
	p.Legend.Top = false
	for i, d := range daysOf(runs) {
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
	return errors.Wrap(p.Save(width, height, path), "draw")
}
