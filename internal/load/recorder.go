package load

import (
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

// Range of the histograms, in microseconds, and their precision in decimal digits.
const (
	minMicros         = 1
	maxMicros         = int64(time.Hour / time.Microsecond)
	significantDigits = 3
)

// histograms are the latency histograms of one class.
type histograms struct {
	firstToken, betweenTokens, total *hdrhistogram.Histogram
}

func newHistograms() *histograms {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(minMicros, maxMicros, significantDigits) }
	return &histograms{h(), h(), h()}
}

// secondCounts are the outcomes of the requests that arrived in one second of the run.
type secondCounts struct {
	sent, complete, refused, failed int
	firstTokens                     []time.Duration // of complete responses of class quick
}

// orderOutcome is the outcome of an order as its caller knows it.
type orderOutcome struct {
	confirmed bool
	notRun    bool
}

// recorder collects results.
type recorder struct {
	opts Options

	mu struct {
		sync.Mutex
		classes map[ident.Class]*ClassReport
		byClass map[ident.Class]*histograms
		seconds []secondCounts
		orders  map[string]orderOutcome // by Idempotency-Key
	}
}

func newRecorder(opts Options) *recorder {
	r := &recorder{opts: opts}
	r.mu.classes = make(map[ident.Class]*ClassReport)
	r.mu.byClass = make(map[ident.Class]*histograms)
	r.mu.orders = make(map[string]orderOutcome)
	for _, c := range ident.Classes {
		r.mu.classes[c] = &ClassReport{Class: c.String()}
		r.mu.byClass[c] = newHistograms()
	}
	return r
}

// add counts one result.
func (r *recorder) add(a arrival, res result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.mu.classes[res.class]
	c.Sent++
	c.Cut += res.brokenConns
	c.Resumed += res.resumed
	c.Resent += res.resent
	if res.duplicate {
		c.Doubled++
	}
	switch res.kind {
	case complete:
		c.Whole++
		r.recordTimesLocked(res)
	case incomplete:
		c.Lost++
	case wrong:
		c.Wrong++
	case unreachable:
		c.Unreachable++
	case refused:
		c.Refused.add(res.verdict)
	}
	if a.idempotencyKey != "" {
		r.mu.orders[a.idempotencyKey] = orderOutcome{
			confirmed: res.kind == complete,
			// After an attempt without a response, a refusal applies to the last attempt only.
			notRun: res.kind == refused && res.verdict == verdict.NotRun.String() && res.resent == 0,
		}
	}
	r.countSecondLocked(a, res)
}

func (r *Refusals) add(v string) {
	switch v {
	case verdict.NotRun.String():
		r.NotRun++
	case verdict.MayHaveRun.String():
		r.MayHaveRun++
	case verdict.Ran.String():
		r.Ran++
	default:
		r.None++
	}
}

func (r *recorder) recordTimesLocked(res result) {
	h := r.mu.byClass[res.class]
	record(h.firstToken, res.firstByte)
	record(h.total, res.total)
	for _, g := range res.gaps {
		record(h.betweenTokens, g)
	}
}

// record adds a duration, clamped to the range of the histogram.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), minMicros), maxMicros))
}

func (r *recorder) countSecondLocked(a arrival, res result) {
	i := int(a.at / time.Second)
	for len(r.mu.seconds) <= i {
		r.mu.seconds = append(r.mu.seconds, secondCounts{})
	}
	s := &r.mu.seconds[i]
	s.sent++
	switch res.kind {
	case complete:
		s.complete++
		if res.class == ident.ClassQuick {
			s.firstTokens = append(s.firstTokens, res.firstByte)
		}
	case refused:
		s.refused++
	default:
		s.failed++
	}
}

// report returns the report of the results so far.
func (r *recorder) report() *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := &Report{
		Seed:     r.opts.Seed,
		Rate:     r.opts.Rate,
		Duration: r.opts.Duration,
		Entries:  r.opts.Entries,
		seconds:  slices.Clone(r.mu.seconds),
		byClass:  r.mu.byClass,
	}
	for _, c := range ident.Classes {
		cr, h := *r.mu.classes[c], r.mu.byClass[c]
		if cr.Sent == 0 {
			continue
		}
		cr.FirstToken, cr.BetweenTokens, cr.Total = quantilesOf(h.firstToken), quantilesOf(h.betweenTokens), quantilesOf(h.total)
		out.Classes = append(out.Classes, cr)
	}
	return out
}
