// Package load sends a seeded open-loop mix of requests to entry addresses and
// reports their outcomes, with latency histograms for each class. In the report,
// "whole" counts complete responses, "lost" incomplete ones, "doubled" responses
// with duplicate events and "cut" broken connections.
//
// Latencies are measured from the planned arrival, not from the sending, so that a
// client that waits does not hide a stall.
package load

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// Paths are the request paths of the classes.
type Paths struct {
	Quick  string // POST chat completions. Default: /chat
	Long   string // POST chat completions. Default: /drafts
	Order  string // POST with Idempotency-Key. Default: /orders
	Lookup string // GET; the item ID is appended. Default: /catalogue/
}

// Options are the settings of a run.
type Options struct {
	// Entries are the addresses of entry hosts, as "ip:port" or URLs.
	Entries []string
	// Keys are the API keys of the workspaces, in descending order of their share of the load.
	Keys []string
	// Rate is the arrival rate, in requests per second. Default: 10.
	Rate float64
	// Duration is the time in which requests arrive. Default: 10s.
	Duration time.Duration
	// Grace is the time after the last arrival at which running requests are cancelled. Default: 60s.
	Grace time.Duration
	// Seed determines the generated requests and their arrival times.
	Seed uint64
	// Mix is the mix of classes. Default: DefaultMix.
	Mix []Share
	// Model is the model name in chat requests.
	Model string
	Paths Paths
	// Retries is the maximum number of attempts to send a request, and of attempts
	// to resume its stream. Default: 20.
	Retries int
	// RetryPause is the time between two attempts. Default: 250ms.
	RetryPause time.Duration
	// Verify compares response contents with the stand-ins' expected responses.
	Verify bool
	// Engines, Services and Platform are control addresses of stand-ins, whose
	// counts are included in the report.
	Engines  []string
	Services []string
	Platform string
}

func (o Options) withDefaults() (Options, error) {
	o.Rate = cmp.Or(o.Rate, 10)
	o.Duration = cmp.Or(o.Duration, 10*time.Second)
	o.Grace = cmp.Or(o.Grace, time.Minute)
	o.Retries = cmp.Or(o.Retries, 20)
	o.RetryPause = cmp.Or(o.RetryPause, 250*time.Millisecond)
	o.Paths.Quick = cmp.Or(o.Paths.Quick, "/chat")
	o.Paths.Long = cmp.Or(o.Paths.Long, "/drafts")
	o.Paths.Order = cmp.Or(o.Paths.Order, "/orders")
	o.Paths.Lookup = cmp.Or(o.Paths.Lookup, "/catalogue/")
	if len(o.Mix) == 0 {
		o.Mix = DefaultMix
	}
	if len(o.Entries) == 0 || len(o.Keys) == 0 {
		return o, errors.Newf("load has %d entry addresses and %d workspace keys: want at least one of each", len(o.Entries), len(o.Keys))
	}
	entries := make([]string, 0, len(o.Entries))
	for _, e := range o.Entries {
		if !strings.Contains(e, "://") {
			e = "http://" + e
		}
		entries = append(entries, strings.TrimSuffix(e, "/"))
	}
	o.Entries = entries
	return o, nil
}

// Run sends the load and returns the report. If ctx ends early, the report covers
// the requests sent until then.
func Run(ctx context.Context, opts Options) (*Report, error) {
	opts, err := opts.withDefaults()
	if err != nil {
		return nil, err
	}
	before, err := endpointCounts(ctx, opts)
	if err != nil {
		return nil, err
	}
	rec := newRecorder(opts)
	send(ctx, opts, rec)
	after, err := endpointCounts(context.WithoutCancel(ctx), opts)
	if err != nil {
		return nil, err
	}
	report := rec.report()
	report.Endpoints = after.minus(before)
	report.Orders, err = rec.audit(context.WithoutCancel(ctx))
	return report, err
}

// send sends the planned requests and waits for their responses.
func send(ctx context.Context, opts Options, rec *recorder) {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost: 1024,
	}
	defer transport.CloseIdleConnections()
	requests, cancel := context.WithCancel(ctx)
	defer cancel()
	c := &client{opts: opts, http: &http.Client{Transport: transport}}
	var wg sync.WaitGroup
	start := time.Now()
	for p := newPlanner(opts); ; {
		a, more := p.draw()
		if !more || !sleep(ctx, time.Until(start.Add(a.at))) {
			break
		}
		wg.Go(func() { rec.add(a, c.do(requests, a, start.Add(a.at))) })
	}
	timer := time.AfterFunc(opts.Grace, cancel)
	defer timer.Stop()
	wg.Wait()
}

func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// path returns the request path of a class.
func (p Paths) path(c ident.Class) string {
	switch c {
	case ident.ClassLong:
		return p.Long
	case ident.ClassOrder:
		return p.Order
	case ident.ClassLookup:
		return p.Lookup
	default:
		return p.Quick
	}
}
