package syncer

import "github.com/prometheus/client_golang/prometheus"

// Metrics are the metrics of a Syncer.
type Metrics struct {
	revision      prometheus.Gauge
	fromStore     prometheus.Counter
	fromPeers     prometheus.Counter
	offersRefused prometheus.Counter
	rounds        prometheus.Counter
	retries       prometheus.Counter
	watchGaps     prometheus.Counter
	watchSkips    prometheus.Counter
}

// NewMetrics registers the metrics with reg, which may be nil.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
	}
	m := &Metrics{
		revision:      prometheus.NewGauge(prometheus.GaugeOpts{Name: "config_revision", Help: "Revision in force."}),
		fromStore:     counter("config_store_revisions_total", "Revisions taken from the store."),
		fromPeers:     counter("config_peer_revisions_total", "Revisions taken from peers."),
		offersRefused: counter("config_offers_refused_total", "Messages of peers that did not fit."),
		rounds:        counter("config_accept_rounds_total", "Rounds of acceptance."),
		retries:       counter("config_accept_retries_total", "Tries of acceptance that had to read again."),
		watchGaps:     counter("config_watch_gaps_total", "Watches that reported lost changes."),
		watchSkips:    counter("config_watch_skips_total", "Changes found by listing that no watch reported."),
	}
	if reg != nil {
		reg.MustRegister(m.revision, m.fromStore, m.fromPeers, m.offersRefused, m.rounds, m.retries, m.watchGaps, m.watchSkips)
	}
	return m
}
