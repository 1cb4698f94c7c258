package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// TestPlacement prints what each placement of prefixes costs, with and without
// cache events.
func TestPlacement(t *testing.T) {
	for _, shape := range []struct {
		name     string
		workload func(*rand.Rand) func() prompt
	}{{"letters", letters}, {"designs", designs}, {"many", many}} {
		for _, rate := range []float64{15, 45} {
			for _, noEvents := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%v/noEvents=%v", shape.name, rate, noEvents), func(t *testing.T) {
					o := defaults()
					o.workload, o.rate, o.noEvents = shape.workload, rate, noEvents
					o.warmup, o.length = 30*time.Second, 150*time.Second
					compare(t, "rendezvous", o, tables(Options{}))
					compare(t, "domain", o, tables(Options{Placement: PlaceDomain}))
					compare(t, "single", o, tables(Options{Placement: PlaceSingle}))
					compare(t, "rdv, blind", o, tables(Options{NoHolders: true}))
					compare(t, "domain, blind", o, tables(Options{Placement: PlaceDomain, NoHolders: true}))
				})
			}
		}
	}
}
