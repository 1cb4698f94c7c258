package engine

import (
	"time"

	"github.com/jujubeshed/jujubeshed/internal/endpoint"
	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// Faults are the failures in force. Rates are probabilities from 0 to 1.
type Faults struct {
	Scope Scope `json:"scope"`
	// FailRate answers requests with 500 before the first token.
	FailRate float64 `json:"fail_rate"`
	// HiddenErrorRate answers requests with an error inside a 200.
	HiddenErrorRate float64 `json:"hidden_error_rate"`
	// Refuse answers requests with 503 and the verdict not-run.
	Refuse bool `json:"refuse"`
	// TruncateAt ends streams without an end mark at that offset; CutAt cuts the connection.
	TruncateAt int `json:"truncate_at"`
	CutAt      int `json:"cut_at"`
	// DuplicateRate, ReorderRate and CrossRate send a chunk twice, behind the next
	// one, or add a chunk of another request.
	DuplicateRate float64 `json:"duplicate_rate"`
	ReorderRate   float64 `json:"reorder_rate"`
	CrossRate     float64 `json:"cross_rate"`
	// Slow multiplies prefill and decode times; zero is 1.
	Slow float64 `json:"slow"`
	// Freeze holds every call and stream, but for the control page.
	Freeze bool `json:"freeze"`
	// DropEventRate loses cache events.
	DropEventRate float64 `json:"drop_event_rate"`
}

// Scope limits faults to some requests. A zero field does not limit.
type Scope struct {
	Version   ident.Version   `json:"version,omitempty"`
	Route     ident.RouteName `json:"route,omitempty"`
	Workspace ident.Workspace `json:"workspace,omitempty"`
	Class     string          `json:"class,omitempty"`
	// AboveRunning limits faults to times with more running requests.
	AboveRunning int `json:"above_running,omitempty"`
}

func (s Scope) covers(r *run, v ident.Version, running int) bool {
	return (s.Version == "" || s.Version == v) &&
		(s.Route == "" || string(s.Route) == r.header.Get(endpoint.HeaderRoute)) &&
		(s.Workspace == "" || string(s.Workspace) == r.header.Get(endpoint.HeaderWorkspace)) &&
		(s.Class == "" || s.Class == r.header.Get(endpoint.HeaderPriority)) &&
		running > s.AboveRunning
}

// faultsFor returns the faults that hold for a run now; none where it is out of scope.
func (e *Engine) faultsFor(r *run) Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faultsLocked(r)
}

func (e *Engine) faultsLocked(r *run) Faults {
	if !e.mu.faults.Scope.covers(r, e.mu.state.Version, max(1, e.mu.active)) {
		return Faults{}
	}
	return e.mu.faults
}

// slow returns the factor of prefill and decode times.
func (f Faults) slow() float64 {
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

// SetFaults puts faults in force.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if f.Freeze && e.mu.gate == nil {
		e.mu.gate = make(chan struct{})
	}
	if !f.Freeze && e.mu.gate != nil {
		close(e.mu.gate)
		e.mu.gate = nil
	}
	e.mu.faults = f
}

// thawed waits while the engine is frozen; it returns false where done ends first.
func (e *Engine) thawed(done <-chan struct{}) bool {
	e.mu.Lock()
	gate := e.mu.gate
	e.mu.Unlock()
	if gate == nil {
		return true
	}
	select {
	case <-gate:
		return true
	case <-done:
		return false
	}
}

// sleep waits for d; it returns false where done ends first.
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
