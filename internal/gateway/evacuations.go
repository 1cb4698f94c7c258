package gateway

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/jujubeshed/jujubeshed/internal/directory"
	"github.com/jujubeshed/jujubeshed/internal/evacuation"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
)

// evacuations applies the evacuations of data centres that the store and the other nodes state.
type evacuations struct {
	era      func() platformapi.Era // of the store
	onChange func(now time.Time, evacuated []ident.DataCentre)
	log      *slog.Logger
	listed   atomic.Bool // the store's entries were listed
	inForce  *prometheus.GaugeVec

	mu struct {
		sync.Mutex
		set *evacuation.Set
	}
}

var _ directory.Listener = (*evacuations)(nil)

// newEvacuations returns evacuations without any. onChange is called with those in force after
// each change.
func newEvacuations(era func() platformapi.Era, onChange func(time.Time, []ident.DataCentre), reg prometheus.Registerer, log *slog.Logger) *evacuations {
	e := &evacuations{
		era: era, onChange: onChange, log: log,
		inForce: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "evacuation_in_force", Help: "1 while nothing is sent to the endpoints of a data centre."}, []string{"data_centre"}),
	}
	reg.MustRegister(e.inForce)
	e.mu.set = evacuation.NewSet()
	return e
}

// Replace implements directory.Listener.
func (e *evacuations) Replace(objects []platformapi.Object) {
	era := e.era()
	for _, o := range objects {
		era = max(era, o.Version.Era())
	}
	e.apply("store", func(now time.Time) []evacuation.Change { return e.mu.set.Replace(now, era, statements(objects)) })
	e.listed.Store(true)
}

// Change implements directory.Listener.
func (e *evacuations) Change(objects []platformapi.Object) {
	for _, o := range objects {
		e.apply("store", func(now time.Time) []evacuation.Change {
			if o.Version == 0 {
				return e.mu.set.Remove(now, dataCentreOf(o))
			}
			return e.mu.set.Record(now, statements([]platformapi.Object{o}))
		})
	}
}

// merge applies what another node knows.
func (e *evacuations) merge(list []evacuation.Statement) {
	if len(list) > 0 {
		e.apply("peer", func(now time.Time) []evacuation.Change { return e.mu.set.Record(now, list) })
	}
}

// tick ends evacuations whose entries were lost.
func (e *evacuations) tick(now time.Time) {
	e.apply("timeout", func(time.Time) []evacuation.Change { return e.mu.set.Expire(now) })
}

// statements returns what this node knows, for the other nodes.
func (e *evacuations) statements() []evacuation.Statement {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.mu.set.Statements()
}

// apply changes the set and, in the same order as the changes, the endpoints that may be used.
func (e *evacuations) apply(source string, change func(now time.Time) []evacuation.Change) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	changes := change(now)
	if len(changes) == 0 {
		return
	}
	e.onChange(now, e.mu.set.InForce())
	for _, c := range changes {
		value, text := 0.0, "evacuation: Ended; the endpoints of the data centre may be used again."
		if c.Begins {
			value, text = 1, "evacuation: In force; nothing is sent to the endpoints of the data centre."
		}
		e.inForce.WithLabelValues(string(c.DataCentre)).Set(value)
		e.log.Info(text, "data_centre", c.DataCentre, "version", c.Version, "source", source)
	}
}

func dataCentreOf(o platformapi.Object) ident.DataCentre {
	return ident.DataCentre(directory.NameInKey(o.Key))
}

func statements(objects []platformapi.Object) []evacuation.Statement {
	out := make([]evacuation.Statement, 0, len(objects))
	for _, o := range objects {
		out = append(out, evacuation.Statement{DataCentre: dataCentreOf(o), Version: o.Version})
	}
	return out
}
