package fleet

import (
	"fmt"
	"slices"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
)

// SlotState is the state of a slot.
type SlotState string

// The states of a slot.
const (
	SlotWanted   SlotState = "wanted"   // purchase decided; its outcome isn't known
	SlotBought   SlotState = "bought"   // the host is known
	SlotDraining SlotState = "draining" // the host gets no new work and is released when it has none
	SlotReleased SlotState = "released" // given back; kept until the host list has forgotten the host
)

// Slot is one host that the plan holds.
type Slot struct {
	ID          uint64           `json:"id"`
	DataCentre  ident.DataCentre `json:"dc"`
	Class       string           `json:"class,omitempty"`
	Reclaimable bool             `json:"reclaimable,omitempty"`
	Version     ident.Version    `json:"version,omitempty"`
	State       SlotState        `json:"state"`
	// Since is when the state began.
	Since time.Time  `json:"since"`
	Host  ident.Host `json:"host,omitempty"`
	// Served is set once the host was ready.
	Served bool `json:"served,omitempty"`
	// DrainEpoch is the holder that began the drain.
	DrainEpoch ident.Epoch `json:"drain_epoch,omitempty"`
	// Reason of the state, for operators.
	Reason string `json:"reason"`
}

// kind returns what the slot's host was bought as.
func (s Slot) kind() offerKind {
	return offerKind{s.DataCentre, s.Class, s.Reclaimable}
}

// Record counts what reclaims of a data centre cost.
type Record struct {
	DataCentre ident.DataCentre `json:"dc"`
	HostHours  float64          `json:"host_hours"` // of reclaimable hosts
	Reclaims   float64          `json:"reclaims"`   // of hosts
}

// Plan is the durable state of a service's fleet: one object of the store.
type Plan struct {
	Service ident.Service `json:"service"`
	// Epoch of the holder that wrote the plan. A new holder writes its own before
	// it acts, so that no update of an earlier one can follow.
	Epoch   ident.Epoch `json:"epoch"`
	NextID  uint64      `json:"next_id"`
	Slots   []Slot      `json:"slots"`   // by ID
	Records []Record    `json:"records"` // by data centre
}

func (p Plan) clone() Plan {
	p.Slots = slices.Clone(p.Slots)
	p.Records = slices.Clone(p.Records)
	return p
}

// changed reports whether the plan differs from old in what a holder acts on.
// Records alone aren't worth a write.
func (p Plan) changed(old Plan) bool {
	return p.Epoch != old.Epoch || p.NextID != old.NextID || !slices.EqualFunc(p.Slots, old.Slots, Slot.equal)
}

func (s Slot) equal(o Slot) bool {
	since := s.Since.Equal(o.Since)
	s.Since, o.Since = time.Time{}, time.Time{}
	return since && s == o
}

// add appends a slot for a purchase.
func (p *Plan) add(now time.Time, k offerKind, version ident.Version, reason string) {
	p.NextID++
	p.Slots = append(p.Slots, Slot{
		ID:          p.NextID,
		DataCentre:  k.DataCentre,
		Class:       k.Class,
		Reclaimable: k.Reclaimable,
		Version:     version,
		State:       SlotWanted,
		Since:       now,
		Reason:      reason,
	})
}

func (s *Slot) become(now time.Time, state SlotState, reason string) {
	s.State, s.Since, s.Reason = state, now, reason
}

// draining reports whether a slot is held and drains.
func (p Plan) draining(id uint64) bool {
	return slices.ContainsFunc(p.Slots, func(s Slot) bool { return s.ID == id && s.State == SlotDraining })
}

// request returns the purchase of a slot. Its token depends on the slot alone.
func (p Plan) request(s Slot) platformapi.BuyRequest {
	return platformapi.BuyRequest{
		Token:       fmt.Sprintf("%s-%d", p.Service, s.ID),
		DataCentre:  s.DataCentre,
		Class:       s.Class,
		Reclaimable: s.Reclaimable,
		Service:     p.Service,
		Version:     s.Version,
	}
}

// record returns the record of a data centre.
func (p *Plan) record(dc ident.DataCentre) *Record {
	i, ok := slices.BinarySearchFunc(p.Records, dc, func(r Record, dc ident.DataCentre) int {
		return compareCentres(r.DataCentre, dc)
	})
	if !ok {
		p.Records = slices.Insert(p.Records, i, Record{DataCentre: dc})
	}
	return &p.Records[i]
}
