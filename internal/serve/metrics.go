package serve

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/placement"
)

// Metrics are the Prometheus metrics of the data plane.
type Metrics struct {
	requests   *prometheus.CounterVec
	attempts   *prometheus.CounterVec
	duration   *prometheus.HistogramVec
	firstByte  *prometheus.HistogramVec
	migrations *prometheus.CounterVec
	resumed    *prometheus.CounterVec
	cut        *prometheus.CounterVec
}

// NewMetrics creates the metrics and registers them with reg.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	buckets := prometheus.ExponentialBuckets(0.005, 2, 12) // 5 ms to 10 s
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "request_total", Help: "Requests by route, workspace and outcome.",
		}, []string{"route", "workspace", "outcome"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "attempt_total", Help: "Attempts by service and outcome.",
		}, []string{"service", "outcome"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "request_seconds", Help: "Duration of requests.", Buckets: buckets,
		}, []string{"route"}),
		firstByte: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "request_first_byte_seconds", Help: "Time to the first byte of the response.", Buckets: buckets,
		}, []string{"route", "workspace"}),
	}
	m.migrations = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "run_move_total", Help: "Migrations of running streams from draining endpoints, by service and outcome.",
	}, []string{"service", "outcome"})
	m.resumed = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "run_resume_total", Help: "Streams that were stopped for their migration, by service and by where they were resumed.",
	}, []string{"service", "outcome"})
	m.cut = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "stream_cut_total", Help: "Streams that ended for their callers before their last event, by service and by what ended them.",
	}, []string{"service", "cause"})
	reg.MustRegister(m.requests, m.attempts, m.duration, m.firstByte, m.migrations, m.resumed, m.cut)
	return m
}

func (m *Metrics) recordRequest(r ident.RouteName, w ident.Workspace, outcome string, duration, firstByte time.Duration) {
	m.requests.WithLabelValues(string(r), string(w), outcome).Inc()
	m.duration.WithLabelValues(string(r)).Observe(duration.Seconds())
	if firstByte > 0 {
		m.firstByte.WithLabelValues(string(r), string(w)).Observe(firstByte.Seconds())
	}
}

// outcomeNames are the values of the label outcome of attempt_total.
var outcomeNames = map[placement.Outcome]string{
	placement.OutcomeNeutral: "neutral", placement.OutcomeSuccess: "ok", placement.OutcomeFault: "fault", placement.OutcomeFull: "full",
	placement.OutcomeUnreachable: "unreachable",
}

func (m *Metrics) recordAttempt(s ident.Service, o placement.Outcome) {
	m.attempts.WithLabelValues(string(s), outcomeNames[o]).Inc()
}

// recordCut counts a stream that was cut after its head.
func (m *Metrics) recordCut(s ident.Service, cause cutCause) {
	m.cut.WithLabelValues(string(s), string(cause)).Inc()
}

// recordMigration counts the migration of a stream; ended reports whether the stream ended meanwhile.
func (m *Metrics) recordMigration(s ident.Service, err error, ended bool) {
	outcome := "ok"
	switch {
	case err != nil && ended:
		outcome = "ended"
	case err != nil:
		outcome = "failed"
	}
	m.migrations.WithLabelValues(string(s), outcome).Inc()
}

// recordResumption counts a stream that was stopped for its migration.
func (m *Metrics) recordResumption(s ident.Service, atTarget, resumed bool) {
	outcome := "lost"
	switch {
	case atTarget:
		outcome = "target"
	case resumed:
		outcome = "source"
	}
	m.resumed.WithLabelValues(string(s), outcome).Inc()
}
