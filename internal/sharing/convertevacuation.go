package sharing

import (
	"time"

	sharingv1 "github.com/jujubeshed/jujubeshed/api/gen/sharing/v1"
	"github.com/jujubeshed/jujubeshed/internal/endpointlimit"
	"github.com/jujubeshed/jujubeshed/internal/evacuation"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
	"github.com/jujubeshed/jujubeshed/internal/site"
)

func encodeEvacuations(list []evacuation.Statement) []*sharingv1.Evacuation {
	var out []*sharingv1.Evacuation
	for _, s := range list {
		out = append(out, &sharingv1.Evacuation{DataCentre: string(s.DataCentre), Version: uint64(s.Version), Removed: s.Removed})
	}
	return out
}

func decodeEvacuations(list []*sharingv1.Evacuation) []evacuation.Statement {
	var out []evacuation.Statement
	for _, msg := range list[:min(len(list), evacuation.MaxStatements)] {
		out = append(out, evacuation.Statement{DataCentre: ident.DataCentre(msg.DataCentre), Version: platformapi.Version(msg.Version), Removed: msg.Removed})
	}
	return out
}

func encodeCold(list []endpointlimit.ColdEndpoint) []*sharingv1.ColdEndpoint {
	var out []*sharingv1.ColdEndpoint
	for _, c := range list {
		out = append(out, &sharingv1.ColdEndpoint{Endpoint: uint64(c.Endpoint), Until: c.Until.UnixMilli()})
	}
	return out
}

func decodeCold(list []*sharingv1.ColdEndpoint) []endpointlimit.ColdEndpoint {
	var out []endpointlimit.ColdEndpoint
	for _, msg := range list {
		out = append(out, endpointlimit.ColdEndpoint{Endpoint: site.IncarnationHash(msg.Endpoint), Until: time.UnixMilli(msg.Until)})
	}
	return out
}
