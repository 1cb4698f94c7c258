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

// batchSlowdown is the share by which each other stream slows a token.
const batchSlowdown = 0.02

// bytesPerSec is the nominal rate of the weight store; the configured load time
// gives the size of the weights in its terms.
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

func machine(s config.Service) fleet.Performance {
	return fleet.Performance{
		PrefillPerSec: s.Fleet.PrefillPerSecond,
		DecodePerSec:  s.Fleet.DecodePerSecond,
		BatchSlowdown: batchSlowdown,
		MaxRunning:    s.Concurrency,
	}
}

// offers returns what the cloud sells to a service, at the prices that the host
// list shows.
func offers(s config.Service, hosts []platformapi.HostInfo) []fleet.Offer {
	var out []fleet.Offer
	for _, dc := range s.Fleet.DataCentres {
		for _, reclaimable := range []bool{true, false} {
			price := s.Fleet.OnDemandPrice
			if reclaimable {
				price = s.Fleet.ReclaimablePrice
			}
			o := fleet.Offer{DataCentre: dc, Class: s.Fleet.Class, Reclaimable: reclaimable, PricePerHour: price, Performance: machine(s)}
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

// errDemandUnknown is why a step decides nothing.
var errDemandUnknown = errors.New("demand is not known yet")

// observe gathers what the planner decides on. It returns an error where
// something of it can't be had.
func (d *duty) observe(ctx context.Context, now time.Time, svc config.Service) (fleet.Observation, error) {
	rates, known := d.opts.Demand.Rates(now, d.service)
	if !known {
		return fleet.Observation{}, errDemandUnknown
	}
	hosts, err := d.opts.Hosts.ListHosts(ctx)
	if err != nil {
		return fleet.Observation{}, err
	}
	notices, err := d.opts.Cloud.Notices(ctx)
	if err != nil {
		return fleet.Observation{}, err
	}
	d.slots = slotsByHost(d.planner.Status(now).Slots)
	mine := d.ownHosts(hosts)
	d.listed = mine
	d.prober.read(ctx, now, mine, d.urgent)
	obs := fleet.Observation{
		Demand: rates.Requests, PromptTokens: rates.PromptTokens, OutputTokens: rates.OutputTokens,
		Partial: rates.Partial,
		Offers:  offers(svc, hosts),
		Version: d.opts.Version(svc),
	}
	for _, h := range mine {
		obs.Hosts = append(obs.Hosts, d.view(now, h, announced(notices, h)))
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

// ownHosts returns the hosts that run the service or were bought for it, with
// the service's endpoints alone.
func (d *duty) ownHosts(hosts []platformapi.HostInfo) []platformapi.HostInfo {
	clear(d.shared)
	var out []platformapi.HostInfo
	for _, h := range hosts {
		var own []platformapi.EndpointInfo
		for _, e := range h.Endpoints {
			if e.Service == d.service {
				own = append(own, e)
			}
		}
		_, held := d.slots[h.Host]
		d.shared[h.Host] = len(own) < len(h.Endpoints)
		if held || len(own) > 0 {
			h.Endpoints = own
			out = append(out, h)
		}
	}
	return out
}

// urgent reports whether a host starts or drains.
func (d *duty) urgent(h ident.Host) bool {
	s, held := d.slots[h]
	return held && (s.State == fleet.SlotDraining || !s.Served)
}

// announced reports whether the reclaim of a host is announced. What the nodes
// say of a drain doesn't count.
func announced(notices []platformapi.Notice, h platformapi.HostInfo) bool {
	return h.State == platformapi.HostLeaving || slices.ContainsFunc(notices, func(n platformapi.Notice) bool {
		return n.Host == h.Host && n.Incarnation >= h.Incarnation
	})
}

func (d *duty) view(now time.Time, h platformapi.HostInfo, leaving bool) fleet.HostView {
	pr, slot := d.prober.last[h.Host], d.slots[h.Host]
	v := fleet.HostView{
		Host: h.Host, DataCentre: h.DataCentre, Class: h.Class, Reclaimable: h.Reclaimable, Leaving: leaving,
		Ready:         !pr.ready.IsZero() && now.Sub(pr.ready) < readyGrace,
		Reachable:     pr.answered.Equal(now),
		LoadedVersion: pr.loaded,
		Accepted:      d.accepted(now, h.Host, pr),
	}
	if v.LoadedVersion != "" {
		v.LoadedVersion = slot.Version // which one serves is for the version moves to say
	}
	return v
}

// accepted returns the requests on a host. A report from before all nodes had
// heard of its drain doesn't show that there are none, nor does one of a host
// that runs another service too.
func (d *duty) accepted(now time.Time, h ident.Host, pr probe) int {
	since, draining := d.drains[h]
	if !draining {
		return pr.accepted
	}
	if d.shared[h] {
		return max(1, pr.accepted)
	}
	if pr.answered.Equal(now) {
		if pr.taken.Before(since.Add(drainDelay)) {
			return max(1, pr.accepted)
		}
		return pr.accepted
	}
	quiet := since
	if pr.answered.After(quiet) {
		quiet = pr.answered
	}
	if now.Sub(quiet) >= d.opts.AbandonAfter {
		return 0
	}
	return max(1, pr.accepted)
}
