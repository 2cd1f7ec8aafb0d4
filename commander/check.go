package commander

import (
	"context"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/lovagelever/lovagelever/cataloger"
	"github.com/lovagelever/lovagelever/checker"
)

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:         "check",
		Usage:        "check publication files without sending them",
		ArgsUsage:    "FILE...",
		Description:  "Files that are given together are judged together: give the inventory beside the rules to have names compared.\nWith --entry they are judged on top of the catalog in force.\nEvery problem is printed with file, line and key.",
		OnUsageError: usageError,
		Flags:        []cli.Flag{entryFlag()},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			names := cmd.Args().Slice()
			if len(names) == 0 {
				return usagef("give at least one file")
			}
			files, err := checker.Load(names)
			if err != nil {
				return err
			}
			current, err := currentCatalog(ctx, cmd)
			if err != nil {
				return err
			}
			if _, err := checker.Check(files, current); err != nil {
				return err
			}
			return printf(cmd, "valid: %s\n", strings.Join(names, ", "))
		},
	}
}

// currentCatalog returns the catalog in force at the entries given by --entry, or nil if the flag is not set.
func currentCatalog(ctx context.Context, cmd *cli.Command) (*cataloger.Catalog, error) {
	if !cmd.IsSet("entry") {
		return nil, nil
	}
	req, err := entries(cmd)
	if err != nil {
		return nil, err
	}
	rev, err := req.Catalog(ctx)
	if err != nil {
		return nil, err
	}
	return &rev.Catalog, nil
}
