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

// snapshot is the host list from a given time until the next snapshot.
type snapshot struct {
	from  time.Time
	hosts []platformapi.HostInfo
}

// maxSnapshots is the number of snapshots kept for the delayed host list.
const maxSnapshots = 1000

// fleet is the current state of the hosts and its history.
type fleet struct {
	opts        Options
	hosts       map[ident.Host]platformapi.HostInfo
	billedUntil map[ident.Host]time.Time // time up to which the host's cost is counted
	hostByToken map[string]ident.Host
	history     []snapshot
	counts      Status
}

func newFleet(opts Options) fleet {
	return fleet{
		opts:        opts,
		hosts:       make(map[ident.Host]platformapi.HostInfo),
		billedUntil: make(map[ident.Host]time.Time),
		hostByToken: make(map[string]ident.Host),
	}
}

// advance removes the hosts whose reclaim deadline has passed.
func (f *fleet) advance(now time.Time) {
	hosts := f.sortedHosts()
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
	f.billUntil(now, h.Host)
	f.hosts[h.Host] = h
	f.billedUntil[h.Host] = now
	f.recordSnapshot(now)
}

func (f *fleet) remove(at time.Time, name ident.Host) {
	f.billUntil(at, name)
	delete(f.hosts, name)
	delete(f.billedUntil, name)
	f.recordSnapshot(at)
}

// billUntil adds the cost of a host up to now to the total.
func (f *fleet) billUntil(now time.Time, name ident.Host) {
	f.counts.Cost += f.unbilledCost(now, name)
	f.billedUntil[name] = now
}

func (f *fleet) unbilledCost(now time.Time, name ident.Host) float64 {
	h, ok := f.hosts[name]
	if !ok {
		return 0
	}
	return h.PricePerHour * now.Sub(f.billedUntil[name]).Hours()
}

func (f *fleet) reclaim(now time.Time, r Reclaim) int {
	f.advance(now)
	n := 0
	for _, h := range f.sortedHosts() {
		matchesDataCentre := r.DataCentre != "" && h.DataCentre == r.DataCentre && h.Reclaimable
		if h.State == platformapi.HostLeaving || !matchesDataCentre && h.Host != r.Host {
			continue
		}
		h.State, h.Deadline = platformapi.HostLeaving, now.Add(r.Notice)
		f.hosts[h.Host] = h
		n++
	}
	f.recordSnapshot(now)
	return n
}

// buy returns the host bought with a token; the first use of a token creates it.
func (f *fleet) buy(now time.Time, req platformapi.BuyRequest) ident.Host {
	f.advance(now)
	if name, ok := f.hostByToken[req.Token]; ok {
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
	f.hostByToken[req.Token] = h.Host
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
	for _, h := range f.sortedHosts() {
		if h.State == platformapi.HostLeaving {
			out = append(out, platformapi.Notice{Host: h.Host, Incarnation: h.Incarnation, Deadline: h.Deadline})
		}
	}
	return out
}

// list returns the host list as of lag before now.
func (f *fleet) list(now time.Time, lag time.Duration) []platformapi.HostInfo {
	f.advance(now)
	for _, s := range slices.Backward(f.history) {
		if !s.from.After(now.Add(-lag)) {
			return s.hosts
		}
	}
	return nil
}

func (f *fleet) recordSnapshot(at time.Time) {
	f.history = append(f.history, snapshot{at, f.sortedHosts()})
	if len(f.history) > maxSnapshots {
		f.history = slices.Delete(f.history, 0, len(f.history)-maxSnapshots)
	}
}

func (f *fleet) sortedHosts() []platformapi.HostInfo {
	return slices.SortedFunc(maps.Values(f.hosts), func(a, b platformapi.HostInfo) int {
		return cmp.Compare(a.Host, b.Host)
	})
}

func (f *fleet) status(now time.Time) Status {
	f.advance(now)
	st := f.counts
	st.Hosts = len(f.hosts)
	for name := range f.hosts {
		st.Cost += f.unbilledCost(now, name)
	}
	return st
}
