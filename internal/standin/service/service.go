// Package service is a small stand-in for a plain service: an order desk and a
// catalogue that count how often each order really took effect.
package service

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/endpoint"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/standin/control"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

// Paths of the control page beside control.Path.
const (
	PathEffects = control.Path + "/effects" // GET Effects
	PathLeaving = control.Path + "/leaving" // POST endpoint.LeavingState
)

// Faults are the failures in force. Rates are probabilities from 0 to 1.
type Faults struct {
	// Path and Workspace limit the faults; a zero field does not.
	Path      string          `json:"path,omitempty"` // prefix
	Workspace ident.Workspace `json:"workspace,omitempty"`
	// RefuseRate answers 503 with the verdict not-run, before any effect.
	RefuseRate float64 `json:"refuse_rate"`
	// FailRate answers 500 without a verdict, before any effect.
	FailRate float64 `json:"fail_rate"`
	// CutRate cuts the connection after the effect.
	CutRate float64 `json:"cut_rate"`
	// Delay is added after the effect, before the answer.
	Delay time.Duration `json:"delay_ns"`
	// Freeze holds every call, but for the control page, before any effect.
	Freeze bool `json:"freeze"`
}

// Options are the settings of a Service.
type Options struct {
	ID      ident.EndpointID
	Version ident.Version
	// Concurrency is reported as the number of requests served at once. Default: 64.
	Concurrency int
	// DropDuplicates gives a repeated key the first order again. Default: false.
	DropDuplicates bool
	// Seed of the faults' random source.
	Seed uint64
	// Faults in force at the start.
	Faults Faults
}

// Order is the answer to a placed order.
type Order struct {
	ID      string          `json:"id"`
	Key     string          `json:"key,omitempty"`
	Attempt ident.AttemptID `json:"attempt,omitempty"`
	// Body is a digest of the order's body.
	Body string `json:"body"`
}

// Item is an entry of the catalogue, a pure function of its ID.
type Item struct {
	ID    string `json:"id"`
	Name  string `json:"name"`
	Price int    `json:"price_cents"`
}

// Effects counts the orders that took effect.
type Effects struct {
	Orders    int                     `json:"orders"`
	ByKey     map[string]int          `json:"by_key"`
	ByAttempt map[ident.AttemptID]int `json:"by_attempt"`
}

// Status is the answer of the control page.
type Status struct {
	Faults  Faults `json:"faults"`
	Calls   int    `json:"calls"`
	Orders  int    `json:"orders"`
	Running int    `json:"running"`
	// Doubled is the number of keys with more than one effect.
	Doubled int `json:"doubled"`
}

// Service is the stand-in.
type Service struct {
	opts Options
	http http.Handler

	mu struct {
		sync.Mutex
		rng     *rand.Rand
		faults  Faults
		gate    chan struct{} // not nil while frozen
		calls   int
		running int
		effects Effects
		first   map[string]Order // by key
		leaving endpoint.LeavingState
	}
}

// New returns a service without orders.
func New(opts Options) *Service {
	if opts.Concurrency == 0 {
		opts.Concurrency = 64
	}
	s := &Service{opts: opts}
	s.mu.rng = rand.New(rand.NewPCG(opts.Seed, 0))
	s.mu.effects = Effects{ByKey: make(map[string]int), ByAttempt: make(map[ident.AttemptID]int)}
	s.mu.first = make(map[string]Order)
	s.SetFaults(opts.Faults)
	s.http = s.routes()
	return s
}

// Handler serves order desk, catalogue and control page.
func (s *Service) Handler() http.Handler {
	return s.http
}

// SetFaults puts faults in force.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Freeze && s.mu.gate == nil {
		s.mu.gate = make(chan struct{})
	}
	if !f.Freeze && s.mu.gate != nil {
		close(s.mu.gate)
		s.mu.gate = nil
	}
	s.mu.faults = f
}

// Effects returns the counts of orders that took effect.
func (s *Service) Effects() Effects {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.mu.effects
	e.ByKey, e.ByAttempt = maps.Clone(e.ByKey), maps.Clone(e.ByAttempt)
	return e
}

// Status returns the counts so far.
func (s *Service) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := Status{Faults: s.mu.faults, Calls: s.mu.calls, Orders: s.mu.effects.Orders, Running: s.mu.running}
	for _, n := range s.mu.effects.ByKey {
		if n > 1 {
			st.Doubled++
		}
	}
	return st
}

// SetLeaving sets what the service says of its own reclaim.
func (s *Service) SetLeaving(l endpoint.LeavingState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mu.leaving = l
}

func (s *Service) routes() http.Handler {
	app := http.NewServeMux()
	app.HandleFunc("POST /orders", s.order)
	app.HandleFunc("POST /orders/", s.order)
	app.HandleFunc("GET /catalogue/{id}", func(w http.ResponseWriter, r *http.Request) {
		control.Write(w, CatalogueItem(r.PathValue("id")))
	})
	mux := http.NewServeMux()
	mux.Handle("/", s.faulty(app))
	mux.HandleFunc("GET "+endpoint.PathLoad, s.load)
	mux.HandleFunc("GET "+endpoint.PathLeaving, func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		control.Write(w, s.mu.leaving)
	})
	mux.HandleFunc("GET "+control.Path, func(w http.ResponseWriter, _ *http.Request) { control.Write(w, s.Status()) })
	mux.HandleFunc("GET "+PathEffects, func(w http.ResponseWriter, _ *http.Request) { control.Write(w, s.Effects()) })
	mux.HandleFunc("POST "+control.Path, func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if control.Read(w, r, &f) {
			s.SetFaults(f)
		}
	})
	mux.HandleFunc("POST "+PathLeaving, func(w http.ResponseWriter, r *http.Request) {
		var l endpoint.LeavingState
		if control.Read(w, r, &l) {
			s.SetLeaving(l)
		}
	})
	return mux
}

// faulty lets faults act before and after next.
func (s *Service) faulty(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f, gate := s.begin(r)
		defer s.end()
		if gate != nil {
			select {
			case <-gate:
			case <-r.Context().Done():
				return
			}
		}
		w.Header().Set(endpoint.HeaderAttemptID, r.Header.Get(endpoint.HeaderAttemptID))
		if s.chance(f.RefuseRate) {
			w.Header().Set(verdict.Header, verdict.NotRun.String())
			w.Header().Set("Retry-After", "1")
			http.Error(w, "refused", http.StatusServiceUnavailable)
			return
		}
		if s.chance(f.FailRate) {
			http.Error(w, "service failed", http.StatusInternalServerError)
			return
		}
		answer := &delayed{ResponseWriter: w, delay: f.Delay, cut: s.chance(f.CutRate)}
		next.ServeHTTP(answer, r)
	})
}

// begin counts a call and returns the faults that hold for it.
func (s *Service) begin(r *http.Request) (Faults, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mu.calls++
	s.mu.running++
	f := s.mu.faults
	if !strings.HasPrefix(r.URL.Path, f.Path) ||
		f.Workspace != "" && string(f.Workspace) != r.Header.Get(endpoint.HeaderWorkspace) {
		return Faults{}, nil
	}
	return f, s.mu.gate
}

func (s *Service) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mu.running--
}

func (s *Service) chance(p float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return p > 0 && s.mu.rng.Float64() < p
}

// order places an order: this is the effect that must happen once.
func (s *Service) order(w http.ResponseWriter, r *http.Request) {
	digest := fnv.New64a()
	if _, err := io.Copy(digest, r.Body); err != nil {
		return // the body did not come whole: no effect
	}
	o := s.place(r, fmt.Sprintf("%016x", digest.Sum64()))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusCreated)
	_ = json.NewEncoder(w).Encode(o)
}

func (s *Service) place(r *http.Request, body string) Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := r.Header.Get(endpoint.HeaderIdemKey)
	if first, ok := s.mu.first[key]; ok && s.opts.DropDuplicates {
		return first
	}
	e := &s.mu.effects
	e.Orders++
	o := Order{
		ID:      fmt.Sprintf("%s-%d", s.opts.ID, e.Orders),
		Key:     key,
		Attempt: ident.AttemptID(r.Header.Get(endpoint.HeaderAttemptID)),
		Body:    body,
	}
	e.ByAttempt[o.Attempt]++
	if key != "" {
		e.ByKey[key]++
		s.mu.first[key] = o
	}
	return o
}

func (s *Service) load(w http.ResponseWriter, _ *http.Request) {
	control.Write(w, endpoint.LoadReport{
		Endpoint:   s.opts.ID,
		Version:    s.opts.Version,
		Running:    s.Status().Running,
		MaxRunning: s.opts.Concurrency,
	})
}

// CatalogueItem returns the catalogue's entry of an ID, so that a client can check it.
func CatalogueItem(id string) Item {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return Item{ID: id, Name: "item " + id, Price: int(h.Sum32() % 100000)}
}

// delayed holds an answer back, or cuts the connection in its place.
type delayed struct {
	http.ResponseWriter
	delay time.Duration
	cut   bool
	once  sync.Once
}

// Write implements http.ResponseWriter.
func (d *delayed) Write(b []byte) (int, error) {
	d.once.Do(d.act)
	return d.ResponseWriter.Write(b)
}

// WriteHeader implements http.ResponseWriter.
func (d *delayed) WriteHeader(status int) {
	d.once.Do(d.act)
	d.ResponseWriter.WriteHeader(status)
}

func (d *delayed) act() {
	if d.cut {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(d.delay)
}
