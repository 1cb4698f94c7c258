package directory

import (
	"log/slog"
	"strings"
	"sync"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
	"github.com/jujubeshed/jujubeshed/internal/site"
)

// EndpointDecoder decodes the registration of an endpoint.
type EndpointDecoder func(name string, value []byte) (site.Endpoint, error)

// Registry stores the endpoints that are registered in the store. It is safe for
// concurrent use.
type Registry struct {
	decode   EndpointDecoder
	log      *slog.Logger
	onChange func(now time.Time, listed, missing []site.Endpoint)

	mu struct {
		sync.Mutex
		endpoints   *Endpoints
		loaded      bool
		undecodable map[string]bool // entries that cannot be decoded; each is logged once
	}
}

var _ Listener = (*Registry)(nil)

// NewRegistry returns an empty registry. Missing endpoints may serve for the time grace;
// endpoints in doubt, see Endpoints, are not used for the time doubtTime. The function
// onChange is called after each change.
func NewRegistry(decode EndpointDecoder, grace, doubtTime time.Duration, onChange func(now time.Time, listed, missing []site.Endpoint), log *slog.Logger) *Registry {
	r := &Registry{decode: decode, log: log, onChange: onChange}
	r.mu.endpoints = NewEndpoints(grace, doubtTime)
	r.mu.undecodable = make(map[string]bool)
	return r
}

// Loaded reports whether the endpoints were listed at least once.
func (r *Registry) Loaded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mu.loaded
}

// NameInKey returns the name in a key, which follows the kind and a slash.
func NameInKey(key platformapi.Key) string {
	_, name, _ := strings.Cut(string(key), "/")
	return name
}

// Replace implements Listener.
func (r *Registry) Replace(objects []platformapi.Object) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	var list []site.Endpoint
	var era platformapi.Era
	for _, o := range objects {
		era = max(era, o.Version.Era())
		if e, ok := r.decodeOrRemove(o); ok {
			list = append(list, e)
		}
	}
	r.mu.endpoints.Replace(now, era, list)
	r.mu.loaded = true
	r.log.Info("directory: Endpoints listed.", "entries", len(objects), "listed", len(list), "missing", len(r.mu.endpoints.Missing()))
	r.publish(now)
}

// Change implements Listener.
func (r *Registry) Change(objects []platformapi.Object) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, o := range objects {
		if o.Version == 0 {
			r.mu.endpoints.Remove(now, ident.EndpointID(NameInKey(o.Key)))
			r.log.Info("directory: Endpoint removed.", "endpoint", NameInKey(o.Key))
			continue
		}
		if e, ok := r.decodeOrRemove(o); ok {
			r.mu.endpoints.Set(now, e)
			r.log.Info("directory: Endpoint changed.", "endpoint", e.ID, "service", e.Service, "data_centre", e.DataCentre,
				"leaving", e.Leaving, "leaves_in_ms", e.LeavesIn.Milliseconds(), "reclaimable", e.Reclaimable, "revision", o.Version)
		}
	}
	r.publish(now)
}

// decodeOrRemove decodes an entry. If that fails, the endpoint that the entry described
// before, if any, counts as removed.
func (r *Registry) decodeOrRemove(o platformapi.Object) (site.Endpoint, bool) {
	name := NameInKey(o.Key)
	e, err := r.decode(name, o.Value)
	if err == nil {
		delete(r.mu.undecodable, name)
		return e, true
	}
	if !r.mu.undecodable[name] {
		r.log.Warn("directory: Entry cannot be decoded.", "entry", name, "revision", o.Version, "error", err)
		r.mu.undecodable[name] = true
	}
	r.mu.endpoints.Remove(time.Now(), ident.EndpointID(name))
	return site.Endpoint{}, false
}

// RecordDepartures records departures of endpoints that another node or the endpoint itself
// has reported. It returns whether the usable endpoints changed.
func (r *Registry) RecordDepartures(list []Departure) bool {
	if len(list) == 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	changed := r.mu.endpoints.RecordDepartures(now, list)
	if changed {
		r.publish(now)
	}
	return changed
}

// Departures returns the recent departures that the other nodes don't learn of from the store.
func (r *Registry) Departures() []Departure {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mu.endpoints.Departures(time.Now())
}

// AllDepartures returns the recent departures, for a node that starts.
func (r *Registry) AllDepartures() []Departure {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mu.endpoints.AllDepartures(time.Now())
}

// Tick drops endpoints that have been missing for longer than the grace period.
func (r *Registry) Tick(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.mu.endpoints.Expire(now) {
		r.publish(now)
	}
}

// Refresh calls onChange with the present endpoints, after a change of the configuration.
func (r *Registry) Refresh() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.publish(time.Now())
}

func (r *Registry) publish(now time.Time) {
	r.onChange(now, r.mu.endpoints.Listed(), r.mu.endpoints.Missing())
}
