package experiment

import (
	"github.com/gravitational/trace"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	curveWidth  = 16 * vg.Centimeter
	curveHeight = 10 * vg.Centimeter
)

// Curve is the trade-off between latency and waste of one user.
type Curve struct {
	Name   string
	Points []Point
}

// WriteCurves draws the trade-off over WasteWeight into a PNG file. Each point
// is one weight, from the lowest tail latency to the lowest waste.
func WriteCurves(path string, curves []Curve) error {
	p := plot.New()
	p.Title.Text = "Trade-off over WasteWeight"
	p.X.Label.Text = "wasted recomputation, % of prompt tokens"
	p.Y.Label.Text = "time to first token, 95th percentile, ms"
	var lines []any
	for _, c := range curves {
		xys := make(plotter.XYs, len(c.Points))
		for i, point := range c.Points {
			xys[i].X = 100 * SpreadOf(point.Runs, func(r Summary) float64 { return r.Waste }).Mean
			xys[i].Y = SpreadOf(point.Runs, func(r Summary) float64 { return r.P95 }).Mean
		}
		lines = append(lines, c.Name, xys)
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return trace.Wrap(err, "drawing the curves")
	}
	return trace.Wrap(p.Save(curveWidth, curveHeight, path), "writing %s", path)
}
