package serve

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/placement"
)

// Metrics are the metrics of the data plane.
type Metrics struct {
	requests *prometheus.CounterVec
	attempts *prometheus.CounterVec
	took     *prometheus.HistogramVec
	first    *prometheus.HistogramVec
	moves    *prometheus.CounterVec
}

// NewMetrics registers the metrics with reg.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	buckets := prometheus.ExponentialBuckets(0.005, 2, 12) // 5 ms to 10 s
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "request_total", Help: "Requests by route, workspace and outcome.",
		}, []string{"route", "workspace", "outcome"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "attempt_total", Help: "Attempts by service and outcome.",
		}, []string{"service", "outcome"}),
		took: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "request_seconds", Help: "Time of whole requests.", Buckets: buckets,
		}, []string{"route"}),
		first: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "request_first_byte_seconds", Help: "Time to the beginning of the answer.", Buckets: buckets,
		}, []string{"route", "workspace"}),
	}
	m.moves = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "run_move_total", Help: "Runs moved off endpoints that leave, by service and outcome.",
	}, []string{"service", "outcome"})
	reg.MustRegister(m.requests, m.attempts, m.took, m.first, m.moves)
	return m
}

func (m *Metrics) finished(r ident.RouteName, w ident.Workspace, outcome string, took, first time.Duration) {
	m.requests.WithLabelValues(string(r), string(w), outcome).Inc()
	m.took.WithLabelValues(string(r)).Observe(took.Seconds())
	if first > 0 {
		m.first.WithLabelValues(string(r), string(w)).Observe(first.Seconds())
	}
}

var outcomeNames = map[placement.Outcome]string{
	placement.Neutral: "neutral", placement.Success: "ok", placement.Fault: "fault", placement.Full: "full",
	placement.Unreachable: "unreachable",
}

func (m *Metrics) attempt(s ident.Service, o placement.Outcome) {
	m.attempts.WithLabelValues(string(s), outcomeNames[o]).Inc()
}

// moved counts the move of a run.
func (m *Metrics) moved(s ident.Service, err error) {
	outcome := "ok"
	if err != nil {
		outcome = "failed"
	}
	m.moves.WithLabelValues(string(s), outcome).Inc()
}
