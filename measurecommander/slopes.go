package measurecommander

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"github.com/lovagelever/lovagelever/fitter"
	"github.com/lovagelever/lovagelever/scaler"
)

const columnGap = 2

type column struct {
	name   string
	format string
	value  func(poi scaler.Point) float64
}

var columns = []column{
	{"core share, mean %", "%.2f", func(poi scaler.Point) float64 { return 100 * poi.CoreShare }},
	{"core share, worst %", "%.2f", func(poi scaler.Point) float64 { return 100 * poi.CoreShareWorst }},
	{"resident MiB", "%.1f", func(poi scaler.Point) float64 { return poi.ResidentMiB }},
	{"entries in B/s", "%.0f", func(poi scaler.Point) float64 { return poi.EntriesIn }},
	{"entries out B/s", "%.0f", func(poi scaler.Point) float64 { return poi.EntriesOut }},
	{"others in B/s", "%.0f", func(poi scaler.Point) float64 { return poi.OthersIn }},
	{"others out B/s", "%.0f", func(poi scaler.Point) float64 { return poi.OthersOut }},
	{"worst in B/s", "%.0f", func(poi scaler.Point) float64 { return poi.ControlInWorst }},
	{"worst out B/s", "%.0f", func(poi scaler.Point) float64 { return poi.ControlOutWorst }},
	{"log reads /s, all", "%.2f", func(poi scaler.Point) float64 { return poi.LogReads }},
	{"log appends /s, all", "%.2f", func(poi scaler.Point) float64 { return poi.LogAppends }},
	{"change in force, median s", "%.3f", func(poi scaler.Point) float64 { return poi.Median }},
	{"change in force, worst s", "%.3f", func(poi scaler.Point) float64 { return poi.Worst }},
	{"changes not in force", "%.0f", func(poi scaler.Point) float64 { return float64(poi.Failed) }},
	{"killed entry evicted, s", "%.1f", func(poi scaler.Point) float64 { return poi.Evicted }},
	{"its homes taken over, s", "%.1f", func(poi scaler.Point) float64 { return poi.TakenOver }},
}

func slopesCommand() *cli.Command {
	return &cli.Command{
		Name:      "slopes",
		Usage:     "print the results of all sizes with a least-squares fit over the number of entries",
		ArgsUsage: "FILE",
		Action: func(_ context.Context, cmd *cli.Command) error {
			pois, err := scaler.LoadPoints(cmd.Args().First())
			if err != nil {
				return err
			}
			return printPoints(cmd.Root().Writer, pois)
		},
	}
}

func printPoints(wtr io.Writer, pois []scaler.Point) error {
	out := tabwriter.NewWriter(wtr, 0, 0, columnGap, ' ', 0)
	_, _ = fmt.Fprint(out, "entries/engine VMs")
	var xs []float64
	for _, poi := range pois {
		xs = append(xs, float64(poi.Entries))
		_, _ = fmt.Fprintf(out, "\t%d/%d", poi.Entries, poi.Engines)
	}
	_, _ = fmt.Fprintln(out, "\tbase\tslope for each entry")
	for _, col := range columns {
		printColumn(out, col, xs, pois)
	}
	return out.Flush()
}

func printColumn(out io.Writer, col column, xs []float64, pois []scaler.Point) {
	_, _ = fmt.Fprint(out, col.name)
	var ys []float64
	for _, poi := range pois {
		ys = append(ys, col.value(poi))
		_, _ = fmt.Fprintf(out, "\t"+col.format, col.value(poi))
	}
	lin := fitter.Fit(xs, ys)
	_, _ = fmt.Fprintf(out, "\t%.4g\t%.4g\n", lin.Intercept, lin.Slope)
}
