// Package engine is a small stand-in for a model engine: streamed generation with
// batching, prefix cache, priorities, resume, KV export and import, and faults
// that a control page switches. Answers are a pure function of prompt and seed.
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

// Paths of the control page beside control.Path.
const (
	PathRuns    = control.Path + "/runs"    // GET map of request ID to runs
	PathLeaving = control.Path + "/leaving" // POST endpoint.LeavingState
)

// Options are the settings of an Engine.
type Options struct {
	ID      ident.EndpointID
	Version ident.Version
	// MaxRunning is the number of slots of a batch. Default: 16.
	MaxRunning int
	// MaxQueue is the number of requests that may wait. Default: 256.
	MaxQueue int
	// PrefillPerSec is the rate of prompt tokens. Default: 8000.
	PrefillPerSec float64
	// DecodePerSec is the rate of tokens of one stream alone. Default: 50.
	DecodePerSec float64
	// BatchSlowdown is the share by which each other running request slows a token. Default: 0.02.
	BatchSlowdown float64
	// CacheBlocks bounds the prefix cache. Default: 4096.
	CacheBlocks int
	// EventDelay is how late cache events come. Default: 1s.
	EventDelay time.Duration
	// LoadLag is how old a load report may be. Default: 500ms.
	LoadLag time.Duration
	// LoadTime is how long a version takes to load. Default: 10s.
	LoadTime time.Duration
	// KVBytesPerToken and KVBytesPerSec give the time of an import. Default: 128 KiB and 1 GB.
	KVBytesPerToken int
	KVBytesPerSec   float64
	// ChecksFence refuses orders with an old fencing number. Default: false.
	ChecksFence bool
	// Speed divides all times of the simulated engine. Default: 1.
	Speed float64
	// Seed of the faults' random source.
	Seed uint64
	// Faults in force at the start.
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
	o.LoadLag = cmp.Or(o.LoadLag, 500*time.Millisecond)
	o.LoadTime = cmp.Or(o.LoadTime, 10*time.Second)
	o.KVBytesPerToken = cmp.Or(o.KVBytesPerToken, 128<<10)
	o.KVBytesPerSec = cmp.Or(o.KVBytesPerSec, 1e9)
	o.Speed = cmp.Or(o.Speed, 1)
	return o
}

// Counts counts what the engine did.
type Counts struct {
	Requests         int `json:"requests"`
	Refused          int `json:"refused"`
	Failed           int `json:"failed"`
	Cancelled        int `json:"cancelled"`
	PromptTokens     int `json:"prompt_tokens"`
	CachedTokens     int `json:"cached_tokens"`
	RecomputedTokens int `json:"recomputed_tokens"` // uncached, of resumed or repeated requests
	ImportedTokens   int `json:"imported_tokens"`
	GeneratedTokens  int `json:"generated_tokens"`
	Orders           int `json:"orders"`
	StaleOrders      int `json:"stale_orders"` // orders obeyed though their fencing number was old
}

// Status is the answer of the control page.
type Status struct {
	Faults  Faults               `json:"faults"`
	Counts  Counts               `json:"counts"`
	State   endpoint.EngineState `json:"state"`
	Running int                  `json:"running"`
	Queued  int                  `json:"queued"`
}

// Engine is the stand-in.
type Engine struct {
	opts Options
	http http.Handler

	mu struct {
		sync.Mutex
		rng         *rand.Rand
		faults      Faults
		gate        chan struct{} // not nil while frozen
		counts      Counts
		state       endpoint.EngineState
		readyAt     time.Time
		maxFence    ident.Epoch
		leaving     endpoint.LeavingState
		active      int
		queue       []*run
		attempts    map[ident.AttemptID]*run
		recent      []ident.AttemptID // ended, oldest first
		runs        map[ident.RequestID]int
		prefillFree time.Time
		cache       *prefixCache
		report      endpoint.LoadReport
		reportAt    time.Time
	}
}

// New returns an engine that serves opts.Version.
func New(opts Options) *Engine {
	e := &Engine{opts: opts.withDefaults()}
	e.mu.rng = rand.New(rand.NewPCG(e.opts.Seed, 0))
	e.mu.state = endpoint.EngineState{Version: e.opts.Version}
	e.mu.attempts = make(map[ident.AttemptID]*run)
	e.mu.runs = make(map[ident.RequestID]int)
	e.mu.cache = newPrefixCache(e.opts.CacheBlocks, e.scale(e.opts.EventDelay.Seconds()))
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
		Running: e.mu.active,
		Queued:  len(e.mu.queue),
	}
}

// Runs returns how often each request was begun here.
func (e *Engine) Runs() map[ident.RequestID]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.mu.runs)
}

// SetLeaving sets what the engine says of its own reclaim.
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
	api.HandleFunc("POST "+endpoint.PathEngineOrder, e.order)
	api.HandleFunc("POST "+endpoint.PathKVExport, e.export)
	api.HandleFunc("POST "+endpoint.PathKVImport, e.importKV)
	api.HandleFunc("GET "+endpoint.PathLeaving, e.getLeaving)

	mux := http.NewServeMux()
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		if e.thawed(r.Context().Done()) {
			api.ServeHTTP(w, r)
		}
	})
	mux.HandleFunc("GET "+control.Path, func(w http.ResponseWriter, _ *http.Request) { control.Write(w, e.Status()) })
	mux.HandleFunc("GET "+PathRuns, func(w http.ResponseWriter, _ *http.Request) { control.Write(w, e.Runs()) })
	mux.HandleFunc("POST "+control.Path, func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if control.Read(w, r, &f) {
			e.SetFaults(f)
		}
	})
	mux.HandleFunc("POST "+PathLeaving, func(w http.ResponseWriter, r *http.Request) {
		var s endpoint.LeavingState
		if control.Read(w, r, &s) {
			e.SetLeaving(s)
		}
	})
	return mux
}

func (e *Engine) cancel(w http.ResponseWriter, req *http.Request) {
	var body endpoint.CancelRequest
	if !control.Read(w, req, &body) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if r := e.mu.attempts[body.Attempt]; r != nil {
		r.cancel()
	}
}

// load serves the load report, which is taken anew only once it is LoadLag old.
func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if e.mu.reportAt.IsZero() || now.Sub(e.mu.reportAt) >= e.opts.LoadLag {
		e.mu.report, e.mu.reportAt = e.reportLocked(), now
	}
	report := e.mu.report
	report.Age = now.Sub(e.mu.reportAt)
	control.Write(w, report)
}

func (e *Engine) reportLocked() endpoint.LoadReport {
	report := endpoint.LoadReport{
		Endpoint:      e.opts.ID,
		Version:       e.mu.state.Version,
		Running:       e.mu.active,
		Queued:        len(e.mu.queue),
		MaxRunning:    e.opts.MaxRunning,
		PrefillPerSec: e.opts.PrefillPerSec * e.opts.Speed,
		DecodePerSec:  e.opts.DecodePerSec * e.opts.Speed,
	}
	for _, r := range e.mu.queue {
		report.QueuedTokens += endpoint.PromptTokens(r.prompt)
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
	control.Write(w, e.mu.cache.after(time.Now(), after))
}

func (e *Engine) getState(w http.ResponseWriter, _ *http.Request) {
	control.Write(w, e.Status().State)
}

// order obeys an order, or refuses an old fencing number where the engine checks it.
func (e *Engine) order(w http.ResponseWriter, req *http.Request) {
	var o endpoint.EngineOrder
	if !control.Read(w, req, &o) {
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
	e.obeyLocked(o)
	control.Write(w, e.stateLocked())
}

func (e *Engine) obeyLocked(o endpoint.EngineOrder) {
	old := e.mu.state
	e.mu.state = endpoint.EngineState{Fence: o.Fence, Version: o.Version, Adapter: o.Adapter, Role: o.Role}
	if o.Version != old.Version || o.Adapter != old.Adapter {
		e.mu.readyAt = time.Now().Add(e.scale(e.opts.LoadTime.Seconds()))
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
	if !control.Read(w, req, &body) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.mu.attempts[body.Attempt]
	if r == nil {
		http.Error(w, "no such attempt", http.StatusNotFound)
		return
	}
	blocks := endpoint.BlockChain(r.text())
	tokens := len(blocks) * endpoint.BlockBytes / endpoint.BytesPerToken
	control.Write(w, endpoint.KVBlob{Blocks: blocks, Tokens: tokens, Bytes: tokens * e.opts.KVBytesPerToken})
}

func (e *Engine) importKV(w http.ResponseWriter, req *http.Request) {
	var blob endpoint.KVBlob
	if !control.Read(w, req, &blob) {
		return
	}
	if !sleep(req.Context().Done(), e.scale(float64(blob.Bytes)/e.opts.KVBytesPerSec)) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.mu.counts.ImportedTokens += blob.Tokens
	e.cacheLocked(blob.Blocks)
}

func (e *Engine) getLeaving(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	control.Write(w, e.mu.leaving)
}

func (e *Engine) countFailed() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.mu.counts.Failed++
}
