package controller

import (
	"sync"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/peer"
)

// Rates is the demand at all nodes together, per second.
type Rates struct {
	Requests     float64
	PromptTokens float64 // those not cached; zero if unknown
	OutputTokens float64
	// Partial is set if the current demand at some nodes is unknown.
	Partial bool
}

// Demand measures the demand for a service over all nodes.
type Demand interface {
	// Rates returns the current demand; false until it is known. It takes a sample at
	// each call, so it must be called every few seconds.
	Rates(now time.Time, s ident.Service) (Rates, bool)
}

// GossipState is the state that nodes exchange by gossip; *gossip.Service implements it.
type GossipState interface {
	// SetEvidence publishes this node's grow-only counters of a key.
	SetEvidence(key string, c peer.Counters) error
	// Evidence returns the sum over all known nodes of the counters of a key.
	Evidence(key string) peer.Counters
	Members() []peer.Member
	DataCentres() []peer.DataCentre
}

// Indexes of a service's counters in the gossip state.
const (
	counterRequests = iota
	counterPrompt
	counterOutput
	counterCount
)

const (
	// rateWindow is the time over which a rate is measured, minRateSpan the minimum time.
	rateWindow  = time.Minute
	minRateSpan = 10 * time.Second
	// publishInterval is the minimum time between two publications of a node's counters.
	publishInterval = 5 * time.Second
	// maxSilence is the age beyond which a data centre's aggregate is out of date.
	maxSilence = 30 * time.Second
)

// Meter counts this node's requests, publishes the counts, and derives the demand at
// all nodes from the sums of their counts.
type Meter struct {
	gossip GossipState

	mu struct {
		sync.Mutex
		local      map[ident.Service]peer.Counters
		published  map[ident.Service]time.Time
		estimators map[ident.Service]*rateEstimator
	}
}

var _ Demand = (*Meter)(nil)

// NewMeter returns a meter without counts.
func NewMeter(gossip GossipState) *Meter {
	m := &Meter{gossip: gossip}
	m.mu.local = make(map[ident.Service]peer.Counters)
	m.mu.published = make(map[ident.Service]time.Time)
	m.mu.estimators = make(map[ident.Service]*rateEstimator)
	return m
}

// Request counts a request of a service that was accepted, or that was refused for lack
// of capacity.
func (m *Meter) Request(s ident.Service) { m.add(s, counterRequests, 1) }

// Tokens counts the tokens of a request that has ended: the prompt tokens that were not
// cached, and the generated tokens.
func (m *Meter) Tokens(s ident.Service, prompt, output int) {
	m.add(s, counterPrompt, prompt)
	m.add(s, counterOutput, output)
}

func (m *Meter) add(s ident.Service, counter, n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.mu.local[s] == nil {
		m.mu.local[s] = make(peer.Counters, counterCount)
	}
	m.mu.local[s][counter] += uint64(max(0, n))
}

// Publish publishes this node's counters of a service, at most once per publishInterval.
func (m *Meter) Publish(now time.Time, s ident.Service) error {
	m.mu.Lock()
	if now.Sub(m.mu.published[s]) < publishInterval {
		m.mu.Unlock()
		return nil
	}
	m.mu.published[s] = now
	c := make(peer.Counters, counterCount)
	copy(c, m.mu.local[s])
	m.mu.Unlock()
	return m.gossip.SetEvidence(evidenceKey(s), c)
}

func evidenceKey(s ident.Service) string { return "fleet/" + string(s) }

// Rates implements Demand.
func (m *Meter) Rates(now time.Time, s ident.Service) (Rates, bool) {
	sum, complete := m.gossip.Evidence(evidenceKey(s)), m.complete()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.mu.estimators[s] == nil {
		m.mu.estimators[s] = &rateEstimator{}
	}
	return m.mu.estimators[s].observe(now, sum, complete)
}

// complete reports whether there is recent contact with all known nodes.
func (m *Meter) complete() bool {
	for _, member := range m.gossip.Members() {
		if member.State == peer.StateSuspect || member.State == peer.StateJoining {
			return false
		}
	}
	for _, dc := range m.gossip.DataCentres() {
		if dc.SinceLastContact > maxSilence || dc.Suspect > 0 {
			return false
		}
	}
	return true
}

// sample is the sum of all nodes' counters at a time.
type sample struct {
	at  time.Time
	sum peer.Counters
}

// rateEstimator derives rates from samples of growing counters.
type rateEstimator struct {
	window []sample // samples within rateWindow, oldest first
	rates  Rates    // last rates that included all nodes
	known  bool
}

// observe adds a sample and returns the rates. After a time without contact to some
// nodes the window starts again, because counts that arrive late are not current demand.
func (s *rateEstimator) observe(now time.Time, sum peer.Counters, complete bool) (Rates, bool) {
	if !complete || len(sum) < counterCount || s.decreased(sum) {
		s.window = nil
		return s.partial()
	}
	s.window = append(s.window, sample{now, sum})
	for len(s.window) > 2 && now.Sub(s.window[1].at) >= rateWindow {
		s.window = s.window[1:]
	}
	first := s.window[0]
	span := now.Sub(first.at)
	if span < minRateSpan {
		return s.partial()
	}
	rate := func(i int) float64 { return float64(sum[i]-first.sum[i]) / span.Seconds() }
	s.rates, s.known = Rates{
		Requests: rate(counterRequests), PromptTokens: rate(counterPrompt), OutputTokens: rate(counterOutput),
	}, true
	return s.rates, true
}

func (s *rateEstimator) partial() (Rates, bool) {
	r := s.rates
	r.Partial = true
	return r, s.known
}

// decreased reports whether a counter is lower than in the last sample, as happens
// after the loss of a log.
func (s *rateEstimator) decreased(sum peer.Counters) bool {
	if len(s.window) == 0 {
		return false
	}
	last := s.window[len(s.window)-1].sum
	for i := range counterCount {
		if sum[i] < last[i] {
			return true
		}
	}
	return false
}
