package config

import (
	"fmt"
	"slices"
	"time"

	"github.com/goccy/go-yaml/ast"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
)

// Fleet lets the system buy and release the hosts of a service.
type Fleet struct {
	// Class of machine, as the cloud names it.
	Class string `json:"class"`
	// DataCentres in which hosts may be bought.
	DataCentres []ident.DataCentre `json:"data_centres"`
	// FirstToken and BetweenTokens are the latency target for 95 in 100 requests.
	// Defaults: 530ms and 76ms.
	FirstToken    time.Duration `json:"first_token"`
	BetweenTokens time.Duration `json:"between_tokens"`
	// MinHosts are held whatever the demand is, MaxHosts never exceeded.
	// Defaults: 2 and 64.
	MinHosts int `json:"min_hosts"`
	MaxHosts int `json:"max_hosts"`
	// PromptTokens and OutputTokens are the mean request's, until the demand
	// tells. Defaults: 800 and 200.
	PromptTokens int `json:"prompt_tokens"`
	OutputTokens int `json:"output_tokens"`
	// PrefillPerSecond and DecodePerSecond are the tokens a second of one host:
	// prompt tokens, and those of one stream alone. Defaults: 8000 and 50.
	PrefillPerSecond float64 `json:"prefill_tokens_per_second"`
	DecodePerSecond  float64 `json:"decode_tokens_per_second"`
	// ReclaimablePrice and OnDemandPrice are an hour's, in data centres where the
	// host list shows none. Defaults: 1 and 3.
	ReclaimablePrice float64 `json:"reclaimable_price"`
	OnDemandPrice    float64 `json:"on_demand_price"`
	// StartTime is from a purchase until the host can load weights, LoadTime the
	// time of loading them alone. Defaults: 1m and 16s.
	StartTime time.Duration `json:"start_time"`
	LoadTime  time.Duration `json:"load_time"`
}

// Bounds of a fleet's fields.
const (
	maxFleetHosts     = 20_000
	maxFleetCentres   = 64
	maxTokens         = 1_000_000
	minTokenRate      = 0.1
	maxTokenRate      = 1e7
	minPrice          = 1e-4
	maxPrice          = 1e6
	minLatency        = time.Millisecond
	maxLatency        = 10 * time.Minute
	maxStartTime      = 2 * time.Hour
	centreAllowed     = "names of data centres, each once,"
	machineClassBytes = 63
)

func newFleet() *Fleet {
	return &Fleet{
		FirstToken: 530 * time.Millisecond, BetweenTokens: 76 * time.Millisecond,
		MinHosts: 2, MaxHosts: 64,
		PromptTokens: 800, OutputTokens: 200,
		PrefillPerSecond: 8000, DecodePerSecond: 50,
		ReclaimablePrice: 1, OnDemandPrice: 3,
		StartTime: time.Minute, LoadTime: 16 * time.Second,
	}
}

var fleetFields = []field[Fleet]{
	{"class", versionAllowed, true, false, func(f *Fleet, n ast.Node) error {
		return matched(n, versionPattern, machineClassBytes, &f.Class)
	}},
	{"data_centres", fmt.Sprintf("a list of 1 to %d %s", maxFleetCentres, centreAllowed), true, false, func(f *Fleet, n ast.Node) error {
		return centres(n, &f.DataCentres)
	}},
	{"first_token", durationAllowed(minLatency, maxLatency), false, false, func(f *Fleet, n ast.Node) error {
		return duration(n, minLatency, maxLatency, &f.FirstToken)
	}},
	{"between_tokens", durationAllowed(minLatency, maxLatency), false, false, func(f *Fleet, n ast.Node) error {
		return duration(n, minLatency, maxLatency, &f.BetweenTokens)
	}},
	{"min_hosts", countAllowed(maxFleetHosts), false, false, func(f *Fleet, n ast.Node) error {
		return count(n, maxFleetHosts, &f.MinHosts)
	}},
	{"max_hosts", countAllowed(maxFleetHosts), false, false, func(f *Fleet, n ast.Node) error {
		return count(n, maxFleetHosts, &f.MaxHosts)
	}},
	{"prompt_tokens", countAllowed(maxTokens), false, false, func(f *Fleet, n ast.Node) error {
		return count(n, maxTokens, &f.PromptTokens)
	}},
	{"output_tokens", countAllowed(maxTokens), false, false, func(f *Fleet, n ast.Node) error {
		return count(n, maxTokens, &f.OutputTokens)
	}},
	rateField("prefill_tokens_per_second", minTokenRate, maxTokenRate, func(f *Fleet) *float64 { return &f.PrefillPerSecond }),
	rateField("decode_tokens_per_second", minTokenRate, maxTokenRate, func(f *Fleet) *float64 { return &f.DecodePerSecond }),
	rateField("reclaimable_price", minPrice, maxPrice, func(f *Fleet) *float64 { return &f.ReclaimablePrice }),
	rateField("on_demand_price", minPrice, maxPrice, func(f *Fleet) *float64 { return &f.OnDemandPrice }),
	{"start_time", durationAllowed(0, maxStartTime), false, false, func(f *Fleet, n ast.Node) error {
		return duration(n, 0, maxStartTime, &f.StartTime)
	}},
	{"load_time", durationAllowed(0, maxStartTime), false, false, func(f *Fleet, n ast.Node) error {
		return duration(n, 0, maxStartTime, &f.LoadTime)
	}},
}

// rateField describes a field that is a number from lo to hi.
func rateField(name string, lo, hi float64, target func(*Fleet) *float64) field[Fleet] {
	return field[Fleet]{name, fmt.Sprintf("a number from %v to %v", lo, hi), false, false, func(f *Fleet, n ast.Node) error {
		return number(n, lo, hi, target(f))
	}}
}

func centres(n ast.Node, target *[]ident.DataCentre) error {
	values, err := list(n)
	if err != nil || len(values) > maxFleetCentres {
		return errNotAllowed
	}
	out := make([]ident.DataCentre, len(values))
	for i, v := range values {
		if err := matched(v, namePattern, maxKeyLen, &out[i]); err != nil {
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
			report(m, SeverityError, sectionServices, name, "fleet", o, "",
				"hosts are bought for services of kind engine only, not %s", o.value.Kind)
		}
		if f.MinHosts > f.MaxHosts {
			report(m, SeverityError, sectionServices, name, "fleet", o, "",
				"min_hosts is %d and max_hosts %d; max_hosts of at least min_hosts is allowed", f.MinHosts, f.MaxHosts)
		}
		if len(f.DataCentres) == 1 {
			report(m, SeverityWarning, sectionServices, name, "fleet", o, string(f.DataCentres[0]),
				"has one data centre, whose loss stops the service; name two or more")
		}
	}
}
