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

// WritePlot plots the losses as one stacked bar per day. The extension of path
// selects the format: svg, png or pdf.
func WritePlot(path, title string, days []Day) error {
	chart := plot.New()
	chart.Title.Text = title
	chart.Y.Label.Text = "lost share of the maximum score"
	chart.Legend.Top = true
	causes, shares := lossesByCause(days)
	var previous *plotter.BarChart
	for index, cause := range causes {
		values := make(plotter.Values, len(days))
		for day, share := range shares[cause] {
			values[day] = max(0, share) // the rounding remainder may be negative
		}
		bars, err := plotter.NewBarChart(values, vg.Points(barWidth))
		if err != nil {
			return errors.Annotatef(err, "cannot create the bars of cause %q", cause)
		}
		bars.Color, bars.LineStyle.Width = plotutil.Color(index), 0
		if previous != nil {
			bars.StackOn(previous)
		}
		previous = bars
		chart.Add(bars)
		chart.Legend.Add(cause, bars)
	}
	names := make([]string, len(days))
	for index := range days {
		names[index] = days[index].Name
	}
	chart.NominalX(names...)
	chart.Y.Max *= 1.9 // leaves room for the legend above the bars
	return errors.Trace(chart.Save(plotWidth, plotHeight, path))
}
