package measurecommander

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/lovagelever/lovagelever/generator"
)

func generateCommand() *cli.Command {
	return &cli.Command{
		Name:  "generate",
		Usage: "write the inventory, rules and settings of a deployment",
		Flags: append(sizeFlags(),
			&cli.StringFlag{Name: "dir", Required: true, Usage: "`DIRECTORY` to write to"},
			&cli.IntFlag{Name: "domain-vms", Value: 10, Usage: "`N` engine VMs in a fabric domain"},
			&cli.IntFlag{Name: "warm-limit", Value: 16, Usage: "limit of `N` requests on a warm replica"},
			&cli.IntFlag{Name: "cells", Value: 1, Usage: "split the workspaces and the replicas of the first model into `N` cells"},
			&cli.StringMapFlag{Name: "extra", Usage: "`KEY=VALUE` added to the settings of each entry"},
		),
		Action: func(_ context.Context, cmd *cli.Command) error {
			siz := sizeOf(cmd)
			siz.DomainVMs = cmd.Int("domain-vms")
			siz.WarmLimit = cmd.Int("warm-limit")
			siz.Cells = cmd.Int("cells")
			siz.Extra = cmd.StringMap("extra")
			return generator.Generate(siz, cmd.String("dir"))
		},
	}
}

func sizeFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "net", Required: true, Usage: "first two `NUMBERS` of the IP addresses"},
		&cli.IntFlag{Name: "entries", Required: true, Usage: "`N` entries"},
		&cli.IntFlag{Name: "engines", Required: true, Usage: "`N` engine VMs"},
	}
}

func sizeOf(cmd *cli.Command) generator.Size {
	return generator.Size{AddressPrefix: cmd.String("net"), Entries: cmd.Int("entries"), Engines: cmd.Int("engines")}
}
