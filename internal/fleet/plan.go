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
	SlotWanted   SlotState = "wanted"   // purchase decided, outcome unknown
	SlotBought   SlotState = "bought"   // the host is known
	SlotDraining SlotState = "draining" // the host gets no new requests and is released once it has none
	SlotReleased SlotState = "released" // released; kept until the host is gone from the host list
)

// Slot is one host of the plan, from the decision to buy it to its release.
type Slot struct {
	ID          uint64           `json:"id"`
	DataCentre  ident.DataCentre `json:"dc"`
	Class       string           `json:"class,omitempty"`
	Reclaimable bool             `json:"reclaimable,omitempty"`
	Version     ident.Version    `json:"version,omitempty"`
	State       SlotState        `json:"state"`
	// Since is when the slot entered its state.
	Since time.Time  `json:"since"`
	Host  ident.Host `json:"host,omitempty"`
	// Served is set once the host has been ready.
	Served bool `json:"served,omitempty"`
	// DrainEpoch is the lease epoch of the holder that started the drain.
	DrainEpoch ident.Epoch `json:"drain_epoch,omitempty"`
	// Reason explains the state to operators.
	Reason string `json:"reason"`
}

// kind returns the kind of host that the slot is for.
func (s Slot) kind() offerKind {
	return offerKind{s.DataCentre, s.Class, s.Reclaimable}
}

// ReclaimRecord is the reclaim history of a data centre.
type ReclaimRecord struct {
	DataCentre ident.DataCentre `json:"dc"`
	HostHours  float64          `json:"host_hours"` // running time of reclaimable hosts
	Reclaims   float64          `json:"reclaims"`   // number of reclaimed hosts
}

// Plan is the durable state of a service's fleet, stored as one object.
type Plan struct {
	Service ident.Service `json:"service"`
	// Epoch is the lease epoch of the holder that wrote the plan. A new holder writes
	// its own before it acts, so that no update of an earlier holder can follow.
	Epoch          ident.Epoch     `json:"epoch"`
	NextID         uint64          `json:"next_id"`
	Slots          []Slot          `json:"slots"`   // ordered by ID
	ReclaimRecords []ReclaimRecord `json:"records"` // ordered by data centre
}

func (p Plan) clone() Plan {
	p.Slots = slices.Clone(p.Slots)
	p.ReclaimRecords = slices.Clone(p.ReclaimRecords)
	return p
}

// changed reports whether the plan differs from old in its epoch or slots. A change
// of the reclaim records alone does not justify a write.
func (p Plan) changed(old Plan) bool {
	return p.Epoch != old.Epoch || p.NextID != old.NextID || !slices.EqualFunc(p.Slots, old.Slots, Slot.equal)
}

func (s Slot) equal(o Slot) bool {
	since := s.Since.Equal(o.Since)
	s.Since, o.Since = time.Time{}, time.Time{}
	return since && s == o
}

// addSlot appends a slot for a purchase.
func (p *Plan) addSlot(now time.Time, kind offerKind, version ident.Version, reason string) {
	p.NextID++
	p.Slots = append(p.Slots, Slot{
		ID:          p.NextID,
		DataCentre:  kind.DataCentre,
		Class:       kind.Class,
		Reclaimable: kind.Reclaimable,
		Version:     version,
		State:       SlotWanted,
		Since:       now,
		Reason:      reason,
	})
}

func (s *Slot) setState(now time.Time, state SlotState, reason string) {
	s.State, s.Since, s.Reason = state, now, reason
}

// isDraining reports whether the plan contains the slot and the slot is draining.
func (p Plan) isDraining(id uint64) bool {
	return slices.ContainsFunc(p.Slots, func(s Slot) bool { return s.ID == id && s.State == SlotDraining })
}

// buyRequest returns the purchase for a slot. Its token depends on the service and
// the slot's ID only.
func (p Plan) buyRequest(s Slot) platformapi.BuyRequest {
	return platformapi.BuyRequest{
		Token:       fmt.Sprintf("%s-%d", p.Service, s.ID),
		DataCentre:  s.DataCentre,
		Class:       s.Class,
		Reclaimable: s.Reclaimable,
		Service:     p.Service,
		Version:     s.Version,
	}
}

// reclaimRecord returns the record of a data centre, and adds it if there is none.
func (p *Plan) reclaimRecord(dc ident.DataCentre) *ReclaimRecord {
	i, ok := slices.BinarySearchFunc(p.ReclaimRecords, dc, func(r ReclaimRecord, dc ident.DataCentre) int {
		return compareDataCentres(r.DataCentre, dc)
	})
	if !ok {
		p.ReclaimRecords = slices.Insert(p.ReclaimRecords, i, ReclaimRecord{DataCentre: dc})
	}
	return &p.ReclaimRecords[i]
}
