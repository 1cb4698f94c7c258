package gateway

import (
	"context"
	"log/slog"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/jujubeshed/jujubeshed/internal/ident"
)

const (
	// endpointStatusInterval is how often the status of endpoints is published.
	endpointStatusInterval = time.Second
	// unevenFactor is the factor from the usual speed at which an endpoint is published, and
	// logged when it is reached or left.
	unevenFactor = 1.5
)

// endpointStatus publishes which endpoints work clearly slower or faster than others of their service, and
// which count as cold.
type endpointStatus struct {
	state *state
	log   *slog.Logger
	gauge *prometheus.GaugeVec
	cold  prometheus.Gauge
	last  map[ident.EndpointID]float64
}

func newEndpointStatus(st *state, reg prometheus.Registerer, log *slog.Logger) *endpointStatus {
	s := &endpointStatus{
		state: st, log: log,
		cold:  prometheus.NewGauge(prometheus.GaugeOpts{Name: "endpoints_cold", Help: "Endpoints that count as cold."}),
		gauge: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "endpoint_slowness", Help: "How long work takes at an endpoint, as a multiple of the usual time of its service, where that differs clearly."}, []string{"endpoint"}),
	}
	reg.MustRegister(s.gauge, s.cold)
	return s
}

// publish updates the metrics and logs the endpoints that became cold or uneven, or are uneven no
// longer.
func (s *endpointStatus) publish(context.Context) {
	count, events := s.state.coldEndpoints()
	s.cold.Set(float64(count))
	for _, e := range events {
		s.log.Info("placement: Endpoint counts as cold.", "endpoint", e.Endpoint, "evidence", e.Evidence, "for_ms", e.For.Milliseconds())
	}
	now := s.state.unevenEndpoints(unevenFactor)
	for id, slowness := range now {
		s.gauge.WithLabelValues(string(id)).Set(slowness)
		if _, known := s.last[id]; !known {
			s.log.Info("placement: Endpoint is uneven.", "endpoint", id, "slowness", slowness)
		}
	}
	for id, slowness := range s.last {
		if _, still := now[id]; !still {
			s.gauge.DeleteLabelValues(string(id))
			s.log.Info("placement: Endpoint has its usual speed again, or left.", "endpoint", id, "slowness_before", slowness)
		}
	}
	s.last = now
}
