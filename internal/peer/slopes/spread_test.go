package main

import (
	"fmt"
	"testing"

	"github.com/jujubeshed/jujubeshed/internal/invariant"
	"github.com/jujubeshed/jujubeshed/internal/peer/virtual"
)

// TestMarksReachAllWithinTarget marks endpoints as leaving, with message loss and with
// a delegate of each data centre dead or slow. The marks must reach all nodes within
// the target time of the virtual clock.
func TestMarksReachAllWithinTarget(t *testing.T) {
	defer invariant.SetFatal(invariant.SetFatal(true))
	for _, s := range spreadShapes[:2] {
		n := newNet(s, virtual.Options{Seed: 1})
		n.Run(joinTime)
		for _, loss := range []int{0, 5, 20} {
			for _, f := range []fault{faultNone, faultDelegate, faultSlow} {
				tr := &trial{loss: loss, fault: f}
				for k := range 3 {
					tr.run(n, fmt.Sprint(loss, f, k))
				}
				if tr.lateCount() > 0 {
					t.Errorf("%d nodes, loss %d %%, %s: took %v, target %v", s.nodes, loss, f, tr.latencies, spreadTarget)
				}
			}
		}
	}
}
