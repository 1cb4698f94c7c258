package sharing

import (
	"math"

	sharingv1 "github.com/jujubeshed/jujubeshed/api/gen/sharing/v1"
	"github.com/jujubeshed/jujubeshed/internal/performance"
)

// percent is the unit in which ratios are sent.
const percent = 100

func encodeSpeeds(msg *sharingv1.Row, r performance.Report) {
	if len(r.Measurements) == 0 {
		return
	}
	msg.SpeedFirst = r.First
	for _, m := range r.Measurements {
		msg.SpeedEndpoints = append(msg.SpeedEndpoints, uint32(m.Endpoint))
		msg.SpeedRatios = append(msg.SpeedRatios, uint32(min(max(m.Ratio*percent, 1), math.MaxUint32)))
	}
}

func decodeSpeeds(msg *sharingv1.Row) performance.Report {
	r := performance.Report{First: msg.SpeedFirst}
	for i := range min(len(msg.SpeedEndpoints), len(msg.SpeedRatios)) {
		r.Measurements = append(r.Measurements, performance.Measurement{
			Endpoint: performance.Endpoint(msg.SpeedEndpoints[i]), Ratio: float64(msg.SpeedRatios[i]) / percent,
		})
	}
	return r
}
