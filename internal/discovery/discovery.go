// Package discovery polls the platform's list of hosts.
//
// The list lags: a host listed as live may be draining already, so drain information
// from other sources takes precedence. While the platform is unreachable the last list
// stays in use.
package discovery

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/kernel"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
)

// nonReaderIntervals is the number of intervals between two reads by a node that is
// not a designated reader.
const nonReaderIntervals = 10

// DefaultInterval is the default time between two reads of the host list.
const DefaultInterval = time.Second

// Options are the settings of a Watcher.
type Options struct {
	// Interval is the time between two reads, and the timeout of a read.
	// Default: 1 s.
	Interval time.Duration
	// IsReader reports whether this node is a designated reader, which reads at every
	// interval. Other nodes read at every 10th interval only; between these reads
	// reclaim notices reach them as marks shared by their peers. Default: always true.
	IsReader func() bool
	// Cloud is the source of reclaim notices; nil for none.
	Cloud platformapi.Cloud
	// FromPeers fetches the list that another node read last. It is used by a node
	// that starts while the platform is unreachable; nil for none.
	FromPeers func(ctx context.Context) ([]platformapi.HostInfo, error)
}

// Watcher polls the host list and the reclaim notices.
type Watcher struct {
	opts  Options
	log   *slog.Logger
	hosts platformapi.Hosts

	loop       *kernel.Loop
	iterations int // of the loop; used by the loop only

	mu struct {
		sync.Mutex
		list        []platformapi.HostInfo
		onHosts     []func([]platformapi.HostInfo)
		onNotice    []func(platformapi.Notice)
		unreachable bool
	}
}

// New returns a watcher of the host list.
func New(opts Options, log *slog.Logger, hosts platformapi.Hosts) *Watcher {
	if opts.Interval == 0 {
		opts.Interval = DefaultInterval
	}
	w := &Watcher{opts: opts, log: log, hosts: hosts}
	if opts.IsReader == nil {
		w.opts.IsReader = func() bool { return true }
	}
	w.loop = kernel.NewLoop(opts.Interval, w.pollIfDue)
	return w
}

// OnHosts registers f to be called with each list read. It must be called before
// Start.
func (w *Watcher) OnHosts(f func([]platformapi.HostInfo)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.mu.onHosts = append(w.mu.onHosts, f)
}

// OnNotice registers f to be called with every notice in force each time the notices
// are read. It must be called before Start.
func (w *Watcher) OnNotice(f func(platformapi.Notice)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.mu.onNotice = append(w.mu.onNotice, f)
}

// Hosts returns the last list read, or nil if there is none yet.
func (w *Watcher) Hosts() []platformapi.HostInfo {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.mu.list
}

// Start reads the list once, then polls it in the background.
func (w *Watcher) Start(ctx context.Context) error {
	w.poll(ctx)
	return w.loop.Start(ctx)
}

// Stop ends the polling.
func (w *Watcher) Stop(ctx context.Context) error {
	return w.loop.Stop(ctx)
}

// pollIfDue polls if this node is a designated reader, has no list yet, or has reached
// the interval at which other nodes read.
func (w *Watcher) pollIfDue(ctx context.Context) {
	w.iterations++
	if w.opts.IsReader() || w.iterations%nonReaderIntervals == 0 || w.Hosts() == nil {
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
	w.logReachability(err)
	if err != nil {
		list = w.fromPeers(ctx)
	}
	if list != nil {
		w.setHosts(list)
	}
}

// fromPeers requests a list from the peers if this node has none.
func (w *Watcher) fromPeers(ctx context.Context) []platformapi.HostInfo {
	if w.opts.FromPeers == nil || w.Hosts() != nil {
		return nil
	}
	list, err := w.opts.FromPeers(context.WithoutCancel(ctx))
	if err != nil {
		w.log.Warn("discovery: Host list can't be fetched from peers.", "error", err)
		return nil
	}
	return list
}

func (w *Watcher) setHosts(list []platformapi.HostInfo) {
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

// logReachability logs when the host list becomes unreachable and reachable again.
func (w *Watcher) logReachability(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	unreachable := err != nil
	if unreachable && !w.mu.unreachable {
		w.log.Warn("discovery: Host list unreachable; the last one stays in use.", "error", err)
	}
	if !unreachable && w.mu.unreachable {
		w.log.Info("discovery: Host list reachable again.")
	}
	w.mu.unreachable = unreachable
}
