package cli

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/jujubeshed/jujubeshed/api/gen/operators"
)

func ordersCommand() *cli.Command {
	return operatorCommand("orders", "list the orders that were sent and whose outcome is unknown",
		func(ctx context.Context, c *operators.Client) (any, func(io.Writer) error, error) {
			list, err := c.GetUnconfirmedOrders(ctx)
			return list, func(w io.Writer) error { return printOrders(w, list.Orders) }, err
		})
}

func printOrders(w io.Writer, orders []operators.UnconfirmedOrder) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "WORKSPACE\tKEY\tSENT BY\tSINCE\tSTATE")
	for _, o := range orders {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\n", o.Workspace, o.Key, o.Node, o.Claimed.Format(time.RFC3339), o.State)
	}
	return t.Flush()
}
