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
	// RequestSize is the assumed mean request until enough requests were measured.
	RequestSize RequestSize
	// StartTime is the time from the purchase of a host until it can load weights.
	// Default: 60s.
	StartTime time.Duration
	// LoadBytes is the size of the weights that one host loads. Default: 16 GB.
	LoadBytes float64
	// WeightBytesPerSec is the throughput of the weight store, shared by all starting
	// hosts. Default: 1 GB/s.
	WeightBytesPerSec float64
	// Margin is the fraction added to the forecast demand. Default: 0.1.
	Margin float64
	// MinDemand is the lower bound of the demand, in requests a second, that capacity
	// is planned for. Default: 0.001.
	MinDemand float64
	// MinHosts is the number of hosts to keep whatever the demand. No purchase exceeds
	// MaxHosts; zero means no limit. Both include hosts outside the plan.
	MinHosts, MaxHosts int
	// TrendWindow is the time over which the growth of the demand is measured. Default: 10m.
	TrendWindow time.Duration
	// PeakWindow is how long after a peak of the demand its hosts are kept. Default: 15m.
	PeakWindow time.Duration
	// ReadyTimeout is how long a host may be not ready before it is drained.
	// Default: four times the lead time.
	ReadyTimeout time.Duration
	// ListLag is how long a host may be missing from the host list before it counts as
	// gone. Default: 30s.
	ListLag time.Duration
	// Backoff is the time without purchases of a kind of host after a first failure; it
	// doubles with each further failure up to MaxBackoff. Defaults: 2m and 30m.
	Backoff    time.Duration
	MaxBackoff time.Duration
	// DrainDelay is the maximum time until a drain has reached all nodes. Default: 10s.
	DrainDelay time.Duration
	// IrreversibleDrains forbids cancelling a drain. It must be set where nodes learn of
	// drains from grow-only marks. Default: false.
	IrreversibleDrains bool
	// RetryInterval is the time after which an unconfirmed purchase, release or order is
	// sent again. Default: 5s.
	RetryInterval time.Duration
}

func (o Options) withDefaults() Options {
	o.StartTime = cmp.Or(o.StartTime, time.Minute)
	o.LoadBytes = cmp.Or(o.LoadBytes, 16e9)
	o.WeightBytesPerSec = cmp.Or(o.WeightBytesPerSec, 1e9)
	o.Margin = cmp.Or(o.Margin, 0.1)
	o.MinDemand = cmp.Or(o.MinDemand, 0.001)
	o.TrendWindow = cmp.Or(o.TrendWindow, 10*time.Minute)
	o.PeakWindow = cmp.Or(o.PeakWindow, 15*time.Minute)
	o.ListLag = cmp.Or(o.ListLag, 30*time.Second)
	o.Backoff = cmp.Or(o.Backoff, 2*time.Minute)
	o.MaxBackoff = cmp.Or(o.MaxBackoff, 30*time.Minute)
	o.DrainDelay = cmp.Or(o.DrainDelay, 10*time.Second)
	o.RetryInterval = cmp.Or(o.RetryInterval, 5*time.Second)
	o.ReadyTimeout = cmp.Or(o.ReadyTimeout, 4*o.leadTime(o.maxStarting()))
	return o
}

// loadTime returns the time that the weight store needs to serve one host.
func (o Options) loadTime() time.Duration {
	return time.Duration(o.LoadBytes / o.WeightBytesPerSec * float64(time.Second))
}

// leadTime returns the time until a host bought now serves, given the number of
// starting hosts.
func (o Options) leadTime(starting int) time.Duration {
	return o.StartTime + time.Duration(max(1, starting))*o.loadTime()
}

// maxStarting returns the number of starting hosts that fully use the weight store.
// With more of them each would load more slowly and all would be ready later.
func (o Options) maxStarting() int {
	if o.loadTime() <= 0 {
		return math.MaxInt32
	}
	return 1 + int(math.Ceil(float64(o.StartTime)/float64(o.loadTime())))
}

// HostView is a host of the service as observed by the driver.
type HostView struct {
	Host        ident.Host
	DataCentre  ident.DataCentre
	Class       string
	Reclaimable bool
	// Leaving is set once a reclaim of the host has been announced by any source.
	Leaving bool
	// Ready is set if the host serves requests.
	Ready bool
	// Reachable is set if the host accepts orders.
	Reachable bool
	// LoadedVersion is the version that the host serves or is loading.
	LoadedVersion ident.Version
	// Accepted is the number of requests accepted and not yet ended, from all nodes.
	Accepted int
}

// Observation is the state of the service as observed by the driver.
type Observation struct {
	Demand float64 // requests a second
	// PromptTokens (those not cached) and OutputTokens are in tokens a second; zero if
	// unknown.
	PromptTokens, OutputTokens float64
	// Partial is set if the demand at some nodes is missing. No host is drained then.
	Partial bool
	Offers  []Offer
	Hosts   []HostView
	// Version is the version that new hosts load.
	Version ident.Version
}

// Action is an operation that the driver is to execute.
type Action interface{ action() }

// Load requests the stored plan. The driver reports it with Planner.Loaded.
type Load struct{}

// Save requests a conditional update of the plan. The driver reports the outcome
// with Planner.Saved or Planner.SaveFailed.
type Save struct {
	Plan   Plan
	Expect platformapi.Version
}

// Buy requests a purchase. The driver reports the outcome with Planner.Bought or
// Planner.Refused. If the outcome is unknown, it reports nothing and the purchase
// is requested again.
type Buy struct {
	Slot    uint64
	Request platformapi.BuyRequest
	Reason  string
}

// Release requests the release of a host. The driver reports success with
// Planner.Released.
type Release struct {
	Slot   uint64
	Host   ident.Host
	Reason string
}

// Order requests that the desired state be sent to the engines of a host.
type Order struct {
	Host  ident.Host
	Order endpoint.EngineOrder
}

func (Load) action()    {}
func (Save) action()    {}
func (Buy) action()     {}
func (Release) action() {}
func (Order) action()   {}

// offerKind identifies a kind of host that the cloud sells.
type offerKind struct {
	DataCentre  ident.DataCentre
	Class       string
	Reclaimable bool
}

func (o Offer) kind() offerKind {
	return offerKind{o.DataCentre, o.Class, o.Reclaimable}
}

// backoff is a time without purchases of one kind of host.
type backoff struct {
	until    time.Time
	failures int
}

// outcome is the result of a purchase or release that the committed plan does not
// contain yet.
type outcome struct {
	host     ident.Host
	refused  bool
	released bool
}

// Planner plans the hosts of one service. It is not safe for concurrent use.
type Planner struct {
	opts        Options
	forecast    forecast
	requestSize meanRequestSize

	epoch         ident.Epoch
	leaseUntil    time.Time // end of the time in which the planner may act
	plan          Plan      // last committed plan
	storedVersion platformapi.Version
	loaded        bool
	pendingSave   *Plan // sent, outcome not yet reported

	obs             Observation
	hosts           map[ident.Host]HostView
	lastObserved    time.Time
	outcomes        map[uint64]outcome
	backoffs        map[offerKind]backoff
	nextReplacement time.Time

	lastListedAt   map[ident.Host]time.Time // last observation that listed the host
	missingSince   map[ident.Host]time.Time // first later observation without the host
	lastReadyAt    map[ident.Host]time.Time // last observation in which the host was ready
	lastOrderAt    map[ident.Host]time.Time // when an order was last sent
	lastReleaseAt  map[ident.Host]time.Time // when a release was last sent
	lastPurchaseAt map[uint64]time.Time     // when a purchase was last sent
	drainSeenAt    map[uint64]time.Time     // when a committed drain was first seen
}

// New returns a planner without a lease.
func New(opts Options) *Planner {
	opts = opts.withDefaults()
	return &Planner{
		opts:           opts,
		forecast:       forecast{trendWindow: opts.TrendWindow, peakWindow: opts.PeakWindow, margin: opts.Margin},
		requestSize:    newMeanRequestSize(opts.RequestSize, opts.PeakWindow),
		hosts:          make(map[ident.Host]HostView),
		outcomes:       make(map[uint64]outcome),
		backoffs:       make(map[offerKind]backoff),
		lastListedAt:   make(map[ident.Host]time.Time),
		missingSince:   make(map[ident.Host]time.Time),
		lastReadyAt:    make(map[ident.Host]time.Time),
		lastOrderAt:    make(map[ident.Host]time.Time),
		lastReleaseAt:  make(map[ident.Host]time.Time),
		lastPurchaseAt: make(map[uint64]time.Time),
		drainSeenAt:    make(map[uint64]time.Time),
	}
}

// SetLease sets the epoch of the lease and the time until which the holder may act.
func (p *Planner) SetLease(epoch ident.Epoch, until time.Time) {
	if epoch != p.epoch {
		p.invalidatePlan()
		clear(p.outcomes) // another holder may have acted on these slots
	}
	p.epoch, p.leaseUntil = epoch, until
}

// Loaded sets the stored plan; the version is zero if none is stored.
func (p *Planner) Loaded(plan Plan, v platformapi.Version) {
	plan.Service = p.opts.Service
	p.plan, p.storedVersion, p.loaded, p.pendingSave = plan.clone(), v, true, nil
	for _, s := range p.plan.Slots {
		// A host that served under an earlier holder counts as listed before, so that its
		// absence from the host list is noticed.
		if _, ok := p.lastListedAt[s.Host]; !ok && s.Served {
			p.lastListedAt[s.Host], p.lastReadyAt[s.Host] = p.lastObserved, p.lastObserved
		}
	}
	p.dropCommittedOutcomes()
}

// Saved records that the update took effect, and returns the actions that are due.
func (p *Planner) Saved(now time.Time, v platformapi.Version) []Action {
	if p.pendingSave == nil {
		return nil
	}
	p.plan, p.storedVersion, p.pendingSave = *p.pendingSave, v, nil
	p.dropCommittedOutcomes()
	return p.dueActions(now)
}

// SaveFailed records that the update conflicted or that its outcome is unknown. The
// plan is read again to find out whether the update took effect.
func (p *Planner) SaveFailed() {
	p.invalidatePlan()
}

func (p *Planner) invalidatePlan() {
	p.loaded, p.pendingSave = false, nil
}

// Bought records the host that was bought for a slot.
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
		delete(p.backoffs, s.kind())
	}
}

// Refused records that the cloud refused the purchase for a slot.
func (p *Planner) Refused(now time.Time, slot uint64) {
	if s, ok := p.slot(slot); ok && s.State == SlotWanted && p.outcomes[slot].host == "" {
		p.outcomes[slot] = outcome{refused: true}
		p.backOff(now, s.kind())
	}
}

// Released records that the host of a slot was released.
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

// dropCommittedOutcomes removes the outcomes that the committed plan contains.
func (p *Planner) dropCommittedOutcomes() {
	for id, o := range p.outcomes {
		s, ok := p.slot(id)
		if !ok || o.host != "" && s.Host == o.host || o.released && s.State == SlotReleased {
			delete(p.outcomes, id)
			delete(p.lastPurchaseAt, id)
			delete(p.drainSeenAt, id)
		}
	}
}

func (p *Planner) backOff(now time.Time, kind offerKind) {
	previous := p.backoffs[kind]
	delay := p.opts.MaxBackoff
	if shift := previous.failures; shift < 16 {
		delay = min(delay, p.opts.Backoff<<shift)
	}
	p.backoffs[kind] = backoff{until: now.Add(delay), failures: previous.failures + 1}
}

func compareDataCentres(a, b ident.DataCentre) int {
	return cmp.Compare(a, b)
}
