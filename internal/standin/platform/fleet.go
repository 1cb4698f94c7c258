package platform

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
)

// snapshot is the host list as it was from a time on.
type snapshot struct {
	from  time.Time
	hosts []platformapi.HostInfo
}

// maxSnapshots bounds the history behind the lagging list.
const maxSnapshots = 1000

// fleet is the truth about the hosts, and its history.
type fleet struct {
	opts    Options
	hosts   map[ident.Host]platformapi.HostInfo
	since   map[ident.Host]time.Time // start of the time not yet paid
	tokens  map[string]ident.Host
	history []snapshot
	counts  Status
}

func newFleet(opts Options) fleet {
	return fleet{
		opts:   opts,
		hosts:  make(map[ident.Host]platformapi.HostInfo),
		since:  make(map[ident.Host]time.Time),
		tokens: make(map[string]ident.Host),
	}
}

// advance removes the hosts whose deadline has passed.
func (f *fleet) advance(now time.Time) {
	hosts := f.sorted()
	slices.SortStableFunc(hosts, func(a, b platformapi.HostInfo) int { return a.Deadline.Compare(b.Deadline) })
	for _, h := range hosts {
		if h.State == platformapi.HostLeaving && !h.Deadline.After(now) {
			f.counts.Reclaimed++
			f.remove(h.Deadline, h.Host)
		}
	}
}

func (f *fleet) set(now time.Time, h platformapi.HostInfo) {
	f.advance(now)
	f.pay(now, h.Host)
	f.hosts[h.Host] = h
	f.since[h.Host] = now
	f.record(now)
}

func (f *fleet) remove(at time.Time, name ident.Host) {
	f.pay(at, name)
	delete(f.hosts, name)
	delete(f.since, name)
	f.record(at)
}

// pay adds the cost of a host up to now.
func (f *fleet) pay(now time.Time, name ident.Host) {
	f.counts.Cost += f.due(now, name)
	f.since[name] = now
}

func (f *fleet) due(now time.Time, name ident.Host) float64 {
	h, ok := f.hosts[name]
	if !ok {
		return 0
	}
	return h.PricePerHour * now.Sub(f.since[name]).Hours()
}

func (f *fleet) reclaim(now time.Time, r Reclaim) int {
	f.advance(now)
	n := 0
	for _, h := range f.sorted() {
		wave := r.DataCentre != "" && h.DataCentre == r.DataCentre && h.Reclaimable
		if h.State == platformapi.HostLeaving || !wave && h.Host != r.Host {
			continue
		}
		h.State, h.Deadline = platformapi.HostLeaving, now.Add(r.Notice)
		f.hosts[h.Host] = h
		n++
	}
	f.record(now)
	return n
}

// buy returns the host of a token, a new one at its first use.
func (f *fleet) buy(now time.Time, req platformapi.BuyRequest) ident.Host {
	f.advance(now)
	if name, ok := f.tokens[req.Token]; ok {
		return name
	}
	f.counts.Bought++
	h := platformapi.HostInfo{
		Host:         ident.Host(fmt.Sprintf("bought-%d", f.counts.Bought)),
		DataCentre:   req.DataCentre,
		Incarnation:  1,
		State:        platformapi.HostLive,
		Reclaimable:  req.Reclaimable,
		PricePerHour: f.opts.OnDemandPrice,
		Class:        req.Class,
	}
	if req.Reclaimable {
		h.PricePerHour = f.opts.ReclaimablePrice
	}
	f.tokens[req.Token] = h.Host
	f.set(now, h)
	return h.Host
}

func (f *fleet) release(now time.Time, name ident.Host) {
	f.advance(now)
	if _, ok := f.hosts[name]; ok {
		f.counts.Released++
		f.remove(now, name)
	}
}

func (f *fleet) notices(now time.Time) []platformapi.Notice {
	f.advance(now)
	var out []platformapi.Notice
	for _, h := range f.sorted() {
		if h.State == platformapi.HostLeaving {
			out = append(out, platformapi.Notice{Host: h.Host, Incarnation: h.Incarnation, Deadline: h.Deadline})
		}
	}
	return out
}

// list returns the hosts as they were lag ago.
func (f *fleet) list(now time.Time, lag time.Duration) []platformapi.HostInfo {
	f.advance(now)
	for _, s := range slices.Backward(f.history) {
		if !s.from.After(now.Add(-lag)) {
			return s.hosts
		}
	}
	return nil
}

func (f *fleet) record(at time.Time) {
	f.history = append(f.history, snapshot{at, f.sorted()})
	if len(f.history) > maxSnapshots {
		f.history = slices.Delete(f.history, 0, len(f.history)-maxSnapshots)
	}
}

func (f *fleet) sorted() []platformapi.HostInfo {
	return slices.SortedFunc(maps.Values(f.hosts), func(a, b platformapi.HostInfo) int {
		return cmp.Compare(a.Host, b.Host)
	})
}

func (f *fleet) status(now time.Time) Status {
	f.advance(now)
	st := f.counts
	st.Hosts = len(f.hosts)
	for name := range f.hosts {
		st.Cost += f.due(now, name)
	}
	return st
}
