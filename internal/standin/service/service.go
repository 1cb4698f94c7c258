// Package service is a small stand-in for a plain service. It accepts orders,
// counts how often each took effect, and serves a catalogue.
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

// Further paths of the control page, beside control.Path.
const (
	PathEffects = control.Path + "/effects" // GET Effects
	PathLeaving = control.Path + "/leaving" // POST endpoint.LeavingState
)

// Faults are the injected failures. Rates are probabilities from 0 to 1.
type Faults struct {
	// Path and Workspace limit the faults to matching requests. A zero field matches every request.
	Path      string          `json:"path,omitempty"` // prefix
	Workspace ident.Workspace `json:"workspace,omitempty"`
	// RefuseRate is the rate of requests refused with 503 and the verdict not-run, before any effect.
	RefuseRate float64 `json:"refuse_rate"`
	// FailRate is the rate of requests that fail with 500 without a verdict, before any effect.
	FailRate float64 `json:"fail_rate"`
	// CutRate is the rate of requests whose connection is closed after the effect.
	CutRate float64 `json:"cut_rate"`
	// Delay is the time between the effect and the response.
	Delay time.Duration `json:"delay_ns"`
	// Freeze blocks every request before any effect, except those of the control
	// page, the load report and the leaving state.
	Freeze bool `json:"freeze"`
}

// Options are the settings of a Service.
type Options struct {
	ID      ident.EndpointID
	Version ident.Version
	// Concurrency is the maximum number of concurrent requests in the load report. Default: 64.
	Concurrency int
	// DropDuplicates returns the first order again for a repeated idempotency key. Default: false.
	DropDuplicates bool
	// Seed is the seed of the random source of faults.
	Seed uint64
	// Faults are the initial faults.
	Faults Faults
}

// Order is the response to a placed order.
type Order struct {
	ID      string          `json:"id"`
	Key     string          `json:"key,omitempty"`
	Attempt ident.AttemptID `json:"attempt,omitempty"`
	// Body is the hexadecimal FNV-1a digest of the order's body.
	Body string `json:"body"`
}

// Item is a catalogue entry. It is a pure function of its ID.
type Item struct {
	ID    string `json:"id"`
	Name  string `json:"name"`
	Price int    `json:"price_cents"`
}

// Effects are the numbers of orders that took effect.
type Effects struct {
	Orders    int                     `json:"orders"`
	ByKey     map[string]int          `json:"by_key"`
	ByAttempt map[ident.AttemptID]int `json:"by_attempt"`
}

// Status is the control page's response.
type Status struct {
	Faults  Faults `json:"faults"`
	Calls   int    `json:"calls"`
	Orders  int    `json:"orders"`
	Running int    `json:"running"`
	// Doubled is the number of idempotency keys whose order took effect more than once.
	Doubled int `json:"doubled"`
}

// Service is a stand-in for a plain service.
type Service struct {
	opts Options
	http http.Handler

	mu struct {
		sync.Mutex
		rng         *rand.Rand
		faults      Faults
		unfrozen    chan struct{} // closed when the freeze ends; nil while not frozen
		calls       int
		running     int
		effects     Effects
		firstOrders map[string]Order // by idempotency key
		leaving     endpoint.LeavingState
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
	s.mu.firstOrders = make(map[string]Order)
	s.SetFaults(opts.Faults)
	s.http = s.routes()
	return s
}

// Handler serves orders, the catalogue and the control page.
func (s *Service) Handler() http.Handler {
	return s.http
}

// SetFaults replaces the injected faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Freeze && s.mu.unfrozen == nil {
		s.mu.unfrozen = make(chan struct{})
	}
	if !f.Freeze && s.mu.unfrozen != nil {
		close(s.mu.unfrozen)
		s.mu.unfrozen = nil
	}
	s.mu.faults = f
}

// Effects returns the numbers of orders that took effect.
func (s *Service) Effects() Effects {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.mu.effects
	e.ByKey, e.ByAttempt = maps.Clone(e.ByKey), maps.Clone(e.ByAttempt)
	return e
}

// Status returns the faults and the counts so far.
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

// SetLeaving sets the leaving state that the service reports.
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
		control.WriteJSON(w, CatalogueItem(r.PathValue("id")))
	})
	mux := http.NewServeMux()
	mux.Handle("/", s.withFaults(app))
	mux.HandleFunc("GET "+endpoint.PathLoad, s.load)
	mux.HandleFunc("GET "+endpoint.PathLeaving, func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		control.WriteJSON(w, s.mu.leaving)
	})
	mux.HandleFunc("GET "+control.Path, func(w http.ResponseWriter, _ *http.Request) { control.WriteJSON(w, s.Status()) })
	mux.HandleFunc("GET "+PathEffects, func(w http.ResponseWriter, _ *http.Request) { control.WriteJSON(w, s.Effects()) })
	mux.HandleFunc("POST "+control.Path, func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if control.ReadJSON(w, r, &f) {
			s.SetFaults(f)
		}
	})
	mux.HandleFunc("POST "+PathLeaving, func(w http.ResponseWriter, r *http.Request) {
		var l endpoint.LeavingState
		if control.ReadJSON(w, r, &l) {
			s.SetLeaving(l)
		}
	})
	return mux
}

// withFaults wraps next and applies the faults before and after it.
func (s *Service) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f, unfrozen := s.begin(r)
		defer s.end()
		if unfrozen != nil {
			select {
			case <-unfrozen:
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
		fw := &faultyWriter{ResponseWriter: w, delay: f.Delay, abort: s.chance(f.CutRate)}
		next.ServeHTTP(fw, r)
	})
}

// begin counts a request. It returns the faults that apply to it and, if they
// freeze it, a channel that is closed when the freeze ends.
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
	return f, s.mu.unfrozen
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

// order places an order. This is the effect that must happen only once per idempotency key.
func (s *Service) order(w http.ResponseWriter, r *http.Request) {
	digest := fnv.New64a()
	if _, err := io.Copy(digest, r.Body); err != nil {
		return // the body is incomplete: no effect
	}
	o := s.placeOrder(r, fmt.Sprintf("%016x", digest.Sum64()))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusCreated)
	_ = json.NewEncoder(w).Encode(o)
}

func (s *Service) placeOrder(r *http.Request, body string) Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := r.Header.Get(endpoint.HeaderIdemKey)
	if first, ok := s.mu.firstOrders[key]; ok && s.opts.DropDuplicates {
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
		s.mu.firstOrders[key] = o
	}
	return o
}

func (s *Service) load(w http.ResponseWriter, _ *http.Request) {
	control.WriteJSON(w, endpoint.LoadReport{
		Endpoint:   s.opts.ID,
		Version:    s.opts.Version,
		Running:    s.Status().Running,
		MaxRunning: s.opts.Concurrency,
	})
}

// CatalogueItem returns the catalogue entry of an ID, so that a client can check a response.
func CatalogueItem(id string) Item {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return Item{ID: id, Name: "item " + id, Price: int(h.Sum32() % 100000)}
}

// faultyWriter delays a response, or aborts the connection instead of sending it.
type faultyWriter struct {
	http.ResponseWriter
	delay time.Duration
	abort bool
	once  sync.Once
}

// Write implements http.ResponseWriter.
func (w *faultyWriter) Write(b []byte) (int, error) {
	w.once.Do(w.applyFault)
	return w.ResponseWriter.Write(b)
}

// WriteHeader implements http.ResponseWriter.
func (w *faultyWriter) WriteHeader(status int) {
	w.once.Do(w.applyFault)
	w.ResponseWriter.WriteHeader(status)
}

func (w *faultyWriter) applyFault() {
	if w.abort {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(w.delay)
}
