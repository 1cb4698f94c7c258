package config

import (
	"fmt"
	"slices"
	"time"

	"github.com/goccy/go-yaml/ast"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
)

// Fleet configures how the system buys and releases the hosts of a service.
type Fleet struct {
	// Class is the cloud's name of the machine type.
	Class string `json:"class"`
	// DataCentres are the ones in which hosts may be bought.
	DataCentres []ident.DataCentre `json:"data_centres"`
	// FirstToken and BetweenTokens are the latency targets for the 95th percentile:
	// time to first token and inter-token gap. Defaults: 530ms and 76ms.
	FirstToken    time.Duration `json:"first_token"`
	BetweenTokens time.Duration `json:"between_tokens"`
	// MinHosts and MaxHosts limit the number of hosts, whatever the demand.
	// Defaults: 2 and 64.
	MinHosts int `json:"min_hosts"`
	MaxHosts int `json:"max_hosts"`
	// PromptTokens and OutputTokens are the assumed mean per request until there are
	// measurements. Defaults: 800 and 200.
	PromptTokens int `json:"prompt_tokens"`
	OutputTokens int `json:"output_tokens"`
	// PrefillPerSec is the number of prompt tokens per second that one host
	// processes, DecodePerSec the number of output tokens per second of a single
	// stream. Defaults: 8000 and 50.
	PrefillPerSec float64 `json:"prefill_tokens_per_second"`
	DecodePerSec  float64 `json:"decode_tokens_per_second"`
	// ReclaimablePrice and OnDemandPrice are the prices per host and hour in data
	// centres for which the host list gives none. Defaults: 1 and 3.
	ReclaimablePrice float64 `json:"reclaimable_price"`
	OnDemandPrice    float64 `json:"on_demand_price"`
	// StartTime is the time from the purchase of a host until it can load weights,
	// LoadTime the time to load them. Defaults: 1m and 16s.
	StartTime time.Duration `json:"start_time"`
	LoadTime  time.Duration `json:"load_time"`
}

// Limits of the fields of a fleet.
const (
	maxFleetHosts       = 20_000
	maxFleetDataCentres = 64
	maxTokens           = 1_000_000
	minTokenRate        = 0.1
	maxTokenRate        = 1e7
	minPrice            = 1e-4
	maxPrice            = 1e6
	minLatency          = time.Millisecond
	maxLatency          = 10 * time.Minute
	maxStartTime        = 2 * time.Hour
	dataCentresAllowed  = "names of data centres, each once,"
	machineClassBytes   = 63
)

func newFleet() *Fleet {
	return &Fleet{
		FirstToken: 530 * time.Millisecond, BetweenTokens: 76 * time.Millisecond,
		MinHosts: 2, MaxHosts: 64,
		PromptTokens: 800, OutputTokens: 200,
		PrefillPerSec: 8000, DecodePerSec: 50,
		ReclaimablePrice: 1, OnDemandPrice: 3,
		StartTime: time.Minute, LoadTime: 16 * time.Second,
	}
}

var fleetFields = []field[Fleet]{
	{"class", versionAllowed, true, false, func(f *Fleet, n ast.Node) error {
		return decodeMatching(n, versionPattern, machineClassBytes, &f.Class)
	}},
	{"data_centres", fmt.Sprintf("a list of 1 to %d %s", maxFleetDataCentres, dataCentresAllowed), true, false, func(f *Fleet, n ast.Node) error {
		return decodeDataCentres(n, &f.DataCentres)
	}},
	{"first_token", durationAllowed(minLatency, maxLatency), false, false, func(f *Fleet, n ast.Node) error {
		return decodeDuration(n, minLatency, maxLatency, &f.FirstToken)
	}},
	{"between_tokens", durationAllowed(minLatency, maxLatency), false, false, func(f *Fleet, n ast.Node) error {
		return decodeDuration(n, minLatency, maxLatency, &f.BetweenTokens)
	}},
	{"min_hosts", countAllowed(maxFleetHosts), false, false, func(f *Fleet, n ast.Node) error {
		return decodeCount(n, maxFleetHosts, &f.MinHosts)
	}},
	{"max_hosts", countAllowed(maxFleetHosts), false, false, func(f *Fleet, n ast.Node) error {
		return decodeCount(n, maxFleetHosts, &f.MaxHosts)
	}},
	{"prompt_tokens", countAllowed(maxTokens), false, false, func(f *Fleet, n ast.Node) error {
		return decodeCount(n, maxTokens, &f.PromptTokens)
	}},
	{"output_tokens", countAllowed(maxTokens), false, false, func(f *Fleet, n ast.Node) error {
		return decodeCount(n, maxTokens, &f.OutputTokens)
	}},
	rateField("prefill_tokens_per_second", minTokenRate, maxTokenRate, func(f *Fleet) *float64 { return &f.PrefillPerSec }),
	rateField("decode_tokens_per_second", minTokenRate, maxTokenRate, func(f *Fleet) *float64 { return &f.DecodePerSec }),
	rateField("reclaimable_price", minPrice, maxPrice, func(f *Fleet) *float64 { return &f.ReclaimablePrice }),
	rateField("on_demand_price", minPrice, maxPrice, func(f *Fleet) *float64 { return &f.OnDemandPrice }),
	{"start_time", durationAllowed(0, maxStartTime), false, false, func(f *Fleet, n ast.Node) error {
		return decodeDuration(n, 0, maxStartTime, &f.StartTime)
	}},
	{"load_time", durationAllowed(0, maxStartTime), false, false, func(f *Fleet, n ast.Node) error {
		return decodeDuration(n, 0, maxStartTime, &f.LoadTime)
	}},
}

// rateField returns an optional field whose value is a number from lo to hi.
func rateField(name string, lo, hi float64, target func(*Fleet) *float64) field[Fleet] {
	return field[Fleet]{name, fmt.Sprintf("a number from %v to %v", lo, hi), false, false, func(f *Fleet, n ast.Node) error {
		return decodeNumber(n, lo, hi, target(f))
	}}
}

func decodeDataCentres(n ast.Node, target *[]ident.DataCentre) error {
	values, err := listElements(n)
	if err != nil || len(values) > maxFleetDataCentres {
		return errNotAllowed
	}
	out := make([]ident.DataCentre, len(values))
	for i, v := range values {
		if err := decodeMatching(v, namePattern, maxKeyLen, &out[i]); err != nil {
			return err
		}
		if slices.Contains(out[:i], out[i]) {
			return errNotAllowed
		}
	}
	*target = out
	return nil
}

func (m *merger) checkFleets() {
	for _, name := range sortedNames(m.services) {
		o := m.services[name]
		f := o.value.Fleet
		if f == nil {
			continue
		}
		if o.value.Kind != platformapi.KindEngine {
			addDiagnostic(m, SeverityError, sectionServices, name, "fleet", o, "",
				"hosts are bought for services of kind engine only, not %s", o.value.Kind)
		}
		if f.MinHosts > f.MaxHosts {
			addDiagnostic(m, SeverityError, sectionServices, name, "fleet", o, "",
				"min_hosts is %d and max_hosts %d; max_hosts of at least min_hosts is allowed", f.MinHosts, f.MaxHosts)
		}
		if len(f.DataCentres) == 1 {
			addDiagnostic(m, SeverityWarning, sectionServices, name, "fleet", o, string(f.DataCentres[0]),
				"has one data centre, whose loss stops the service; name two or more")
		}
	}
}
