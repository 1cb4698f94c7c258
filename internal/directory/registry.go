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

// Registry keeps the endpoints that are registered in the store.
type Registry struct {
	decode   EndpointDecoder
	log      *slog.Logger
	onChange func(now time.Time, listed, missing []site.Endpoint)

	mu struct {
		sync.Mutex
		set    *Endpoints
		loaded bool
		bad    map[string]bool // entries that can't be read, logged once
	}
}

var _ Listener = (*Registry)(nil)

// NewRegistry returns an empty registry; grace is how long a missing endpoint may serve,
// and onChange is called after each change.
func NewRegistry(decode EndpointDecoder, grace time.Duration, onChange func(now time.Time, listed, missing []site.Endpoint), log *slog.Logger) *Registry {
	r := &Registry{decode: decode, log: log, onChange: onChange}
	r.mu.set = NewEndpoints(grace)
	r.mu.bad = make(map[string]bool)
	return r
}

// Loaded tells whether the list was read once.
func (r *Registry) Loaded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mu.loaded
}

// nameOf returns the part of a key after its kind.
func nameOf(key platformapi.Key) string {
	_, name, _ := strings.Cut(string(key), "/")
	return name
}

// Replace implements Listener.
func (r *Registry) Replace(objects []platformapi.Object) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	var list []site.Endpoint
	for _, o := range objects {
		if e, ok := r.read(o); ok {
			list = append(list, e)
		}
	}
	r.mu.set.Replace(now, list)
	r.mu.loaded = true
	r.log.Info("directory: Endpoints listed.", "entries", len(objects), "listed", len(list), "missing", len(r.mu.set.Missing()))
	r.publish(now)
}

// Change implements Listener.
func (r *Registry) Change(objects []platformapi.Object) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, o := range objects {
		if o.Version == 0 {
			r.mu.set.Remove(now, ident.EndpointID(nameOf(o.Key)))
			r.log.Info("directory: Endpoint removed.", "endpoint", nameOf(o.Key))
			continue
		}
		if e, ok := r.read(o); ok {
			r.mu.set.Set(e)
			r.log.Info("directory: Endpoint changed.", "endpoint", e.ID, "service", e.Service, "data_centre", e.DataCentre,
				"leaving", e.Leaving, "leaves_in_ms", e.LeavesIn.Milliseconds(), "reclaimable", e.Reclaimable, "revision", o.Version)
		}
	}
	r.publish(now)
}

// read decodes an entry. One that can't be read names no endpoint to use: where it
// named one before, that one is as good as removed.
func (r *Registry) read(o platformapi.Object) (site.Endpoint, bool) {
	name := nameOf(o.Key)
	e, err := r.decode(name, o.Value)
	if err == nil {
		delete(r.mu.bad, name)
		return e, true
	}
	if !r.mu.bad[name] {
		r.log.Warn("directory: Entry names no endpoint.", "entry", name, "revision", o.Version, "error", err)
		r.mu.bad[name] = true
	}
	r.mu.set.Remove(time.Now(), ident.EndpointID(name))
	return site.Endpoint{}, false
}

// Tick drops endpoints that have been missing for too long.
func (r *Registry) Tick(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.mu.set.Expire(now) {
		r.publish(now)
	}
}

// Refresh publishes the endpoints again, for a configuration that has changed.
func (r *Registry) Refresh() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.publish(time.Now())
}

func (r *Registry) publish(now time.Time) {
	r.onChange(now, r.mu.set.Listed(), r.mu.set.Missing())
}
