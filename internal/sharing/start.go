package sharing

import (
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// startInterval is the interval between rounds until the first response of another node,
	// for which a node that starts waits, for at most startRounds rounds.
	startInterval = 25 * time.Millisecond
	startRounds   = 40
)

// pause returns the time until the next round.
func (s *Service) pause() time.Duration {
	s.mu.Lock()
	starting := !s.mu.exchanged && s.rounds < startRounds
	s.mu.Unlock()
	if starting {
		return min(startInterval, s.opts.Interval)
	}
	return s.Interval()
}

// Exchanged reports whether this node has received the states that another node knows, or
// found at its start that there is none to ask.
func (s *Service) Exchanged() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mu.exchanged || s.mu.alone
}

// awaitsFirst reports whether this node has started and not yet heard of any other.
func (s *Service) awaitsFirst() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.mu.exchanged && !s.mu.alone
}

// noteFirst waits for the results of a round and records whether this node is alone: no
// process listens at any of the addresses.
func (s *Service) noteFirst(n int, results <-chan error) {
	for range n {
		if err := <-results; !errors.Is(err, syscall.ECONNREFUSED) {
			return
		}
	}
	s.mu.Lock()
	s.mu.alone = true
	s.mu.Unlock()
	s.opts.OnExchanged()
}
