package engine

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/endpoint"
	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// maxEnded is the number of ended attempts whose KV cache can still be exported.
const maxEnded = 256

// attempt is one attempt at a request on the engine. The engine's lock guards deliveredEnd.
type attempt struct {
	requestID ident.RequestID
	attemptID ident.AttemptID
	header    http.Header
	body      endpoint.ChatRequest
	prompt    string // endpoint.PromptText of the messages
	priority  int    // the lowest is run first
	tokens    Tokens

	ctx     context.Context
	cancel  context.CancelFunc
	granted chan struct{} // closed when the attempt gets a slot
	started bool

	deliveredEnd int // offset after the last token sent
	cachedTokens int // prompt tokens found in the prefix cache
}

// text returns the prompt followed by the tokens sent so far.
func (a *attempt) text() string {
	return a.prompt + a.tokens.Text(a.deliveredEnd)
}

func newAttempt(req *http.Request, body endpoint.ChatRequest) *attempt {
	a := &attempt{
		requestID:    ident.RequestID(req.Header.Get(endpoint.HeaderRequestID)),
		attemptID:    ident.AttemptID(req.Header.Get(endpoint.HeaderAttemptID)),
		header:       req.Header,
		body:         body,
		prompt:       endpoint.PromptText(body.Messages),
		granted:      make(chan struct{}),
		deliveredEnd: body.ResumeOffset,
	}
	a.tokens = NewTokens(a.prompt, body.Seed)
	class, _ := ident.ParseClass(req.Header.Get(endpoint.HeaderPriority))
	if a.priority = slices.Index(ident.Classes, class); a.priority < 0 {
		a.priority = len(ident.Classes)
	}
	a.ctx, a.cancel = context.WithCancel(req.Context())
	return a
}

// enqueue gives an attempt a slot or queues it by priority. It returns false if
// the queue is full, the version is not loaded yet or a fault refuses the attempt.
func (e *Engine) enqueue(a *attempt) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.readyLocked() || len(e.mu.queue) >= e.opts.MaxQueue || e.faultsLocked(a).Refuse {
		e.mu.counts.Refused++
		return false
	}
	e.mu.counts.Requests++
	e.mu.attemptCounts[a.requestID]++
	e.mu.attempts[a.attemptID] = a
	at := slices.IndexFunc(e.mu.queue, func(q *attempt) bool { return q.priority > a.priority })
	if at < 0 {
		at = len(e.mu.queue)
	}
	e.mu.queue = slices.Insert(e.mu.queue, at, a)
	e.grantLocked()
	return true
}

// grantLocked assigns free slots to the attempts at the head of the queue.
func (e *Engine) grantLocked() {
	for e.mu.running < e.opts.MaxRunning && len(e.mu.queue) > 0 {
		a := e.mu.queue[0]
		e.mu.queue = e.mu.queue[1:]
		a.started = true
		e.mu.running++
		close(a.granted)
	}
}

// finish frees an attempt's slot or its place in the queue, and adds the blocks
// that it computed to the prefix cache.
func (e *Engine) finish(a *attempt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if a.ctx.Err() != nil {
		e.mu.counts.Cancelled++
	}
	a.cancel()
	if a.started {
		e.mu.running--
		e.addToCacheLocked(endpoint.BlockChain(a.text()))
	} else {
		e.mu.queue = slices.DeleteFunc(e.mu.queue, func(q *attempt) bool { return q == a })
	}
	e.mu.ended = append(e.mu.ended, a.attemptID)
	if len(e.mu.ended) > maxEnded {
		delete(e.mu.attempts, e.mu.ended[0])
		e.mu.ended = e.mu.ended[1:]
	}
	e.grantLocked()
}

func (e *Engine) addToCacheLocked(chain []uint64) {
	e.mu.cache.add(time.Now(), chain, func() bool { return e.chanceLocked(e.mu.faults.DropEventRate) })
}

// prefill waits for a slot and simulates the prefill of the uncached prompt tokens.
// Prefills share the processor, so each waits for those before it. It returns
// false if the attempt is cancelled.
func (e *Engine) prefill(a *attempt) bool {
	select {
	case <-a.granted:
	case <-a.ctx.Done():
		return false
	}
	chain, end := e.startPrefill(a)
	if !sleep(a.ctx.Done(), time.Until(end)) {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.addToCacheLocked(chain)
	return true
}

// startPrefill counts the tokens to compute. It returns the blocks of the prompt
// and the time at which the prefill ends.
func (e *Engine) startPrefill(a *attempt) ([]uint64, time.Time) {
	text := a.text()
	chain := endpoint.BlockChain(text)
	total := endpoint.PromptTokens(text)
	e.mu.Lock()
	defer e.mu.Unlock()
	a.cachedTokens = min(total, e.mu.cache.match(chain)*endpoint.BlockBytes/endpoint.BytesPerToken)
	uncached := total - a.cachedTokens
	c := &e.mu.counts
	c.PromptTokens += total
	c.CachedTokens += a.cachedTokens
	if a.body.ResumeOffset > 0 || a.requestID != "" && e.mu.attemptCounts[a.requestID] > 1 {
		c.RecomputedTokens += uncached
	}
	start := time.Now()
	if e.mu.prefillFreeAt.After(start) {
		start = e.mu.prefillFreeAt
	}
	e.mu.prefillFreeAt = start.Add(e.simulatedDuration(float64(uncached) / e.opts.PrefillPerSec * e.faultsLocked(a).slowdown()))
	return chain, e.mu.prefillFreeAt
}

// tokenTime returns the decode time of the next token in the current batch.
func (e *Engine) tokenTime(a *attempt) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	batch := 1 + e.opts.BatchSlowdown*float64(max(0, e.mu.running-1))
	return e.simulatedDuration(batch / e.opts.DecodePerSec * e.faultsLocked(a).slowdown())
}

// countToken records that the token at offset was sent.
func (e *Engine) countToken(a *attempt, offset int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a.deliveredEnd = offset + 1
	e.mu.counts.GeneratedTokens++
}

// simulatedDuration converts seconds of the simulated engine to real time, scaled by Options.Speed.
func (e *Engine) simulatedDuration(seconds float64) time.Duration {
	return time.Duration(seconds / e.opts.Speed * float64(time.Second))
}
