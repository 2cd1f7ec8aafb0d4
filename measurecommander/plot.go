package measurecommander

import (
	"context"
	"encoding/json"
	"os"
	"strings"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/lovagelever/lovagelever/drawer"
	"github.com/lovagelever/lovagelever/loader"
)

func plotCommand() *cli.Command {
	return &cli.Command{
		Name:      "plot",
		Usage:     "plot the share of requests answered in time per second, one line for each variant",
		ArgsUsage: "RESULTS PLOT",
		Flags:     []cli.Flag{&cli.StringFlag{Name: "title", Usage: "`TEXT` above the plot"}},
		Action: func(_ context.Context, cmd *cli.Command) error {
			data, err := os.ReadFile(cmd.Args().Get(0))
			if err != nil {
				return errors.Annotate(err, "measurecommander: read results")
			}
			dra := drawer.Drawing{Title: cmd.String("title"), XLabel: "second of arrival", YLabel: "share answered completely in time"}
			for line := range strings.Lines(string(data)) {
				var one row[[]loader.Second]
				if json.Unmarshal([]byte(line), &one) == nil {
					dra.Series = append(dra.Series, drawer.Series{Name: one.Variant, Values: shares(one.Result)})
				}
			}
			return dra.Save(cmd.Args().Get(1))
		},
	}
}

func shares(secs []loader.Second) []float64 {
	var out []float64
	for _, sec := range secs {
		if sec.Requests > 0 {
			out = append(out, float64(sec.InTime)/float64(sec.Requests))
		}
	}
	return out
}
