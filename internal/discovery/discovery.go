// Package discovery follows the platform's list of hosts.
//
// The list lags, so a host that it calls live may be leaving already; what other
// sources say of leaving goes before it. While the platform is down the last
// list stays in use.
package discovery

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/kernel"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
)

// idleRounds is how many intervals a node that isn't on duty lets pass.
const idleRounds = 10

// DefaultInterval is the time between two reads of the host list.
const DefaultInterval = time.Second

// Options are the settings of a Watcher.
type Options struct {
	// Interval between two reads. Default: 1 s.
	Interval time.Duration
	// OnDuty tells whether this node reads at every interval. One that isn't reads
	// the list at every idleRounds-th only and leaves the notices to the others, whose
	// marks reach it through peers. Default: always.
	OnDuty func() bool
	// Cloud gives reclaim notices; nil for none.
	Cloud platformapi.Cloud
	// FromPeers gives the list that another node read last, for a node that starts
	// while the platform is down; nil for none.
	FromPeers func(ctx context.Context) ([]platformapi.HostInfo, error)
}

// Watcher polls the host list and the reclaim notices.
type Watcher struct {
	opts  Options
	log   *slog.Logger
	hosts platformapi.Hosts

	loop  *kernel.Loop
	round int // of the loop

	mu struct {
		sync.Mutex
		list     []platformapi.HostInfo
		onHosts  []func([]platformapi.HostInfo)
		onNotice []func(platformapi.Notice)
		down     bool
	}
}

// New returns a watcher of the list.
func New(opts Options, log *slog.Logger, hosts platformapi.Hosts) *Watcher {
	if opts.Interval == 0 {
		opts.Interval = DefaultInterval
	}
	w := &Watcher{opts: opts, log: log, hosts: hosts}
	if opts.OnDuty == nil {
		w.opts.OnDuty = func() bool { return true }
	}
	w.loop = kernel.NewLoop(opts.Interval, w.turn)
	return w
}

// OnHosts calls f with each list read. It must be called before Start.
func (w *Watcher) OnHosts(f func([]platformapi.HostInfo)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.mu.onHosts = append(w.mu.onHosts, f)
}

// OnNotice calls f with every notice in force, each time it is read. It must be
// called before Start.
func (w *Watcher) OnNotice(f func(platformapi.Notice)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.mu.onNotice = append(w.mu.onNotice, f)
}

// Hosts returns the last list; nil before the first.
func (w *Watcher) Hosts() []platformapi.HostInfo {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.mu.list
}

// Start reads the list once and goes on in the background.
func (w *Watcher) Start(ctx context.Context) error {
	w.poll(ctx)
	return w.loop.Start(ctx)
}

// Stop ends the watcher.
func (w *Watcher) Stop(ctx context.Context) error {
	return w.loop.Stop(ctx)
}

// turn reads where it is this node's turn, and always until it has a list.
func (w *Watcher) turn(ctx context.Context) {
	w.round++
	if w.opts.OnDuty() || w.round%idleRounds == 0 || w.Hosts() == nil {
		w.poll(ctx)
	}
}

func (w *Watcher) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, w.opts.Interval)
	defer cancel()
	if w.opts.Cloud != nil {
		w.pollNotices(ctx)
	}
	list, err := w.hosts.ListHosts(ctx)
	w.noteState(err)
	if err != nil {
		list = w.fromPeers(ctx)
	}
	if list != nil {
		w.put(list)
	}
}

// fromPeers asks the peers for a list where this node has none.
func (w *Watcher) fromPeers(ctx context.Context) []platformapi.HostInfo {
	if w.opts.FromPeers == nil || w.Hosts() != nil {
		return nil
	}
	list, err := w.opts.FromPeers(context.WithoutCancel(ctx))
	if err != nil {
		w.log.Warn("discovery: No peer has a host list.", "error", err)
		return nil
	}
	return list
}

func (w *Watcher) put(list []platformapi.HostInfo) {
	w.mu.Lock()
	w.mu.list = list
	callbacks := w.mu.onHosts
	w.mu.Unlock()
	for _, f := range callbacks {
		f(list)
	}
}

func (w *Watcher) pollNotices(ctx context.Context) {
	notices, err := w.opts.Cloud.Notices(ctx)
	if err != nil {
		return
	}
	w.mu.Lock()
	callbacks := w.mu.onNotice
	w.mu.Unlock()
	for _, n := range notices {
		for _, f := range callbacks {
			f(n)
		}
	}
}

// noteState logs when the list becomes unreachable and reachable again.
func (w *Watcher) noteState(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	down := err != nil
	if down && !w.mu.down {
		w.log.Warn("discovery: Host list unreachable, last one stays in use.", "error", err)
	}
	if !down && w.mu.down {
		w.log.Info("discovery: Host list reachable again.")
	}
	w.mu.down = down
}
