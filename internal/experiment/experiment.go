// Package experiment measures the system under faults. It runs a complete
// deployment in this process under a seeded load and injects one kind of fault on
// a schedule.
package experiment

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubeshed/jujubeshed/internal/demo"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/load"
)

// Options are the settings of an experiment's run.
type Options struct {
	Seed uint64
	// Duration is the time in which requests arrive. Default: 20s.
	Duration time.Duration
	// Rate is the arrival rate, in requests per second, before the experiment's
	// RateFactor is applied. Default: 20.
	Rate float64
	Log  *slog.Logger
}

func (o Options) withDefaults() Options {
	if o.Duration == 0 {
		o.Duration = 20 * time.Second
	}
	if o.Rate == 0 {
		o.Rate = 20
	}
	return o
}

// Experiment is one kind of fault under load.
type Experiment struct {
	Name  string
	Usage string
	// Engines and Nodes are the sizes of the deployment. Zero keeps the example's size.
	Engines, Nodes int
	// Speed divides the engines' simulated times.
	Speed float64
	// RateFactor multiplies the rate. Default: 1.
	RateFactor float64
	// Mix is the mix of the load. Default: load.DefaultMix.
	Mix []load.Share
	// Inject injects the faults until ctx ends.
	Inject func(ctx context.Context, s *demo.Site) error
	// After, if not nil, inspects the deployment after the load has ended and writes its findings.
	After func(ctx context.Context, w io.Writer, s *demo.Site) error
}

// All returns the experiments, ordered by name.
func All() []Experiment {
	all := []Experiment{calm(), waves(), stops(), store(), overload("overload-2", 2), overload("overload-10", 10), badMove(), goodMove()}
	slices.SortFunc(all, func(a, b Experiment) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// ByName returns the experiment with the given name.
func ByName(name string) (Experiment, error) {
	var names []string
	for _, e := range All() {
		if e.Name == name {
			return e, nil
		}
		names = append(names, e.Name)
	}
	return Experiment{}, errors.Newf("experiment %q is not one of %s", name, strings.Join(names, ", "))
}

// Run runs one experiment and returns its load report.
func Run(ctx context.Context, w io.Writer, e Experiment, opts Options) (report *load.Report, err error) {
	opts = opts.withDefaults()
	shape := demo.Shapes()[0]
	if e.Engines > 0 {
		shape.Engines = e.Engines
	}
	if e.Nodes > 0 {
		shape.Nodes = e.Nodes
	}
	site, err := demo.StartSite(ctx, demo.SiteOptions{Shape: shape, Speed: e.Speed, Log: opts.Log})
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.CombineErrors(err, site.Stop(context.WithoutCancel(ctx))) }()
	fmt.Fprintf(w, "== %s: %s (%d engines, %d nodes)\n", e.Name, e.Usage, shape.Engines, shape.Nodes)

	injectCtx, stop := context.WithTimeout(ctx, opts.Duration)
	defer stop()
	injected := make(chan error, 1)
	go func() { injected <- e.Inject(injectCtx, site) }()
	report, err = load.Run(ctx, loadOptions(site, shape, e, opts))
	if err = errors.CombineErrors(err, <-injected); err == nil && e.After != nil {
		err = e.After(ctx, w, site)
	}
	return report, err
}

func loadOptions(site *demo.Site, shape demo.Shape, e Experiment, opts Options) load.Options {
	factor := e.RateFactor
	if factor == 0 {
		factor = 1
	}
	return load.Options{
		Entries:  site.Callers,
		Keys:     []string{shape.LargeKey, shape.SmallKey},
		Rate:     opts.Rate * factor,
		Duration: opts.Duration,
		Seed:     opts.Seed,
		Mix:      e.Mix,
		Paths:    load.Paths{Long: shape.LongPath},
		Model:    string(shape.EngineService),
		Verify:   true,
		Services: site.ServiceControls(),
		Platform: site.PlatformAddress(),
	}
}

// repeat calls f at every interval until ctx ends or f fails.
func repeat(ctx context.Context, interval time.Duration, f func(round int) error) error {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for round := 0; ; round++ {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			if err := f(round); err != nil {
				return err
			}
		}
	}
}

func calm() Experiment {
	return Experiment{
		Name: "calm", Usage: "no fault", Speed: 2,
		Inject: func(context.Context, *demo.Site) error { return nil },
	}
}

// waves reclaims the engine hosts of one data centre after another, at short
// notice, and starts replacements.
func waves() Experiment {
	return Experiment{
		Name: "waves", Usage: "a data centre's engine hosts are reclaimed every 3s with 2s notice", Engines: 8, Speed: 2,
		Inject: func(ctx context.Context, s *demo.Site) error {
			return repeat(ctx, 3*time.Second, func(round int) error {
				return s.ReclaimEngines(ctx, round, 2*time.Second)
			})
		},
	}
}

// stops stops and restarts the nodes in turn while they serve.
func stops() Experiment {
	return Experiment{
		Name: "stops", Usage: "a node is stopped gracefully and restarted every 4s", Nodes: 4, Speed: 1,
		Inject: func(ctx context.Context, s *demo.Site) error {
			return repeat(ctx, 4*time.Second, func(round int) error {
				return s.RestartNode(context.WithoutCancel(ctx), round%len(s.Nodes))
			})
		},
	}
}

// store makes the platform's store unavailable at regular intervals.
func store() Experiment {
	return Experiment{
		Name: "store", Usage: "the store is down for 2s of every 4s, and loses one response in ten otherwise", Speed: 2,
		Mix: []load.Share{{Class: ident.ClassOrder, Weight: 6}, {Class: ident.ClassQuick, Weight: 2}, {Class: ident.ClassLookup, Weight: 2}},
		Inject: func(ctx context.Context, s *demo.Site) error {
			defer s.SetStoreFaults(false, 0)
			return repeat(ctx, 2*time.Second, func(round int) error {
				s.SetStoreFaults(round%2 == 0, lostResponseShare)
				return nil
			})
		},
	}
}

// lostResponseShare is the share of writes whose response is lost.
const lostResponseShare = 0.1

// overload sends a multiple of the load that the engines can serve.
func overload(name string, factor float64) Experiment {
	return Experiment{
		Name: name, Usage: fmt.Sprintf("%g times the capacity arrives", factor), Engines: 2, Speed: 1,
		RateFactor: factor,
		Mix:        []load.Share{{Class: ident.ClassQuick, Weight: 8}, {Class: ident.ClassLong, Weight: 2}},
		Inject:     func(context.Context, *demo.Site) error { return nil },
	}
}
