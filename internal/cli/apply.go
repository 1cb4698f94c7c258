package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"github.com/jujubeshed/jujubeshed/internal/config"
	"github.com/jujubeshed/jujubeshed/internal/config/syncer"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/lease"
	"github.com/jujubeshed/jujubeshed/internal/lease/holder"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
)

// applyTimeout limits the apply command, including the wait for its lease.
const applyTimeout = 30 * time.Second

func applyCommand() *cli.Command {
	return &cli.Command{
		Name:      "apply",
		Usage:     "apply a directory of configuration files to the deployment",
		ArgsUsage: "DIR",
		Flags:     []cli.Flag{platformFlag(), jsonFlag()},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			dir := cmd.Args().First()
			if dir == "" {
				return usageError{errors.New("apply: missing argument DIR, the directory of the configuration files")}
			}
			files, err := readConfigDir(dir)
			if err != nil {
				return usageError{err}
			}
			ctx, cancel := context.WithTimeout(ctx, applyTimeout)
			defer cancel()
			return runApply(ctx, cmd.Root().Writer, cmd.String("platform"), files, cmd.Bool("json"))
		},
	}
}

func jsonFlag() cli.Flag {
	return &cli.BoolFlag{Name: "json", Usage: "print the output as JSON"}
}

func runApply(ctx context.Context, w io.Writer, addr string, files []config.File, asJSON bool) error {
	store, err := platformapi.NewClient(platformapi.ClientOptions{Address: addr})
	if err != nil {
		return err
	}
	defer store.Close()
	var result syncer.ApplyResult
	err = withApplyLease(ctx, store, func() error {
		var err error
		result, err = syncer.New(syncer.Options{Store: store}).Apply(ctx, files)
		return err
	})
	if asJSON {
		if err := writeJSON(w, result); err != nil {
			return err
		}
	} else if err := printFileStatus(w, result.Status); err != nil {
		return err
	}
	switch {
	case errors.Is(err, syncer.ErrRefused):
		return usageError{err}
	case errors.Is(err, platformapi.ErrUnavailable), errors.Is(err, platformapi.ErrUnknown):
		return unreachableError{err}
	default:
		return err
	}
}

// Settings of the lease that apply holds while it writes the files.
const (
	applyLease           = "apply"
	applyLeaseTerm       = 8 * time.Second
	applyObserveInterval = 250 * time.Millisecond
	applyCallTimeout     = 2 * time.Second
	applyPollInterval    = 10 * time.Millisecond
)

// withApplyLease runs f while holding the apply lease, so that two concurrent apply
// commands do not mix their files. After an apply was killed, the next one waits until
// the lease expires. If the lease is lost while f runs, the conditional update of each
// file still prevents overwriting another writer's change.
func withApplyLease(ctx context.Context, store platformapi.Store, f func() error) error {
	h, err := holder.New(holder.Options{
		Store: store, Name: applyLease, CallTimeout: applyCallTimeout,
		Owner: lease.Owner{Node: ident.NodeID(uuid.NewString())},
		Lease: lease.Options{Term: applyLeaseTerm, ObserveInterval: applyObserveInterval},
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- h.Run(ctx) }()
	for {
		if _, held := h.Held(); held {
			break
		}
		select {
		case <-ctx.Done():
			return errors.Join(platformapi.ErrUnavailable, ctx.Err())
		case <-time.After(applyPollInterval):
		}
	}
	err = f()
	h.Release(true)
	return errors.Join(err, <-done)
}

func printFileStatus(w io.Writer, st config.Status) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "FILE\tSTATE\tREVISION\tREMARK")
	for _, f := range st.Files {
		fmt.Fprintf(t, "%s\t%s\t%d\t\n", f.Name, f.State, f.Revision)
		for _, d := range f.Diagnostics {
			fmt.Fprintf(t, "\t\t\tline %d: %s: %s\n", d.Line, d.Field, d.Message)
		}
		for _, o := range f.OverriddenBy {
			fmt.Fprintf(t, "\t\t\t%s is overridden by %s\n", o.Object, o.By)
		}
	}
	return t.Flush()
}

func writeJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}
