package engine

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/endpoint"
	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// maxRecent is how many ended runs the engine can still export the cache of.
const maxRecent = 256

// run is one attempt on the engine. The engine's lock guards delivered.
type run struct {
	request  ident.RequestID
	attempt  ident.AttemptID
	header   http.Header
	body     endpoint.ChatRequest
	prompt   string // text of the messages
	priority int    // lower runs first
	tokens   Tokens

	ctx     context.Context
	cancel  context.CancelFunc
	granted chan struct{} // closed when the run gets a slot
	started bool

	delivered int // offset behind the last token sent
	cached    int // prompt tokens found in the cache
}

// text returns the prompt and the tokens delivered so far.
func (r *run) text() string {
	return r.prompt + r.tokens.Text(r.delivered)
}

func newRun(req *http.Request, body endpoint.ChatRequest) *run {
	r := &run{
		request:   ident.RequestID(req.Header.Get(endpoint.HeaderRequestID)),
		attempt:   ident.AttemptID(req.Header.Get(endpoint.HeaderAttemptID)),
		header:    req.Header,
		body:      body,
		prompt:    endpoint.PromptText(body.Messages),
		granted:   make(chan struct{}),
		delivered: body.ResumeOffset,
	}
	r.tokens = NewTokens(r.prompt, body.Seed)
	class, _ := ident.ParseClass(req.Header.Get(endpoint.HeaderPriority))
	if r.priority = slices.Index(ident.Classes, class); r.priority < 0 {
		r.priority = len(ident.Classes)
	}
	r.ctx, r.cancel = context.WithCancel(req.Context())
	return r
}

// enqueue gives a run a slot or queues it by priority. It returns false where
// the queue is full or the version is not loaded yet.
func (e *Engine) enqueue(r *run) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.readyLocked() || len(e.mu.queue) >= e.opts.MaxQueue || e.faultsLocked(r).Refuse {
		e.mu.counts.Refused++
		return false
	}
	e.mu.counts.Requests++
	e.mu.runs[r.request]++
	e.mu.attempts[r.attempt] = r
	at := slices.IndexFunc(e.mu.queue, func(q *run) bool { return q.priority > r.priority })
	if at < 0 {
		at = len(e.mu.queue)
	}
	e.mu.queue = slices.Insert(e.mu.queue, at, r)
	e.grantLocked()
	return true
}

// grantLocked gives free slots to the head of the queue.
func (e *Engine) grantLocked() {
	for e.mu.active < e.opts.MaxRunning && len(e.mu.queue) > 0 {
		r := e.mu.queue[0]
		e.mu.queue = e.mu.queue[1:]
		r.started = true
		e.mu.active++
		close(r.granted)
	}
}

// finish frees a run's slot or its place in the queue, and caches what it computed.
func (e *Engine) finish(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.ctx.Err() != nil {
		e.mu.counts.Cancelled++
	}
	r.cancel()
	if r.started {
		e.mu.active--
		e.cacheLocked(endpoint.BlockChain(r.text()))
	} else {
		e.mu.queue = slices.DeleteFunc(e.mu.queue, func(q *run) bool { return q == r })
	}
	e.mu.recent = append(e.mu.recent, r.attempt)
	if len(e.mu.recent) > maxRecent {
		delete(e.mu.attempts, e.mu.recent[0])
		e.mu.recent = e.mu.recent[1:]
	}
	e.grantLocked()
}

func (e *Engine) cacheLocked(chain []uint64) {
	e.mu.cache.add(time.Now(), chain, func() bool { return e.chanceLocked(e.mu.faults.DropEventRate) })
}

// prefill waits for a slot and computes the prompt tokens that are not cached.
// Prefills share the processor, so each waits for those before it.
func (e *Engine) prefill(r *run) bool {
	select {
	case <-r.granted:
	case <-r.ctx.Done():
		return false
	}
	chain, end := e.startPrefill(r)
	if !sleep(r.ctx.Done(), time.Until(end)) {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cacheLocked(chain)
	return true
}

// startPrefill counts the tokens to compute and returns when they will be done.
func (e *Engine) startPrefill(r *run) ([]uint64, time.Time) {
	text := r.text()
	chain := endpoint.BlockChain(text)
	total := endpoint.PromptTokens(text)
	e.mu.Lock()
	defer e.mu.Unlock()
	r.cached = min(total, e.mu.cache.match(chain)*endpoint.BlockBytes/endpoint.BytesPerToken)
	uncached := total - r.cached
	c := &e.mu.counts
	c.PromptTokens += total
	c.CachedTokens += r.cached
	if r.body.ResumeOffset > 0 || r.request != "" && e.mu.runs[r.request] > 1 {
		c.RecomputedTokens += uncached
	}
	start := time.Now()
	if e.mu.prefillFree.After(start) {
		start = e.mu.prefillFree
	}
	e.mu.prefillFree = start.Add(e.scale(float64(uncached) / e.opts.PrefillPerSec * e.faultsLocked(r).slow()))
	return chain, e.mu.prefillFree
}

// tokenTime returns the time that the next token takes in the current batch.
func (e *Engine) tokenTime(r *run) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	batch := 1 + e.opts.BatchSlowdown*float64(max(0, e.mu.active-1))
	return e.scale(batch / e.opts.DecodePerSec * e.faultsLocked(r).slow())
}

// delivered counts a token that was sent.
func (e *Engine) delivered(r *run, offset int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.delivered = offset + 1
	e.mu.counts.GeneratedTokens++
}

// scale turns seconds of the simulated engine into time.
func (e *Engine) scale(seconds float64) time.Duration {
	return time.Duration(seconds / e.opts.Speed * float64(time.Second))
}
