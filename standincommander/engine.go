package standincommander

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/lovagelever/lovagelever/enginefaker"
)

func engineCommand() *cli.Command {
	return &cli.Command{
		Name:  "engine",
		Usage: "run the model engines of all VMs in one fabric domain",
		Flags: []cli.Flag{
			inventoryFlag(),
			&cli.StringFlag{Name: "domain", Required: true, Usage: "`NAME` of the fabric domain"},
			&cli.StringFlag{Name: "weight-store", Usage: "`IP:PORT` of the weight store; without it loads take no time"},
			&cli.StringFlag{Name: "control", Required: true, Usage: "`IP:PORT` of the control API for faults and counts"},
			&cli.Int64Flag{Name: "seed", Usage: "seed `N` for the random loss of cache events"},
			&cli.DurationFlag{Name: "warm-after", Usage: "become warm after this `DURATION` under load (default 5s)"},
			&cli.IntFlag{Name: "cold-limit", Usage: "restart the engine above `N` requests while cold (default 4)"},
			&cli.DurationFlag{Name: "report-lag", Usage: "report load and cache events after this `DURATION`"},
			&cli.DurationFlag{Name: "step", Usage: "base `DURATION` of a step (default 4ms)"},
			&cli.DurationFlag{Name: "step-each", Usage: "`DURATION` that each running request adds to a step (default 200us)"},
			&cli.IntFlag{Name: "batch-limit", Usage: "run at most `N` requests at once (default 64)"},
			&cli.IntFlag{Name: "queue-limit", Usage: "refuse requests above `N` queued ones (default 256)"},
			&cli.IntFlag{Name: "cache-tokens", Usage: "remember prefixes of up to `N` tokens (default 65536)"},
			&cli.StringFlag{Name: "crash-marker", Usage: "crash the group on a request with this `TEXT` (default crash-the-engine)"},
		},
		Action: runEngine,
	}
}

func runEngine(ctx context.Context, cmd *cli.Command) error {
	inv, err := readInventory(cmd.String("inventory"))
	if err != nil {
		return err
	}
	sim := enginefaker.New(enginefaker.Options{
		Inventory:      inv,
		Domain:         cmd.String("domain"),
		ControlAddress: cmd.String("control"),
		WeightStore:    cmd.String("weight-store"),
		EventLossSeed:  cmd.Int64("seed"),
		WarmAfter:      cmd.Duration("warm-after"),
		ColdLimit:      cmd.Int("cold-limit"),
		ReportLag:      cmd.Duration("report-lag"),
		StepBase:       cmd.Duration("step"),
		StepPerRequest: cmd.Duration("step-each"),
		BatchLimit:     cmd.Int("batch-limit"),
		QueueLimit:     cmd.Int("queue-limit"),
		CacheTokens:    cmd.Int("cache-tokens"),
		CrashMarker:    cmd.String("crash-marker"),
	})
	if err := sim.Start(); err != nil {
		return err
	}
	defer sim.Close()
	return waitForShutdown(ctx, cmd.Name, cmd.String("control"))
}
