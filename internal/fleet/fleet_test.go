package fleet

import (
	"fmt"
	"math"
	"os"
	"strconv"
	"strings"
	"testing"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/invariant"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
)

var (
	target = Target{FirstToken: 530 * time.Millisecond, BetweenTokens: 76 * time.Millisecond}
	drafts = Options{Service: "verse", Target: target, Shape: Shape{PromptTokens: 800, OutputTokens: 200}}
	chats  = Options{Service: "boots", Target: target, Shape: Shape{PromptTokens: 300, OutputTokens: 80}}
)

// office is a demand of working hours, with next to nothing at night.
func office(peak float64) func(time.Time) float64 {
	return func(t time.Time) float64 {
		h := float64(t.Hour()) + float64(t.Minute())/60
		return peak * (0.02 + 0.98*math.Exp(-math.Pow((h-12)/3.2, 4)))
	}
}

// evenings is a demand that peaks in the evening, with bursts of minutes.
func evenings(peak float64) func(time.Time) float64 {
	return func(t time.Time) float64 {
		h := float64(t.Hour()) + float64(t.Minute())/60 + float64(t.Second())/3600
		bump := func(at, width float64) float64 { return math.Exp(-(h - at) * (h - at) / (width * width)) }
		d := peak * (0.15 + 0.6*bump(20, 3) + 0.3*bump(13, 2))
		if int(h*60)%97 < 12 { // a club's practice ends
			d *= 1.25
		}
		return d
	}
}

// weather is a day's rates of faults: three waves a day, or one in each data
// centre every five hours.
var weather = []struct {
	name   string
	storms storms
}{
	{"usual", storms{wavesPerHour: 0.03, doubleWave: 0.1, goneHours: 240, neverReady: 0.03,
		loseAnswer: 0.05, holderHours: 2, pauseHolder: 0.5, storeOutages: 0.1}},
	{"stormy", storms{wavesPerHour: 0.2, doubleWave: 0.1, goneHours: 240, neverReady: 0.03,
		loseAnswer: 0.05, holderHours: 2, pauseHolder: 0.5, storeOutages: 0.1}},
}

func seeds(t testing.TB, def int) int {
	if s := os.Getenv("JUJUBESHED_SEEDS"); s != "" {
		n, err := strconv.Atoi(s)
		if err != nil {
			t.Fatalf("JUJUBESHED_SEEDS=%q: %v", s, err)
		}
		return n
	}
	return def
}

// checkWorld fails on what must never be.
func checkWorld(t interface {
	Errorf(string, ...any)
}, w *world) {
	for _, p := range w.problems {
		t.Errorf("%s", p)
	}
	if o := w.orphans(); len(o) > 0 {
		t.Errorf("hosts without a slot: %v", o)
	}
	for _, v := range []invariant.Name{invariant.NoPurchaseTwice} {
		if n := invariant.Violations(v); n > 0 {
			t.Errorf("invariant %s violated %d times", v, n)
		}
	}
}

// TestStorms runs planners under every fault at once, over drawn rates.
func TestStorms(t *testing.T) {
	defer invariant.SetFatal(invariant.SetFatal(true))
	rapid.Check(t, func(t *rapid.T) {
		rate := func(name string, high float64) float64 { return rapid.Float64Range(0, high).Draw(t, name) }
		s := storms{
			wavesPerHour: rate("waves", 3), doubleWave: rate("double", 1), goneHours: 0.5 + rate("gone", 50),
			neverReady: rate("never ready", 0.5), loseAnswer: rate("lose", 0.7), holderHours: 0.05 + rate("holder", 2),
			pauseHolder: rate("pause", 1), storeOutages: rate("outages", 1),
		}
		w := newWorld(rapid.Uint64().Draw(t, "seed"), drafts, s, evenings(rate("peak", 60)))
		w.run(2 * time.Hour)
		checkWorld(t, w)
	})
}

// TestCalmCoversEverySecond: without reclaims the demand is always met once the
// first hosts are up, also with lost answers, outages of the store and changes
// of the holder; and nothing is released on purpose that the demand needs.
func TestCalmCoversEverySecond(t *testing.T) {
	s := storms{goneHours: math.Inf(1), loseAnswer: 0.3, holderHours: 0.5, pauseHolder: 0.5, storeOutages: 0}
	for seed := range uint64(seeds(t, 2)) {
		w := newWorld(seed, chats, s, office(60))
		w.run(warmUp)
		w.measure()
		w.run(23 * time.Hour)
		checkWorld(t, w)
		if w.below > 0 {
			t.Errorf("seed %d: below the demand for %v", seed, w.below)
		}
	}
}

// dayResult is one policy's day.
type dayResult struct {
	cost, below, short float64
	bought, orphans    int
	writes             int
}

func (r *dayResult) add(w *world) {
	r.cost += w.cost
	r.below += w.below.Minutes()
	r.short += w.short
	r.bought += w.bought
	r.writes += w.writes
}

// warmUp is the time of a first start, which isn't measured.
const warmUp = 30 * time.Minute

// TestDaysAgainstNaive prints cost and minutes below the target of the planner
// and of both naive policies over seeded days.
func TestDaysAgainstNaive(t *testing.T) {
	n := seeds(t, 1)
	var table strings.Builder
	out := tabwriter.NewWriter(&table, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(out, "deployment\tdays\tpolicy\tcost a day\tminutes below a day\trequests above capacity a day\tbought\twrites\thosts bought twice\t")
	for _, d := range []struct {
		name   string
		opts   Options
		demand func(time.Time) float64
	}{{"kallergis", drafts, office(40)}, {"kaptaan", chats, evenings(100)}} {
		for _, sky := range weather {
			var ours, onDemand, cheapest dayResult
			for seed := range uint64(n) {
				day := func(run func(*world, time.Duration)) *world {
					opts := d.opts
					opts.FinalDrains = true // as the controller has it
					w := newWorld(seed, opts, sky.storms, d.demand)
					run(w, warmUp)
					w.measure()
					run(w, 24*time.Hour)
					return w
				}
				w := day((*world).run)
				checkWorld(t, w)
				ours.add(w)
				ours.orphans += len(w.orphans())
				onDemand.add(day(func(w *world, d time.Duration) { w.naive(d, true) }))
				cheapest.add(day(func(w *world, d time.Duration) { w.naive(d, false) }))
			}
			for _, r := range []struct {
				name string
				dayResult
			}{{"planner", ours}, {"all on demand", onDemand}, {"cheapest first", cheapest}} {
				f := float64(n)
				_, _ = fmt.Fprintf(out, "%s\t%s\t%s\t%.1f\t%.2f\t%.0f\t%d\t%d\t%d\t\n", d.name, sky.name, r.name, r.cost/f, r.below/f, r.short/f, r.bought, r.writes, r.orphans)
			}
			if ours.cost >= onDemand.cost {
				t.Errorf("%s: the planner costs %.1f, all on demand %.1f", d.name, ours.cost, onDemand.cost)
			}
			if ours.below > cheapest.below {
				t.Errorf("%s: the planner is below the target for %.1f min, cheapest first for %.1f", d.name, ours.below, cheapest.below)
			}
		}
	}
	_ = out.Flush()
	t.Logf("%d days\n%s", n, table.String())
}

func TestChooseKeepsTargetWithoutOneDataCentre(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var places []place
		have := make(byCentre)
		for i := range rapid.IntRange(2, 6).Draw(t, "centres") {
			dc := ident.DataCentre(fmt.Sprint("dc", i))
			places = append(places, place{Offer{DataCentre: dc}, 3, rapid.Float64Range(0.5, 4).Draw(t, "price")})
			have[dc] = 3 * float64(rapid.IntRange(0, 4).Draw(t, "have"))
		}
		need := rapid.Float64Range(0.01, 100).Draw(t, "need")
		buy := choose(need, have, places)
		after := make(byCentre)
		for dc, v := range have {
			after[dc] = v
		}
		for _, b := range buy {
			after[b.offer.DataCentre] += b.capacity
		}
		if after.spare() < need-1e-6 {
			t.Errorf("need %v: spare %v of %v", need, after.spare(), after)
		}
		for _, b := range buy { // no purchase is idle
			after[b.offer.DataCentre] -= b.capacity
			if after.spare() >= need+1e-6 {
				t.Errorf("need %v is covered without a host in %s: %v", need, b.offer.DataCentre, after)
			}
			after[b.offer.DataCentre] += b.capacity
		}
	})
}

// TestScripts runs testdata/scripts: each script drives one planner.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		var p *Planner
		var sent, stored Plan
		now := func(d *datadriven.TestData) time.Time {
			s := 0
			d.MaybeScanArgs(t, "t", &s)
			return time.Unix(int64(s), 0).UTC()
		}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var n, v int
			var host string
			d.MaybeScanArgs(t, "slot", &n)
			d.MaybeScanArgs(t, "host", &host)
			d.MaybeScanArgs(t, "version", &v)
			var actions []Action
			switch d.Cmd {
			case "new":
				opts := drafts
				d.MaybeScanArgs(t, "min", &opts.MinHosts)
				d.MaybeScanArgs(t, "max", &opts.MaxHosts)
				p = New(opts)
			case "lease":
				var epoch, until int
				d.ScanArgs(t, "epoch", &epoch)
				d.ScanArgs(t, "until", &until)
				p.Lease(ident.Epoch(epoch), time.Unix(int64(until), 0))
			case "loaded":
				p.Loaded(stored, platformapi.Version(v))
			case "saved":
				stored = sent
				actions = p.Saved(now(d), platformapi.Version(v))
			case "save-failed":
				p.SaveFailed()
			case "save-answer-lost":
				stored = sent
				p.SaveFailed()
			case "bought":
				p.Bought(uint64(n), ident.Host(host))
			case "refused":
				p.Refused(now(d), uint64(n))
			case "released":
				p.Released(uint64(n))
			case "observe":
				var demand string
				d.ScanArgs(t, "demand", &demand)
				obs := scriptObservation(t, demand, d.Input)
				obs.Partial = d.HasArg("partial")
				var prompt, output int
				d.MaybeScanArgs(t, "prompt", &prompt)
				d.MaybeScanArgs(t, "output", &output)
				obs.PromptTokens, obs.OutputTokens = float64(prompt), float64(output)
				actions = p.Observe(now(d), obs)
			case "status":
				return scriptStatus(p.Status(now(d)))
			default:
				d.Fatalf(t, "unknown command %s", d.Cmd)
			}
			for _, a := range actions {
				if s, ok := a.(Save); ok {
					sent = s.Plan
				}
			}
			return scriptActions(actions)
		})
	})
}

// scriptObservation reads lines "host dc kind [ready] [leaving] [up] [accepted=N] [loaded=V]";
// "sell dc kind price" replaces the default offers.
func scriptObservation(t *testing.T, demand, input string) Observation {
	rate, err := strconv.ParseFloat(demand, 64)
	if err != nil {
		t.Fatal(err)
	}
	obs := Observation{Demand: rate, Version: "1"}
	for i, dc := range []ident.DataCentre{"a", "b", "c"} {
		price := 1 + 0.1*float64(i)
		obs.Offers = append(obs.Offers, Offer{dc, "gpu", true, price, machine}, Offer{dc, "gpu", false, 3 * price, machine})
	}
	for line := range strings.Lines(input) {
		f := strings.Fields(line)
		h := HostView{Host: ident.Host(f[0]), DataCentre: ident.DataCentre(f[1]), Class: "gpu", Reclaimable: f[2] == "reclaimable", Loaded: "1", Up: true}
		for _, w := range f[3:] {
			name, value, _ := strings.Cut(w, "=")
			switch name {
			case "ready":
				h.Ready = true
			case "leaving":
				h.Leaving = true
			case "accepted":
				h.Accepted, _ = strconv.Atoi(value)
			case "loaded":
				h.Loaded = ident.Version(value)
			}
		}
		obs.Hosts = append(obs.Hosts, h)
	}
	return obs
}

func scriptKind(reclaimable bool) string {
	if reclaimable {
		return "reclaimable"
	}
	return "on-demand"
}

func scriptActions(actions []Action) string {
	var b strings.Builder
	for _, a := range actions {
		switch a := a.(type) {
		case Load:
			b.WriteString("load\n")
		case Save:
			fmt.Fprintf(&b, "save over version %d\n", a.Expect)
			for _, s := range a.Plan.Slots {
				fmt.Fprintf(&b, "  slot %d %s %s %s %s: %s\n", s.ID, s.DataCentre, scriptKind(s.Reclaimable), s.State, s.Host, s.Reason)
			}
		case Buy:
			fmt.Fprintf(&b, "buy %s in %s %s\n", a.Request.Token, a.Request.DataCentre, scriptKind(a.Request.Reclaimable))
		case Release:
			fmt.Fprintf(&b, "release %s: %s\n", a.Host, a.Reason)
		case Order:
			fmt.Fprintf(&b, "order %s: version %s, fence %d\n", a.Host, a.Order.Version, a.Order.Fence)
		}
	}
	return b.String()
}

func scriptStatus(s Status) string {
	var b strings.Builder
	fmt.Fprintf(&b, "holder %v, demand %.1f, need %.1f, keep %.1f, ready %.1f, spare %.1f, coming %.1f\n",
		s.Holder, s.Demand, s.Need, s.Keep, s.Ready, s.Spare, s.Coming)
	for _, x := range s.Pauses {
		fmt.Fprintf(&b, "no %s in %s until %d: %d refusals\n", scriptKind(x.Reclaimable), x.DataCentre, x.Until.Unix(), x.Refusals)
	}
	return b.String()
}
