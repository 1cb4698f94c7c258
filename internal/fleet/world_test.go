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

// step is the time between two observations.
const step = 10 * time.Second

// spreadDelay is how long the nodes take to hear of a drain.
const spreadDelay = 5 * time.Second

var machine = Machine{PrefillPerSec: 8000, DecodePerSec: 50, BatchSlowdown: 0.02, MaxRunning: 16}

// storms are the rates of what goes wrong.
type storms struct {
	wavesPerHour float64 // of each data centre
	doubleWave   float64 // probability that a wave takes a second data centre
	goneHours    float64 // mean hours of a host to an unannounced end
	neverReady   float64
	loseAnswer   float64 // of a purchase, release or save, after its effect
	holderHours  float64 // mean hours to a change of the lease's holder
	pauseHolder  float64 // probability that the old holder's last actions come late
	storeOutages float64 // an hour
}

// fakeHost is a host of the fake cloud.
type fakeHost struct {
	view     HostView
	born     time.Time
	toLoad   float64 // bytes
	broken   bool
	deadline time.Time // zero: not reclaimed
	drained  time.Time // zero: takes work
}

// world is a fake of cloud, store and nodes around planners or a naive policy.
type world struct {
	opts   Options
	storms storms
	offers []Offer
	rng    *rand.Rand
	now    time.Time
	demand func(time.Time) float64

	hosts   map[ident.Host]*fakeHost
	tokens  map[string]ident.Host
	refuse  map[offerKind]time.Time
	outage  time.Time
	stored  []byte
	version platformapi.Version
	holder  *Planner
	epoch   ident.Epoch
	late    []Action // of an earlier holder

	cost     float64
	below    time.Duration // time with less capacity than demand
	short    float64       // requests above capacity
	bought   int
	writes   int
	problems []string
}

func newWorld(seed uint64, opts Options, s storms, demand func(time.Time) float64) *world {
	w := &world{
		opts: opts.withDefaults(), storms: s, rng: rand.New(rand.NewPCG(seed, 1)), demand: demand,
		now:    time.Date(2026, 3, 2, 0, 0, 0, 0, time.UTC),
		hosts:  make(map[ident.Host]*fakeHost),
		tokens: make(map[string]ident.Host),
		refuse: make(map[offerKind]time.Time),
	}
	for i, dc := range []ident.DataCentre{"evosmos", "kalamaria", "pylaia", "thermi"} {
		w.offers = append(w.offers,
			Offer{dc, "gpu", true, 0.9 + 0.12*float64(i), machine},
			Offer{dc, "gpu", false, 3.0 + 0.1*float64(i), machine})
	}
	return w
}

func (w *world) chance(p float64) bool { return w.rng.Float64() < p }

// within returns the probability of an event of that rate an hour in one step.
func within(perHour float64) float64 { return perHour * step.Hours() }

// advance moves the fake cloud by one step and accounts for it.
func (w *world) advance() {
	w.now = w.now.Add(step)
	for _, dc := range []ident.DataCentre{"evosmos", "kalamaria", "pylaia", "thermi"} {
		if w.chance(within(w.storms.wavesPerHour)) {
			w.wave(dc)
			if w.chance(w.storms.doubleWave) {
				w.wave(w.offers[2*w.rng.IntN(4)].DataCentre)
			}
		}
	}
	if w.chance(within(w.storms.storeOutages)) {
		w.outage = w.now.Add(time.Duration(w.rng.IntN(30)) * time.Minute)
	}
	capacity, loading := 0.0, 0
	for _, name := range w.names() {
		h := w.hosts[name]
		if !h.deadline.IsZero() && !w.now.Before(h.deadline) || w.chance(within(1/w.storms.goneHours)) {
			delete(w.hosts, name)
			continue
		}
		if h.toLoad > 0 && w.now.Sub(h.born) >= w.opts.StartTime && !h.broken {
			loading++
		}
		w.work(h)
	}
	for _, name := range w.names() {
		h := w.hosts[name]
		if h.toLoad > 0 && w.now.Sub(h.born) >= w.opts.StartTime && !h.broken {
			h.toLoad -= w.opts.WeightBytesPerSec * step.Seconds() / float64(loading)
			h.view.Up, h.view.Ready = true, h.toLoad <= 0
		}
		if h.view.Ready {
			capacity += machine.RequestsPerSec(w.opts.Target, w.opts.Shape)
		}
		w.cost += w.priceOf(h.view) * step.Hours()
	}
	if d := w.demand(w.now); d > capacity {
		w.below += step
		w.short += (d - capacity) * step.Seconds()
	}
}

// work gives a host accepted requests, unless the nodes know that it drains.
func (w *world) work(h *fakeHost) {
	switch {
	case !h.view.Ready:
		h.view.Accepted = 0
	case h.drained.IsZero() || w.now.Sub(h.drained) <= spreadDelay:
		h.view.Accepted = 1 + w.rng.IntN(16)
	default:
		h.view.Accepted = max(0, h.view.Accepted-w.rng.IntN(4))
	}
}

func (w *world) wave(dc ident.DataCentre) {
	notice := time.Duration(30+w.rng.IntN(90)) * time.Second
	w.refuse[offerKind{dc, "gpu", true}] = w.now.Add(time.Duration(5+w.rng.IntN(25)) * time.Minute)
	for _, name := range w.names() {
		if h := w.hosts[name]; h.view.DataCentre == dc && h.view.Reclaimable && h.deadline.IsZero() {
			h.deadline, h.view.Leaving = w.now.Add(notice), true
		}
	}
}

func (w *world) names() []ident.Host { return slices.Sorted(maps.Keys(w.hosts)) }

func (w *world) priceOf(h HostView) float64 {
	i := slices.IndexFunc(w.offers, func(o Offer) bool { return o.kind() == offerKind{h.DataCentre, h.Class, h.Reclaimable} })
	return w.offers[i].PricePerHour
}

// buy returns the host of a token, or "" where the start is refused.
func (w *world) buy(token string, k offerKind) ident.Host {
	if h, ok := w.tokens[token]; ok {
		return h
	}
	if w.now.Before(w.refuse[k]) {
		return ""
	}
	w.bought++
	name := ident.Host(fmt.Sprintf("host-%04d", w.bought))
	w.tokens[token] = name
	w.hosts[name] = &fakeHost{
		view: HostView{Host: name, DataCentre: k.DataCentre, Class: k.Class, Reclaimable: k.Reclaimable},
		born: w.now, toLoad: w.opts.LoadBytes, broken: w.chance(w.storms.neverReady),
	}
	return name
}

func (w *world) observe() Observation {
	obs := Observation{Demand: w.demand(w.now), Offers: w.offers, Version: "1"}
	for _, name := range w.names() {
		obs.Hosts = append(obs.Hosts, w.hosts[name].view)
	}
	return obs
}

// turn lets the lease's holder decide and executes what it asks for.
func (w *world) turn() {
	if w.holder == nil || w.chance(within(1/w.storms.holderHours)) {
		if w.holder != nil && w.chance(w.storms.pauseHolder) {
			w.late = w.holder.Observe(w.now, w.observe()) // sent below, after others acted
		}
		w.epoch++
		w.holder = New(w.opts)
	}
	if w.now.After(w.outage) {
		w.holder.Lease(w.epoch, w.now.Add(2*step))
	}
	w.execute(w.holder, w.holder.Observe(w.now, w.observe()))
	if len(w.late) > 0 && w.chance(0.1) {
		w.execute(New(w.opts), w.late)
		w.late = nil
	}
}

func (w *world) execute(p *Planner, actions []Action) {
	for len(actions) > 0 {
		a := actions[0]
		actions = actions[1:]
		lost := w.chance(w.storms.loseAnswer)
		switch a := a.(type) {
		case Load:
			w.load(p)
		case Save:
			actions = append(actions, w.save(p, a, lost)...)
		case Buy:
			host := w.buy(a.Request.Token, offerKind{a.Request.DataCentre, a.Request.Class, a.Request.Reclaimable})
			switch {
			case lost:
			case host == "":
				p.Refused(w.now, a.Slot)
			default:
				p.Bought(a.Slot, host)
			}
		case Release:
			w.release(a.Host)
			if !lost {
				p.Released(a.Slot)
			}
		case Order:
			if h := w.hosts[a.Host]; h != nil { // a late order to a host that is gone reaches nobody
				h.view.Loaded = a.Order.Version
			}
		}
	}
}

func (w *world) load(p *Planner) {
	if w.now.Before(w.outage) {
		return
	}
	var plan Plan
	if w.version > 0 {
		if err := json.Unmarshal(w.stored, &plan); err != nil {
			panic(err)
		}
	}
	p.Loaded(plan, w.version)
}

func (w *world) save(p *Planner, s Save, lost bool) []Action {
	if w.now.Before(w.outage) || s.Expect != w.version {
		p.SaveFailed()
		return nil
	}
	b, err := json.Marshal(s.Plan)
	if err != nil {
		panic(err)
	}
	w.stored, w.version = b, w.version+1
	w.writes++
	w.spread(s.Plan)
	if lost {
		p.SaveFailed()
		return nil
	}
	return p.Saved(w.now, w.version)
}

// spread tells the nodes of the drains.
func (w *world) spread(plan Plan) {
	needed := false
	for _, s := range plan.Slots {
		h := w.hosts[s.Host]
		needed = needed || h != nil && h.drained.IsZero() && s.State == SlotDraining && s.Served && h.view.Ready
		switch {
		case h == nil:
		case s.State != SlotDraining:
			h.drained = time.Time{}
		case h.drained.IsZero():
			h.drained = w.now
		}
	}
	if spare := w.ready().spare(); needed && spare < w.demand(w.now) {
		w.problems = append(w.problems, fmt.Sprintf("%v: drains leave %.2f requests/s without one data centre, demand is %.2f", w.now, spare, w.demand(w.now)))
	}
}

// ready returns the capacity that serves and takes new work.
func (w *world) ready() byCentre {
	out := make(byCentre)
	for _, h := range w.hosts {
		if h.view.Ready && !h.view.Leaving && h.drained.IsZero() {
			out[h.view.DataCentre] += machine.RequestsPerSec(w.opts.Target, w.opts.Shape)
		}
	}
	return out
}

func (w *world) release(name ident.Host) {
	if h := w.hosts[name]; h != nil {
		if h.view.Accepted > 0 {
			w.problems = append(w.problems, fmt.Sprintf("%v: released %s with %d accepted requests", w.now, name, h.view.Accepted))
		}
		delete(w.hosts, name)
	}
}

// orphans returns the hosts that no slot of the stored plan holds.
func (w *world) orphans() []ident.Host {
	var plan Plan
	_ = json.Unmarshal(w.stored, &plan)
	held := make(map[string]bool)
	for _, s := range plan.Slots {
		held[plan.request(s).Token] = true
	}
	var out []ident.Host
	for token, h := range w.tokens {
		if w.hosts[h] != nil && !held[token] && !w.hosts[h].view.Leaving {
			out = append(out, h)
		}
	}
	return out
}

// measure forgets the costs and shortfalls of the start.
func (w *world) measure() { w.cost, w.below, w.short = 0, 0, 0 }

// run lets the planner run a time.
func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.advance()
		w.turn()
	}
}

// naive buys what the forecast needs, without a spare data centre: on demand in
// turn, or the cheapest reclaimable that isn't refused. Its cloud and store
// never lose an answer.
func (w *world) naive(d time.Duration, onDemand bool) {
	f := forecast{trend: w.opts.Trend, hold: w.opts.Hold, margin: w.opts.Margin}
	unit := machine.RequestsPerSec(w.opts.Target, w.opts.Shape)
	offers := slices.DeleteFunc(slices.Clone(w.offers), func(o Offer) bool { return o.Reclaimable == onDemand })
	for end := w.now.Add(d); w.now.Before(end); {
		w.advance()
		f.observe(w.now, w.demand(w.now))
		need := int(math.Ceil(f.need(w.now, w.opts.lead(w.opts.maxStarting())) / unit))
		keep := max(need, int(math.Ceil(f.peak(w.now)/unit)))
		var live []ident.Host
		for _, n := range w.names() {
			h := w.hosts[n]
			if h.broken && w.now.Sub(h.born) > w.opts.ReadyTimeout {
				delete(w.hosts, n)
			} else if h.deadline.IsZero() {
				live = append(live, n)
			}
		}
		for i := len(live); i < need; i++ {
			for j := range offers {
				o := offers[j]
				if onDemand {
					o = offers[(w.bought+j)%len(offers)]
				}
				if w.buy(fmt.Sprint(w.bought), o.kind()) != "" {
					break
				}
			}
		}
		for i := len(live); i > keep; i-- {
			delete(w.hosts, live[i-1])
		}
	}
}
