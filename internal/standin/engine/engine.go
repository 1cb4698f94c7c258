// Package engine is a small stand-in for a model engine. It simulates streamed
// generation with batching, a prefix cache, priorities, resume, and KV export and
// import. Faults are set through a control page. Responses are a pure function of
// prompt and seed.
package engine

import (
	"cmp"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/endpoint"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/standin/control"
)

// Further paths of the control page, beside control.Path.
const (
	PathRuns    = control.Path + "/runs"    // GET map of request ID to the number of its attempts
	PathLeaving = control.Path + "/leaving" // POST endpoint.LeavingState
)

// Options are the settings of an Engine.
type Options struct {
	ID      ident.EndpointID
	Version ident.Version
	// MaxRunning is the number of slots in the batch. Default: 16.
	MaxRunning int
	// MaxQueue is the maximum number of queued requests. Default: 256.
	MaxQueue int
	// PrefillPerSec is the prefill rate, in tokens per second. Default: 8000.
	PrefillPerSec float64
	// DecodePerSec is the decode rate of a single running stream, in tokens per second. Default: 50.
	DecodePerSec float64
	// BatchSlowdown is the fraction by which each other running request increases
	// the decode time of a token. Default: 0.02.
	BatchSlowdown float64
	// CacheBlocks is the capacity of the prefix cache, in blocks. Default: 4096.
	CacheBlocks int
	// EventDelay is the time after which a cache event becomes visible to polls. Default: 1s.
	EventDelay time.Duration
	// MaxLoadAge is the age at which a load report is replaced by a new one. Default: 500ms.
	MaxLoadAge time.Duration
	// LoadTime is the time that loading a version takes. Default: 10s.
	LoadTime time.Duration
	// KVBytesPerToken is the size of the KV cache of a token; KVBytesPerSec is the
	// import rate. Defaults: 128 KiB and 1 GB/s.
	KVBytesPerToken int
	KVBytesPerSec   float64
	// ChecksFence refuses orders with an outdated fencing token. Default: false.
	ChecksFence bool
	// Speed divides all times of the simulated engine. Default: 1.
	Speed float64
	// Seed is the seed of the random source of faults.
	Seed uint64
	// Faults are the initial faults.
	Faults Faults
}

func (o Options) withDefaults() Options {
	o.MaxRunning = cmp.Or(o.MaxRunning, 16)
	o.MaxQueue = cmp.Or(o.MaxQueue, 256)
	o.PrefillPerSec = cmp.Or(o.PrefillPerSec, 8000)
	o.DecodePerSec = cmp.Or(o.DecodePerSec, 50)
	o.BatchSlowdown = cmp.Or(o.BatchSlowdown, 0.02)
	o.CacheBlocks = cmp.Or(o.CacheBlocks, 4096)
	o.EventDelay = cmp.Or(o.EventDelay, time.Second)
	o.MaxLoadAge = cmp.Or(o.MaxLoadAge, 500*time.Millisecond)
	o.LoadTime = cmp.Or(o.LoadTime, 10*time.Second)
	o.KVBytesPerToken = cmp.Or(o.KVBytesPerToken, 128<<10)
	o.KVBytesPerSec = cmp.Or(o.KVBytesPerSec, 1e9)
	o.Speed = cmp.Or(o.Speed, 1)
	return o
}

// Counts are the engine's counters since its start.
type Counts struct {
	Requests         int `json:"requests"`
	Refused          int `json:"refused"`
	Failed           int `json:"failed"`
	Cancelled        int `json:"cancelled"`
	PromptTokens     int `json:"prompt_tokens"`
	CachedTokens     int `json:"cached_tokens"`
	RecomputedTokens int `json:"recomputed_tokens"` // uncached prompt tokens of resumed or repeated requests
	ImportedTokens   int `json:"imported_tokens"`
	GeneratedTokens  int `json:"generated_tokens"`
	Orders           int `json:"orders"`
	StaleOrders      int `json:"stale_orders"` // orders applied despite an outdated fencing token
}

// Status is the control page's response.
type Status struct {
	Faults  Faults               `json:"faults"`
	Counts  Counts               `json:"counts"`
	State   endpoint.EngineState `json:"state"`
	Running int                  `json:"running"`
	Queued  int                  `json:"queued"`
}

// Engine is a stand-in for a model engine.
type Engine struct {
	opts Options
	http http.Handler

	mu struct {
		sync.Mutex
		rng           *rand.Rand
		faults        Faults
		unfrozen      chan struct{} // closed when the freeze ends; nil while not frozen
		counts        Counts
		state         endpoint.EngineState
		readyAt       time.Time
		maxFence      ident.Epoch
		leaving       endpoint.LeavingState
		running       int
		queue         []*attempt
		attempts      map[ident.AttemptID]*attempt
		ended         []ident.AttemptID // attempts, oldest first
		attemptCounts map[ident.RequestID]int
		prefillFreeAt time.Time
		cache         *prefixCache
		report        endpoint.LoadReport
		reportTime    time.Time
	}
}

// New returns an engine with opts.Version loaded.
func New(opts Options) *Engine {
	e := &Engine{opts: opts.withDefaults()}
	e.mu.rng = rand.New(rand.NewPCG(e.opts.Seed, 0))
	e.mu.state = endpoint.EngineState{Version: e.opts.Version}
	e.mu.attempts = make(map[ident.AttemptID]*attempt)
	e.mu.attemptCounts = make(map[ident.RequestID]int)
	e.mu.cache = newPrefixCache(e.opts.CacheBlocks, e.simulatedDuration(e.opts.EventDelay.Seconds()))
	e.SetFaults(e.opts.Faults)
	e.http = e.routes()
	return e
}

// Handler serves the engine's API and its control page.
func (e *Engine) Handler() http.Handler {
	return e.http
}

// Status returns the state and counts.
func (e *Engine) Status() Status {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Status{
		Faults:  e.mu.faults,
		Counts:  e.mu.counts,
		State:   e.stateLocked(),
		Running: e.mu.running,
		Queued:  len(e.mu.queue),
	}
}

// Runs returns the number of attempts that the engine accepted for each request.
func (e *Engine) Runs() map[ident.RequestID]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.mu.attemptCounts)
}

// SetLeaving sets the leaving state that the engine reports.
func (e *Engine) SetLeaving(s endpoint.LeavingState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.mu.leaving = s
}

func (e *Engine) routes() http.Handler {
	api := http.NewServeMux()
	api.HandleFunc("POST "+endpoint.PathChat, e.chat)
	api.HandleFunc("POST "+endpoint.PathCancel, e.cancel)
	api.HandleFunc("GET "+endpoint.PathLoad, e.load)
	api.HandleFunc("GET "+endpoint.PathCacheEvents, e.cacheEvents)
	api.HandleFunc("GET "+endpoint.PathEngineOrder, e.getState)
	api.HandleFunc("POST "+endpoint.PathEngineOrder, e.setState)
	api.HandleFunc("POST "+endpoint.PathKVExport, e.export)
	api.HandleFunc("POST "+endpoint.PathKVImport, e.importKV)
	api.HandleFunc("GET "+endpoint.PathLeaving, e.getLeaving)

	mux := http.NewServeMux()
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		if e.waitWhileFrozen(r.Context().Done()) {
			api.ServeHTTP(w, r)
		}
	})
	mux.HandleFunc("GET "+control.Path, func(w http.ResponseWriter, _ *http.Request) { control.WriteJSON(w, e.Status()) })
	mux.HandleFunc("GET "+PathRuns, func(w http.ResponseWriter, _ *http.Request) { control.WriteJSON(w, e.Runs()) })
	mux.HandleFunc("POST "+control.Path, func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if control.ReadJSON(w, r, &f) {
			e.SetFaults(f)
		}
	})
	mux.HandleFunc("POST "+PathLeaving, func(w http.ResponseWriter, r *http.Request) {
		var s endpoint.LeavingState
		if control.ReadJSON(w, r, &s) {
			e.SetLeaving(s)
		}
	})
	return mux
}

func (e *Engine) cancel(w http.ResponseWriter, req *http.Request) {
	var body endpoint.CancelRequest
	if !control.ReadJSON(w, req, &body) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if a := e.mu.attempts[body.Attempt]; a != nil {
		a.cancel()
	}
}

// load serves the load report, which is renewed once it is MaxLoadAge old.
func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if e.mu.reportTime.IsZero() || now.Sub(e.mu.reportTime) >= e.opts.MaxLoadAge {
		e.mu.report, e.mu.reportTime = e.reportLocked(), now
	}
	report := e.mu.report
	report.Age = now.Sub(e.mu.reportTime)
	control.WriteJSON(w, report)
}

func (e *Engine) reportLocked() endpoint.LoadReport {
	report := endpoint.LoadReport{
		Endpoint:      e.opts.ID,
		Version:       e.mu.state.Version,
		Running:       e.mu.running,
		Queued:        len(e.mu.queue),
		MaxRunning:    e.opts.MaxRunning,
		PrefillPerSec: e.opts.PrefillPerSec * e.opts.Speed,
		DecodePerSec:  e.opts.DecodePerSec * e.opts.Speed,
	}
	for _, a := range e.mu.queue {
		report.QueuedTokens += endpoint.PromptTokens(a.prompt)
	}
	return report
}

func (e *Engine) cacheEvents(w http.ResponseWriter, req *http.Request) {
	after, err := strconv.ParseUint(req.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after: "+err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	control.WriteJSON(w, e.mu.cache.eventsAfter(time.Now(), after))
}

func (e *Engine) getState(w http.ResponseWriter, _ *http.Request) {
	control.WriteJSON(w, e.Status().State)
}

// setState applies an order. An outdated fencing token is refused with 409 if
// ChecksFence is set, and counted as stale otherwise.
func (e *Engine) setState(w http.ResponseWriter, req *http.Request) {
	var o endpoint.EngineOrder
	if !control.ReadJSON(w, req, &o) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Fence < e.mu.maxFence {
		if e.opts.ChecksFence {
			w.WriteHeader(http.StatusConflict)
			_ = json.NewEncoder(w).Encode(e.stateLocked())
			return
		}
		e.mu.counts.StaleOrders++
	}
	e.mu.maxFence = max(e.mu.maxFence, o.Fence)
	e.mu.counts.Orders++
	e.applyOrderLocked(o)
	control.WriteJSON(w, e.stateLocked())
}

func (e *Engine) applyOrderLocked(o endpoint.EngineOrder) {
	old := e.mu.state
	e.mu.state = endpoint.EngineState{Fence: o.Fence, Version: o.Version, Adapter: o.Adapter, Role: o.Role}
	if o.Version != old.Version || o.Adapter != old.Adapter {
		e.mu.readyAt = time.Now().Add(e.simulatedDuration(e.opts.LoadTime.Seconds()))
	}
}

func (e *Engine) stateLocked() endpoint.EngineState {
	s := e.mu.state
	s.Ready = e.readyLocked()
	return s
}

func (e *Engine) readyLocked() bool {
	return !time.Now().Before(e.mu.readyAt)
}

func (e *Engine) export(w http.ResponseWriter, req *http.Request) {
	var body endpoint.KVExportRequest
	if !control.ReadJSON(w, req, &body) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	a := e.mu.attempts[body.Attempt]
	if a == nil {
		http.Error(w, "no such attempt", http.StatusNotFound)
		return
	}
	blocks := endpoint.BlockChain(a.text())
	tokens := len(blocks) * endpoint.BlockBytes / endpoint.BytesPerToken
	control.WriteJSON(w, endpoint.KVBlob{Blocks: blocks, Tokens: tokens, Bytes: tokens * e.opts.KVBytesPerToken})
}

func (e *Engine) importKV(w http.ResponseWriter, req *http.Request) {
	var blob endpoint.KVBlob
	if !control.ReadJSON(w, req, &blob) {
		return
	}
	if !sleep(req.Context().Done(), e.simulatedDuration(float64(blob.Bytes)/e.opts.KVBytesPerSec)) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.mu.counts.ImportedTokens += blob.Tokens
	e.addToCacheLocked(blob.Blocks)
}

func (e *Engine) getLeaving(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	control.WriteJSON(w, e.mu.leaving)
}

func (e *Engine) countFailed() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.mu.counts.Failed++
}
