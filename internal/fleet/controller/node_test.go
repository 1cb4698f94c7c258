package controller_test

import (
	"context"
	"log/slog"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/jujubeshed/jujubeshed/api/gen/operators"
	"github.com/jujubeshed/jujubeshed/internal/config"
	"github.com/jujubeshed/jujubeshed/internal/config/syncer"
	"github.com/jujubeshed/jujubeshed/internal/demo"
	"github.com/jujubeshed/jujubeshed/internal/sharedkey"
)

// fleetConfig requires two more hosts than the site has.
const fleetConfig = `
services:
  inscription:
    kind: engine
    version: v1
    checks_fence: true
    fleet: {class: standard, data_centres: [kalamaria, pylaia, evosmos, thermi], min_hosts: 7}
`

// TestNodesBuyOnce runs a site of several nodes, kills the node that bought the missing
// hosts, and checks that its successor buys no more. It runs only if JUJUBESHED_SEEDS is
// set.
func TestNodesBuyOnce(t *testing.T) {
	if os.Getenv("JUJUBESHED_SEEDS") == "" {
		t.Skip("runs for a minute, as leases and demand use real time")
	}
	site, err := demo.StartSite(t.Context(), demo.SiteOptions{Shape: demo.Shapes()[0], Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = site.Stop(context.Background()) })
	files := []config.File{{Name: "90-fleet.yaml", Data: []byte(fleetConfig)}}
	if _, err := syncer.New(syncer.Options{Store: site.Platform.Store()}).Apply(t.Context(), files); err != nil {
		t.Fatal(err)
	}
	bought := func() bool { return site.Platform.Status().Bought == 2 }
	first := waitForHolder(t, site, -1, bought)
	if err := site.Nodes[first].Kill(t.Context()); err != nil {
		t.Fatal(err)
	}
	second := waitForHolder(t, site, first, func() bool { return true })
	time.Sleep(15 * time.Second) // several steps of the new holder
	t.Logf("%+v", getStatus(t, site, second).Fleet)
	if got := site.Platform.Status(); !bought() || got.Released != 0 {
		t.Errorf("%d hosts bought and %d released, want 2 and 0", got.Bought, got.Released)
	}
}

func getStatus(t *testing.T, site *demo.Site, node int) *operators.Status {
	client := &http.Client{Transport: sharedkey.Key("demo-key-of-16-bytes").Transport(http.DefaultTransport)}
	c, err := operators.NewClient("http://"+site.Operators[node], operators.WithClient(client))
	if err != nil {
		t.Fatal(err)
	}
	st, err := c.GetStatus(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return st
}

// waitForHolder waits until the condition is met and exactly one node holds the lease, and
// returns the index of that node.
func waitForHolder(t *testing.T, site *demo.Site, killed int, condition func() bool) int {
	for range 600 {
		var holders []int
		for i := range site.Nodes {
			if i != killed && len(getStatus(t, site, i).Fleet) == 1 && getStatus(t, site, i).Fleet[0].DecidesHere {
				holders = append(holders, i)
			}
		}
		if len(holders) > 1 {
			t.Fatalf("nodes %v all hold the lease", holders)
		}
		if len(holders) == 1 && condition() {
			return holders[0]
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Fatalf("timed out waiting for the condition and a holder: %+v", site.Platform.Status())
	return 0
}
