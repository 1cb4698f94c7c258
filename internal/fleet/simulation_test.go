package fleet

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
)

// stepInterval is the time between two observations.
const stepInterval = 10 * time.Second

// drainPropagation is the time until a drain has reached all nodes.
const drainPropagation = 5 * time.Second

var testPerformance = Performance{PrefillPerSec: 8000, DecodePerSec: 50, BatchSlowdown: 0.02, MaxRunning: 16}

// faultRates are the rates and probabilities of simulated faults.
type faultRates struct {
	wavesPerHour float64 // reclaim waves in each data centre
	secondWave   float64 // probability that a wave hits a second data centre
	lossHours    float64 // mean hours until a host disappears without notice
	neverReady   float64 // probability that a host never becomes ready
	loseResponse float64 // probability that the response to a purchase, release or save is lost after it took effect
	holderHours  float64 // mean hours until the lease's holder changes
	lateActions  float64 // probability that the old holder's last actions arrive late
	storeOutages float64 // per hour
}

// fakeHost is a host of the fake cloud.
type fakeHost struct {
	view          HostView
	boughtAt      time.Time
	bytesToLoad   float64
	failsToStart  bool
	reclaimedAt   time.Time // zero: not reclaimed
	drainingSince time.Time // zero: accepts new requests
}

// simulation simulates cloud, store and nodes for planners or a naive policy.
type simulation struct {
	opts       Options
	faultRates faultRates
	offers     []Offer
	rng        *rand.Rand
	now        time.Time
	demand     func(time.Time) float64

	hosts          map[ident.Host]*fakeHost
	hostsByToken   map[string]ident.Host
	refusedUntil   map[offerKind]time.Time
	storeDownUntil time.Time
	storedPlan     []byte
	storedVersion  platformapi.Version
	holder         *Planner
	epoch          ident.Epoch
	delayedActions []Action // of an earlier holder, to be executed late

	cost        float64
	belowDemand time.Duration // time with less capacity than demand
	unserved    float64       // requests above capacity
	bought      int
	writes      int
	problems    []string
}

func newSimulation(seed uint64, opts Options, faults faultRates, demand func(time.Time) float64) *simulation {
	sim := &simulation{
		opts: opts.withDefaults(), faultRates: faults, rng: rand.New(rand.NewPCG(seed, 1)), demand: demand,
		now:          time.Date(2026, 3, 2, 0, 0, 0, 0, time.UTC),
		hosts:        make(map[ident.Host]*fakeHost),
		hostsByToken: make(map[string]ident.Host),
		refusedUntil: make(map[offerKind]time.Time),
	}
	for i, dc := range []ident.DataCentre{"evosmos", "kalamaria", "pylaia", "thermi"} {
		sim.offers = append(sim.offers,
			Offer{dc, "gpu", true, 0.9 + 0.12*float64(i), testPerformance},
			Offer{dc, "gpu", false, 3.0 + 0.1*float64(i), testPerformance})
	}
	return sim
}

func (sim *simulation) chance(p float64) bool { return sim.rng.Float64() < p }

// stepProbability returns the probability within one step of an event with an hourly rate.
func stepProbability(perHour float64) float64 { return perHour * stepInterval.Hours() }

// advance advances the cloud by one step and adds up cost and unserved demand.
func (sim *simulation) advance() {
	sim.now = sim.now.Add(stepInterval)
	for _, dc := range []ident.DataCentre{"evosmos", "kalamaria", "pylaia", "thermi"} {
		if sim.chance(stepProbability(sim.faultRates.wavesPerHour)) {
			sim.reclaimWave(dc)
			if sim.chance(sim.faultRates.secondWave) {
				sim.reclaimWave(sim.offers[2*sim.rng.IntN(4)].DataCentre)
			}
		}
	}
	if sim.chance(stepProbability(sim.faultRates.storeOutages)) {
		sim.storeDownUntil = sim.now.Add(time.Duration(sim.rng.IntN(30)) * time.Minute)
	}
	capacity, loading := 0.0, 0
	for _, name := range sim.hostNames() {
		h := sim.hosts[name]
		if !h.reclaimedAt.IsZero() && !sim.now.Before(h.reclaimedAt) || sim.chance(stepProbability(1/sim.faultRates.lossHours)) {
			delete(sim.hosts, name)
			continue
		}
		if h.bytesToLoad > 0 && sim.now.Sub(h.boughtAt) >= sim.opts.StartTime && !h.failsToStart {
			loading++
		}
		sim.updateAccepted(h)
	}
	for _, name := range sim.hostNames() {
		h := sim.hosts[name]
		if h.bytesToLoad > 0 && sim.now.Sub(h.boughtAt) >= sim.opts.StartTime && !h.failsToStart {
			h.bytesToLoad -= sim.opts.WeightBytesPerSec * stepInterval.Seconds() / float64(loading)
			h.view.Reachable, h.view.Ready = true, h.bytesToLoad <= 0
		}
		if h.view.Ready {
			capacity += testPerformance.RequestsPerSec(sim.opts.Target, sim.opts.RequestSize)
		}
		sim.cost += sim.priceOf(h.view) * stepInterval.Hours()
	}
	if d := sim.demand(sim.now); d > capacity {
		sim.belowDemand += stepInterval
		sim.unserved += (d - capacity) * stepInterval.Seconds()
	}
}

// updateAccepted changes the host's number of accepted requests; new ones arrive unless
// all nodes know that the host is draining.
func (sim *simulation) updateAccepted(h *fakeHost) {
	switch {
	case !h.view.Ready:
		h.view.Accepted = 0
	case h.drainingSince.IsZero() || sim.now.Sub(h.drainingSince) <= drainPropagation:
		h.view.Accepted = 1 + sim.rng.IntN(16)
	default:
		h.view.Accepted = max(0, h.view.Accepted-sim.rng.IntN(4))
	}
}

func (sim *simulation) reclaimWave(dc ident.DataCentre) {
	notice := time.Duration(30+sim.rng.IntN(90)) * time.Second
	sim.refusedUntil[offerKind{dc, "gpu", true}] = sim.now.Add(time.Duration(5+sim.rng.IntN(25)) * time.Minute)
	for _, name := range sim.hostNames() {
		if h := sim.hosts[name]; h.view.DataCentre == dc && h.view.Reclaimable && h.reclaimedAt.IsZero() {
			h.reclaimedAt, h.view.Leaving = sim.now.Add(notice), true
		}
	}
}

func (sim *simulation) hostNames() []ident.Host { return slices.Sorted(maps.Keys(sim.hosts)) }

func (sim *simulation) priceOf(h HostView) float64 {
	i := slices.IndexFunc(sim.offers, func(o Offer) bool { return o.kind() == offerKind{h.DataCentre, h.Class, h.Reclaimable} })
	return sim.offers[i].PricePerHour
}

// buy returns the host bought with a token, or "" if the purchase is refused.
func (sim *simulation) buy(token string, k offerKind) ident.Host {
	if h, ok := sim.hostsByToken[token]; ok {
		return h
	}
	if sim.now.Before(sim.refusedUntil[k]) {
		return ""
	}
	sim.bought++
	name := ident.Host(fmt.Sprintf("host-%04d", sim.bought))
	sim.hostsByToken[token] = name
	sim.hosts[name] = &fakeHost{
		view:     HostView{Host: name, DataCentre: k.DataCentre, Class: k.Class, Reclaimable: k.Reclaimable},
		boughtAt: sim.now, bytesToLoad: sim.opts.LoadBytes, failsToStart: sim.chance(sim.faultRates.neverReady),
	}
	return name
}

func (sim *simulation) observe() Observation {
	obs := Observation{Demand: sim.demand(sim.now), Offers: sim.offers, Version: "1"}
	for _, name := range sim.hostNames() {
		obs.Hosts = append(obs.Hosts, sim.hosts[name].view)
	}
	return obs
}

// runHolder runs one step of the lease's holder and executes its actions.
func (sim *simulation) runHolder() {
	if sim.holder == nil || sim.chance(stepProbability(1/sim.faultRates.holderHours)) {
		if sim.holder != nil && sim.chance(sim.faultRates.lateActions) {
			sim.delayedActions = sim.holder.Observe(sim.now, sim.observe()) // executed below, after the new holder acted
		}
		sim.epoch++
		sim.holder = New(sim.opts)
	}
	if sim.now.After(sim.storeDownUntil) {
		sim.holder.SetLease(sim.epoch, sim.now.Add(2*stepInterval))
	}
	sim.execute(sim.holder, sim.holder.Observe(sim.now, sim.observe()))
	if len(sim.delayedActions) > 0 && sim.chance(0.1) {
		sim.execute(New(sim.opts), sim.delayedActions)
		sim.delayedActions = nil
	}
}

func (sim *simulation) execute(p *Planner, actions []Action) {
	for len(actions) > 0 {
		a := actions[0]
		actions = actions[1:]
		responseLost := sim.chance(sim.faultRates.loseResponse)
		switch a := a.(type) {
		case Load:
			sim.load(p)
		case Save:
			actions = append(actions, sim.save(p, a, responseLost)...)
		case Buy:
			host := sim.buy(a.Request.Token, offerKind{a.Request.DataCentre, a.Request.Class, a.Request.Reclaimable})
			switch {
			case responseLost:
			case host == "":
				p.Refused(sim.now, a.Slot)
			default:
				p.Bought(a.Slot, host)
			}
		case Release:
			sim.release(a.Host)
			if !responseLost {
				p.Released(a.Slot)
			}
		case Order:
			if h := sim.hosts[a.Host]; h != nil { // a late order may arrive after its host is gone
				h.view.LoadedVersion = a.Order.Version
			}
		}
	}
}

func (sim *simulation) load(p *Planner) {
	if sim.now.Before(sim.storeDownUntil) {
		return
	}
	var plan Plan
	if sim.storedVersion > 0 {
		if err := json.Unmarshal(sim.storedPlan, &plan); err != nil {
			panic(err)
		}
	}
	p.Loaded(plan, sim.storedVersion)
}

func (sim *simulation) save(p *Planner, s Save, responseLost bool) []Action {
	if sim.now.Before(sim.storeDownUntil) || s.Expect != sim.storedVersion {
		p.SaveFailed()
		return nil
	}
	b, err := json.Marshal(s.Plan)
	if err != nil {
		panic(err)
	}
	sim.storedPlan, sim.storedVersion = b, sim.storedVersion+1
	sim.writes++
	sim.propagateDrains(s.Plan)
	if responseLost {
		p.SaveFailed()
		return nil
	}
	return p.Saved(sim.now, sim.storedVersion)
}

// propagateDrains informs the nodes of the drains in a saved plan.
func (sim *simulation) propagateDrains(plan Plan) {
	drained := false
	for _, s := range plan.Slots {
		h := sim.hosts[s.Host]
		drained = drained || h != nil && h.drainingSince.IsZero() && s.State == SlotDraining && s.Served && h.view.Ready
		switch {
		case h == nil:
		case s.State != SlotDraining:
			h.drainingSince = time.Time{}
		case h.drainingSince.IsZero():
			h.drainingSince = sim.now
		}
	}
	if spare := sim.readyCapacity().withoutLargest(); drained && spare < sim.demand(sim.now) {
		sim.problems = append(sim.problems, fmt.Sprintf("%v: drains leave %.2f requests/s without the largest data centre, demand is %.2f", sim.now, spare, sim.demand(sim.now)))
	}
}

// readyCapacity returns the capacity of hosts that serve and accept new requests.
func (sim *simulation) readyCapacity() capacityByDataCentre {
	out := make(capacityByDataCentre)
	for _, h := range sim.hosts {
		if h.view.Ready && !h.view.Leaving && h.drainingSince.IsZero() {
			out[h.view.DataCentre] += testPerformance.RequestsPerSec(sim.opts.Target, sim.opts.RequestSize)
		}
	}
	return out
}

func (sim *simulation) release(name ident.Host) {
	if h := sim.hosts[name]; h != nil {
		if h.view.Accepted > 0 {
			sim.problems = append(sim.problems, fmt.Sprintf("%v: released %s with %d accepted requests", sim.now, name, h.view.Accepted))
		}
		delete(sim.hosts, name)
	}
}

// orphans returns the running hosts that have no slot in the stored plan.
func (sim *simulation) orphans() []ident.Host {
	var plan Plan
	_ = json.Unmarshal(sim.storedPlan, &plan)
	planned := make(map[string]bool)
	for _, s := range plan.Slots {
		planned[plan.buyRequest(s).Token] = true
	}
	var out []ident.Host
	for token, h := range sim.hostsByToken {
		if sim.hosts[h] != nil && !planned[token] && !sim.hosts[h].view.Leaving {
			out = append(out, h)
		}
	}
	return out
}

// resetMeasurements discards the cost and shortfall measured so far.
func (sim *simulation) resetMeasurements() { sim.cost, sim.belowDemand, sim.unserved = 0, 0, 0 }

// run simulates the planner for a duration.
func (sim *simulation) run(d time.Duration) {
	for end := sim.now.Add(d); sim.now.Before(end); {
		sim.advance()
		sim.runHolder()
	}
}

// runNaive simulates a policy that buys the forecast need without reserve for the loss
// of a data centre: on-demand hosts in each data centre in turn, or the cheapest
// reclaimable hosts that are not refused. No responses are lost.
func (sim *simulation) runNaive(d time.Duration, onDemand bool) {
	f := forecast{trendWindow: sim.opts.TrendWindow, peakWindow: sim.opts.PeakWindow, margin: sim.opts.Margin}
	unit := testPerformance.RequestsPerSec(sim.opts.Target, sim.opts.RequestSize)
	offers := slices.DeleteFunc(slices.Clone(sim.offers), func(o Offer) bool { return o.Reclaimable == onDemand })
	for end := sim.now.Add(d); sim.now.Before(end); {
		sim.advance()
		f.observe(sim.now, sim.demand(sim.now))
		need := int(math.Ceil(f.need(sim.now, sim.opts.leadTime(sim.opts.maxStarting())) / unit))
		keep := max(need, int(math.Ceil(f.peak(sim.now)/unit)))
		var live []ident.Host
		for _, n := range sim.hostNames() {
			h := sim.hosts[n]
			if h.failsToStart && sim.now.Sub(h.boughtAt) > sim.opts.ReadyTimeout {
				delete(sim.hosts, n)
			} else if h.reclaimedAt.IsZero() {
				live = append(live, n)
			}
		}
		for i := len(live); i < need; i++ {
			for j := range offers {
				o := offers[j]
				if onDemand {
					o = offers[(sim.bought+j)%len(offers)]
				}
				if sim.buy(fmt.Sprint(sim.bought), o.kind()) != "" {
					break
				}
			}
		}
		for i := len(live); i > keep; i-- {
			delete(sim.hosts, live[i-1])
		}
	}
}
