package duty

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/kernel"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
)

// reportLogKey is the store key of the report log.
const reportLogKey platformapi.Key = "reports/usage"

const (
	// stepInterval is the time between two checks for due orders and reports.
	stepInterval = 250 * time.Millisecond
	// settleTime is the minimum time from a window's end to its report, in which the
	// nodes exchange their last counts of the window.
	settleTime = time.Second
	// waitForNodesShare is the fraction of the report timeout after which a report is
	// finalised without the counts of silent nodes.
	waitForNodesShare = 0.6
	// waitForRecordsShare is the fraction of the report timeout after which a report is
	// finalised without the records in the store if these can't be read.
	waitForRecordsShare = 0.8
	// answerConfirmTime is how long an answer of the store on the report log shows that this node
	// is not cut off from it.
	answerConfirmTime = 300 * time.Millisecond
)

// EndpointOrder is an order for a number of endpoints of a service in one data centre.
type EndpointOrder struct {
	Service     ident.Service
	DataCentre  ident.DataCentre
	Count       int
	Reclaimable bool
}

// Permission is the right to call the platform, which rests on the lease.
type Permission struct {
	// Fence is the fencing token of the lease, which increases with each holder.
	Fence ident.Epoch
	// Valid reports whether the lease is still held with that token, and confirmed. It is
	// checked again right before the first byte of a call is sent: the process may have been
	// paused, or have waited for a connection, since the call was decided on.
	Valid func() bool
}

// Cloud is the platform's API for usage reports and endpoint orders.
type Cloud interface {
	// ReportUsage sends the report of a window. It is idempotent.
	ReportUsage(ctx context.Context, p Permission, r UsageReport) error
	// OrderEndpoints orders endpoints. It returns platformapi.ErrRefused if none are
	// available.
	OrderEndpoints(ctx context.Context, p Permission, o EndpointOrder) error
}

// LeaseStatus is the state of this node's lease on the duties.
type LeaseStatus interface {
	// Held returns the fencing token and whether this node holds the lease now. It is
	// checked right before each call to the platform.
	Held() (ident.Epoch, bool)
	// Settled reports whether calls of the previous holder can no longer arrive.
	Settled() bool
	// Confirmed reports whether the store has just said that this node holds the lease. A
	// call that is sent into a partition could arrive after it, and after the next holder's.
	Confirmed() bool
}

// Planner decides which endpoints to order. It does no I/O.
type Planner interface {
	// Next returns the next order and whether there is one to place now.
	Next(now time.Time) (EndpointOrder, bool)
	// OrderDone records the result of an order.
	OrderDone(now time.Time, o EndpointOrder, err error)
	// Reset drops the record of earlier orders when this node becomes the lease holder.
	Reset()
}

// Options are the settings of an Executor.
type Options struct {
	Store      platformapi.Feed
	Cloud      Cloud
	Lease      LeaseStatus
	Meter      *Meter
	UsageTable *UsageTable
	// ReportTimeout is the time after a window's end within which its report is due.
	ReportTimeout time.Duration
	// LiveNodes returns the IDs of the live nodes, this one included.
	LiveNodes func() []string
	// Planner is nil if no endpoints are to be ordered.
	Planner Planner
	// ReportUsage enables the usage reports.
	ReportUsage bool
	// Now returns the wall-clock time by which windows are numbered.
	Now func() time.Time
	Log *slog.Logger
}

// Executor performs the duties while this node holds the lease.
type Executor struct {
	opts  Options
	loop  *kernel.Loop
	epoch ident.Epoch // lease epoch to which the fields below belong

	reports        ReportLog
	reportsVersion platformapi.Version
	reportsLoaded  bool
	sent           map[int64]bool // windows in reports.Pending whose report was accepted

	storeAnswered time.Time // when the store last answered a call on the report log

	era      platformapi.Era
	eraSince time.Time // when this node learned of the era, by Options.Now

	mu struct {
		sync.Mutex
		written ReportLog // last log that this node has written
		known   ReportLog // latest log written by any node, as far as known
	}
}

// NewExecutor returns an executor that has not started.
func NewExecutor(o Options) *Executor {
	e := &Executor{opts: o, sent: make(map[int64]bool)}
	e.loop = kernel.NewLoop(stepInterval, e.step)
	return e
}

// Start starts checking for due orders and reports in the background.
func (e *Executor) Start(ctx context.Context) error { return e.loop.Start(ctx) }

// Stop stops the checks.
func (e *Executor) Stop(ctx context.Context) error { return e.loop.Stop(ctx) }

// WrittenReports returns the last report log that this node has written, for the other
// nodes: it must not be forgotten when the store is restored from an older copy.
func (e *Executor) WrittenReports() ReportLog {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.mu.written
}

// RecordReports records a report log that another node has written.
func (e *Executor) RecordReports(l ReportLog) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.mu.known = e.mu.known.later(l)
}

func (e *Executor) recordWritten(l ReportLog) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.mu.written, e.mu.known = l, e.mu.known.later(l)
}

func (e *Executor) knownReports() ReportLog {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.mu.known
}

// observeEra records when the era of the store rises.
func (e *Executor) observeEra() {
	if era := e.opts.Store.Era(); era > e.era {
		e.era, e.eraSince = era, e.opts.Now()
	}
}

func (e *Executor) step(ctx context.Context) {
	e.observeEra()
	epoch, held := e.opts.Lease.Held()
	if !held || !e.opts.Lease.Settled() {
		return
	}
	if epoch != e.epoch {
		e.epoch, e.reportsLoaded = epoch, false
		e.sent = make(map[int64]bool)
		if e.opts.Planner != nil {
			e.opts.Planner.Reset()
		}
		e.opts.Log.Info("duty: Lease acquired.", "epoch", epoch)
	}
	if e.opts.Planner != nil {
		e.placeOrders(ctx)
	}
	if e.opts.ReportUsage {
		e.reportUsage(ctx)
	}
}

// permission returns the right to call the platform with the lease of an epoch.
func (e *Executor) permission(epoch ident.Epoch) Permission {
	answered := e.storeAnswered // the permission may be checked by other goroutines
	return Permission{Fence: epoch, Valid: func() bool {
		now, held := e.opts.Lease.Held()
		return held && now == epoch && e.confirmed(answered)
	}}
}

// confirmed reports whether the store has just answered this node: on the lease, or at the given time
// on the report log.
func (e *Executor) confirmed(answered time.Time) bool {
	return time.Since(answered) < answerConfirmTime || e.opts.Lease.Confirmed()
}

// maxOrders limits the orders placed in one step, so that the loss of the lease is
// noticed between steps.
const maxOrders = 8

// placeOrders places the due orders while the lease is held.
func (e *Executor) placeOrders(ctx context.Context) {
	for range maxOrders {
		if !e.confirmed(e.storeAnswered) {
			return
		}
		o, due := e.opts.Planner.Next(time.Now())
		if !due {
			return
		}
		epoch, held := e.opts.Lease.Held()
		if !held || epoch != e.epoch {
			return
		}
		err := e.opts.Cloud.OrderEndpoints(ctx, e.permission(epoch), o)
		e.opts.Planner.OrderDone(time.Now(), o, err)
		e.opts.Log.Info("scale: Order placed.", "service", o.Service, "data_centre", o.DataCentre, "count", o.Count,
			"reclaimable", o.Reclaimable, "epoch", epoch, "error", err)
		if err != nil && !errors.Is(err, platformapi.ErrRefused) {
			return // the API cannot be reached; the next step tries again
		}
	}
}

// reportUsage sends the pending reports and finalises the next one.
func (e *Executor) reportUsage(ctx context.Context) {
	if !e.reportsLoaded && !e.loadReports(ctx) {
		return
	}
	now := e.opts.Now()
	for _, r := range e.reports.Pending {
		if !e.sent[r.Window] && !e.send(ctx, r) {
			return
		}
	}
	e.reports = e.reports.startAt(e.opts.Meter.WindowAt(now))
	end := e.opts.Meter.End(e.reports.Next)
	if now.Sub(end) > e.opts.ReportTimeout {
		e.skipExpired(now)
		return
	}
	if now.Sub(end) < settleTime {
		return
	}
	e.finalise(ctx, now, end)
}

// skipExpired skips the windows whose report is past the report timeout.
func (e *Executor) skipExpired(now time.Time) {
	next := e.opts.Meter.WindowAt(now.Add(-e.opts.ReportTimeout))
	e.opts.Log.Warn("usage: Windows are past the report timeout and are skipped.", "from", e.reports.Next, "to", next)
	e.reports = e.reports.skipTo(next)
}

// loadReports reads the report log from the store and reports whether it could.
func (e *Executor) loadReports(ctx context.Context) bool {
	o, err := e.opts.Store.Get(ctx, reportLogKey)
	if err != nil && !errors.Is(err, platformapi.ErrNotFound) {
		e.opts.Log.Warn("usage: Report log cannot be read.", "error", err)
		return false
	}
	var reports ReportLog
	if err == nil {
		if err := json.Unmarshal(o.Value, &reports); err != nil {
			e.opts.Log.Error("usage: Report log cannot be decoded; no reports are sent.", "error", err)
			return false
		}
	}
	if reports.Era != o.Version.Era() || err != nil {
		reports = e.recoverReports(reports)
	}
	e.reports, e.reportsVersion, e.reportsLoaded, e.storeAnswered = reports, o.Version, true, time.Now()
	return true
}

// recoverReports returns the log to continue with if the store was restored since the
// stored log was written, or has none. A window whose report may have been sent before this
// node learned of the restore is skipped unless its report is known.
func (e *Executor) recoverReports(stored ReportLog) ReportLog {
	if e.era == 0 {
		return stored
	}
	known := e.knownReports()
	recovered := stored.later(known).withoutUnknown(e.opts.Meter.WindowAt(e.eraSince.Add(-settleTime)))
	e.opts.Log.Warn("usage: Report log is from before a restore of the store; unknown windows are skipped.",
		"stored_next", stored.Next, "known_next", known.Next, "next", recovered.Next, "pending", len(recovered.Pending), "era", e.era)
	return recovered
}

// send sends a finalised report and reports whether it was accepted.
func (e *Executor) send(ctx context.Context, r UsageReport) bool {
	epoch, held := e.opts.Lease.Held()
	if !held || epoch != e.epoch || !e.confirmed(e.storeAnswered) {
		return false
	}
	err := e.opts.Cloud.ReportUsage(ctx, e.permission(epoch), r)
	e.opts.Log.Info("usage: Report sent.", "window", r.Window, "counts", r.Counts, "epoch", epoch, "error", err)
	if err != nil {
		return false
	}
	e.sent[r.Window] = true
	return true
}

// finalise writes the next window's report to the report log and sends it, once all live
// nodes' counts are complete or waitForNodesShare of the report timeout has passed.
func (e *Executor) finalise(ctx context.Context, now, end time.Time) {
	overdue := now.Sub(end) > time.Duration(waitForNodesShare*float64(e.opts.ReportTimeout))
	if !overdue && !e.opts.UsageTable.Complete(now, e.opts.LiveNodes(), end) {
		return
	}
	// The records contain the counts of nodes that failed before their last exchange.
	if err := mergeRecords(ctx, e.opts.Store, e.opts.UsageTable, e.opts.Log); err != nil {
		e.opts.Log.Warn("usage: Records cannot be read.", "error", err)
		if now.Sub(end) < time.Duration(waitForRecordsShare*float64(e.opts.ReportTimeout)) {
			return
		}
	}
	next := e.reports
	for window := range e.sent {
		next = next.remove(window)
	}
	next = next.add(e.opts.UsageTable.Sum(now, next.Next))
	next.Era = e.era
	raw, err := json.Marshal(next)
	if err != nil {
		e.opts.Log.Error("usage: Report log cannot be encoded.", "error", err)
		return
	}
	version, err := e.opts.Store.Put(ctx, reportLogKey, raw, e.reportsVersion)
	if err != nil {
		e.reportsLoaded = false // another node may have written, or this write may have been applied
		e.opts.Log.Warn("usage: Report log cannot be written.", "window", e.reports.Next, "error", err)
		return
	}
	e.reports, e.reportsVersion, e.storeAnswered = next, version, time.Now()
	e.recordWritten(next)
	e.sent = make(map[int64]bool)
	e.send(ctx, next.Pending[len(next.Pending)-1])
}
