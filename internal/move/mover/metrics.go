package mover

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/jujubeshed/jujubeshed/internal/lease/holder"
)

// Metrics contains the Prometheus metrics of a Mover.
type Metrics struct {
	brakes prometheus.Counter
	calls  prometheus.Counter
	leases *holder.Metrics
}

// NewMetrics returns metrics registered with reg, or unregistered ones if reg is nil.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		brakes: prometheus.NewCounter(prometheus.CounterOpts{Name: "move_brakes_total", Help: "Versions that this node marked as bad."}),
		calls:  prometheus.NewCounter(prometheus.CounterOpts{Name: "move_store_calls_total", Help: "Calls to the store."}),
		leases: holder.NewMetrics(reg),
	}
	if reg != nil {
		reg.MustRegister(m.brakes, m.calls)
	}
	return m
}
