package jayexperiment

import (
	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
	boxWidth   = 1 * vg.Centimeter
)

// Plot writes a PNG with a box over all seeds for each policy's values of a figure.
func Plot(results []Result, metric, file string) error {
	values := make(map[string]plotter.Values)
	var policies []string
	unit := ""
	for _, result := range results {
		for _, m := range result.Metrics {
			if m.Name != metric {
				continue
			}
			name := string(result.Policy)
			if values[name] == nil {
				policies = append(policies, name)
			}
			values[name] = append(values[name], m.Value)
			unit = m.Unit
		}
	}
	if len(policies) == 0 {
		return errors.Errorf("no result has the figure %q; see the names in the file", metric)
	}
	p := plot.New()
	p.Title.Text = metric
	p.Y.Label.Text = unit
	p.Y.Min = 0
	for n, policy := range policies {
		box, err := plotter.NewBoxPlot(boxWidth, float64(n), values[policy])
		if err != nil {
			return errors.Wrap(err, "plot")
		}
		p.Add(box)
	}
	p.NominalX(policies...)
	return errors.Wrap(p.Save(plotWidth, plotHeight, file), "plot")
}
