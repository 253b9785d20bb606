package main

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

const mebibyte = 1 << 20

// column is one column of the report with its title, its value and the number of decimals.
type column struct {
	title    string
	value    func(result) float64
	decimals int
}

var columns = []column{
	{"start calls", func(r result) float64 { return r.startCallsPerDaemon }, 2},
	{"median ms", func(r result) float64 { return milliseconds(r.median) }, 1},
	{"99% ms", func(r result) float64 { return milliseconds(r.p99) }, 1},
	{"worst ms", func(r result) float64 { return milliseconds(r.worst) }, 1},
	{"late", func(r result) float64 { return float64(r.late) }, 0},
	{"change B", func(r result) float64 { return r.bytesPerChange }, 0},
	{"rest B/s", func(r result) float64 { return r.restBytesPerSecond }, 0},
	{"rest max B/s", func(r result) float64 { return r.maxRestBytesPerSecond }, 0},
	{"loopback B/s", func(r result) float64 { return r.loopbackBytesPerSecond }, 0},
	{"source calls/s", func(r result) float64 { return r.sourceCallsAtRest }, 2},
	{"calls/change", func(r result) float64 { return r.sourceCallsPerChange }, 1},
	{"watches held", func(r result) float64 { return float64(r.watchesHeld) }, 0},
	{"cpu % core", func(r result) float64 { return 100 * r.cpuShareAtRest }, 3},
	{"cpu ms/change", func(r result) float64 { return milliseconds(r.cpuPerChange) }, 2},
	{"memory MB", func(r result) float64 { return r.memory / mebibyte }, 1},
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// writeReport writes one row for each result and, for each policy and number of routes with at least two results, a
// row with the slopes over the number of daemons.
func writeReport(out io.Writer, results []result) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	header := "readers\troutes\tbytes\tdaemons\tsamples\t"
	for _, c := range columns {
		header += c.title + "\t"
	}
	if _, err := fmt.Fprintln(table, header); err != nil {
		return err
	}
	type group struct {
		policy string
		routes int
	}
	groups := make(map[group][]result)
	var order []group
	for _, r := range results {
		line := fmt.Sprintf("%s\t%d\t%d\t%d\t%d\t",
			r.trial.policy, r.trial.routes, r.registerBytes, r.trial.daemons, r.samples)
		for _, c := range columns {
			line += fmt.Sprintf("%.*f\t", c.decimals, c.value(r))
		}
		if _, err := fmt.Fprintln(table, line); err != nil {
			return err
		}
		g := group{policy: r.trial.policy, routes: r.trial.routes}
		if groups[g] == nil {
			order = append(order, g)
		}
		groups[g] = append(groups[g], r)
	}
	for _, g := range order {
		if len(groups[g]) < 2 {
			continue
		}
		line := fmt.Sprintf("%s\t%d\tslope\tper daemon\t\t", g.policy, g.routes)
		for _, c := range columns {
			slope, _ := leastSquares(groups[g], c.value)
			line += fmt.Sprintf("%.4g\t", slope)
		}
		if _, err := fmt.Fprintln(table, line); err != nil {
			return err
		}
	}
	return table.Flush()
}

// leastSquares fits value = intercept + slope * daemons by least squares. The slope is 0 when all numbers of daemons
// are equal.
func leastSquares(results []result, value func(result) float64) (slope, intercept float64) {
	var n, sumX, sumY, sumXX, sumXY float64
	for _, r := range results {
		x, y := float64(r.trial.daemons), value(r)
		n, sumX, sumY, sumXX, sumXY = n+1, sumX+x, sumY+y, sumXX+x*x, sumXY+x*y
	}
	if spread := n*sumXX - sumX*sumX; spread != 0 {
		slope = (n*sumXY - sumX*sumY) / spread
	}
	return slope, (sumY - slope*sumX) / n
}
