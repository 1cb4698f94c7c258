package duty_test

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/jujubeshed/jujubeshed/internal/duty"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
	"github.com/jujubeshed/jujubeshed/platform"
	"github.com/jujubeshed/jujubeshed/platform/platformtest"
)

var quiet = slog.New(slog.DiscardHandler)

// window is as short as a test can wait for.
const window = 100 * time.Millisecond

func newStore(t *testing.T) (*platformtest.Store, *platform.Store) {
	t.Helper()
	standin := platformtest.New()
	srv := httptest.NewServer(standin.Handler())
	t.Cleanup(srv.Close)
	return standin, platform.NewStore(srv.Listener.Addr().String(), prometheus.NewRegistry())
}

func keeperOf(store *platform.Store, tally *duty.UsageTable) *duty.Recorder {
	return duty.NewRecorder(store, "addr", tally, func() int { return 1 }, quiet)
}

// reported returns what a fresh holder would report of workspace w from the records.
func reported(t *testing.T, store *platform.Store, number int64) uint64 {
	t.Helper()
	o, err := store.Get(context.Background(), "nodes/n")
	if err != nil {
		t.Fatal(err)
	}
	var r duty.Record
	if err := json.Unmarshal(o.Value, &r); err != nil {
		t.Fatal(err)
	}
	tally := duty.NewUsageTable("other", 1, duty.NewMeter(window), time.Now)
	tally.Add(r)
	return tally.Sum(time.Now(), number)["w"]
}

// right is a lease that a test hands out.
type right struct{ epoch atomic.Uint64 }

func (r *right) Held() (ident.Epoch, bool) {
	e := ident.Epoch(r.epoch.Load())
	return e, e > 0
}
func (r *right) Settled() bool { return true }

// cloud keeps the reports that it was sent, and can lose the answer to each first one.
type cloud struct {
	reports chan duty.UsageReport
	lose    map[int64]bool
}

func (c *cloud) ReportUsage(_ context.Context, _ ident.Epoch, r duty.UsageReport) error {
	c.reports <- r
	if c.lose != nil && !c.lose[r.Window] {
		c.lose[r.Window] = true
		return errors.New("answer lost")
	}
	return nil
}

func (c *cloud) OrderEndpoints(context.Context, ident.Epoch, duty.EndpointOrder) error { return nil }

// TestFormerLifeCounts: the counts of a node that died are reported with those of
// its next life.
func TestFormerLifeCounts(t *testing.T) {
	_, store := newStore(t)
	ctx := context.Background()
	at := time.Now()
	for life := range uint64(2) {
		m := duty.NewMeter(window)
		m.Count(at, "w")
		keeperOf(store, duty.NewUsageTable("n", life+1, m, time.Now)).Flush(ctx)
	}
	if n := reported(t, store, duty.NewMeter(window).WindowAt(at)); n != 2 {
		t.Errorf("%d requests are recorded, 2 were counted", n)
	}
}

// TestCountsOfADeadNode: what a node told the others counts, though it died before it
// wrote its record, and what it told and wrote counts once.
func TestCountsOfADeadNode(t *testing.T) {
	m := duty.NewMeter(window)
	now := time.Now()
	k := m.WindowAt(now)
	tally := duty.NewUsageTable("n", 1, m, time.Now)
	m.Count(now, "w")
	tally.MergeNode("dead", 1, now, map[int64]map[ident.Workspace]uint64{k: {"w": 5}})
	tally.Add(duty.Record{Node: "dead", AsOf: now.UnixMilli(), Lives: map[uint64]duty.Windows{1: {k: {"w": 3}}}})
	tally.MergeNode("dead", 2, now, map[int64]map[ident.Workspace]uint64{k: {"w": 2}})
	if n := tally.Sum(now, k)["w"]; n != 8 {
		t.Errorf("%d requests were counted, want 1 + 5 + 2", n)
	}
	if !tally.Complete(now, []string{"n", "dead"}, now) || tally.Complete(now, []string{"other"}, now) {
		t.Error("which nodes have told their counts is not known right")
	}
}

// TestLostWriteIsNotCountedTwice: a flush whose answer was lost is repeated whole.
func TestLostWriteIsNotCountedTwice(t *testing.T) {
	standin, store := newStore(t)
	ctx := context.Background()
	m := duty.NewMeter(window)
	at := time.Now()
	k := keeperOf(store, duty.NewUsageTable("n", 1, m, time.Now))
	m.Count(at, "w")
	standin.SetFaults(platformtest.Faults{DropWriteResponses: true})
	k.Flush(ctx)
	standin.SetFaults(platformtest.Faults{})
	m.Count(at, "w")
	k.Flush(ctx)
	if n := reported(t, store, m.WindowAt(at)); n != 2 {
		t.Errorf("%d requests are recorded, 2 were counted", n)
	}
}

// TestWindowIsReportedWithOneCount: a holder that took over repeats what the holder
// before it had decided on, though more was counted since.
func TestWindowIsReportedWithOneCount(t *testing.T) {
	_, store := newStore(t)
	m := duty.NewMeter(window)
	tally := duty.NewUsageTable("n", 1, m, time.Now)
	k := keeperOf(store, tally)
	c := &cloud{reports: make(chan duty.UsageReport, 1000), lose: make(map[int64]bool)}
	newOfficer := func(r duty.LeaseStatus) *duty.Executor {
		return duty.NewExecutor(duty.Options{
			Store: store, Cloud: c, Lease: r, Meter: m, UsageTable: tally, ReportTimeout: time.Minute, Usage: true, Now: time.Now, Log: quiet,
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
				m.Count(time.Now().Add(-window), "w") // late counts, too
				k.Flush(context.Background())
			}
		}
	}()
	ctx := context.Background()
	var one, two right
	one.epoch.Store(1)
	officers := []*duty.Executor{newOfficer(&one), newOfficer(&two)}
	for _, f := range officers {
		if err := f.Start(ctx); err != nil {
			t.Fatal(err)
		}
	}
	seen := make(map[int64]string)
	repeats := 0
	for i := 0; repeats < 3; i++ {
		r := <-c.reports
		raw, _ := json.Marshal(r.Counts)
		if before, ok := seen[r.Window]; ok {
			repeats++
			if before != string(raw) {
				t.Errorf("window %d was reported with %s and with %s", r.Window, before, raw)
			}
		}
		seen[r.Window] = string(raw)
		if i == 2 { // the duty changes its holder
			one.epoch.Store(0)
			two.epoch.Store(2)
		}
	}
	close(stop)
	<-done
	for _, f := range officers {
		if err := f.Stop(ctx); err != nil {
			t.Error(err)
		}
	}
}

// TestReportWaitsForLiveNodes: a window is not closed before each live node has
// told its counts past the end.
func TestReportWaitsForLiveNodes(t *testing.T) {
	_, store := newStore(t)
	ctx := context.Background()
	m := duty.NewMeter(window)
	c := &cloud{reports: make(chan duty.UsageReport, 1000)}
	var r right
	r.epoch.Store(1)
	f := duty.NewExecutor(duty.Options{
		Store: store, Cloud: c, Lease: &r, Meter: m, UsageTable: duty.NewUsageTable("n", 1, m, time.Now), ReportTimeout: time.Hour, Usage: true, Now: time.Now, Log: quiet,
		LiveNodes: func() []string { return []string{"n", "silent"} },
	})
	if err := f.Start(ctx); err != nil {
		t.Fatal(err)
	}
	select {
	case r := <-c.reports:
		t.Errorf("window %d was reported without the silent node", r.Window)
	case <-time.After(2500 * time.Millisecond):
	}
	if err := f.Stop(ctx); err != nil {
		t.Error(err)
	}
	if _, err := store.Get(ctx, "reports/usage"); !errors.Is(err, platformapi.ErrNotFound) {
		t.Errorf("a report was decided on: %v", err)
	}
}
