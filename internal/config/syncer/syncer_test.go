package syncer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/goleak"

	"github.com/jujubeshed/jujubeshed/internal/config"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/invariant"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
	"github.com/jujubeshed/jujubeshed/internal/standin/memstore"
)

func TestMain(m *testing.M) {
	invariant.SetFatal(true)
	goleak.VerifyTestMain(m)
}

// maxPropagation is the maximum time until an accepted configuration is in force.
const maxPropagation = 9 * time.Second

func example(t *testing.T, name string) []config.File {
	paths, _ := filepath.Glob(filepath.Join("..", "..", "..", "examples", name, "*.yaml"))
	var files []config.File
	for _, p := range paths {
		data, err := os.ReadFile(p)
		if err != nil {
			t.Fatal(err)
		}
		files = append(files, config.File{Name: filepath.Base(p), Data: data})
	}
	return files
}

// start runs a watching Syncer until the test ends.
func start(t *testing.T, store platformapi.Store, seed uint64) *Syncer {
	s := New(Options{Store: store, Seed: seed, Resync: 200 * time.Millisecond, ResyncBytesPerSecond: 1 << 30, MaxAcceptDelay: 20 * time.Millisecond})
	s.SetWatching(true)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = s.Run(ctx) })
	t.Cleanup(func() { cancel(); wg.Wait() })
	return s
}

// waitFor waits until the store's files are accepted and every syncer has the accepted
// revision in force.
func waitFor(t *testing.T, store platformapi.Store, syncers ...*Syncer) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), maxPropagation)
	defer cancel()
	for {
		object, _ := store.Get(ctx, config.KeyAccepted)
		accepted, _ := config.DecodeAccepted(object.Value)
		st, _ := store.Get(ctx, config.KeyStatus)
		status, _ := config.DecodeStatus(st.Value)
		same := accepted.Revision > 0 && status.Matches(storedFiles(ctx, store), accepted.Revision)
		for _, s := range syncers {
			same = same && s.Revision() == accepted.Revision
		}
		if same {
			return
		}
		if sleep(ctx, 5*time.Millisecond) != nil {
			t.Fatalf("not in force within %v: accepted %d, status %+v", maxPropagation, accepted.Revision, status)
		}
	}
}

func storedFiles(ctx context.Context, store platformapi.Store) []config.File {
	objects, _ := store.List(ctx, config.KeyFilesPrefix)
	files := make([]config.File, 0, len(objects))
	for _, o := range objects {
		files = append(files, config.File{Name: fileName(o.Key), Data: o.Value})
	}
	return files
}

// silentWatchStore is a store whose watches report no changes.
type silentWatchStore struct{ platformapi.Store }

func (b silentWatchStore) Watch(ctx context.Context, prefix platformapi.Key, after uint64, wait time.Duration) (platformapi.WatchResult, error) {
	r, err := b.Store.Watch(ctx, prefix, after, 0)
	r.Changed = nil
	_ = sleep(ctx, min(wait, 50*time.Millisecond))
	return r, err
}

// TestSpread injects a fault while files are stored, and checks that the result is in
// force on every node in time.
func TestSpread(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults memstore.Faults
		silent bool
		apply  func(t *testing.T, s *memstore.Store, a, b *Syncer)
	}{
		{name: "operators apply the same example concurrently", apply: racingApply},
		{name: "responses are lost", faults: memstore.Faults{LoseAnswer: 0.3, LoseRequest: 0.2, Conflict: 0.1}, apply: racingApply},
		{name: "watches miss changes", silent: true, apply: racingApply},
		{name: "operator stops after storing the files", apply: putFiles},
		{name: "acceptor stops before storing the status", apply: stopsBeforeStatus},
		{name: "watch has a gap", apply: withGap},
		{name: "outage between files and acceptance", apply: withOutage},
	} {
		t.Run(c.name, func(t *testing.T) {
			mem := memstore.New(memstore.Options{Seed: 3, MaxTombstones: 2})
			mem.SetFaults(c.faults)
			var store platformapi.Store = mem
			if c.silent {
				store = silentWatchStore{mem}
			}
			a, b := start(t, store, 1), start(t, store, 2)
			c.apply(t, mem, a, b)
			waitFor(t, mem, a, b)
			want, _ := config.Merge(example(t, "kallergis"))
			if got := a.Current(); len(got.Routes) != len(want.Routes) || len(got.Workspaces) != len(want.Workspaces) {
				t.Errorf("in force is %+v", got)
			}
		})
	}
}

func racingApply(t *testing.T, _ *memstore.Store, a, b *Syncer) {
	var wg sync.WaitGroup
	for i := range 4 {
		s := []*Syncer{a, b}[i%2]
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), maxPropagation)
			defer cancel()
			if r, err := s.Apply(ctx, example(t, "kallergis")); err != nil {
				t.Errorf("apply: %v, %+v", err, r)
			}
		})
	}
	wg.Wait()
}

func putFiles(t *testing.T, store *memstore.Store, _, _ *Syncer) {
	for _, f := range example(t, "kallergis") {
		if _, err := store.Put(context.Background(), config.FileKey(f.Name), f.Data, 0); err != nil {
			t.Error(err)
		}
	}
}

func stopsBeforeStatus(t *testing.T, store *memstore.Store, _, _ *Syncer) {
	p := config.Propose(config.Accepted{}, example(t, "kallergis"), 0)
	value, err := p.Accepted.Encode()
	if err != nil {
		t.Fatal(err)
	}
	putFiles(t, store, nil, nil)
	_, _ = store.Put(context.Background(), config.KeyAccepted, value, 0) // fails if a watching node was faster
}

func withGap(t *testing.T, store *memstore.Store, _, _ *Syncer) {
	putFiles(t, store, nil, nil)
	for i := range 20 {
		key := config.FileKey(fmt.Sprintf("90-%d.yaml", i))
		v, err := store.Put(context.Background(), key, []byte("routes: {}"), 0)
		if err == nil {
			err = store.Delete(context.Background(), key, v)
		}
		if err != nil {
			t.Error(err)
		}
	}
}

func withOutage(t *testing.T, store *memstore.Store, a, _ *Syncer) {
	putFiles(t, store, nil, nil)
	store.SetFaults(memstore.Faults{Down: true})
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	if _, _, err := a.Accept(ctx); !errors.Is(err, platformapi.ErrUnavailable) {
		t.Errorf("acceptance during an outage: %v", err)
	}
	store.SetFaults(memstore.Faults{})
}

// TestSameFileTwice checks concurrent writes of different contents to one file: the
// operator whose content is in force gets no error, and all others get none or
// ErrChangedMeanwhile.
func TestSameFileTwice(t *testing.T) {
	store := memstore.New(memstore.Options{Seed: 5})
	file := func(weight int) []config.File {
		return []config.File{{Name: "30-a.yaml", Data: fmt.Appendf(nil, "workspaces: {a: {keys: [key-of-a], weight: %d}}", weight)}}
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxPropagation)
	defer cancel()
	store.SetFaults(memstore.Faults{LoseAnswer: 0.3, LoseRequest: 0.2})
	var wg sync.WaitGroup
	errs := make([]error, 8)
	for i := range errs {
		s := New(Options{Store: store, Seed: uint64(i)})
		wg.Go(func() { _, errs[i] = s.Apply(ctx, file(i+1)) })
	}
	wg.Wait()
	s := New(Options{Store: store})
	if _, _, err := s.Accept(ctx); err != nil {
		t.Fatal(err)
	}
	weight := s.Current().Workspaces["a"].Weight
	if errs[weight-1] != nil {
		t.Errorf("content %d is in force, but its operator got error %v", weight, errs[weight-1])
	}
	for _, err := range errs {
		if err != nil && !errors.Is(err, ErrChangedMeanwhile) {
			t.Error(err)
		}
	}
}

// TestRefused checks that files with an error are not written.
func TestRefused(t *testing.T) {
	store := memstore.New(memstore.Options{})
	s := New(Options{Store: store})
	ctx := context.Background()
	if _, err := s.Apply(ctx, example(t, "kaptaan")); err != nil {
		t.Fatal(err)
	}
	before := store.Counts().Writes
	bad := []config.File{{Name: "50-bad.yaml", Data: []byte("routes: {x: {prefix: /x, service: nowhere, class: quick}}")}}
	r, err := s.Apply(ctx, bad)
	st, _ := r.Status.File("50-bad.yaml")
	if !errors.Is(err, ErrRefused) || st.State != config.FileRefused || len(st.Diagnostics) != 1 {
		t.Errorf("error %v, status %+v", err, st)
	}
	if _, err := s.Apply(ctx, []config.File{{Name: "../x.yaml"}}); !errors.Is(err, ErrRefused) {
		t.Errorf("a file name with a path gave %v", err)
	}
	if n := store.Counts().Writes - before; n != 0 || s.Revision() != 1 {
		t.Errorf("%d writes, revision %d", n, s.Revision())
	}
	if r, err := s.Remove(ctx, []string{"30-workspaces.yaml"}); err != nil || r.Status.Revision != 2 {
		t.Errorf("remove: %v, %+v", err, r)
	}
}

// TestPeers checks that a node gets the configuration from peers while the store is
// down, and never returns to an older revision.
func TestPeers(t *testing.T) {
	store := memstore.New(memstore.Options{})
	a := New(Options{Store: store})
	ctx := context.Background()
	if _, err := a.Apply(ctx, example(t, "kallergis")); err != nil {
		t.Fatal(err)
	}
	old, _ := a.Message(0)
	b := New(Options{Store: store, FromPeers: func(_ context.Context, since ident.Revision) ([]byte, error) { return a.Message(since) }})
	if b.StaleFor() < maxPropagation {
		t.Error("a new node is not stale")
	}
	store.SetFaults(memstore.Faults{Down: true})
	if err := b.CatchUp(ctx); err != nil || b.Revision() != a.Revision() || b.StaleFor() > maxPropagation {
		t.Fatalf("revision %d of %d, stale for %v, error %v", b.Revision(), a.Revision(), b.StaleFor(), err)
	}
	store.SetFaults(memstore.Faults{})
	file := []config.File{{Name: "40-x.yaml", Data: []byte("workspaces: {x: {keys: [key-of-x]}}")}}
	if _, err := a.Apply(ctx, file); err != nil {
		t.Fatal(err)
	}
	store.SetFaults(memstore.Faults{Down: true})
	delta, _ := a.Message(b.Revision())
	if err := b.Offer(a.Revision(), delta); err != nil || b.Revision() != 2 {
		t.Errorf("delta: revision %d, error %v", b.Revision(), err)
	}
	if err := b.Offer(1, old); err != nil || b.Revision() != 2 {
		t.Errorf("old revision: revision %d, error %v", b.Revision(), err)
	}
	c := New(Options{Store: store})
	if err := c.Offer(2, delta); !errors.Is(err, config.ErrNeedFull) {
		t.Errorf("a delta without its base gave %v", err)
	}
	if err := c.CatchUp(ctx); err == nil {
		t.Error("catch-up without store and peers succeeded")
	}
}

// TestStale checks with a fake clock which events confirm the revision in force.
func TestStale(t *testing.T) {
	now := time.Unix(1000, 0)
	store := memstore.New(memstore.Options{})
	s := New(Options{Store: store, Clock: func() time.Time { return now }})
	ctx := context.Background()
	if _, err := s.Apply(ctx, example(t, "kaptaan")); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		what string
		do   func()
		want time.Duration
	}{
		{"read of the store", func() { _ = s.CatchUp(ctx) }, 0},
		{"a pause", func() { now = now.Add(time.Minute) }, time.Minute},
		{"a peer with an older revision", func() { s.ObserveRevision(0, 0) }, time.Minute},
		{"a peer that confirmed it 5s ago", func() { s.ObserveRevision(1, 5*time.Second) }, 5 * time.Second},
		{"a peer that confirmed it long ago", func() { s.ObserveRevision(1, time.Hour) }, 5 * time.Second},
		{"a store that is down", func() { store.SetFaults(memstore.Faults{Down: true}); _ = s.CatchUp(ctx) }, 5 * time.Second},
	} {
		if c.do(); s.StaleFor() != c.want {
			t.Errorf("after %s stale for %v; want %v", c.what, s.StaleFor(), c.want)
		}
	}
}

// TestOnChangeGrows checks that OnChange is called with increasing revisions while
// deltas and full messages are offered concurrently.
func TestOnChangeGrows(t *testing.T) {
	store := memstore.New(memstore.Options{})
	a := New(Options{Store: store})
	ctx := context.Background()
	var messages [][]byte
	for i := range 20 {
		data := fmt.Appendf(nil, "workspaces: {a: {keys: [key-of-a], weight: %d}}", i+1)
		if _, err := a.Apply(ctx, []config.File{{Name: "30-a.yaml", Data: data}}); err != nil {
			t.Fatal(err)
		}
		for _, since := range []ident.Revision{0, ident.Revision(i)} {
			m, _ := a.Message(since)
			messages = append(messages, m)
		}
	}
	var last ident.Revision
	b := New(Options{Store: store, OnChange: func(c *config.Config) {
		if c.Revision <= last {
			t.Errorf("revision %d after %d", c.Revision, last)
		}
		last = c.Revision
	}})
	var wg sync.WaitGroup
	for g := range 4 {
		rng := rand.New(rand.NewPCG(uint64(g), 0))
		wg.Go(func() {
			for range 100 {
				_ = b.Offer(a.Revision(), messages[rng.IntN(len(messages))])
			}
		})
	}
	wg.Wait()
	if err := b.CatchUp(ctx); err != nil || last != a.Revision() {
		t.Errorf("last revision seen is %d of %d, error %v", last, a.Revision(), err)
	}
}

// BenchmarkInForce reports the time from the acceptance of a change until it is in force
// on eight watching nodes, and the number of store calls per change.
func BenchmarkInForce(b *testing.B) {
	store := memstore.New(memstore.Options{})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	nodes := make([]*Syncer, 8)
	for i := range nodes {
		nodes[i] = New(Options{Store: store, Seed: uint64(i)})
		nodes[i].SetWatching(true)
		wg.Go(func() { _ = nodes[i].Run(ctx) })
	}
	operator := New(Options{Store: store})
	before, total := store.Counts().Calls, time.Duration(0)
	for i := 0; b.Loop(); i++ {
		data := fmt.Appendf(nil, "workspaces: {a: {keys: [key-of-a], weight: %d}}", i%1000+1)
		r, err := operator.Apply(ctx, []config.File{{Name: "30-a.yaml", Data: data}})
		if err != nil {
			b.Fatal(err)
		}
		accepted := time.Now()
		for _, n := range nodes {
			for n.Revision() < r.Status.Revision {
				time.Sleep(100 * time.Microsecond)
			}
		}
		total += time.Since(accepted)
	}
	b.ReportMetric(float64(total.Microseconds())/float64(b.N)/1000, "ms-to-8-nodes")
	b.ReportMetric(float64(store.Counts().Calls-before)/float64(b.N), "calls/change")
	cancel()
	wg.Wait()
}
