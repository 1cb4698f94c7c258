package duty_test

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/jujubeshed/jujubeshed/internal/bytebudget"
	"github.com/jujubeshed/jujubeshed/internal/duty"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
	"github.com/jujubeshed/jujubeshed/platform"
	"github.com/jujubeshed/jujubeshed/platform/platformtest"
)

var discardLog = slog.New(slog.DiscardHandler)

// window is short, so that several windows pass during a test, but long enough for a window
// to be reported before its counts are dropped.
const window = 300 * time.Millisecond

func newStore(t *testing.T) (*platformtest.Store, *platform.Store) {
	t.Helper()
	standin := platformtest.New()
	srv := httptest.NewServer(standin.Handler())
	t.Cleanup(srv.Close)
	return standin, platform.NewStore(srv.Listener.Addr().String(), bytebudget.New(0), prometheus.NewRegistry(), slog.New(slog.DiscardHandler))
}

func newRecorder(store *platform.Store, usage *duty.UsageTable) *duty.Recorder {
	return duty.NewRecorder(store, "addr", usage, func() int { return 1 }, discardLog)
}

// recordedRequests returns the number of requests of workspace w that a new lease holder
// would report for a window from the stored record of node n.
func recordedRequests(t *testing.T, store *platform.Store, number int64) uint64 {
	t.Helper()
	o, err := store.Get(context.Background(), "nodes/n")
	if err != nil {
		t.Fatal(err)
	}
	var r duty.Record
	if err := json.Unmarshal(o.Value, &r); err != nil {
		t.Fatal(err)
	}
	usage := duty.NewUsageTable("other", 1, duty.NewMeter(window), time.Now)
	usage.MergeRecord(r)
	return usage.Sum(time.Now(), number)["w"]
}

// fakeLease is a lease that is held while its epoch is not zero.
type fakeLease struct {
	epoch       atomic.Uint64
	unconfirmed atomic.Bool
}

func (l *fakeLease) Held() (ident.Epoch, bool) {
	e := ident.Epoch(l.epoch.Load())
	return e, e > 0
}
func (l *fakeLease) Settled() bool   { return true }
func (l *fakeLease) Confirmed() bool { return !l.unconfirmed.Load() }

// fakeCloud passes on the reports it receives. If failed is not nil, it accepts the first
// report of each window but returns an error, as if the response was lost.
type fakeCloud struct {
	reports chan duty.UsageReport
	failed  map[int64]bool // windows whose first report got an error
}

func (c *fakeCloud) ReportUsage(_ context.Context, _ duty.Permission, r duty.UsageReport) error {
	c.reports <- r
	if c.failed != nil && !c.failed[r.Window] {
		c.failed[r.Window] = true
		return errors.New("response lost")
	}
	return nil
}

func (c *fakeCloud) OrderEndpoints(context.Context, duty.Permission, duty.EndpointOrder) error {
	return nil
}

// TestEarlierIncarnationIsCounted checks that the stored counts of a node that restarted
// are added to those of its next incarnation.
func TestEarlierIncarnationIsCounted(t *testing.T) {
	_, store := newStore(t)
	ctx := context.Background()
	at := time.Now()
	for i := range uint64(2) {
		m := duty.NewMeter(window)
		m.Count(at, "w")
		newRecorder(store, duty.NewUsageTable("n", i+1, m, time.Now)).Flush(ctx)
	}
	if n := recordedRequests(t, store, duty.NewMeter(window).WindowAt(at)); n != 2 {
		t.Errorf("%d requests are recorded, 2 were counted", n)
	}
}

// TestFailedNodeIsCounted checks that counts which a node sent to the others are included
// though it failed before it wrote them to its record, and that counts which it both sent
// and wrote are included once.
func TestFailedNodeIsCounted(t *testing.T) {
	m := duty.NewMeter(window)
	now := time.Now()
	k := m.WindowAt(now)
	usage := duty.NewUsageTable("n", 1, m, time.Now)
	m.Count(now, "w")
	usage.MergeNode("dead", 1, now, map[int64]map[ident.Workspace]uint64{k: {"w": 5}})
	usage.MergeRecord(duty.Record{Node: "dead", AsOf: now.UnixMilli(), Incarnations: map[uint64]duty.Windows{1: {k: {"w": 3}}}})
	usage.MergeNode("dead", 2, now, map[int64]map[ident.Workspace]uint64{k: {"w": 2}})
	if n := usage.Sum(now, k)["w"]; n != 8 {
		t.Errorf("%d requests were counted, want 1 + 5 + 2", n)
	}
	if !usage.Complete(now, []string{"n", "dead"}, now) || usage.Complete(now, []string{"other"}, now) {
		t.Error("Complete is false for nodes with complete counts, or true for an unknown node")
	}
}

// TestRepeatedWriteIsNotCountedTwice checks that the flush after one whose response was
// lost writes all counts, and each once.
func TestRepeatedWriteIsNotCountedTwice(t *testing.T) {
	standin, store := newStore(t)
	ctx := context.Background()
	m := duty.NewMeter(window)
	at := time.Now()
	r := newRecorder(store, duty.NewUsageTable("n", 1, m, time.Now))
	m.Count(at, "w")
	standin.SetFaults(platformtest.Faults{DropWriteResponses: true})
	r.Flush(ctx)
	standin.SetFaults(platformtest.Faults{})
	m.Count(at, "w")
	r.Flush(ctx)
	if n := recordedRequests(t, store, m.WindowAt(at)); n != 2 {
		t.Errorf("%d requests are recorded, 2 were counted", n)
	}
}

// TestWindowIsReportedWithSameCounts checks that a new lease holder repeats the reports
// that the previous one had finalised with the same counts, though more requests were
// counted since.
func TestWindowIsReportedWithSameCounts(t *testing.T) {
	_, store := newStore(t)
	m := duty.NewMeter(window)
	usage := duty.NewUsageTable("n", 1, m, time.Now)
	recorder := newRecorder(store, usage)
	c := &fakeCloud{reports: make(chan duty.UsageReport, 1000), failed: make(map[int64]bool)}
	newExecutor := func(l duty.LeaseStatus) *duty.Executor {
		return duty.NewExecutor(duty.Options{
			Store: store, Cloud: c, Lease: l, Meter: m, UsageTable: usage, ReportTimeout: time.Minute, ReportUsage: true, Now: time.Now, Log: discardLog,
			LiveNodes: func() []string { return []string{"n"} },
		})
	}
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
				m.Count(time.Now().Add(-window), "w") // also counts in windows that have ended
				recorder.Flush(context.Background())
			}
		}
	}()
	ctx := context.Background()
	var first, second fakeLease
	first.epoch.Store(1)
	executors := []*duty.Executor{newExecutor(&first), newExecutor(&second)}
	for _, e := range executors {
		if err := e.Start(ctx); err != nil {
			t.Fatal(err)
		}
	}
	seen := make(map[int64]string)
	repeats, repeatsHaveCounts := 0, false
	for i := 0; repeats < 3; i++ {
		r := <-c.reports
		raw, _ := json.Marshal(r.Counts)
		if before, ok := seen[r.Window]; ok {
			repeats++
			repeatsHaveCounts = repeatsHaveCounts || len(r.Counts) > 0
			if before != string(raw) {
				t.Errorf("window %d was reported with %s and with %s", r.Window, before, raw)
			}
		}
		seen[r.Window] = string(raw)
		if i == 2 { // the lease passes to the second executor
			first.epoch.Store(0)
			second.epoch.Store(2)
		}
	}
	if !repeatsHaveCounts {
		t.Error("no repeated report has counts")
	}
	close(stop)
	<-done
	for _, e := range executors {
		if err := e.Stop(ctx); err != nil {
			t.Error(err)
		}
	}
}

// eagerPlanner always has an order to place.
type eagerPlanner struct{}

func (eagerPlanner) Next(time.Time) (duty.EndpointOrder, bool) {
	return duty.EndpointOrder{Service: "s", Count: 1}, true
}
func (eagerPlanner) OrderDone(time.Time, duty.EndpointOrder, error) {}
func (eagerPlanner) Reset()                                         {}

// permissionCloud passes on the permissions of the orders that it receives.
type permissionCloud struct {
	fakeCloud
	permissions chan duty.Permission
}

func (c *permissionCloud) OrderEndpoints(_ context.Context, p duty.Permission, _ duty.EndpointOrder) error {
	c.permissions <- p
	return nil
}

// TestNoCallsIntoPartition guards against orders that a partition of the holder holds up and
// delivers after the next holder's: none may be sent unless the store has just confirmed the lease.
func TestNoCallsIntoPartition(t *testing.T) {
	_, store := newStore(t)
	m := duty.NewMeter(window)
	c := &permissionCloud{permissions: make(chan duty.Permission, 1000)}
	var l fakeLease
	l.epoch.Store(1)
	l.unconfirmed.Store(true)
	e := duty.NewExecutor(duty.Options{
		Store: store, Cloud: c, Lease: &l, Planner: eagerPlanner{}, Meter: m, UsageTable: duty.NewUsageTable("n", 1, m, time.Now), Now: time.Now, Log: discardLog,
	})
	if err := e.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = e.Stop(context.Background()) }()
	select {
	case <-c.permissions:
		t.Error("an order was placed though the store has not confirmed the lease")
	case <-time.After(time.Second):
	}
	l.unconfirmed.Store(false)
	p := <-c.permissions
	if !p.Valid() {
		t.Error("the permission of a confirmed lease is not valid")
	}
	l.unconfirmed.Store(true)
	if p.Valid() {
		t.Error("the permission is still valid when the call is sent later")
	}
}

// TestReportFollowsItsLog guards against reports that wait for the next renewal of the lease, and
// may miss their time: the store's answer to the write of the log is confirmation enough.
func TestReportFollowsItsLog(t *testing.T) {
	_, store := newStore(t)
	m := duty.NewMeter(window)
	c := &fakeCloud{reports: make(chan duty.UsageReport, 1000)}
	var l fakeLease
	l.epoch.Store(1)
	l.unconfirmed.Store(true)
	e := duty.NewExecutor(duty.Options{
		Store: store, Cloud: c, Lease: &l, Meter: m, UsageTable: duty.NewUsageTable("n", 1, m, time.Now), ReportTimeout: time.Minute, ReportUsage: true, Now: time.Now, Log: discardLog,
		LiveNodes: func() []string { return []string{"n"} },
	})
	if err := e.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = e.Stop(context.Background()) }()
	select {
	case <-c.reports:
	case <-time.After(10 * time.Second):
		t.Error("no report was sent")
	}
}

// TestReportWaitsForLiveNodes checks that a report is not finalised before each live node
// has sent its counts up to the window's end.
func TestReportWaitsForLiveNodes(t *testing.T) {
	_, store := newStore(t)
	ctx := context.Background()
	m := duty.NewMeter(window)
	c := &fakeCloud{reports: make(chan duty.UsageReport, 1000)}
	var l fakeLease
	l.epoch.Store(1)
	e := duty.NewExecutor(duty.Options{
		Store: store, Cloud: c, Lease: &l, Meter: m, UsageTable: duty.NewUsageTable("n", 1, m, time.Now), ReportTimeout: time.Hour, ReportUsage: true, Now: time.Now, Log: discardLog,
		LiveNodes: func() []string { return []string{"n", "silent"} },
	})
	if err := e.Start(ctx); err != nil {
		t.Fatal(err)
	}
	select {
	case r := <-c.reports:
		t.Errorf("window %d was reported without the silent node", r.Window)
	case <-time.After(2500 * time.Millisecond):
	}
	if err := e.Stop(ctx); err != nil {
		t.Error(err)
	}
	if _, err := store.Get(ctx, "reports/usage"); !errors.Is(err, platformapi.ErrNotFound) {
		t.Errorf("a report was finalised: %v", err)
	}
}

// TestReportsAfterRestore checks that no window is reported with different counts if the
// store is restored from a copy that lacks the last finalised reports, and the lease passes
// to another node, which knows them or not.
func TestReportsAfterRestore(t *testing.T) {
	for name, informed := range map[string]bool{"known to the next holder": true, "unknown to the next holder": false} {
		t.Run(name, func(t *testing.T) {
			standin, store := newStore(t)
			m := duty.NewMeter(window)
			c := &fakeCloud{reports: make(chan duty.UsageReport, 1000)}
			counts := uint64(1)
			usage := []*duty.UsageTable{duty.NewUsageTable("n0", 1, m, time.Now), duty.NewUsageTable("n1", 1, m, time.Now)}
			var leases [2]fakeLease
			var executors [2]*duty.Executor
			for i := range executors {
				executors[i] = duty.NewExecutor(duty.Options{
					Store: store, Cloud: c, Lease: &leases[i], Meter: m, UsageTable: usage[i], ReportTimeout: time.Minute, ReportUsage: true, Now: time.Now, Log: discardLog,
					LiveNodes: func() []string { return []string{fmt.Sprint("n", i)} },
				})
				if err := executors[i].Start(context.Background()); err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { _ = executors[i].Stop(context.Background()) })
			}
			// The nodes know of different requests, so that each report of one of them
			// differs from a report of the other.
			count := func() {
				counts++
				for i, u := range usage {
					at := time.Now()
					u.MergeNode("other", 1, at, duty.Windows{m.WindowAt(at): {"w": counts + uint64(i)*1000}})
				}
			}
			seen := make(map[int64]string)
			withCounts := 0
			receive := func(n int) {
				t.Helper()
				for end := time.Now().Add(20 * time.Second); n > 0 && time.Now().Before(end); {
					select {
					case r := <-c.reports:
						raw, _ := json.Marshal(r.Counts)
						if before, ok := seen[r.Window]; ok && before != string(raw) {
							t.Errorf("window %d was reported with %s and with %s", r.Window, before, raw)
						}
						seen[r.Window] = string(raw)
						n--
						if len(r.Counts) > 0 {
							withCounts++
						}
					case <-time.After(20 * time.Millisecond):
						count()
					}
				}
				if n > 0 {
					t.Fatal("no reports within 20 s")
				}
			}
			leases[0].epoch.Store(1)
			receive(3)
			withCounts = 0
			copied := standin.Copy()
			receive(5)
			leases[0].epoch.Store(0)
			time.Sleep(300 * time.Millisecond) // until a step in progress has ended
			standin.Restore(copied)
			if _, err := store.Get(context.Background(), "reports/usage"); err != nil {
				t.Fatal(err)
			}
			if informed {
				executors[1].RecordReports(executors[0].WrittenReports())
			}
			time.Sleep(300 * time.Millisecond) // until the executors know of the restore
			leases[1].epoch.Store(2)
			receive(10)
			if withCounts < 10 { // the others are of the times at which this test waits
				t.Errorf("%d of 15 reports have counts", withCounts)
			}
		})
	}
}

// TestRecordIsWrittenAfterRestore checks that a node writes its record again if the store was
// restored, though its counts have not changed.
func TestRecordIsWrittenAfterRestore(t *testing.T) {
	standin, store := newStore(t)
	ctx := context.Background()
	m := duty.NewMeter(window)
	at := time.Now()
	r := newRecorder(store, duty.NewUsageTable("n", 1, m, time.Now))
	copied := standin.Copy()
	m.Count(at, "w")
	r.Flush(ctx)
	standin.Restore(copied)
	if _, err := store.Get(ctx, "nodes/n"); !errors.Is(err, platformapi.ErrNotFound) {
		t.Fatalf("record after the restore: %v", err)
	}
	r.Flush(ctx)
	if n := recordedRequests(t, store, m.WindowAt(at)); n != 1 {
		t.Errorf("%d requests are recorded, 1 was counted", n)
	}
}
