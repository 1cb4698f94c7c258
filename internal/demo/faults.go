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

// ReclaimEngines announces the end of the engine hosts of one data centre, the
// round-th in turn, and starts as many others.
func (s *Site) ReclaimEngines(_ context.Context, round int, notice time.Duration) error {
	dc := s.dataCentre(round)
	var kept []engineHost
	gone := 0
	for _, h := range s.engineHosts {
		if h.dc != dc {
			kept = append(kept, h)
			continue
		}
		s.Platform.Reclaim(standinplatform.Reclaim{Host: h.name, Notice: notice})
		gone++
	}
	s.engineHosts = kept
	for range gone {
		s.engineSerial++
		if err := s.startEngine(s.ctx, s.engineSerial, firstVersion, engine.Faults{}); err != nil {
			return err
		}
	}
	return nil
}

// RestartNode stops a node as planned and starts it again at the same addresses.
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

// SetStoreFaults takes the store down or up, and makes it lose a share of the
// answers to writes.
func (s *Site) SetStoreFaults(down bool, lostAnswers float64) {
	s.Platform.SetFaults(standinplatform.Faults{Store: memstore.Faults{Down: down, LoseAnswer: lostAnswers}})
}

// AddEngines starts engines of a version beside those that serve.
func (s *Site) AddEngines(n int, version ident.Version, faults engine.Faults) error {
	for range n {
		s.engineSerial++
		if err := s.startEngine(s.ctx, s.engineSerial, version, faults); err != nil {
			return err
		}
	}
	return nil
}

// Apply stores an operator's file and has it accepted.
func (s *Site) Apply(ctx context.Context, name, content string) error {
	files := []config.File{{Name: name, Data: []byte(content)}}
	_, err := syncer.New(syncer.Options{Store: s.Platform.Store()}).Apply(ctx, files)
	return err
}

// Moves returns the version moves as a node tells operators of them.
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
