package jayexperiment

import (
	"slices"

	"jayfield.example/jay/jayroute"
)

// Row is a figure of one policy over all seeds.
type Row struct {
	Metric, Unit, Goal  string
	Policy              jayroute.Policy
	Median, Least, Most float64
}

// Summarize returns the median and the range of each figure and policy.
func Summarize(results []Result) []Row {
	var rows []Row
	values := make(map[int][]float64)
	for _, result := range results {
		for _, metric := range result.Metrics {
			at := slices.IndexFunc(rows, func(r Row) bool { return r.Metric == metric.Name && r.Policy == result.Policy })
			if at < 0 {
				at = len(rows)
				rows = append(rows, Row{Metric: metric.Name, Unit: metric.Unit, Goal: metric.Goal, Policy: result.Policy})
			}
			values[at] = append(values[at], metric.Value)
		}
	}
	for at := range rows {
		list := values[at]
		slices.Sort(list)
		middle := (list[(len(list)-1)/2] + list[len(list)/2]) / 2
		rows[at].Least, rows[at].Median, rows[at].Most = list[0], middle, list[len(list)-1]
	}
	slices.SortStableFunc(rows, func(a, b Row) int { return order(rows, a.Metric) - order(rows, b.Metric) })
	return rows
}

// order returns where a figure comes first.
func order(rows []Row, metric string) int {
	return slices.IndexFunc(rows, func(r Row) bool { return r.Metric == metric })
}
