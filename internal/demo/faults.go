package demo

import (
	"context"
	"net/http"
	"time"

	"github.com/jujubeshed/jujubeshed/api/gen/operators"
	"github.com/jujubeshed/jujubeshed/internal/config"
	"github.com/jujubeshed/jujubeshed/internal/config/syncer"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/standin/engine"
	"github.com/jujubeshed/jujubeshed/internal/standin/memstore"
	standinplatform "github.com/jujubeshed/jujubeshed/internal/standin/platform"
)

// ReclaimEngines announces the reclaim of the engine hosts of one data centre,
// chosen in turn by round, and starts as many new ones.
func (s *Site) ReclaimEngines(_ context.Context, round int, notice time.Duration) error {
	dc := s.dataCentre(round)
	var kept []engineHost
	reclaimed := 0
	for _, h := range s.engineHosts {
		if h.dc != dc {
			kept = append(kept, h)
			continue
		}
		s.Platform.Reclaim(standinplatform.Reclaim{Host: h.name, Notice: notice})
		reclaimed++
	}
	s.engineHosts = kept
	for range reclaimed {
		s.engineSerial++
		if err := s.startEngine(s.ctx, s.engineSerial, firstVersion, engine.Faults{}); err != nil {
			return err
		}
	}
	return nil
}

// RestartNode stops a node gracefully and starts it again at the same addresses.
func (s *Site) RestartNode(ctx context.Context, i int) error {
	if err := s.Nodes[i].Stop(ctx); err != nil {
		return err
	}
	n, err := s.startNode(s.ctx, i)
	if err != nil {
		return err
	}
	s.Nodes[i] = n
	return nil
}

// SetStoreFaults sets whether the store is down, and the share of writes whose
// response is lost.
func (s *Site) SetStoreFaults(down bool, lostResponseShare float64) {
	s.Platform.SetFaults(standinplatform.Faults{Store: memstore.Faults{Down: down, LoseAnswer: lostResponseShare}})
}

// AddEngines starts n engines of a version in addition to the running ones.
func (s *Site) AddEngines(n int, version ident.Version, faults engine.Faults) error {
	for range n {
		s.engineSerial++
		if err := s.startEngine(s.ctx, s.engineSerial, version, faults); err != nil {
			return err
		}
	}
	return nil
}

// Apply stores an operator's configuration file and waits until it is accepted.
func (s *Site) Apply(ctx context.Context, name, content string) error {
	files := []config.File{{Name: name, Data: []byte(content)}}
	_, err := syncer.New(syncer.Options{Store: s.Platform.Store()}).Apply(ctx, files)
	return err
}

// Moves returns the version moves as reported by a node's operators' API.
func (s *Site) Moves(ctx context.Context) ([]operators.Move, error) {
	client := &http.Client{Transport: siteKey.Transport(http.DefaultTransport)}
	c, err := operators.NewClient("http://"+s.Operators[0], operators.WithClient(client))
	if err != nil {
		return nil, err
	}
	list, err := c.GetMoves(ctx)
	if err != nil {
		return nil, err
	}
	return list.Moves, nil
}
