package config

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/invariant"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
)

// seeds returns the number of seeds for a randomised test: JUJUBESHED_SEEDS if set,
// otherwise short.
func seeds(t testing.TB, short int) int {
	v := os.Getenv("JUJUBESHED_SEEDS")
	if v == "" {
		return short
	}
	n, err := strconv.Atoi(v)
	if err != nil {
		t.Fatalf("JUJUBESHED_SEEDS: %v", err)
	}
	return n
}

// TestPropose runs scripts in which operators store and remove files.
func TestPropose(t *testing.T) {
	var s proposeState
	datadriven.RunTest(t, "testdata/propose", func(_ *testing.T, d *datadriven.TestData) string {
		return s.step(d)
	})
}

type proposeState struct {
	prev  Accepted
	files []File
}

func (s *proposeState) step(d *datadriven.TestData) string {
	if d.Cmd == "reset" {
		s.prev, s.files = Accepted{}, nil
		return ""
	}
	for _, f := range splitFiles(d.Input) {
		s.files = slices.DeleteFunc(s.files, func(o File) bool { return o.Name == f.Name })
		if strings.TrimSpace(string(f.Data)) != "removed" {
			s.files = append(s.files, f)
		}
	}
	p := Propose(s.prev, s.files, 0)
	s.prev = p.Accepted
	var b strings.Builder
	fmt.Fprintf(&b, "revision %d, changed %t\n", p.Accepted.Revision, p.Changed)
	for _, f := range p.Status.Files {
		fmt.Fprintf(&b, "%s: %s, since revision %d", f.Name, f.State, f.Revision)
		for _, o := range f.OverriddenBy {
			fmt.Fprintf(&b, ", %s overridden by %s", o.Object, o.By)
		}
		b.WriteString("\n")
		for _, diag := range f.Diagnostics {
			fmt.Fprintf(&b, "  %s\n", diag)
		}
	}
	return b.String()
}

// raceSimulation simulates a store with operators and acceptance rounds. It interleaves
// single store calls at random, so that concurrent rounds overlap in many ways.
type raceSimulation struct {
	rng      *rand.Rand
	accepted platformapi.Object
	status   platformapi.Object
	files    map[string]int // generation of each file
	rounds   []*raceRound
	high     map[string]int // highest generation accepted of each file
	revision ident.Revision
}

// raceRound is an acceptance round between two store calls.
type raceRound struct {
	a      *Acceptor
	action Action
	step   int
	read   ReadResult
}

func raceFile(name string, generation int) File {
	return File{Name: name, Data: fmt.Appendf(nil, "workspaces: {%s: {keys: [key-of-%s], weight: %d}}",
		strings.TrimSuffix(name, ".yaml"), name, generation)}
}

func (w *raceSimulation) step() {
	switch w.rng.IntN(10) {
	case 0:
		w.files[fmt.Sprintf("f%d.yaml", w.rng.IntN(3))]++
	case 1:
		a := NewAcceptor(0, rand.New(rand.NewPCG(w.rng.Uint64(), 0)))
		w.rounds = append(w.rounds, &raceRound{a: a, action: a.Start()})
	case 2: // rarely, a node fails in the middle of a round
		if len(w.rounds) > 0 && w.rng.IntN(4) == 0 {
			w.rounds = w.rounds[1:]
		}
	default:
		if len(w.rounds) > 0 {
			w.advance(w.rounds[w.rng.IntN(len(w.rounds))])
		}
	}
}

// advance performs the next store call of a round.
func (w *raceSimulation) advance(r *raceRound) {
	switch a := r.action.(type) {
	case ReadAction:
		switch r.step {
		case 0:
			r.read = ReadResult{Accepted: w.accepted}
		case 1:
			r.read.Status = w.status
		case 2:
			r.read.Files = w.list()
		}
		if r.step++; r.step > 2 {
			r.step = 0
			r.action = r.a.Read(r.read)
		}
	case PutAction:
		r.action = r.a.Put(w.put(a))
	case WaitAction:
		r.action = r.a.Waited()
	case DoneAction:
		w.rounds = slices.DeleteFunc(w.rounds, func(o *raceRound) bool { return o == r })
	}
}

func (w *raceSimulation) list() []File {
	var files []File
	for _, name := range []string{"f0.yaml", "f1.yaml", "f2.yaml"} {
		if g := w.files[name]; g > 0 {
			files = append(files, raceFile(name, g))
		}
	}
	return files
}

func (w *raceSimulation) put(a PutAction) error {
	object := &w.accepted
	if a.Key == KeyStatus {
		object = &w.status
	}
	if w.rng.IntN(10) == 0 {
		return platformapi.ErrUnknown // had no effect
	}
	if object.Version != a.Expect {
		return platformapi.ErrConflict
	}
	*object = platformapi.Object{Key: a.Key, Version: a.Expect + 1, Value: a.Value}
	if a.Key == KeyAccepted {
		w.check()
	}
	if w.rng.IntN(5) == 0 {
		return platformapi.ErrUnknown // the response was lost
	}
	return nil
}

// check asserts that the revision increases and that no file returns to an older
// content.
func (w *raceSimulation) check() {
	acc, err := DecodeAccepted(w.accepted.Value)
	if err != nil {
		panic(err)
	}
	invariant.Check(acc.Revision > w.revision, invariant.RevisionGrows, "revision %d follows %d", acc.Revision, w.revision)
	w.revision = acc.Revision
	for name, ws := range acc.Config.Workspaces {
		invariant.Check(ws.Weight >= w.high[string(name)], invariant.RevisionGrows,
			"file %q returned from generation %d to %d", name, w.high[string(name)], ws.Weight)
		w.high[string(name)] = ws.Weight
	}
}

// TestAcceptanceRaces interleaves operators' changes with concurrent acceptance rounds,
// node failures and lost responses.
func TestAcceptanceRaces(t *testing.T) {
	defer invariant.SetFatal(invariant.SetFatal(true))
	for seed := range seeds(t, 40) {
		w := &raceSimulation{rng: rand.New(rand.NewPCG(uint64(seed), 6)), files: map[string]int{}, high: map[string]int{}}
		for range 300 {
			w.step()
		}
		// One more round after the last change accepts everything.
		a := NewAcceptor(0, w.rng)
		r := &raceRound{a: a, action: a.Start()}
		for range 1000 {
			if _, done := r.action.(DoneAction); done {
				break
			}
			w.advance(r)
		}
		acc, _ := DecodeAccepted(w.accepted.Value)
		status, _ := DecodeStatus(w.status.Value)
		if !status.Matches(w.list(), acc.Revision) || len(acc.Files) != len(w.list()) {
			t.Fatalf("seed %d: status %+v does not match the files of revision %d", seed, status, acc.Revision)
		}
		for name, g := range w.files {
			if f, ok := acc.file(name); !ok || string(f.Data) != string(raceFile(name, g).Data) {
				t.Fatalf("seed %d: file %q of generation %d is not accepted: %q", seed, name, g, f.Data)
			}
		}
	}
}

// TestHolderConverges delivers revisions, deltas and full messages late, repeatedly and
// out of order. No holder returns to a lower revision, and all reach the newest.
func TestHolderConverges(t *testing.T) {
	defer invariant.SetFatal(invariant.SetFatal(true))
	for seed := range seeds(t, 100) {
		rng := rand.New(rand.NewPCG(uint64(seed), 7))
		holders := make([]Holder, 4)
		var newest *Config
		for rev := 1; rev <= 60; rev++ {
			newest = randomConfig(rng, ident.Revision(rev))
			if rng.IntN(3) > 0 {
				holders[0].Offer(newest)
			}
			from, to := &holders[rng.IntN(4)], &holders[rng.IntN(4)]
			b, err := from.Message(ident.Revision(rng.IntN(rev + 1)))
			if err != nil {
				t.Fatal(err)
			}
			before := to.Revision()
			if b != nil {
				_, _ = to.Receive(b)
			}
			if to.Revision() < before {
				t.Fatalf("seed %d: revision went from %d to %d", seed, before, to.Revision())
			}
		}
		holders[0].Offer(newest)
		for i := 1; i < len(holders); i++ {
			b, err := holders[0].Message(holders[i].Revision())
			if err == nil && b != nil {
				_, err = holders[i].Receive(b)
			}
			if err != nil || holders[i].Revision() != newest.Revision || holders[i].Current().digest() != newest.digest() {
				t.Fatalf("seed %d: holder %d has revision %d, error %v", seed, i, holders[i].Revision(), err)
			}
		}
	}
}

// randomConfig returns a configuration with a random set of workspaces and weights.
func randomConfig(rng *rand.Rand, rev ident.Revision) *Config {
	c := &Config{Revision: rev}
	c.buildLookup()
	for i := range 5 {
		if name := ident.Workspace(fmt.Sprint("w", i)); rng.IntN(4) > 0 {
			c.Workspaces[name] = WorkspaceConfig{Name: name, Weight: 1 + rng.IntN(3), Keys: []string{string(name) + "-key"}}
		}
	}
	c.buildLookup()
	return c
}

// TestDeltaOfAnotherBase checks that a delta is applied neither to another content than
// its base, nor if the digest of the result does not match.
func TestDeltaOfAnotherBase(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	a, b, c := randomConfig(rng, 1), randomConfig(rng, 1), randomConfig(rng, 2)
	if _, err := b.Apply(Diff(a, c)); err == nil {
		t.Error("delta was applied to another content of its base revision")
	}
	d := Diff(a, c)
	d.Digest = "0"
	if _, err := a.Apply(d); err == nil {
		t.Error("delta with a wrong digest was applied")
	}
}

// FuzzReceive checks that no message of a peer lowers the revision in force.
func FuzzReceive(f *testing.F) {
	rng := rand.New(rand.NewPCG(2, 2))
	var h Holder
	for rev := range ident.Revision(3) {
		h.Offer(randomConfig(rng, rev+1))
	}
	for _, since := range []ident.Revision{0, 1} {
		b, err := h.Message(since)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		to := h
		if changed, err := to.Receive(b); changed && (err != nil || to.Revision() <= h.Revision()) || to.Revision() < h.Revision() {
			t.Fatalf("revision is %d, changed %t, error %v", to.Revision(), changed, err)
		}
	})
}

// BenchmarkDelta reports the size of the messages for one change, as a delta and as a
// full configuration, and the resulting bytes per second at 25000 changes a day.
func BenchmarkDelta(b *testing.B) {
	for _, n := range []int{5, 100, 1000, 10000} {
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			base := &Config{Revision: 1}
			base.buildLookup()
			for i := range n {
				name := ident.Workspace(fmt.Sprintf("workspace-%d", i))
				base.Workspaces[name] = WorkspaceConfig{Name: name, Keys: []string{fmt.Sprintf("key-of-workspace-%d", i)}, Weight: 1, RatePerSecond: 50, Concurrency: 64}
			}
			var delta, full []byte
			for i := 0; b.Loop(); i++ {
				var h Holder
				next := &Config{Revision: 2, Workspaces: make(map[ident.Workspace]WorkspaceConfig)}
				for name, w := range base.Workspaces {
					next.Workspaces[name] = w
				}
				w := next.Workspaces["workspace-0"]
				w.Weight = 2 + i%10
				next.Workspaces["workspace-0"] = w
				next.buildLookup()
				h.Offer(base)
				h.Offer(next)
				delta, _ = h.Message(1)
				full, _ = h.Message(0)
			}
			const changesPerSecond = 25000.0 / 86400
			b.ReportMetric(float64(len(delta)), "delta-B")
			b.ReportMetric(float64(len(full)), "full-B")
			b.ReportMetric(float64(len(delta))*changesPerSecond, "delta-B/s")
			b.ReportMetric(float64(len(full))*changesPerSecond, "full-B/s")
		})
	}
}
