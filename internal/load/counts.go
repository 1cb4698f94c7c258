package load

import (
	"context"

	"github.com/jujubeshed/jujubeshed/internal/standin/control"
	"github.com/jujubeshed/jujubeshed/internal/standin/engine"
	"github.com/jujubeshed/jujubeshed/internal/standin/platform"
	"github.com/jujubeshed/jujubeshed/internal/standin/service"
)

// EndpointCounts are the sums of the stand-ins' counts over a run.
type EndpointCounts struct {
	GeneratedTokens  int     `json:"generated_tokens"`
	PromptTokens     int     `json:"prompt_tokens"`
	CachedTokens     int     `json:"cached_tokens"`
	RecomputedTokens int     `json:"recomputed_tokens"`
	ImportedTokens   int     `json:"imported_tokens"`
	EngineRequests   int     `json:"engine_requests"`
	PlatformCalls    int     `json:"platform_calls"`
	Cost             float64 `json:"cost"`
	// Missing is the number of engines whose counts could not be read, such as
	// reclaimed ones.
	Missing int `json:"missing"`
}

func (c EndpointCounts) minus(b EndpointCounts) EndpointCounts {
	c.GeneratedTokens -= b.GeneratedTokens
	c.PromptTokens -= b.PromptTokens
	c.CachedTokens -= b.CachedTokens
	c.RecomputedTokens -= b.RecomputedTokens
	c.ImportedTokens -= b.ImportedTokens
	c.EngineRequests -= b.EngineRequests
	c.PlatformCalls -= b.PlatformCalls
	c.Cost -= b.Cost
	return c
}

// endpointCounts reads the control pages. An unreachable engine is counted as
// missing; an unreachable platform is an error.
func endpointCounts(ctx context.Context, opts Options) (EndpointCounts, error) {
	var out EndpointCounts
	for _, address := range opts.Engines {
		var st engine.Status
		if control.Get(ctx, address, control.Path, &st) != nil {
			out.Missing++
			continue
		}
		out.GeneratedTokens += st.Counts.GeneratedTokens
		out.PromptTokens += st.Counts.PromptTokens
		out.CachedTokens += st.Counts.CachedTokens
		out.RecomputedTokens += st.Counts.RecomputedTokens
		out.ImportedTokens += st.Counts.ImportedTokens
		out.EngineRequests += st.Counts.Requests
	}
	if opts.Platform == "" {
		return out, nil
	}
	var st platform.Status
	if err := control.Get(ctx, opts.Platform, control.Path, &st); err != nil {
		return out, err
	}
	out.Cost = st.Cost
	out.PlatformCalls = int(st.Store.Calls + st.HostCalls)
	return out, nil
}

// OrderAudit compares the responses to orders with the effects that the stand-in
// services counted. It needs the effects of all services, so an unreachable
// service is an error.
type OrderAudit struct {
	Audited      int `json:"audited"`
	Doubled      int `json:"doubled"`          // took effect more than once
	Missing      int `json:"missing"`          // confirmed, but without effect
	NotRunButRan int `json:"not_run_but_ran"`  // refused as not-run, but took effect
	Unconfirmed  int `json:"unconfirmed_once"` // took effect once, but was not confirmed to the caller
}

func (r *recorder) audit(ctx context.Context) (OrderAudit, error) {
	var out OrderAudit
	if len(r.opts.Services) == 0 {
		return out, nil
	}
	effects := make(map[string]int)
	for _, address := range r.opts.Services {
		var e service.Effects
		if err := control.Get(ctx, address, service.PathEffects, &e); err != nil {
			return out, err
		}
		for key, n := range e.ByKey {
			effects[key] += n
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, p := range r.mu.orders {
		out.add(p, effects[key])
	}
	return out, nil
}

// add adds an order that took effect n times.
func (o *OrderAudit) add(p orderOutcome, n int) {
	o.Audited++
	switch {
	case n > 1:
		o.Doubled++
	case n == 0 && p.confirmed:
		o.Missing++
	case n == 1 && p.notRun:
		o.NotRunButRan++
	case n == 1 && !p.confirmed:
		o.Unconfirmed++
	}
}
