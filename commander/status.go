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
		Name: "status", Usage: "print a page for operators of each VM, by default its status",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "vm", Usage: "`ADDRESS` of a VM's port for operators; may be repeated"},
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
