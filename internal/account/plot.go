package account

import (
	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 5 * vg.Inch
	barWidth   = 28
)

// WritePlot draws the days' losses as stacked bars, one for each day, into a file
// whose ending names its format (svg, png or pdf).
func WritePlot(path, title string, days []Day) error {
	drawn := plot.New()
	drawn.Title.Text = title
	drawn.Y.Label.Text = "lost, as a share of what was owed"
	drawn.Legend.Top = true
	causes, shares := lossesByCause(days)
	var below *plotter.BarChart
	for place, cause := range causes {
		values := make(plotter.Values, len(days))
		for day, share := range shares[cause] {
			values[day] = max(0, share) // a rounded remainder may be below nought
		}
		bars, err := plotter.NewBarChart(values, vg.Points(barWidth))
		if err != nil {
			return errors.Annotate(err, "drawing bars")
		}
		bars.Color, bars.LineStyle.Width = plotutil.Color(place), 0
		if below != nil {
			bars.StackOn(below)
		}
		below = bars
		drawn.Add(bars)
		drawn.Legend.Add(cause, bars)
	}
	names := make([]string, len(days))
	for place := range days {
		names[place] = days[place].Name
	}
	drawn.NominalX(names...)
	drawn.Y.Max *= 1.9 // room for the legend
	return errors.Trace(drawn.Save(plotWidth, plotHeight, path))
}
