package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/jujubeshed/jujubeshed/api/gen/operators"
	"github.com/jujubeshed/jujubeshed/internal/sharedkey"
)

// statusTimeout limits each call of the operators' API.
const statusTimeout = 10 * time.Second

func operatorFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "node", Value: "127.0.0.1:8081", Usage: "IP:port of a node's operators' API (its --operators flag)", Sources: env("node")},
		keyFlag(),
		jsonFlag(),
	}
}

func operatorsClient(cmd *cli.Command) (*operators.Client, error) {
	client := &http.Client{Transport: sharedkey.Key(cmd.String("key")).Transport(http.DefaultTransport)}
	return operators.NewClient("http://"+cmd.String("node"), operators.WithClient(client))
}

// operatorCommand returns a command that makes one call of the operators' API. It prints
// the response as JSON or with the print function that call returns.
func operatorCommand(name, usage string, call func(context.Context, *operators.Client) (any, func(io.Writer) error, error)) *cli.Command {
	return &cli.Command{
		Name:  name,
		Usage: usage,
		Flags: operatorFlags(),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			ctx, cancel := context.WithTimeout(ctx, statusTimeout)
			defer cancel()
			c, err := operatorsClient(cmd)
			if err != nil {
				return usageError{err}
			}
			response, printResponse, err := call(ctx, c)
			var problem *operators.ProblemStatusCode
			switch {
			case errors.As(err, &problem) && problem.StatusCode == http.StatusUnauthorized:
				return usageError{fmt.Errorf("--key: node %s rejected the key; want the key that all nodes share", cmd.String("node"))}
			case err != nil:
				return unreachableError{err}
			}
			if cmd.Bool("json") {
				return writeJSON(cmd.Root().Writer, response)
			}
			return printResponse(cmd.Root().Writer)
		},
	}
}

func statusCommand() *cli.Command {
	return operatorCommand("status", "show a node's view of nodes, endpoints and files, and whether its revision is in force everywhere",
		func(ctx context.Context, c *operators.Client) (any, func(io.Writer) error, error) {
			st, err := c.GetStatus(ctx)
			return st, func(w io.Writer) error { return printStatus(w, st) }, err
		})
}

func movesCommand() *cli.Command {
	return operatorCommand("moves", "show the state of each version move with the reason and the next step",
		func(ctx context.Context, c *operators.Client) (any, func(io.Writer) error, error) {
			list, err := c.GetMoves(ctx)
			return list, func(w io.Writer) error { return printMoves(w, list.Moves) }, err
		})
}

func printStatus(w io.Writer, st *operators.Status) error {
	everywhere := "not yet in force everywhere"
	if st.Everywhere {
		everywhere = "in force everywhere"
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "node %s in %s: revision %d, %s; invariant violations: %d\n",
		st.Node, st.DataCentre, st.Revision, everywhere, st.InvariantViolations)
	fmt.Fprintln(t, "\nNODE\tDATA CENTRE\tSTATE\tREVISION")
	for _, m := range st.Members {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\n", m.Node, m.DataCentre, m.State, m.Revision)
	}
	fmt.Fprintln(t, "\nENDPOINT\tHOST\tDATA CENTRE\tSERVICE\tVERSION\tSTATE")
	for _, e := range st.Endpoints {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\n", e.Endpoint, e.Host, e.DataCentre, e.Service, e.Version, e.State)
	}
	fmt.Fprintln(t, "\nFILE\tSTATE\tREVISION\tREMARK")
	for _, f := range st.Files {
		fmt.Fprintf(t, "%s\t%s\t%d\t%s\n", f.File, f.State, f.Revision.Or(0), f.Reason.Or(""))
	}
	printFleet(t, st.Fleet)
	return t.Flush()
}

// printFleet prints the services whose hosts the system buys. It prints nothing if there
// are none.
func printFleet(t io.Writer, fleet []operators.FleetStatus) {
	if len(fleet) == 0 {
		return
	}
	fmt.Fprintln(t, "\nSERVICE\tDATA CENTRE\tWANTED\tSTARTING\tREADY\tDRAINING")
	for _, f := range fleet {
		for _, c := range f.DataCentres {
			fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\n", f.Service, c.DataCentre, c.Wanted, c.Starting, c.Ready, c.Draining)
		}
	}
	for _, f := range fleet {
		fmt.Fprintf(t, "\n%s: %s\n", f.Service, fleetHeadline(f))
		for _, a := range f.Actions {
			fmt.Fprintf(t, "  %s  %s\n", a.At.UTC().Format(time.RFC3339), a.Text)
		}
	}
}

func fleetHeadline(f operators.FleetStatus) string {
	line := "decided by another node."
	if f.DecidesHere {
		line = fmt.Sprintf("demand %.3g requests/s, need %.3g, capacity %.3g.", f.Demand.Or(0), f.Need.Or(0), f.Capacity.Or(0))
	}
	if remark := f.Remark.Or(""); remark != "" {
		line += " " + remark
	}
	return line
}

func printMoves(w io.Writer, moves []operators.Move) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "MOVE\tSERVICE\tFROM\tTO\tSTATE\tSHARE\tREASON\tNEXT")
	for _, m := range moves {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%.1f%%\t%s\t%s\n", m.Name, m.Service, m.From, m.To, m.State, 100*m.Share, m.Reason, m.Next)
		for _, e := range m.Evidence {
			fmt.Fprintf(t, "\t\t\t\t\t\t%s\t\n", e.Finding)
		}
	}
	return t.Flush()
}
