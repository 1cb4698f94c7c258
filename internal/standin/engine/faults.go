package engine

import (
	"time"

	"github.com/jujubeshed/jujubeshed/internal/endpoint"
	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// Faults are the injected failures. Rates are probabilities from 0 to 1.
type Faults struct {
	Scope Scope `json:"scope"`
	// FailRate is the rate of requests that fail with 500 before the first token.
	FailRate float64 `json:"fail_rate"`
	// HiddenErrorRate is the rate of requests that fail with an error event inside a 200 response.
	HiddenErrorRate float64 `json:"hidden_error_rate"`
	// Refuse refuses requests with 503 and the verdict not-run.
	Refuse bool `json:"refuse"`
	// TruncateAt ends streams at that token offset without an end mark; CutAt closes
	// the connection there. Zero disables them.
	TruncateAt int `json:"truncate_at"`
	CutAt      int `json:"cut_at"`
	// DuplicateRate, ReorderRate and CrossRate are the rates of chunks that are sent
	// twice, sent after the next chunk, or preceded by a chunk of another request.
	DuplicateRate float64 `json:"duplicate_rate"`
	ReorderRate   float64 `json:"reorder_rate"`
	CrossRate     float64 `json:"cross_rate"`
	// Slow multiplies prefill and decode times. Default: 1.
	Slow float64 `json:"slow"`
	// Freeze blocks every request and stream except those of the control page.
	Freeze bool `json:"freeze"`
	// DropEventRate is the rate of cache events that are dropped.
	DropEventRate float64 `json:"drop_event_rate"`
}

// Scope limits faults to matching requests. A zero field matches every request.
type Scope struct {
	Version   ident.Version   `json:"version,omitempty"`
	Route     ident.RouteName `json:"route,omitempty"`
	Workspace ident.Workspace `json:"workspace,omitempty"`
	Class     string          `json:"class,omitempty"`
	// AboveRunning limits faults to times when more than this number of requests are running.
	AboveRunning int `json:"above_running,omitempty"`
}

func (s Scope) covers(a *attempt, v ident.Version, running int) bool {
	return (s.Version == "" || s.Version == v) &&
		(s.Route == "" || string(s.Route) == a.header.Get(endpoint.HeaderRoute)) &&
		(s.Workspace == "" || string(s.Workspace) == a.header.Get(endpoint.HeaderWorkspace)) &&
		(s.Class == "" || s.Class == a.header.Get(endpoint.HeaderPriority)) &&
		running > s.AboveRunning
}

// faultsFor returns the faults that apply to an attempt now; none if it is out of scope.
func (e *Engine) faultsFor(a *attempt) Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faultsLocked(a)
}

func (e *Engine) faultsLocked(a *attempt) Faults {
	if !e.mu.faults.Scope.covers(a, e.mu.state.Version, max(1, e.mu.running)) {
		return Faults{}
	}
	return e.mu.faults
}

// slowdown returns the factor by which prefill and decode times are multiplied.
func (f Faults) slowdown() float64 {
	if f.Slow <= 0 {
		return 1
	}
	return f.Slow
}

func (e *Engine) chance(p float64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.chanceLocked(p)
}

func (e *Engine) chanceLocked(p float64) bool {
	return p > 0 && e.mu.rng.Float64() < p
}

// SetFaults replaces the injected faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if f.Freeze && e.mu.unfrozen == nil {
		e.mu.unfrozen = make(chan struct{})
	}
	if !f.Freeze && e.mu.unfrozen != nil {
		close(e.mu.unfrozen)
		e.mu.unfrozen = nil
	}
	e.mu.faults = f
}

// waitWhileFrozen waits while the engine is frozen. It returns false if done is closed first.
func (e *Engine) waitWhileFrozen(done <-chan struct{}) bool {
	e.mu.Lock()
	unfrozen := e.mu.unfrozen
	e.mu.Unlock()
	if unfrozen == nil {
		return true
	}
	select {
	case <-unfrozen:
		return true
	case <-done:
		return false
	}
}

// sleep waits for d. It returns false if done is closed first.
func sleep(done <-chan struct{}, d time.Duration) bool {
	if d <= 0 {
		select {
		case <-done:
			return false
		default:
			return true
		}
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-done:
		return false
	}
}
