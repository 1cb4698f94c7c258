package duty

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/kernel"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
)

// journalKey names the record of the reports.
const journalKey platformapi.Key = "reports/usage"

const (
	// stepEvery is the time between two looks at what is due.
	stepEvery = 250 * time.Millisecond
	// settleAfter is the least time from a window's end to its report; in it the nodes
	// tell their last counts.
	settleAfter = time.Second
	// decideShare is the part of the time that a report may be late after which it
	// is decided on without the counts of silent nodes.
	decideShare = 0.6
	// withoutRecordsShare is the part after which it is decided on without the records
	// in the store, where these can't be read.
	withoutRecordsShare = 0.8
)

// EndpointOrder asks for a number of endpoints of one kind in one data centre.
type EndpointOrder struct {
	Service     ident.Service
	DataCentre  ident.DataCentre
	Count       int
	Reclaimable bool
}

// Cloud takes reports and orders. The fence grows with each holder of the duty.
type Cloud interface {
	// ReportUsage reports a window. Sending a report again is harmless.
	ReportUsage(ctx context.Context, fence ident.Epoch, r UsageReport) error
	// OrderEndpoints orders endpoints; platformapi.ErrRefused where there are none.
	OrderEndpoints(ctx context.Context, fence ident.Epoch, o EndpointOrder) error
}

// LeaseStatus tells whether this node holds the duty.
type LeaseStatus interface {
	Held() (ident.Epoch, bool)
	Settled() bool
}

// Planner decides on orders. It does no I/O.
type Planner interface {
	// Next returns the order to place now, if any.
	Next(now time.Time) (EndpointOrder, bool)
	// OrderDone tells how an order ended.
	OrderDone(now time.Time, o EndpointOrder, err error)
	// Reset forgets what was ordered, for a new holder.
	Reset()
}

// Options are the settings of an Executor.
type Options struct {
	Store      platformapi.Feed
	Cloud      Cloud
	Lease      LeaseStatus
	Meter      *Meter
	UsageTable *UsageTable
	// ReportTimeout is how long after its end a window's report is due.
	ReportTimeout time.Duration
	// LiveNodes returns the nodes that are alive.
	LiveNodes func() []string
	// Planner is nil where no endpoints are to be ordered; Usage tells whether usage
	// is to be reported.
	Planner Planner
	Usage   bool
	// Now tells the time of day that windows go by.
	Now func() time.Time
	Log *slog.Logger
}

// Executor does the duties while it holds the right to.
type Executor struct {
	opts  Options
	loop  *kernel.Loop
	epoch ident.Epoch // of the state below

	journal Journal
	version platformapi.Version
	read    bool
	sent    map[int64]bool
}

// NewExecutor returns an officer that has not started.
func NewExecutor(o Options) *Executor {
	f := &Executor{opts: o, sent: make(map[int64]bool)}
	f.loop = kernel.NewLoop(stepEvery, f.step)
	return f
}

// Start begins to look for what is due.
func (f *Executor) Start(ctx context.Context) error { return f.loop.Start(ctx) }

// Stop ends that.
func (f *Executor) Stop(ctx context.Context) error { return f.loop.Stop(ctx) }

func (f *Executor) step(ctx context.Context) {
	epoch, held := f.opts.Lease.Held()
	if !held || !f.opts.Lease.Settled() {
		return
	}
	if epoch != f.epoch {
		f.epoch, f.read = epoch, false
		f.sent = make(map[int64]bool)
		if f.opts.Planner != nil {
			f.opts.Planner.Reset()
		}
		f.opts.Log.Info("duty: Held.", "epoch", epoch)
	}
	if f.opts.Planner != nil {
		f.order(ctx)
	}
	if f.opts.Usage {
		f.report(ctx)
	}
}

// maxOrders bounds the orders placed in one step, so that a right that ends is
// noticed between them.
const maxOrders = 8

// order places the orders that are due.
func (f *Executor) order(ctx context.Context) {
	for range maxOrders {
		o, due := f.opts.Planner.Next(time.Now())
		if !due {
			return
		}
		epoch, held := f.opts.Lease.Held()
		if !held || epoch != f.epoch {
			return
		}
		err := f.opts.Cloud.OrderEndpoints(ctx, epoch, o)
		f.opts.Planner.OrderDone(time.Now(), o, err)
		f.opts.Log.Info("scale: Order placed.", "service", o.Service, "data_centre", o.DataCentre, "count", o.Count,
			"reclaimable", o.Reclaimable, "epoch", epoch, "error", err)
		if err != nil && !errors.Is(err, platformapi.ErrRefused) {
			return // the API is away
		}
	}
}

// report sends the reports that were decided on, and decides on the next one.
func (f *Executor) report(ctx context.Context) {
	if !f.read && !f.recall(ctx) {
		return
	}
	now := f.opts.Now()
	for _, r := range f.journal.Open {
		if !f.sent[r.Window] && !f.send(ctx, r) {
			return
		}
	}
	f.journal = f.journal.begin(f.opts.Meter.WindowAt(now))
	end := f.opts.Meter.End(f.journal.Next)
	if now.Sub(end) > f.opts.ReportTimeout {
		f.skip(now)
		return
	}
	if now.Sub(end) < settleAfter {
		return
	}
	f.decide(ctx, now, end)
}

// skip leaves out the windows whose report would come too late.
func (f *Executor) skip(now time.Time) {
	next := f.opts.Meter.WindowAt(now.Add(-f.opts.ReportTimeout))
	f.opts.Log.Warn("usage: Windows are past their time and are left out.", "from", f.journal.Next, "to", next)
	f.journal = f.journal.skipTo(next)
}

// recall reads the journal.
func (f *Executor) recall(ctx context.Context) bool {
	o, err := f.opts.Store.Get(ctx, journalKey)
	if err != nil && !errors.Is(err, platformapi.ErrNotFound) {
		f.opts.Log.Warn("usage: Journal cannot be read.", "error", err)
		return false
	}
	var j Journal
	if err == nil {
		if err := json.Unmarshal(o.Value, &j); err != nil {
			f.opts.Log.Error("usage: Journal is not readable; reports stop.", "error", err)
			return false
		}
	}
	f.journal, f.version, f.read = j, o.Version, true
	return true
}

// send sends a report that was decided on.
func (f *Executor) send(ctx context.Context, r UsageReport) bool {
	epoch, held := f.opts.Lease.Held()
	if !held || epoch != f.epoch {
		return false
	}
	err := f.opts.Cloud.ReportUsage(ctx, epoch, r)
	f.opts.Log.Info("usage: Report sent.", "window", r.Window, "counts", r.Counts, "epoch", epoch, "error", err)
	if err != nil {
		return false
	}
	f.sent[r.Window] = true
	return true
}

// decide writes the counts of the next window to the journal.
func (f *Executor) decide(ctx context.Context, now, end time.Time) {
	late := now.Sub(end) > time.Duration(decideShare*float64(f.opts.ReportTimeout))
	if !late && !f.opts.UsageTable.Complete(now, f.opts.LiveNodes(), end) {
		return
	}
	// The records have the counts of nodes that died before they could tell.
	if err := addRecords(ctx, f.opts.Store, f.opts.UsageTable, f.opts.Log); err != nil {
		f.opts.Log.Warn("usage: Records cannot be read.", "error", err)
		if now.Sub(end) < time.Duration(withoutRecordsShare*float64(f.opts.ReportTimeout)) {
			return
		}
	}
	next := f.journal
	for window := range f.sent {
		next = next.sent(window)
	}
	next = next.decide(f.opts.UsageTable.Sum(now, next.Next))
	raw, err := json.Marshal(next)
	if err != nil {
		f.opts.Log.Error("usage: Journal cannot be encoded.", "error", err)
		return
	}
	version, err := f.opts.Store.Put(ctx, journalKey, raw, f.version)
	if err != nil {
		f.read = false // somebody else may have written, or this write may count
		f.opts.Log.Warn("usage: Journal cannot be written.", "window", f.journal.Next, "error", err)
		return
	}
	f.journal, f.version = next, version
	f.sent = make(map[int64]bool)
	f.send(ctx, next.Open[len(next.Open)-1])
}
