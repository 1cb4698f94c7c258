package demo

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/invariant"
	"github.com/jujubeshed/jujubeshed/internal/load"
)

// TestSite serves a seeded mix in one process while the engines of a data centre
// are reclaimed and a node is restarted.
func TestSite(t *testing.T) {
	defer invariant.SetFatal(invariant.SetFatal(true))
	ctx := context.Background()
	shape := Shapes()[0]
	site, err := StartSite(ctx, SiteOptions{Shape: shape, Speed: 10, Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		t.Fatal(err)
	}
	faults := make(chan error, 1)
	time.AfterFunc(500*time.Millisecond, func() {
		err := site.ReclaimEngines(ctx, 0, time.Second)
		if err == nil {
			err = site.RestartNode(ctx, 0)
		}
		faults <- err
	})
	report, err := load.Run(ctx, load.Options{
		Entries: site.Callers, Keys: []string{shape.LargeKey, shape.SmallKey}, Rate: 30, Duration: 2 * time.Second, Seed: 1,
		Paths: load.Paths{Long: shape.LongPath}, Model: string(shape.EngineService), Verify: true, Services: site.ServiceControls(),
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := <-faults; err != nil {
		t.Fatal(err)
	}
	if err := site.Stop(ctx); err != nil {
		t.Fatal(err)
	}
	if !report.Good() {
		t.Errorf("a response or an order effect is lost, wrong or doubled: %+v", report.Classes)
	}
}
