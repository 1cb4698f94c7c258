package fleet

import (
	"cmp"
	"math"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/endpoint"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/invariant"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
)

// Options are the settings of a Planner.
type Options struct {
	Service ident.Service
	Target  Target
	// Shape of a request until the demand tells.
	Shape Shape
	// StartTime is from the purchase of a host until it can load weights. Default: 60s.
	StartTime time.Duration
	// LoadBytes are the weights of one host. Default: 16 GB.
	LoadBytes float64
	// WeightBytesPerSec is the rate of the weight store, which all starting hosts
	// share. Default: 1 GB/s.
	WeightBytesPerSec float64
	// Margin is the share kept above the forecast demand. Default: 0.1.
	Margin float64
	// Floor is the demand (requests a second) that is always provided for. Default: 0.001.
	Floor float64
	// MinHosts are held whatever the demand is; MaxHosts are never exceeded by a
	// purchase, and zero is no bound. Both count hosts that were not bought here too.
	MinHosts, MaxHosts int
	// Trend is the window of the demand's slope. Default: 10m.
	Trend time.Duration
	// Hold is how long a peak of the demand keeps its hosts. Default: 15m.
	Hold time.Duration
	// ReadyTimeout is when a host counts as never ready. Default: four times the lead time.
	ReadyTimeout time.Duration
	// ListLag is how long a host may be missing from the list before it counts as gone. Default: 30s.
	ListLag time.Duration
	// Backoff is the first pause after a refused start; it doubles up to MaxBackoff.
	// Defaults: 2m and 30m.
	Backoff    time.Duration
	MaxBackoff time.Duration
	// DrainDelay is how long all nodes may take to hear of a drain. Default: 10s.
	DrainDelay time.Duration
	// FinalDrains forbids taking a drain back, as where nodes hear of it by marks
	// that only grow. Default: false.
	FinalDrains bool
	// RetryEvery is the time between two sendings of a purchase, release or order. Default: 5s.
	RetryEvery time.Duration
}

func (o Options) withDefaults() Options {
	o.StartTime = cmp.Or(o.StartTime, time.Minute)
	o.LoadBytes = cmp.Or(o.LoadBytes, 16e9)
	o.WeightBytesPerSec = cmp.Or(o.WeightBytesPerSec, 1e9)
	o.Margin = cmp.Or(o.Margin, 0.1)
	o.Floor = cmp.Or(o.Floor, 0.001)
	o.Trend = cmp.Or(o.Trend, 10*time.Minute)
	o.Hold = cmp.Or(o.Hold, 15*time.Minute)
	o.ListLag = cmp.Or(o.ListLag, 30*time.Second)
	o.Backoff = cmp.Or(o.Backoff, 2*time.Minute)
	o.MaxBackoff = cmp.Or(o.MaxBackoff, 30*time.Minute)
	o.DrainDelay = cmp.Or(o.DrainDelay, 10*time.Second)
	o.RetryEvery = cmp.Or(o.RetryEvery, 5*time.Second)
	o.ReadyTimeout = cmp.Or(o.ReadyTimeout, 4*o.lead(o.maxStarting()))
	return o
}

// loadTime is the time in which the weight store serves one host.
func (o Options) loadTime() time.Duration {
	return time.Duration(o.LoadBytes / o.WeightBytesPerSec * float64(time.Second))
}

// lead is the time until a host bought now serves, with that many starting hosts.
func (o Options) lead(starting int) time.Duration {
	return o.StartTime + time.Duration(max(1, starting))*o.loadTime()
}

// maxStarting is how many starts keep the weight store busy. More would share its
// rate, and all of them would be ready later.
func (o Options) maxStarting() int {
	if o.loadTime() <= 0 {
		return math.MaxInt32
	}
	return 1 + int(math.Ceil(float64(o.StartTime)/float64(o.loadTime())))
}

// HostView is a host of the service as the driver sees it.
type HostView struct {
	Host        ident.Host
	DataCentre  ident.DataCentre
	Class       string
	Reclaimable bool
	// Leaving is set once a reclaim was announced, by whatever source.
	Leaving bool
	// Ready is set where the host serves.
	Ready bool
	// Up is set where the host takes orders; Loaded is the version that it serves or loads.
	Up     bool
	Loaded ident.Version
	// Accepted is the number of requests accepted and not ended, over all nodes.
	Accepted int
}

// Observation is what the driver sees of the service.
type Observation struct {
	Demand float64 // requests a second
	// PromptTokens (not cached) and OutputTokens are a second's; zero where they
	// aren't known.
	PromptTokens, OutputTokens float64
	// Partial is set where some nodes' demand is missing. Nothing is drained then.
	Partial bool
	Offers  []Offer
	Hosts   []HostView
	// Version that new hosts load.
	Version ident.Version
}

// Action is something for the driver to do.
type Action interface{ action() }

// Load asks for the stored plan: answer with Planner.Loaded.
type Load struct{}

// Save asks for a conditional update of the plan: answer with Planner.Saved or
// Planner.SaveFailed.
type Save struct {
	Plan   Plan
	Expect platformapi.Version
}

// Buy asks for a purchase: answer with Planner.Bought or Planner.Refused. Where
// the outcome isn't known, no answer is needed: it is asked for again.
type Buy struct {
	Slot    uint64
	Request platformapi.BuyRequest
	Reason  string
}

// Release asks to give a host back: answer with Planner.Released.
type Release struct {
	Slot   uint64
	Host   ident.Host
	Reason string
}

// Order asks to send an engine its desired state.
type Order struct {
	Host  ident.Host
	Order endpoint.EngineOrder
}

func (Load) action()    {}
func (Save) action()    {}
func (Buy) action()     {}
func (Release) action() {}
func (Order) action()   {}

// offerKind tells offers apart.
type offerKind struct {
	DataCentre  ident.DataCentre
	Class       string
	Reclaimable bool
}

func (o Offer) kind() offerKind {
	return offerKind{o.DataCentre, o.Class, o.Reclaimable}
}

// pause is a time without purchases of one kind.
type pause struct {
	until time.Time
	fails int
}

// outcome is what became of a purchase or release, not yet in the plan.
type outcome struct {
	host     ident.Host
	refused  bool
	released bool
}

// Planner decides for one service. It is not safe for concurrent use.
type Planner struct {
	opts     Options
	forecast forecast
	shape    shapeMean

	epoch  ident.Epoch
	until  time.Time // the lease is good before
	plan   Plan      // as committed
	stored platformapi.Version
	loaded bool
	saving *Plan // sent, without an answer yet

	obs      Observation
	hosts    map[ident.Host]HostView
	lastStep time.Time
	outcomes map[uint64]outcome
	pauses   map[offerKind]pause
	nextSwap time.Time

	seenAt     map[ident.Host]time.Time // last listed
	missingAt  map[ident.Host]time.Time // first observation without it since
	readyAt    map[ident.Host]time.Time // last ready
	orderedAt  map[ident.Host]time.Time // last sending of an order
	releasedAt map[ident.Host]time.Time // last sending of a release
	boughtAt   map[uint64]time.Time     // last sending of a purchase
	drainedAt  map[uint64]time.Time     // first sight of a committed drain
}

// New returns a planner without a lease.
func New(opts Options) *Planner {
	opts = opts.withDefaults()
	return &Planner{
		opts:       opts,
		forecast:   forecast{trend: opts.Trend, hold: opts.Hold, margin: opts.Margin},
		shape:      newShapeMean(opts.Shape, opts.Hold),
		hosts:      make(map[ident.Host]HostView),
		outcomes:   make(map[uint64]outcome),
		pauses:     make(map[offerKind]pause),
		seenAt:     make(map[ident.Host]time.Time),
		missingAt:  make(map[ident.Host]time.Time),
		readyAt:    make(map[ident.Host]time.Time),
		orderedAt:  make(map[ident.Host]time.Time),
		releasedAt: make(map[ident.Host]time.Time),
		boughtAt:   make(map[uint64]time.Time),
		drainedAt:  make(map[uint64]time.Time),
	}
}

// Lease tells of the lease: its epoch, and until when the holder may act.
func (p *Planner) Lease(epoch ident.Epoch, until time.Time) {
	if epoch != p.epoch {
		p.reload()
		clear(p.outcomes) // others may have acted on these slots since
	}
	p.epoch, p.until = epoch, until
}

// Loaded gives the stored plan, and version zero where there is none.
func (p *Planner) Loaded(plan Plan, v platformapi.Version) {
	plan.Service = p.opts.Service
	p.plan, p.stored, p.loaded, p.saving = plan.clone(), v, true, nil
	for _, s := range p.plan.Slots {
		// A host that an earlier holder saw counts as seen, so that it can be missed.
		if _, ok := p.seenAt[s.Host]; !ok && s.Served {
			p.seenAt[s.Host], p.readyAt[s.Host] = p.lastStep, p.lastStep
		}
	}
	p.forgetOutcomes()
}

// Saved tells that the update took effect, and returns what may be done now.
func (p *Planner) Saved(now time.Time, v platformapi.Version) []Action {
	if p.saving == nil {
		return nil
	}
	p.plan, p.stored, p.saving = *p.saving, v, nil
	p.forgetOutcomes()
	return p.act(now)
}

// SaveFailed tells that the update conflicted or that its outcome isn't known.
// The plan is read anew, which tells.
func (p *Planner) SaveFailed() {
	p.reload()
}

func (p *Planner) reload() {
	p.loaded, p.saving = false, nil
}

// Bought tells which host a slot's purchase gave.
func (p *Planner) Bought(slot uint64, host ident.Host) {
	s, ok := p.slot(slot)
	known := s.Host
	if o := p.outcomes[slot]; known == "" {
		known = o.host
	}
	invariant.Check(known == "" || known == host, invariant.NoPurchaseTwice,
		"service %s slot %d bought host %s and host %s", p.opts.Service, slot, known, host)
	if ok && s.State == SlotWanted {
		p.outcomes[slot] = outcome{host: host}
		delete(p.pauses, s.kind())
	}
}

// Refused tells that the cloud refused a slot's purchase.
func (p *Planner) Refused(now time.Time, slot uint64) {
	if s, ok := p.slot(slot); ok && s.State == SlotWanted && p.outcomes[slot].host == "" {
		p.outcomes[slot] = outcome{refused: true}
		p.pause(now, s.kind())
	}
}

// Released tells that a host was given back.
func (p *Planner) Released(slot uint64) {
	if s, ok := p.slot(slot); ok && s.State == SlotDraining {
		p.outcomes[slot] = outcome{released: true}
	}
}

func (p *Planner) slot(id uint64) (Slot, bool) {
	for _, s := range p.plan.Slots {
		if s.ID == id {
			return s, true
		}
	}
	return Slot{}, false
}

// forgetOutcomes drops the outcomes that the committed plan has.
func (p *Planner) forgetOutcomes() {
	for id, o := range p.outcomes {
		s, ok := p.slot(id)
		if !ok || o.host != "" && s.Host == o.host || o.released && s.State == SlotReleased {
			delete(p.outcomes, id)
			delete(p.boughtAt, id)
			delete(p.drainedAt, id)
		}
	}
}

func (p *Planner) pause(now time.Time, k offerKind) {
	was := p.pauses[k]
	d := p.opts.MaxBackoff
	if shift := was.fails; shift < 16 {
		d = min(d, p.opts.Backoff<<shift)
	}
	p.pauses[k] = pause{until: now.Add(d), fails: was.fails + 1}
}

func compareCentres(a, b ident.DataCentre) int {
	return cmp.Compare(a, b)
}
