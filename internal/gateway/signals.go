package gateway

import (
	"log/slog"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/jujubeshed/jujubeshed/internal/directory"
	"github.com/jujubeshed/jujubeshed/internal/placement"
	"github.com/jujubeshed/jujubeshed/internal/serve"
	"github.com/jujubeshed/jujubeshed/internal/site"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

// defaultMaxBackoff bounds the time for which an endpoint may ask for no calls while no
// configuration is in force.
const defaultMaxBackoff = 30 * time.Second

// signals records what endpoints state about themselves in their responses.
type signals struct {
	state     *state
	endpoints *directory.Registry
	log       *slog.Logger
	leaving   prometheus.Counter
	backoffs  prometheus.Counter
	limits    prometheus.Counter
}

var _ serve.EndpointSignals = (*signals)(nil)

func newSignals(s *state, endpoints *directory.Registry, reg prometheus.Registerer, log *slog.Logger) *signals {
	out := &signals{
		state: s, endpoints: endpoints, log: log,
		leaving:  prometheus.NewCounter(prometheus.CounterOpts{Name: "endpoint_leaving_stated_total", Help: "Endpoints that stated in a response that they are leaving."}),
		backoffs: prometheus.NewCounter(prometheus.CounterOpts{Name: "endpoint_backoffs_total", Help: "Responses in which an endpoint asked for no calls for some time."}),
	}
	out.limits = prometheus.NewCounter(prometheus.CounterOpts{Name: "endpoint_limits_named_total", Help: "Responses in which an endpoint named a limit of requests per second."})
	reg.MustRegister(out.leaving, out.backoffs, out.limits)
	return out
}

// Leaving implements serve.EndpointSignals. The mark is passed on to the other nodes.
func (s *signals) Leaving(e site.Endpoint) {
	d := directory.Departure{Endpoint: e.ID, Started: e.Started, Leaving: true}
	if s.endpoints.RecordDepartures([]directory.Departure{d}) {
		s.leaving.Inc()
		s.log.Info("directory: Endpoint states that it is leaving.", "endpoint", e.ID, "service", e.Service, "data_centre", e.DataCentre)
	}
}

// BackOff implements serve.EndpointSignals. The time is bounded by the longest timeout of
// the configuration.
func (s *signals) BackOff(e site.Endpoint, d time.Duration) {
	limit := defaultMaxBackoff
	if cfg := s.state.Config(); cfg != nil {
		limit = cfg.LongestTimeout(limit)
	}
	d = min(d, limit)
	s.backoffs.Inc()
	s.state.backOff(e, d)
	s.log.Info("directory: Endpoint wants no calls.", "endpoint", e.ID, "service", e.Service, "for_ms", d.Milliseconds(), "until", time.Now().Add(d).UTC())
}

// Limit implements serve.EndpointSignals. The limit is passed on to the other nodes.
func (s *signals) Limit(e site.Endpoint, l serve.EndpointLimit) {
	if l.Named {
		s.limits.Inc()
	}
	if s.state.observeLimit(e, l) {
		s.log.Info("directory: Endpoint names a limit, or none any more.", "endpoint", e.ID, "service", e.Service, "named", l.Named, "per_second", l.PerSecond, "brittle", l.Brittle, "max_refusals", l.MaxRefusals)
	}
}

// SentUnplaced implements serve.EndpointSignals.
func (s *signals) SentUnplaced(e site.Endpoint) { s.state.sentUnplaced(e) }

// MaySend implements serve.EndpointSignals.
func (s *signals) MaySend(e site.Endpoint, kind placement.SendKind) *verdict.Error {
	return s.state.maySend(e, kind)
}
