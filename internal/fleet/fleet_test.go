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
	testTarget    = Target{FirstToken: 530 * time.Millisecond, BetweenTokens: 76 * time.Millisecond}
	longRequests  = Options{Service: "verse", Target: testTarget, RequestSize: RequestSize{PromptTokens: 800, OutputTokens: 200}}
	shortRequests = Options{Service: "boots", Target: testTarget, RequestSize: RequestSize{PromptTokens: 300, OutputTokens: 80}}
)

// officeHours returns a demand that peaks during working hours and is near zero at night.
func officeHours(peak float64) func(time.Time) float64 {
	return func(t time.Time) float64 {
		h := float64(t.Hour()) + float64(t.Minute())/60
		return peak * (0.02 + 0.98*math.Exp(-math.Pow((h-12)/3.2, 4)))
	}
}

// eveningPeak returns a demand that peaks in the evening, with bursts that last minutes.
func eveningPeak(peak float64) func(time.Time) float64 {
	return func(t time.Time) float64 {
		h := float64(t.Hour()) + float64(t.Minute())/60 + float64(t.Second())/3600
		bump := func(at, width float64) float64 { return math.Exp(-(h - at) * (h - at) / (width * width)) }
		d := peak * (0.15 + 0.6*bump(20, 3) + 0.3*bump(13, 2))
		if int(h*60)%97 < 12 { // burst
			d *= 1.25
		}
		return d
	}
}

// faultScenarios are the fault rates of the simulated days. Over all data centres,
// "usual" has about three reclaim waves a day; "frequent waves" has one wave every five hours in
// each data centre.
var faultScenarios = []struct {
	name  string
	rates faultRates
}{
	{"usual", faultRates{wavesPerHour: 0.03, secondWave: 0.1, lossHours: 240, neverReady: 0.03,
		loseResponse: 0.05, holderHours: 2, lateActions: 0.5, storeOutages: 0.1}},
	{"frequent waves", faultRates{wavesPerHour: 0.2, secondWave: 0.1, lossHours: 240, neverReady: 0.03,
		loseResponse: 0.05, holderHours: 2, lateActions: 0.5, storeOutages: 0.1}},
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

// checkSimulation fails the test on any problem that the simulation found.
func checkSimulation(t interface {
	Errorf(string, ...any)
}, sim *simulation) {
	for _, p := range sim.problems {
		t.Errorf("%s", p)
	}
	if o := sim.orphans(); len(o) > 0 {
		t.Errorf("hosts without a slot: %v", o)
	}
	for _, v := range []invariant.Name{invariant.NoPurchaseTwice} {
		if n := invariant.Violations(v); n > 0 {
			t.Errorf("invariant %s violated %d times", v, n)
		}
	}
}

// TestRandomFaults runs planners under all kinds of faults at once, at random rates.
func TestRandomFaults(t *testing.T) {
	defer invariant.SetFatal(invariant.SetFatal(true))
	rapid.Check(t, func(t *rapid.T) {
		rate := func(name string, high float64) float64 { return rapid.Float64Range(0, high).Draw(t, name) }
		rates := faultRates{
			wavesPerHour: rate("waves", 3), secondWave: rate("second wave", 1), lossHours: 0.5 + rate("loss hours", 50),
			neverReady: rate("never ready", 0.5), loseResponse: rate("lose response", 0.7), holderHours: 0.05 + rate("holder", 2),
			lateActions: rate("late actions", 1), storeOutages: rate("outages", 1),
		}
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"), longRequests, rates, eveningPeak(rate("peak", 60)))
		sim.run(2 * time.Hour)
		checkSimulation(t, sim)
	})
}

// TestDemandIsMetWithoutReclaims checks that without reclaims the demand is met at all
// times once the first hosts serve, also with lost responses and changes of the lease's
// holder, and that no host is released that the demand needs.
func TestDemandIsMetWithoutReclaims(t *testing.T) {
	rates := faultRates{lossHours: math.Inf(1), loseResponse: 0.3, holderHours: 0.5, lateActions: 0.5, storeOutages: 0}
	for seed := range uint64(seeds(t, 2)) {
		sim := newSimulation(seed, shortRequests, rates, officeHours(60))
		sim.run(warmUp)
		sim.resetMeasurements()
		sim.run(23 * time.Hour)
		checkSimulation(t, sim)
		if sim.belowDemand > 0 {
			t.Errorf("seed %d: below the demand for %v", seed, sim.belowDemand)
		}
	}
}

// policyResult is the sum of a policy's simulated days.
type policyResult struct {
	cost, belowDemand, unserved float64
	bought, orphans             int
	writes                      int
}

func (r *policyResult) add(sim *simulation) {
	r.cost += sim.cost
	r.belowDemand += sim.belowDemand.Minutes()
	r.unserved += sim.unserved
	r.bought += sim.bought
	r.writes += sim.writes
}

// warmUp is the time of the first start, which is excluded from the measurements.
const warmUp = 30 * time.Minute

// TestCostAgainstNaivePolicies compares cost and time below the demand of the planner
// with those of two naive policies over seeded days, and prints them.
func TestCostAgainstNaivePolicies(t *testing.T) {
	n := seeds(t, 1)
	var table strings.Builder
	out := tabwriter.NewWriter(&table, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(out, "deployment\tdays\tpolicy\tcost a day\tminutes below a day\trequests above capacity a day\tbought\twrites\thosts bought twice\t")
	for _, d := range []struct {
		name   string
		opts   Options
		demand func(time.Time) float64
	}{{"kallergis", longRequests, officeHours(40)}, {"kaptaan", shortRequests, eveningPeak(100)}} {
		for _, scenario := range faultScenarios {
			var planner, onDemand, cheapestFirst policyResult
			for seed := range uint64(n) {
				day := func(run func(*simulation, time.Duration)) *simulation {
					opts := d.opts
					opts.IrreversibleDrains = true // as in package controller
					sim := newSimulation(seed, opts, scenario.rates, d.demand)
					run(sim, warmUp)
					sim.resetMeasurements()
					run(sim, 24*time.Hour)
					return sim
				}
				sim := day((*simulation).run)
				checkSimulation(t, sim)
				planner.add(sim)
				planner.orphans += len(sim.orphans())
				onDemand.add(day(func(sim *simulation, d time.Duration) { sim.runNaive(d, true) }))
				cheapestFirst.add(day(func(sim *simulation, d time.Duration) { sim.runNaive(d, false) }))
			}
			for _, r := range []struct {
				name string
				policyResult
			}{{"planner", planner}, {"all on demand", onDemand}, {"cheapest first", cheapestFirst}} {
				f := float64(n)
				_, _ = fmt.Fprintf(out, "%s\t%s\t%s\t%.1f\t%.2f\t%.0f\t%d\t%d\t%d\t\n", d.name, scenario.name, r.name, r.cost/f, r.belowDemand/f, r.unserved/f, r.bought, r.writes, r.orphans)
			}
			if planner.cost >= onDemand.cost {
				t.Errorf("%s: the planner costs %.1f, all on demand %.1f", d.name, planner.cost, onDemand.cost)
			}
			if planner.belowDemand > cheapestFirst.belowDemand {
				t.Errorf("%s: the planner is below the demand for %.1f min, cheapest first for %.1f", d.name, planner.belowDemand, cheapestFirst.belowDemand)
			}
		}
	}
	_ = out.Flush()
	t.Logf("%d days\n%s", n, table.String())
}

func TestPurchasesCoverLossOfOneDataCentre(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var candidates []candidate
		have := make(capacityByDataCentre)
		for i := range rapid.IntRange(2, 6).Draw(t, "data centres") {
			dc := ident.DataCentre(fmt.Sprint("dc", i))
			candidates = append(candidates, candidate{Offer{DataCentre: dc}, 3, rapid.Float64Range(0.5, 4).Draw(t, "price")})
			have[dc] = 3 * float64(rapid.IntRange(0, 4).Draw(t, "have"))
		}
		need := rapid.Float64Range(0.01, 100).Draw(t, "need")
		purchases := choosePurchases(need, have, candidates)
		after := make(capacityByDataCentre)
		for dc, v := range have {
			after[dc] = v
		}
		for _, b := range purchases {
			after[b.offer.DataCentre] += b.capacity
		}
		if after.withoutLargest() < need-1e-6 {
			t.Errorf("need %v: capacity without the largest data centre is %v of %v", need, after.withoutLargest(), after)
		}
		for _, b := range purchases { // every purchase is needed
			after[b.offer.DataCentre] -= b.capacity
			if after.withoutLargest() >= need+1e-6 {
				t.Errorf("need %v is covered without one of the hosts bought in %s: %v", need, b.offer.DataCentre, after)
			}
			after[b.offer.DataCentre] += b.capacity
		}
	})
}

// TestScripts runs the scripts in testdata/scripts. Each command calls a method of the
// script's planner and prints the actions that it returns.
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
				opts := longRequests
				d.MaybeScanArgs(t, "min", &opts.MinHosts)
				d.MaybeScanArgs(t, "max", &opts.MaxHosts)
				p = New(opts)
			case "lease":
				var epoch, until int
				d.ScanArgs(t, "epoch", &epoch)
				d.ScanArgs(t, "until", &until)
				p.SetLease(ident.Epoch(epoch), time.Unix(int64(until), 0))
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

// scriptObservation parses one host per line:
// "host dc kind [ready] [leaving] [accepted=N] [loaded=V]".
func scriptObservation(t *testing.T, demand, input string) Observation {
	rate, err := strconv.ParseFloat(demand, 64)
	if err != nil {
		t.Fatal(err)
	}
	obs := Observation{Demand: rate, Version: "1"}
	for i, dc := range []ident.DataCentre{"a", "b", "c"} {
		price := 1 + 0.1*float64(i)
		obs.Offers = append(obs.Offers, Offer{dc, "gpu", true, price, testPerformance}, Offer{dc, "gpu", false, 3 * price, testPerformance})
	}
	for line := range strings.Lines(input) {
		f := strings.Fields(line)
		h := HostView{Host: ident.Host(f[0]), DataCentre: ident.DataCentre(f[1]), Class: "gpu", Reclaimable: f[2] == "reclaimable", LoadedVersion: "1", Reachable: true}
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
				h.LoadedVersion = ident.Version(value)
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
	fmt.Fprintf(&b, "holder %v, demand %.1f, need %.1f, keep %.1f, ready %.1f, spare %.1f, starting %.1f\n",
		s.Holder, s.Demand, s.Need, s.Keep, s.Ready, s.Spare, s.Starting)
	for _, x := range s.Backoffs {
		fmt.Fprintf(&b, "no %s in %s until %d: %d refusals\n", scriptKind(x.Reclaimable), x.DataCentre, x.Until.Unix(), x.Refusals)
	}
	return b.String()
}
