package gossip

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/peer"
)

// jitterFraction is the fraction of the interval by which a tick may be early or late.
const jitterFraction = 0.1

func (s *Service) tickLoop() {
	timer := time.NewTimer(s.tickDelay())
	defer timer.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-timer.C:
			s.step((*peer.Node).Tick)
			s.observe()
			timer.Reset(s.tickDelay())
		}
	}
}

func (s *Service) tickDelay() time.Duration {
	i := float64(s.o.Peer.Interval)
	return time.Duration(i * (1 + jitterFraction*(2*rand.Float64()-1)))
}

func (s *Service) observe() {
	s.mu.Lock()
	members, marks := s.mu.node.Members(), s.mu.node.MarkCount()
	s.mu.Unlock()
	s.metrics.observe(members, marks)
}

// step calls f with the node under the lock and sends the messages that it returns.
func (s *Service) step(f func(*peer.Node, time.Time) []peer.Send) {
	s.mu.Lock()
	sends := f(s.mu.node, time.Now())
	s.queueChanges()
	s.mu.Unlock()
	s.dispatch(sends)
}

// queueChanges queues the node's changes for the listeners. The caller holds the lock.
func (s *Service) queueChanges() {
	c := s.mu.node.Changes()
	if len(c) == 0 {
		return
	}
	s.mu.pending = append(s.mu.pending, c...)
	select {
	case s.notify <- struct{}{}:
	default:
	}
}

func (s *Service) changeLoop() {
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-s.notify:
			s.notifyListeners()
		}
	}
}

func (s *Service) notifyListeners() {
	s.mu.Lock()
	c := s.mu.pending
	s.mu.pending = nil
	s.mu.Unlock()
	for _, change := range c {
		s.logChange(change)
	}
	for _, f := range s.listeners {
		f(c)
	}
}

func (s *Service) logChange(c peer.Change) {
	switch c.Kind {
	case peer.ChangeMember:
		s.log.Info("peer: Member changed.", "member", string(c.Member.ID),
			"incarnation", uint64(c.Member.Incarnation), "state", c.Member.State.String())
	case peer.ChangeMark:
		s.log.Info("peer: Mark updated.", "kind", int(c.Mark.Kind), "subject", c.Mark.Subject, "number", c.Mark.Number)
	case peer.ChangeRefuted:
		s.metrics.Refuted.Inc()
		s.log.Warn("peer: Own incarnation raised.", "node", string(s.o.Peer.ID))
	}
}

func (s *Service) seedLoop() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-timer.C:
			joined := s.refreshSeeds()
			timer.Reset(s.seedDelay(joined))
		}
	}
}

// joinSpeedup divides the time between calls of Seeds while no peer is known.
const joinSpeedup = 4

func (s *Service) seedDelay(joined bool) time.Duration {
	if joined {
		return s.o.SeedInterval
	}
	return s.o.SeedInterval / joinSpeedup
}

// refreshSeeds updates the seed addresses and reports whether any peer is known.
func (s *Service) refreshSeeds() (joined bool) {
	ctx, cancel := context.WithTimeout(s.ctx, s.o.Timeout)
	defer cancel()
	found, err := s.o.Seeds(ctx)
	if err != nil {
		s.log.Warn("peer: Seed lookup failed.", "error", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	joined = s.mu.node.FleetSize() > 1
	if err != nil {
		return joined
	}
	s.mu.node.SetSeeds(append(append([]string(nil), s.o.Peer.Seeds...), found...))
	return joined
}
