package e2e

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jujubeshed/jujubeshed/api/gen/operators"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	standinplatform "github.com/jujubeshed/jujubeshed/internal/standin/platform"
)

// TestAnnouncedReclaim reclaims a host, and then all hosts of another data centre, under
// streams that last longer than the notice. The platform's host list lags so much that it
// reports the hosts as live after their end.
func TestAnnouncedReclaim(t *testing.T) {
	t.Parallel()
	const notice = 4 * time.Second
	d := newDeployment(t, deploymentOptions{
		engine:       []string{"--decode-rate", "10"},
		extraEngines: []string{dataCentres[1]},
		platform:     standinplatform.Faults{HostLag: notice},
	})
	staying, leaving := d.engines[:1], d.engines[1:]
	startedBeforeTest := startedRequests(leaving)

	var wg sync.WaitGroup
	d.streamDrafts(t, 10, 70, &wg)
	eventually(t, "drafts at the hosts to be reclaimed", func() error {
		if len(startedRequests(leaving)) < len(startedBeforeTest)+2 {
			return errors.New("too few")
		}
		return nil
	})
	startedBeforeReclaim := startedRequests(leaving)
	postControl(t, d.platform, standinplatform.PathReclaim, standinplatform.Reclaim{Host: ident.Host(leaving[1].host), Notice: notice})
	postControl(t, d.platform, standinplatform.PathReclaim, standinplatform.Reclaim{DataCentre: ident.DataCentre(dataCentres[1]), Notice: notice})
	for _, e := range leaving {
		d.awaitEndpoint(t, e.host, operators.EndpointStateLeaving)
	}
	startedBeforeLeaving := startedRequests(leaving)
	for i := 0; leaving[0].alive() || leaving[1].alive() || leaving[2].alive(); i++ {
		c := chat{prompt: fmt.Sprintf("quick question %d", i), seed: 1, tokens: 1}
		if got, _, err := c.stream("/chat", d.addressesFrom(i)[:1]); err != nil || got != c.want() {
			t.Errorf("chat %d: %q, error %v", i, got, err)
		}
		for id := range startedRequests(leaving) {
			if !startedBeforeLeaving[id] {
				t.Errorf("request %s was sent to a host that every node had reported as leaving", id)
				startedBeforeLeaving[id] = true
			}
		}
	}
	wg.Wait()
	resumed := startedRequests(staying)
	for id := range startedBeforeReclaim {
		if !startedBeforeTest[id] && !resumed[id] {
			t.Errorf("draft %s of a reclaimed host did not resume elsewhere", id)
		}
	}
}

// streamDrafts starts n drafts, spread over all nodes. Each must receive its complete
// response on its first connection.
func (d *deployment) streamDrafts(t *testing.T, n, tokens int, wg *sync.WaitGroup) {
	for i := range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := chat{prompt: fmt.Sprintf("a long letter, %d", i), seed: uint64(i), tokens: tokens}
			got, err := c.streamOnce("/drafts", d.addressesFrom(i)[0])
			if err != nil || got != c.want() {
				t.Errorf("draft %d: error %v, %d bytes, want %d", i, err, len(got), len(c.want()))
			}
		}()
	}
}

// startedRequests returns the requests that were started at any of the engines.
func startedRequests(engines []*engineProcess) map[ident.RequestID]bool {
	ids := make(map[ident.RequestID]bool)
	for _, e := range engines {
		for id := range e.attempts() {
			ids[id] = true
		}
	}
	return ids
}

// awaitEndpoint waits until every node reports a host's endpoint in the wanted state.
func (d *deployment) awaitEndpoint(t testing.TB, host string, want operators.EndpointState) {
	t.Helper()
	for i := range d.nodes {
		eventually(t, fmt.Sprintf("%s at node %d", host, i), func() error {
			st, err := d.status(i)
			if err != nil {
				return err
			}
			if !slices.ContainsFunc(st.Endpoints, func(e operators.Endpoint) bool { return e.Host == host && e.State == want }) {
				return fmt.Errorf("not %s in %v", want, st.Endpoints)
			}
			return nil
		})
	}
}
