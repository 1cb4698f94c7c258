package demo

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubeshed/jujubeshed/internal/load"
	standinplatform "github.com/jujubeshed/jujubeshed/internal/standin/platform"
)

// Parameters of the demo's load.
const (
	demoRate     = 15 // requests a second
	demoDuration = 6 * time.Second
	demoSpeed    = 4
	// reclaimAfter is the time at which the reclaim of an engine host is announced;
	// reclaimNotice is the time from the announcement to the reclaim.
	reclaimAfter  = 2 * time.Second
	reclaimNotice = 3 * time.Second
)

// Options are the settings of the demo.
type Options struct {
	Seed uint64
	Log  *slog.Logger
}

// ErrIncomplete is returned if a response was not complete or an order did not run
// exactly once.
var ErrIncomplete = errors.New("a response was not complete, or an order did not run exactly once")

// Run runs each example deployment under a small mix of requests, reclaims an
// engine host during the load, and writes the load report as a table.
func Run(ctx context.Context, w io.Writer, opts Options) error {
	var errs error
	for _, shape := range Shapes() {
		fmt.Fprintf(w, "== %s: %d engines, %d services, %d nodes; engine host gpu-0 is reclaimed after %s\n",
			shape.Name, shape.Engines, shape.Services, shape.Nodes, reclaimAfter)
		report, err := runShape(ctx, shape, opts)
		if err != nil {
			return errors.Wrapf(err, "demo of %s", shape.Name)
		}
		if err := report.WriteTable(w); err != nil {
			return err
		}
		if !allComplete(report) {
			errs = ErrIncomplete
		}
		fmt.Fprintln(w)
	}
	return errs
}

// allComplete reports whether every request got a complete response and the report
// is good.
func allComplete(r *load.Report) bool {
	for _, c := range r.Classes {
		if c.Whole != c.Sent {
			return false
		}
	}
	return r.Good()
}

func runShape(ctx context.Context, shape Shape, opts Options) (report *load.Report, err error) {
	site, err := StartSite(ctx, SiteOptions{Shape: shape, Speed: demoSpeed, Log: opts.Log})
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.CombineErrors(err, site.Stop(ctx)) }()
	reclaim := time.AfterFunc(reclaimAfter, func() {
		site.Platform.Reclaim(standinplatform.Reclaim{Host: "gpu-0", Notice: reclaimNotice})
	})
	defer reclaim.Stop()
	return load.Run(ctx, load.Options{
		Entries:  site.Callers,
		Keys:     []string{shape.LargeKey, shape.SmallKey},
		Rate:     demoRate,
		Duration: demoDuration,
		Seed:     opts.Seed,
		Paths:    load.Paths{Long: shape.LongPath},
		Model:    string(shape.EngineService),
		Verify:   true,
		Engines:  site.EngineControls(),
		Services: site.ServiceControls(),
		Platform: site.PlatformAddress(),
	})
}
