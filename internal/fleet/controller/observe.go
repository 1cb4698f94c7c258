package controller

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubeshed/jujubeshed/internal/config"
	"github.com/jujubeshed/jujubeshed/internal/fleet"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
)

// batchSlowdown is the fraction by which each additional stream slows a token.
const batchSlowdown = 0.02

// bytesPerSec is the nominal throughput of the weight store. The size of the weights is
// the configured load time multiplied by it.
const bytesPerSec = 1e9

// plannerOptions returns the planner's settings for a service.
func plannerOptions(s config.Service) fleet.Options {
	f := s.Fleet
	return fleet.Options{
		Service:            s.Name,
		Target:             fleet.Target{FirstToken: f.FirstToken, BetweenTokens: f.BetweenTokens},
		RequestSize:        fleet.RequestSize{PromptTokens: float64(f.PromptTokens), OutputTokens: float64(f.OutputTokens)},
		StartTime:          f.StartTime,
		LoadBytes:          f.LoadTime.Seconds() * bytesPerSec,
		WeightBytesPerSec:  bytesPerSec,
		MinHosts:           f.MinHosts,
		MaxHosts:           f.MaxHosts,
		DrainDelay:         drainDelay,
		IrreversibleDrains: true,
	}
}

func hostPerformance(s config.Service) fleet.Performance {
	return fleet.Performance{
		PrefillPerSec: s.Fleet.PrefillPerSec,
		DecodePerSec:  s.Fleet.DecodePerSec,
		BatchSlowdown: batchSlowdown,
		MaxRunning:    s.Concurrency,
	}
}

// offers returns the kinds of host that a service can buy, at the prices in the host
// list or else in the configuration.
func offers(s config.Service, hosts []platformapi.HostInfo) []fleet.Offer {
	var out []fleet.Offer
	for _, dc := range s.Fleet.DataCentres {
		for _, reclaimable := range []bool{true, false} {
			price := s.Fleet.OnDemandPrice
			if reclaimable {
				price = s.Fleet.ReclaimablePrice
			}
			o := fleet.Offer{DataCentre: dc, Class: s.Fleet.Class, Reclaimable: reclaimable, PricePerHour: price, Performance: hostPerformance(s)}
			if listed, ok := listedPrice(o, hosts); ok {
				o.PricePerHour = listed
			}
			out = append(out, o)
		}
	}
	return out
}

// listedPrice returns the mean price of the listed hosts of an offer's kind.
func listedPrice(o fleet.Offer, hosts []platformapi.HostInfo) (float64, bool) {
	sum, n := 0.0, 0
	for _, h := range hosts {
		if h.DataCentre == o.DataCentre && h.Class == o.Class && h.Reclaimable == o.Reclaimable && h.PricePerHour > 0 {
			sum += h.PricePerHour
			n++
		}
	}
	return sum / float64(max(1, n)), n > 0
}

// errDemandUnknown is returned until the demand has been measured.
var errDemandUnknown = errors.New("demand is not known yet")

// observe collects the planner's input. It returns an error if any of it is not
// available.
func (d *duty) observe(ctx context.Context, now time.Time, svc config.Service) (fleet.Observation, error) {
	rates, known := d.opts.Demand.Rates(now, d.service)
	if !known {
		return fleet.Observation{}, errDemandUnknown
	}
	listed, err := d.opts.Hosts.ListHosts(ctx)
	if err != nil {
		return fleet.Observation{}, err
	}
	notices, err := d.opts.Cloud.Notices(ctx)
	if err != nil {
		return fleet.Observation{}, err
	}
	d.slots = slotsByHost(d.planner.Status(now).Slots)
	hosts := d.serviceHosts(listed)
	d.hosts = hosts
	d.prober.read(ctx, now, hosts, d.probeFirst)
	obs := fleet.Observation{
		Demand: rates.Requests, PromptTokens: rates.PromptTokens, OutputTokens: rates.OutputTokens,
		Partial: rates.Partial,
		Offers:  offers(svc, listed),
		Version: d.opts.Version(svc),
	}
	for _, h := range hosts {
		obs.Hosts = append(obs.Hosts, d.hostView(now, h, reclaimAnnounced(notices, h)))
	}
	return obs, nil
}

func slotsByHost(slots []fleet.Slot) map[ident.Host]fleet.Slot {
	out := make(map[ident.Host]fleet.Slot, len(slots))
	for _, s := range slots {
		if s.Host != "" {
			out[s.Host] = s
		}
	}
	return out
}

// serviceHosts returns the hosts that run the service or were bought for it, each with
// the service's endpoints only.
func (d *duty) serviceHosts(hosts []platformapi.HostInfo) []platformapi.HostInfo {
	clear(d.sharedHosts)
	var out []platformapi.HostInfo
	for _, h := range hosts {
		var endpoints []platformapi.EndpointInfo
		for _, e := range h.Endpoints {
			if e.Service == d.service {
				endpoints = append(endpoints, e)
			}
		}
		_, planned := d.slots[h.Host]
		d.sharedHosts[h.Host] = len(endpoints) < len(h.Endpoints)
		if planned || len(endpoints) > 0 {
			h.Endpoints = endpoints
			out = append(out, h)
		}
	}
	return out
}

// probeFirst reports whether a host is starting or draining.
func (d *duty) probeFirst(h ident.Host) bool {
	s, planned := d.slots[h]
	return planned && (s.State == fleet.SlotDraining || !s.Served)
}

// reclaimAnnounced reports whether the reclaim of a host is announced. Marks of drains
// on the nodes don't count.
func reclaimAnnounced(notices []platformapi.Notice, h platformapi.HostInfo) bool {
	return h.State == platformapi.HostLeaving || slices.ContainsFunc(notices, func(n platformapi.Notice) bool {
		return n.Host == h.Host && n.Incarnation >= h.Incarnation
	})
}

func (d *duty) hostView(now time.Time, h platformapi.HostInfo, leaving bool) fleet.HostView {
	last, slot := d.prober.last[h.Host], d.slots[h.Host]
	view := fleet.HostView{
		Host: h.Host, DataCentre: h.DataCentre, Class: h.Class, Reclaimable: h.Reclaimable, Leaving: leaving,
		Ready:         !last.readyAt.IsZero() && now.Sub(last.readyAt) < readyGrace,
		Reachable:     last.respondedAt.Equal(now),
		LoadedVersion: last.loadedVersion,
		Accepted:      d.acceptedRequests(now, h.Host, last),
	}
	if view.LoadedVersion != "" {
		view.LoadedVersion = slot.Version // a loaded version is changed by version moves only
	}
	return view
}

// acceptedRequests returns the number of requests on a host. For a draining host it
// returns at least one if the load report is from before the drain had reached all
// nodes, or if the host runs another service too. A host that is unreachable for
// UnreachableTimeout has none.
func (d *duty) acceptedRequests(now time.Time, h ident.Host, last probe) int {
	since, draining := d.drainMarkedAt[h]
	if !draining {
		return last.accepted
	}
	if d.sharedHosts[h] {
		return max(1, last.accepted)
	}
	if last.respondedAt.Equal(now) {
		if last.reportedAt.Before(since.Add(drainDelay)) {
			return max(1, last.accepted)
		}
		return last.accepted
	}
	lastContact := since
	if last.respondedAt.After(lastContact) {
		lastContact = last.respondedAt
	}
	if now.Sub(lastContact) >= d.opts.UnreachableTimeout {
		return 0
	}
	return max(1, last.accepted)
}
