package drawer

import (
	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	width  = 20 * vg.Centimeter
	height = 10 * vg.Centimeter
)

// Series is a named line whose point i is at x = i.
type Series struct {
	Name   string
	Values []float64
}

// Drawing is a plot of several series.
type Drawing struct {
	Title  string
	XLabel string
	YLabel string
	Series []Series
}

// Save writes the drawing to a file in the format of its extension, such as .svg.
func (dra Drawing) Save(file string) error {
	plt := plot.New()
	plt.Title.Text, plt.X.Label.Text, plt.Y.Label.Text = dra.Title, dra.XLabel, dra.YLabel
	plt.Legend.Left = true
	plt.Y.Min = 0
	var args []any
	for _, ser := range dra.Series {
		args = append(args, ser.Name, points(ser.Values))
	}
	if err := plotutil.AddLines(plt, args...); err != nil {
		return errors.Annotate(err, "drawer: add lines")
	}
	return errors.Annotate(plt.Save(width, height, file), "drawer: save")
}

func points(vals []float64) plotter.XYs {
	out := make(plotter.XYs, len(vals))
	for num, val := range vals {
		out[num] = plotter.XY{X: float64(num), Y: val}
	}
	return out
}
