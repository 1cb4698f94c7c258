package controller

import (
	"sync"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/peer"
)

// Rates are what all nodes together were asked for, a second.
type Rates struct {
	Requests     float64
	PromptTokens float64 // not cached; zero where they aren't known
	OutputTokens float64
	// Partial is set where the demand at some nodes isn't known now.
	Partial bool
}

// Demand tells the demand for a service over the whole fleet.
type Demand interface {
	// Rates returns false until the demand is known. A caller that wants to know
	// it asks every few seconds.
	Rates(now time.Time, s ident.Service) (Rates, bool)
}

// SoftState is the nodes' shared state; *gossip.Service implements it.
type SoftState interface {
	// SetEvidence publishes this node's grow-only counters of a key.
	SetEvidence(key string, c peer.Counters) error
	// Evidence returns the counters of a key summed over all known nodes.
	Evidence(key string) peer.Counters
	Members() []peer.Member
	DataCentres() []peer.DataCentre
}

// The counters of a service in the soft state.
const (
	counterRequests = iota
	counterPrompt
	counterOutput
	counterCount
)

const (
	// rateWindow is the time over which a rate is taken, minRateSpan the least of it.
	rateWindow  = time.Minute
	minRateSpan = 10 * time.Second
	// publishEvery is the time between two publications of a node's counters.
	publishEvery = 5 * time.Second
	// maxSilence is the age from which a data centre's aggregate is out of date.
	maxSilence = 30 * time.Second
)

// Meter counts this node's requests, shares the counts, and takes the rates of
// the whole fleet from their sums.
type Meter struct {
	soft SoftState

	mu struct {
		sync.Mutex
		own       map[ident.Service]peer.Counters
		published map[ident.Service]time.Time
		samples   map[ident.Service]*samples
	}
}

var _ Demand = (*Meter)(nil)

// NewMeter returns a meter without counts.
func NewMeter(soft SoftState) *Meter {
	m := &Meter{soft: soft}
	m.mu.own = make(map[ident.Service]peer.Counters)
	m.mu.published = make(map[ident.Service]time.Time)
	m.mu.samples = make(map[ident.Service]*samples)
	return m
}

// Request counts a request of a service that was accepted, or refused for want
// of capacity.
func (m *Meter) Request(s ident.Service) { m.add(s, counterRequests, 1) }

// Tokens counts the tokens of a request that has ended: those of the prompt that
// no cache held, and those generated.
func (m *Meter) Tokens(s ident.Service, prompt, output int) {
	m.add(s, counterPrompt, prompt)
	m.add(s, counterOutput, output)
}

func (m *Meter) add(s ident.Service, counter, n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.mu.own[s] == nil {
		m.mu.own[s] = make(peer.Counters, counterCount)
	}
	m.mu.own[s][counter] += uint64(max(0, n))
}

// Publish shares this node's counters of a service, now and then.
func (m *Meter) Publish(now time.Time, s ident.Service) error {
	m.mu.Lock()
	if now.Sub(m.mu.published[s]) < publishEvery {
		m.mu.Unlock()
		return nil
	}
	m.mu.published[s] = now
	c := make(peer.Counters, counterCount)
	copy(c, m.mu.own[s])
	m.mu.Unlock()
	return m.soft.SetEvidence(evidenceKey(s), c)
}

func evidenceKey(s ident.Service) string { return "fleet/" + string(s) }

// Rates implements Demand.
func (m *Meter) Rates(now time.Time, s ident.Service) (Rates, bool) {
	sum, whole := m.soft.Evidence(evidenceKey(s)), m.whole()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.mu.samples[s] == nil {
		m.mu.samples[s] = &samples{}
	}
	return m.mu.samples[s].observe(now, sum, whole)
}

// whole tells whether every node that is known is heard of.
func (m *Meter) whole() bool {
	for _, o := range m.soft.Members() {
		if o.State == peer.StateSuspect || o.State == peer.StateJoining {
			return false
		}
	}
	for _, dc := range m.soft.DataCentres() {
		if dc.SinceLastContact > maxSilence || dc.Suspect > 0 {
			return false
		}
	}
	return true
}

// sample is a sum of counters at a time.
type sample struct {
	at  time.Time
	sum peer.Counters
}

// samples turn sums that grow into rates.
type samples struct {
	kept  []sample // of the window, oldest first
	rates Rates    // last ones of the whole fleet
	known bool
}

// observe takes a sum. What came late, after some nodes were not heard of, is no
// demand of now: the window begins anew.
func (s *samples) observe(now time.Time, sum peer.Counters, whole bool) (Rates, bool) {
	if !whole || len(sum) < counterCount || s.fell(sum) {
		s.kept = nil
		return s.partial()
	}
	s.kept = append(s.kept, sample{now, sum})
	for len(s.kept) > 2 && now.Sub(s.kept[1].at) >= rateWindow {
		s.kept = s.kept[1:]
	}
	first := s.kept[0]
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

func (s *samples) partial() (Rates, bool) {
	r := s.rates
	r.Partial = true
	return r, s.known
}

// fell tells whether a counter is lower than before, as after the loss of a log.
func (s *samples) fell(sum peer.Counters) bool {
	if len(s.kept) == 0 {
		return false
	}
	last := s.kept[len(s.kept)-1].sum
	for i := range counterCount {
		if sum[i] < last[i] {
			return true
		}
	}
	return false
}
