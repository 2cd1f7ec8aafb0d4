package commander

import (
	"context"
	"fmt"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/lovagelever/lovagelever/checker"
)

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:         "check",
		Usage:        "check publication files without sending them",
		ArgsUsage:    "FILE...",
		Description:  "Files that are given together are judged together: give the inventory beside the rules to have names compared.\nEvery problem is printed with file, line and key.",
		OnUsageError: asUsage,
		Action: func(_ context.Context, cmd *cli.Command) error {
			names := cmd.Args().Slice()
			if len(names) == 0 {
				return usagef("give at least one file")
			}
			files, err := checker.Load(names)
			if err != nil {
				return err
			}
			if _, err := checker.Check(files, nil); err != nil {
				return err
			}
			for _, name := range names {
				if _, err := fmt.Fprintf(cmd.Root().Writer, "%s: valid\n", name); err != nil {
					return errors.Annotate(err, "commander: print")
				}
			}
			return nil
		},
	}
}
