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

// TestAnnouncedReclaim reclaims a host, and then all hosts of another data centre,
// under long streams that outlast the notice, while the host list is so late that
// it calls them live beyond their end.
func TestAnnouncedReclaim(t *testing.T) {
	t.Parallel()
	const notice = 4 * time.Second
	s := newSite(t, siteOptions{
		engine:   []string{"--decode-rate", "10"},
		spare:    []string{dataCentres[1]},
		platform: standinplatform.Faults{HostLag: notice},
	})
	staying, leaving := s.engines[:1], s.engines[1:]
	before := begun(leaving)

	var wg sync.WaitGroup
	s.uncut(t, 10, 70, &wg)
	eventually(t, "drafts at the hosts to be reclaimed", func() error {
		if len(begun(leaving)) < len(before)+2 {
			return errors.New("too few")
		}
		return nil
	})
	held := begun(leaving)
	post(t, s.platform, standinplatform.PathReclaim, standinplatform.Reclaim{Host: ident.Host(leaving[1].host), Notice: notice})
	post(t, s.platform, standinplatform.PathReclaim, standinplatform.Reclaim{DataCentre: ident.DataCentre(dataCentres[1]), Notice: notice})
	for _, e := range leaving {
		s.awaitEndpoint(t, e.host, operators.EndpointStateLeaving)
	}
	settled := begun(leaving)
	for i := 0; leaving[0].alive() || leaving[1].alive() || leaving[2].alive(); i++ {
		c := chat{prompt: fmt.Sprintf("quick question %d", i), seed: 1, tokens: 1}
		if got, _, err := c.stream("/chat", s.from(i)[:1]); err != nil || got != c.want() {
			t.Errorf("chat %d: %q, error %v", i, got, err)
		}
		for id := range begun(leaving) {
			if !settled[id] {
				t.Errorf("request %s was sent to a host that every node knew to be leaving", id)
				settled[id] = true
			}
		}
	}
	wg.Wait()
	resumed := begun(staying)
	for id := range held {
		if !before[id] && !resumed[id] {
			t.Errorf("draft %s of a reclaimed host did not go on elsewhere", id)
		}
	}
}

// uncut streams drafts through all nodes; each must come whole on its first
// connection.
func (s *site) uncut(t *testing.T, n, tokens int, wg *sync.WaitGroup) {
	for i := range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := chat{prompt: fmt.Sprintf("a long letter, %d", i), seed: uint64(i), tokens: tokens}
			got, err := c.streamOnce("/drafts", s.from(i)[0])
			if err != nil || got != c.want() {
				t.Errorf("draft %d: error %v, %d bytes, want %d", i, err, len(got), len(c.want()))
			}
		}()
	}
}

// begun returns the requests that were begun at any of the engines.
func begun(engines []*engineProcess) map[ident.RequestID]bool {
	ids := make(map[ident.RequestID]bool)
	for _, e := range engines {
		for id := range e.runs() {
			ids[id] = true
		}
	}
	return ids
}

// awaitEndpoint waits until every node reports the endpoint of a host in a state.
func (s *site) awaitEndpoint(t testing.TB, host string, want operators.EndpointState) {
	t.Helper()
	for i := range s.nodes {
		eventually(t, fmt.Sprintf("%s at node %d", host, i), func() error {
			st, err := s.status(i)
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
