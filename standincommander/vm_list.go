package standincommander

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/lovagelever/lovagelever/vmlistfaker"
)

const defaultListLag = 2 * time.Second

func vmListCommand() *cli.Command {
	return &cli.Command{
		Name:  "vm_list",
		Usage: "run the list of VMs",
		Flags: []cli.Flag{
			listenFlag("127.0.0.1:7102"),
			&cli.DurationFlag{Name: "lag", Value: defaultListLag, Usage: "show a change after this `DURATION`"},
			&cli.StringFlag{Name: "inventory", Usage: "show the VMs of this inventory `FILE` as live from the start"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			opt := vmlistfaker.Options{Lag: cmd.Duration("lag")}
			if path := cmd.String("inventory"); path != "" {
				inv, err := readInventory(path)
				if err != nil {
					return err
				}
				for name, vm := range inv.VMs {
					opt.VMs = append(opt.VMs, vmlistfaker.VM{Name: name, Address: vm.Address, State: vmlistfaker.StateLive})
				}
			}
			return serve(ctx, cmd.Name, cmd.String("listen"), vmlistfaker.New(opt).Handler())
		},
	}
}
