package entry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

// Metrics are the request counters and latency histograms of a Server.
type Metrics struct {
	accepts           *prometheus.CounterVec
	refusals          *prometheus.CounterVec
	finishes          *prometheus.CounterVec
	durationSeconds   *prometheus.HistogramVec
	firstTokenSeconds *prometheus.HistogramVec
}

var durationBuckets = []float64{.005, .01, .025, .05, .1, .2, .35, .53, .75, 1, 2, 5, 10, 30, 60, 300, 600}

// NewMetrics returns the metrics of a Server, registered with reg.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		accepts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "entry_requests_accepted_total", Help: "Requests accepted.",
		}, []string{"workspace", "class"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "entry_requests_refused_total", Help: "Requests refused without being accepted.",
		}, []string{"workspace", "class", "code"}),
		finishes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "entry_requests_finished_total", Help: "Accepted requests that ended, by outcome.",
		}, []string{"workspace", "class", "end"}),
		durationSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "entry_request_duration_seconds", Help: "Time from the arrival of a request to its end.", Buckets: durationBuckets,
		}, []string{"workspace", "class"}),
		firstTokenSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "entry_first_token_seconds", Help: "Time from the arrival of a request to its first token.", Buckets: durationBuckets,
		}, []string{"workspace", "class"}),
	}
	reg.MustRegister(m.accepts, m.refusals, m.finishes, m.durationSeconds, m.firstTokenSeconds)
	return m
}

func (m *Metrics) accepted(r *Request) {
	m.accepts.WithLabelValues(string(r.Workspace), r.Route.Class.String()).Inc()
}

func (m *Metrics) refused(r *Request, e *verdict.Error) {
	m.refusals.WithLabelValues(string(r.Workspace), r.Route.Class.String(), string(e.Code)).Inc()
}

func (m *Metrics) finished(r *Request, e *verdict.Error) {
	end := "whole" // label value of a complete response
	if e != nil {
		end = string(e.Code)
	}
	class := r.Route.Class.String()
	m.finishes.WithLabelValues(string(r.Workspace), class, end).Inc()
	m.durationSeconds.WithLabelValues(string(r.Workspace), class).Observe(time.Since(r.Arrived).Seconds())
}

// firstToken records the time to the first token of a request.
func (m *Metrics) firstToken(r *Request) {
	m.firstTokenSeconds.WithLabelValues(string(r.Workspace), r.Route.Class.String()).Observe(time.Since(r.Arrived).Seconds())
}
