// Package platform is a small stand-in for the platform: object store, lagging
// host list and cloud, with faults that a control page switches.
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

// Paths of the control page beside control.Path.
const (
	PathHosts   = control.Path + "/hosts"   // POST api.Host: adds or replaces a host
	PathReclaim = control.Path + "/reclaim" // POST Reclaim
)

// Faults are the failures in force.
type Faults struct {
	// Store has the faults of the object store; its Down takes hosts and cloud too.
	Store memstore.Faults `json:"store"`
	// HostLag is how old the host list is.
	HostLag time.Duration `json:"host_lag_ns"`
	// RefuseStarts refuses to sell reclaimable hosts; RefuseAll sells none.
	RefuseStarts bool `json:"refuse_starts"`
	RefuseAll    bool `json:"refuse_all"`
	// LoseBuyAnswers cuts the connection after that many of the next purchases took effect.
	LoseBuyAnswers int `json:"lose_buy_answers"`
}

// Reclaim orders the reclaim of a host, or of all reclaimable hosts of a data centre.
type Reclaim struct {
	Host       ident.Host       `json:"host,omitempty"`
	DataCentre ident.DataCentre `json:"data_centre,omitempty"`
	// Notice is the time from the notice to the end of the host.
	Notice time.Duration `json:"notice_ns"`
}

// Status is the answer of the control page.
type Status struct {
	Faults    Faults          `json:"faults"`
	Store     memstore.Counts `json:"store"`
	HostCalls uint64          `json:"host_calls"` // host list, cloud and notices
	Hosts     int             `json:"hosts"`
	Bought    uint64          `json:"bought"`
	Refused   uint64          `json:"refused"`
	Released  uint64          `json:"released"`
	Reclaimed uint64          `json:"reclaimed"`
	// Cost is the sum of price and time over all hosts so far.
	Cost float64 `json:"cost"`
}

// Options are the settings of a Server.
type Options struct {
	// Seed of the faults' random source.
	Seed uint64
	// Faults in force at the start.
	Faults Faults
	// ReclaimablePrice and OnDemandPrice are an hour's price of hosts that the
	// cloud sells. Default: 1 and 3.
	ReclaimablePrice, OnDemandPrice float64
	// Now is the clock. Default: time.Now.
	Now func() time.Time
}

// Server is the stand-in.
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

// SetFaults puts faults in force.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mu.faults = f
	s.store.SetFaults(f.Store)
}

// Status returns the counts so far.
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

// Reclaim announces the reclaim of hosts and returns how many there are.
func (s *Server) Reclaim(r Reclaim) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mu.fleet.reclaim(s.opts.Now(), r)
}

func (s *Server) routes() http.Handler {
	handler, err := api.NewServer(&handler{s})
	if err != nil {
		panic(errors.Wrap(err, "platform stand-in")) // only wrong options
	}
	mux := http.NewServeMux()
	mux.Handle("/", cutLost(handler))
	mux.HandleFunc("GET "+control.Path, func(w http.ResponseWriter, _ *http.Request) {
		control.Write(w, s.Status())
	})
	mux.HandleFunc("POST "+control.Path, func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if control.Read(w, r, &f) {
			s.SetFaults(f)
		}
	})
	mux.HandleFunc("POST "+PathHosts, func(w http.ResponseWriter, r *http.Request) {
		var h api.Host
		if control.Read(w, r, &h) {
			s.SetHost(platformapi.HostFromAPI(h))
		}
	})
	mux.HandleFunc("POST "+PathReclaim, func(w http.ResponseWriter, r *http.Request) {
		var rec Reclaim
		if control.Read(w, r, &rec) {
			control.Write(w, s.Reclaim(rec))
		}
	})
	return mux
}

// RegisterHost adds or replaces a host at the control page of a stand-in elsewhere.
func RegisterHost(ctx context.Context, address string, h platformapi.HostInfo) error {
	wire := platformapi.HostToAPI(h)
	return control.Post(ctx, address, PathHosts, &wire)
}
