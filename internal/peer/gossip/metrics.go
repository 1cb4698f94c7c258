package gossip

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/jujubeshed/jujubeshed/internal/peer"
)

// Metrics contains the metrics of a Service.
type Metrics struct {
	Sent          prometheus.Counter
	Failed        prometheus.Counter
	Dropped       prometheus.Counter
	Received      prometheus.Counter
	SentBytes     prometheus.Counter // of request bodies
	ReceivedBytes prometheus.Counter // of request bodies
	Refused       *prometheus.CounterVec
	Refuted       prometheus.Counter
	Members       *prometheus.GaugeVec
	Marks         prometheus.Gauge
}

// Values of the reason label of Refused.
const (
	refusedKey     = "key"
	refusedGarbled = "garbled"
	refusedAnswer  = "answer"
)

func newMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		Sent:          counter("peer_messages_sent_total", "Messages sent to peers."),
		Failed:        counter("peer_messages_failed_total", "Messages to peers that failed."),
		Dropped:       counter("peer_messages_dropped_total", "Messages not sent for too many in flight."),
		Received:      counter("peer_messages_received_total", "Messages received from peers."),
		SentBytes:     counter("peer_sent_bytes_total", "Bytes of the bodies of calls to peers."),
		ReceivedBytes: counter("peer_received_bytes_total", "Bytes of the bodies of calls from peers."),
		Refuted:       counter("peer_refutations_total", "Times that this node took a higher incarnation."),
		Refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "peer_calls_refused_total", Help: "Calls refused, by reason.",
		}, []string{"reason"}),
		Members: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "peer_members", Help: "Members of the data centre, by state.",
		}, []string{"state"}),
		Marks: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "peer_marks", Help: "Marks kept.",
		}),
	}
	if r != nil {
		r.MustRegister(m.Sent, m.Failed, m.Dropped, m.Received, m.SentBytes, m.ReceivedBytes,
			m.Refuted, m.Refused, m.Members, m.Marks)
	}
	return m
}

func counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
}

func (m *Metrics) countRefusal(reason string) {
	m.Refused.WithLabelValues(reason).Inc()
}

// observe sets the gauges from the node's state.
func (m *Metrics) observe(members []peer.Member, marks int) {
	states := make(map[peer.State]int)
	for _, member := range members {
		states[member.State]++
	}
	for _, s := range []peer.State{peer.StateJoining, peer.StateAlive, peer.StateSuspect} {
		m.Members.WithLabelValues(s.String()).Set(float64(states[s]))
	}
	m.Marks.Set(float64(marks))
}
