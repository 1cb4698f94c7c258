package platformapi

import (
	api "github.com/jujubeshed/jujubeshed/api/gen/platform"
	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// HostToAPI converts a host to its wire format.
func HostToAPI(h HostInfo) api.Host {
	out := api.Host{
		Host:         string(h.Host),
		DataCentre:   string(h.DataCentre),
		Incarnation:  uint64(h.Incarnation),
		State:        api.HostState(h.State),
		Reclaimable:  api.NewOptBool(h.Reclaimable),
		PricePerHour: api.NewOptFloat64(h.PricePerHour),
		Class:        api.NewOptString(h.Class),
	}
	if !h.Deadline.IsZero() {
		out.Deadline = api.NewOptUnixMilli(h.Deadline)
	}
	for _, e := range h.Endpoints {
		out.Endpoints = append(out.Endpoints, api.Endpoint{
			ID:      string(e.ID),
			Address: e.Address,
			Kind:    api.EndpointKind(e.Kind),
			Service: string(e.Service),
			Version: string(e.Version),
		})
	}
	return out
}

// HostFromAPI converts a host from its wire format.
func HostFromAPI(h api.Host) HostInfo {
	out := HostInfo{
		Host:         ident.Host(h.Host),
		DataCentre:   ident.DataCentre(h.DataCentre),
		Incarnation:  ident.Incarnation(h.Incarnation),
		State:        HostState(h.State),
		Deadline:     h.Deadline.Value,
		Reclaimable:  h.Reclaimable.Value,
		PricePerHour: h.PricePerHour.Value,
		Class:        h.Class.Value,
	}
	for _, e := range h.Endpoints {
		if hasOddPort(e.Address) {
			continue // another writer's; nothing can be sent there
		}
		out.Endpoints = append(out.Endpoints, EndpointInfo{
			ID:      ident.EndpointID(e.ID),
			Address: e.Address,
			Kind:    EndpointKind(e.Kind),
			Service: ident.Service(e.Service),
			Version: ident.Version(e.Version),
		})
	}
	return out
}

func objectFromAPI(o api.Object) Object {
	return Object{Key: Key(o.Key), Version: Version(o.Version), Value: o.Value}
}

func objectsFromAPI(list []api.Object) []Object {
	out := make([]Object, 0, len(list))
	for _, o := range list {
		out = append(out, objectFromAPI(o))
	}
	return out
}
