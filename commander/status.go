package commander

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/netip"

	"github.com/urfave/cli/v3"

	"github.com/pistachiogap/pistachiogap/caller"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "print what VMs say of themselves",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "vm", Usage: "operators' `ADDRESS` of a VM, repeated"},
			&cli.StringFlag{Name: "of", Value: "status", Usage: "`PAGE`: status, configuration, members, upstreams, quarantine or metrics"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			vms, err := addresses(c, "vm")
			if err != nil {
				return err
			}
			client := caller.NewClient(netip.Addr{})
			defer client.Close()
			for _, a := range vms {
				b, err := client.Read(ctx, a, "/admin/v1/"+c.String("of"))
				if err != nil {
					return err
				}
				var pretty bytes.Buffer
				if err := json.Indent(&pretty, b, "", "  "); err != nil {
					return err
				}
				if _, err := fmt.Fprintln(c.Root().Writer, pretty.String()); err != nil {
					return err
				}
			}
			return nil
		},
	}
}
