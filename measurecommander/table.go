package measurecommander

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"
)

func tableCommand() *cli.Command {
	return &cli.Command{
		Name:      "table",
		Usage:     "print each result on one line",
		ArgsUsage: "FILE",
		Action: func(_ context.Context, cmd *cli.Command) error {
			data, err := os.ReadFile(cmd.Args().First())
			if err != nil {
				return errors.Annotate(err, "measurecommander: read results")
			}
			out := tabwriter.NewWriter(cmd.Root().Writer, 0, 0, columnGap, ' ', 0)
			for line := range strings.Lines(string(data)) {
				var one row[json.RawMessage]
				if err := json.Unmarshal([]byte(line), &one); err != nil {
					return errors.NewNotValid(err, "measurecommander: parse results")
				}
				_, _ = fmt.Fprintf(out, "%s\t%s\t%s\n", one.Experiment, one.Variant, one.Result)
			}
			return out.Flush()
		},
	}
}
