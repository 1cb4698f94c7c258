package picker

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
	"github.com/jujubeshed/jujubeshed/internal/route"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

// TestConcurrent starts and finishes attempts from many goroutines while a host is
// marked as leaving.
func TestConcurrent(t *testing.T) {
	p := New(Options{Route: route.Options{Node: "n0", DataCentre: "dc0"}})
	r := route.Request{Service: "s", Class: ident.ClassQuick, Shares: []route.Share{{Version: "v1", Weight: 1}}}
	if _, err := p.Pick(r, route.Dispatch{Attempt: "none"}); verdict.Of(err) != verdict.NotRun {
		t.Fatalf("empty table: %v", err)
	}
	var hosts []platformapi.HostInfo
	for i := range 4 {
		hosts = append(hosts, platformapi.HostInfo{Host: ident.Host(fmt.Sprint("h", i)), Incarnation: 1, State: platformapi.HostLive,
			Endpoints: []platformapi.EndpointInfo{{ID: ident.EndpointID(fmt.Sprint("e", i)), Service: "s", Version: "v1"}}})
	}
	p.Update(func(now time.Time, t *route.Table) { t.SetHosts(now, hosts) })
	var wg sync.WaitGroup
	for g := range 8 {
		wg.Go(func() {
			for i := range 200 {
				a := ident.AttemptID(fmt.Sprint(g, "-", i))
				c, err := p.Pick(r, route.Dispatch{Attempt: a})
				if err != nil {
					t.Error(err)
					return
				}
				p.Update(func(now time.Time, tab *route.Table) {
					if len(tab.InFlight(c.Endpoint)) == 0 {
						t.Errorf("%s has no attempts in flight", c.Endpoint)
					}
					tab.Finished(now, route.Finish{Attempt: a, Outcome: route.OutcomeOK})
					tab.MarkHost(now, platformapi.Notice{Host: "h0", Incarnation: 1})
				})
			}
		})
	}
	wg.Wait()
	p.Update(func(_ time.Time, tab *route.Table) {
		if n := len(tab.InFlight("e1")) + len(tab.Leaving()); n != 0 {
			t.Errorf("%d in flight at the end", n)
		}
	})
}
