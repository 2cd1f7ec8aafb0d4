package standincommander

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/lovagelever/lovagelever/servicefaker"
)

func serviceCommand() *cli.Command {
	return &cli.Command{
		Name:  "service",
		Usage: "run the VMs of one plain service",
		Flags: []cli.Flag{
			inventoryFlag(),
			&cli.StringFlag{Name: "service", Required: true, Usage: "`NAME` of the service"},
			&cli.StringFlag{Name: "control", Required: true, Usage: "`IP:PORT` of the control API for faults and counts"},
			&cli.DurationFlag{Name: "work", Usage: "`DURATION` of one call (default 5ms)"},
			&cli.DurationFlag{Name: "warm-after", Usage: "become warm after this `DURATION` under load (default 5s)"},
			&cli.IntFlag{Name: "cold-limit", Usage: "restart the VM above `N` calls while cold (default from the inventory)"},
			&cli.IntFlag{Name: "warm-limit", Usage: "refuse calls above `N` concurrent ones (default twice the inventory's warm limit)"},
		},
		Action: runService,
	}
}

func runService(ctx context.Context, cmd *cli.Command) error {
	inv, err := readInventory(cmd.String("inventory"))
	if err != nil {
		return err
	}
	sim := servicefaker.New(servicefaker.Options{
		Inventory:      inv,
		Service:        cmd.String("service"),
		ControlAddress: cmd.String("control"),
		CallDuration:   cmd.Duration("work"),
		WarmAfter:      cmd.Duration("warm-after"),
		ColdLimit:      cmd.Int("cold-limit"),
		WarmLimit:      cmd.Int("warm-limit"),
	})
	if err := sim.Start(); err != nil {
		return err
	}
	defer sim.Close()
	return waitForShutdown(ctx, cmd.Name, cmd.String("control"))
}
