package load

import (
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

// Bounds of the histograms, in microseconds.
const (
	minMicros = 1
	maxMicros = int64(time.Hour / time.Microsecond)
	digits    = 3
)

// histograms are those of one class.
type histograms struct {
	first, between, total *hdrhistogram.Histogram
}

func newHistograms() *histograms {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(minMicros, maxMicros, digits) }
	return &histograms{h(), h(), h()}
}

// second counts what arrived in one second of the run.
type second struct {
	sent, whole, refused, failed int
	first                        []time.Duration // of whole quick answers
}

// placed is what a caller knows of an order.
type placed struct {
	answered bool
	notRun   bool
}

// recorder gathers results.
type recorder struct {
	opts Options

	mu struct {
		sync.Mutex
		classes map[ident.Class]*ClassReport
		hist    map[ident.Class]*histograms
		seconds []second
		orders  map[string]placed // by Idempotency-Key
	}
}

func newRecorder(opts Options) *recorder {
	r := &recorder{opts: opts}
	r.mu.classes = make(map[ident.Class]*ClassReport)
	r.mu.hist = make(map[ident.Class]*histograms)
	r.mu.orders = make(map[string]placed)
	for _, c := range ident.Classes {
		r.mu.classes[c] = &ClassReport{Class: c.String()}
		r.mu.hist[c] = newHistograms()
	}
	return r
}

// add counts one result.
func (r *recorder) add(a arrival, res result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.mu.classes[res.class]
	c.Sent++
	c.Cut += res.cuts
	c.Resumed += res.resumed
	c.Resent += res.resent
	if res.doubled {
		c.Doubled++
	}
	switch res.kind {
	case whole:
		c.Whole++
		r.timesLocked(res)
	case lost:
		c.Lost++
	case wrong:
		c.Wrong++
	case unreachable:
		c.Unreachable++
	case refused:
		c.Refused.add(res.verdict)
	}
	if a.idem != "" {
		r.mu.orders[a.idem] = placed{
			answered: res.kind == whole,
			// A refusal after an attempt without an answer tells of the last attempt only.
			notRun: res.kind == refused && res.verdict == verdict.NotRun.String() && res.resent == 0,
		}
	}
	r.secondLocked(a, res)
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

func (r *recorder) timesLocked(res result) {
	h := r.mu.hist[res.class]
	record(h.first, res.firstByte)
	record(h.total, res.total)
	for _, g := range res.gaps {
		record(h.between, g)
	}
}

// record adds a time; one beyond the bounds counts as the bound.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), minMicros), maxMicros))
}

func (r *recorder) secondLocked(a arrival, res result) {
	i := int(a.at / time.Second)
	for len(r.mu.seconds) <= i {
		r.mu.seconds = append(r.mu.seconds, second{})
	}
	s := &r.mu.seconds[i]
	s.sent++
	switch res.kind {
	case whole:
		s.whole++
		if res.class == ident.ClassQuick {
			s.first = append(s.first, res.firstByte)
		}
	case refused:
		s.refused++
	default:
		s.failed++
	}
}

// report returns what was gathered so far.
func (r *recorder) report() *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := &Report{
		Seed:     r.opts.Seed,
		Rate:     r.opts.Rate,
		Duration: r.opts.Duration,
		Entries:  r.opts.Entries,
		seconds:  slices.Clone(r.mu.seconds),
		hist:     r.mu.hist,
	}
	for _, c := range ident.Classes {
		cr, h := *r.mu.classes[c], r.mu.hist[c]
		if cr.Sent == 0 {
			continue
		}
		cr.FirstToken, cr.BetweenTok, cr.Total = timesOf(h.first), timesOf(h.between), timesOf(h.total)
		out.Classes = append(out.Classes, cr)
	}
	return out
}
