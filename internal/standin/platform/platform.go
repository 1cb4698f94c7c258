// Package platform is a small stand-in for the platform: an object store, a
// delayed host list and a cloud. Faults are set through a control page.
package platform

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	api "github.com/jujubeshed/jujubeshed/api/gen/platform"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
	"github.com/jujubeshed/jujubeshed/internal/standin/control"
	"github.com/jujubeshed/jujubeshed/internal/standin/memstore"
)

// Further paths of the control page, beside control.Path.
const (
	PathHosts   = control.Path + "/hosts"   // POST api.Host: adds or replaces a host
	PathReclaim = control.Path + "/reclaim" // POST Reclaim
)

// Faults are the injected failures.
type Faults struct {
	// Store are the faults of the object store. Its Down applies to host and cloud calls too.
	Store memstore.Faults `json:"store"`
	// HostLag is the age of the host list.
	HostLag time.Duration `json:"host_lag_ns"`
	// RefuseStarts refuses purchases of reclaimable hosts; RefuseAll refuses all purchases.
	RefuseStarts bool `json:"refuse_starts"`
	RefuseAll    bool `json:"refuse_all"`
	// LoseBuyAnswers is the number of next purchases that take effect without a
	// response: the connection is closed.
	LoseBuyAnswers int `json:"lose_buy_answers"`
}

// Reclaim is a request to reclaim a host, or all reclaimable hosts of a data centre.
type Reclaim struct {
	Host       ident.Host       `json:"host,omitempty"`
	DataCentre ident.DataCentre `json:"data_centre,omitempty"`
	// Notice is the time from the notice to the removal of the host.
	Notice time.Duration `json:"notice_ns"`
}

// Status is the control page's response.
type Status struct {
	Faults    Faults          `json:"faults"`
	Store     memstore.Counts `json:"store"`
	HostCalls uint64          `json:"host_calls"` // calls for the host list, purchases, releases and notices
	Hosts     int             `json:"hosts"`
	Bought    uint64          `json:"bought"`
	Refused   uint64          `json:"refused"`
	Released  uint64          `json:"released"`
	Reclaimed uint64          `json:"reclaimed"`
	// Cost is the total cost of all hosts so far: hourly price times hours.
	Cost float64 `json:"cost"`
}

// Options are the settings of a Server.
type Options struct {
	// Seed is the seed of the random source of faults.
	Seed uint64
	// Faults are the initial faults.
	Faults Faults
	// ReclaimablePrice and OnDemandPrice are the hourly prices of bought hosts.
	// Defaults: 1 and 3.
	ReclaimablePrice, OnDemandPrice float64
	// Now returns the current time. Default: time.Now.
	Now func() time.Time
}

// Server is a stand-in for the platform.
type Server struct {
	opts  Options
	store *memstore.Store
	http  http.Handler

	mu struct {
		sync.Mutex
		faults Faults
		fleet  fleet
		calls  uint64
	}
}

// New returns a server without hosts.
func New(opts Options) *Server {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.ReclaimablePrice == 0 {
		opts.ReclaimablePrice = 1
	}
	if opts.OnDemandPrice == 0 {
		opts.OnDemandPrice = 3
	}
	s := &Server{opts: opts, store: memstore.New(memstore.Options{Seed: opts.Seed})}
	s.mu.fleet = newFleet(opts)
	s.SetFaults(opts.Faults)
	s.http = s.routes()
	return s
}

// Handler serves the platform's API and the control page.
func (s *Server) Handler() http.Handler {
	return s.http
}

// Store returns the object store behind the API.
func (s *Server) Store() *memstore.Store {
	return s.store
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mu.faults = f
	s.store.SetFaults(f.Store)
}

// Status returns the faults and the counts so far.
func (s *Server) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opts.Now()
	st := s.mu.fleet.status(now)
	st.Faults, st.Store, st.HostCalls = s.mu.faults, s.store.Counts(), s.mu.calls
	return st
}

// SetHost adds or replaces a host.
func (s *Server) SetHost(h platformapi.HostInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mu.fleet.set(s.opts.Now(), h)
}

// Reclaim announces the reclaim of hosts and returns their number.
func (s *Server) Reclaim(r Reclaim) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mu.fleet.reclaim(s.opts.Now(), r)
}

func (s *Server) routes() http.Handler {
	handler, err := api.NewServer(&handler{s})
	if err != nil {
		panic(errors.Wrap(err, "create the platform stand-in")) // only invalid options cause an error
	}
	mux := http.NewServeMux()
	mux.Handle("/", dropResponses(handler))
	mux.HandleFunc("GET "+control.Path, func(w http.ResponseWriter, _ *http.Request) {
		control.WriteJSON(w, s.Status())
	})
	mux.HandleFunc("POST "+control.Path, func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if control.ReadJSON(w, r, &f) {
			s.SetFaults(f)
		}
	})
	mux.HandleFunc("POST "+PathHosts, func(w http.ResponseWriter, r *http.Request) {
		var h api.Host
		if control.ReadJSON(w, r, &h) {
			s.SetHost(platformapi.HostFromAPI(h))
		}
	})
	mux.HandleFunc("POST "+PathReclaim, func(w http.ResponseWriter, r *http.Request) {
		var rec Reclaim
		if control.ReadJSON(w, r, &rec) {
			control.WriteJSON(w, s.Reclaim(rec))
		}
	})
	return mux
}

// RegisterHost adds or replaces a host through the control page of the stand-in at address.
func RegisterHost(ctx context.Context, address string, h platformapi.HostInfo) error {
	wire := platformapi.HostToAPI(h)
	return control.Post(ctx, address, PathHosts, &wire)
}
