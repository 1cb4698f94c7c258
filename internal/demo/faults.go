package demo

import (
	"context"
	"time"

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
		if err := s.startEngine(s.ctx, s.engineSerial); err != nil {
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
