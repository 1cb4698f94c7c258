package committer

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics are the Prometheus metrics of a Committer.
type Metrics struct {
	// Replies counts the replies to claims by kind.
	Replies *prometheus.CounterVec
	// StoreCalls counts the store calls by call and result.
	StoreCalls *prometheus.CounterVec
	// StoreSeconds is the duration of store calls by call.
	StoreSeconds *prometheus.HistogramVec
}

// NewMetrics returns new metrics, which are registered with r unless it is nil.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		Replies: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "once_replies_total", Help: "Answers to claims by kind.",
		}, []string{"kind"}),
		StoreCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "once_store_calls_total", Help: "Store calls by call and result.",
		}, []string{"call", "result"}),
		StoreSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "once_store_seconds", Help: "Time of store calls.", Buckets: prometheus.ExponentialBuckets(0.001, 2, 12),
		}, []string{"call"}),
	}
	if r != nil {
		r.MustRegister(m.Replies, m.StoreCalls, m.StoreSeconds)
	}
	return m
}

func (m *Metrics) observe(call string, err error, d time.Duration) {
	result := "ok"
	if err != nil {
		result = "error"
	}
	m.StoreCalls.WithLabelValues(call, result).Inc()
	m.StoreSeconds.WithLabelValues(call).Observe(d.Seconds())
}
