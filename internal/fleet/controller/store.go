package controller

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/jujubeshed/jujubeshed/internal/fleet"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
)

// maxPlanBytes is the maximum size of a decompressed plan.
const maxPlanBytes = 64 << 20

// planKey returns the key of a service's plan.
func planKey(s ident.Service) platformapi.Key { return platformapi.Key("fleet/" + string(s)) }

// encodePlan returns the stored form of a plan: compressed JSON.
func encodePlan(p fleet.Plan) ([]byte, error) {
	var out bytes.Buffer
	z := gzip.NewWriter(&out)
	if err := json.NewEncoder(z).Encode(p); err != nil {
		return nil, errors.Wrapf(err, "encode the plan of service %q", p.Service)
	}
	if err := z.Close(); err != nil {
		return nil, errors.Wrapf(err, "compress the plan of service %q", p.Service)
	}
	return out.Bytes(), nil
}

func decodePlan(raw []byte) (fleet.Plan, error) {
	var p fleet.Plan
	z, err := gzip.NewReader(bytes.NewReader(raw))
	if err != nil {
		return p, errors.Wrap(err, "decompress plan")
	}
	err = json.NewDecoder(io.LimitReader(z, maxPlanBytes)).Decode(&p)
	return p, errors.Wrap(err, "decode plan")
}

// loadPlan reads the plan of a service. It returns version zero if there is none.
func loadPlan(ctx context.Context, store platformapi.Store, s ident.Service) (fleet.Plan, platformapi.Version, error) {
	object, err := store.Get(ctx, planKey(s))
	if errors.Is(err, platformapi.ErrNotFound) {
		return fleet.Plan{}, 0, nil
	}
	if err != nil {
		return fleet.Plan{}, 0, err
	}
	p, err := decodePlan(object.Value)
	return p, object.Version, err
}
