package sharing

import (
	"time"

	sharingv1 "github.com/jujubeshed/jujubeshed/api/gen/sharing/v1"
	"github.com/jujubeshed/jujubeshed/internal/endpointlimit"
	"github.com/jujubeshed/jujubeshed/internal/site"
)

func encodeLimits(list []endpointlimit.Observation) []*sharingv1.EndpointLimit {
	var out []*sharingv1.EndpointLimit
	for _, o := range list {
		out = append(out, &sharingv1.EndpointLimit{Endpoint: uint64(o.Endpoint), Named: o.Limited, PerSecond: o.PerSecond, Brittle: o.Brittle, MaxRefusals: o.MaxRefusals, At: o.At.UnixMilli()})
	}
	return out
}

func decodeLimits(list []*sharingv1.EndpointLimit) []endpointlimit.Observation {
	var out []endpointlimit.Observation
	for _, msg := range list {
		out = append(out, endpointlimit.Observation{
			Endpoint: site.IncarnationHash(msg.Endpoint), Limited: msg.Named, PerSecond: msg.PerSecond, Brittle: msg.Brittle, MaxRefusals: msg.MaxRefusals, At: time.UnixMilli(msg.At),
		})
	}
	return out
}
