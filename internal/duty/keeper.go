package duty

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/kernel"
	"github.com/jujubeshed/jujubeshed/internal/platform"
)

// kindNodes is the kind of the records that nodes keep in the store.
const kindNodes = "nodes"

const (
	// flushEvery is how often a node's counts go to the store: a node that dies takes
	// at most a fifth of a window's counts of its own with it.
	flushEvery = time.Second
	// idleFlushes is the number of intervals after which counts that have not
	// changed are confirmed all the same, so that a window can be closed.
	idleFlushes = 3
)

// Keeper keeps this node's record in the store.
type Keeper struct {
	store   platform.Store
	key     platform.Key
	address string
	meter   *Meter
	log     *slog.Logger
	loop    *kernel.Loop

	mu      sync.Mutex
	known   bool // the record's version is known
	begun   bool // the counts of a former life were taken over
	version platform.Version
	idle    int
}

// NewKeeper returns a keeper that has not started.
func NewKeeper(store platform.Store, node ident.NodeID, address string, m *Meter, log *slog.Logger) *Keeper {
	k := &Keeper{store: store, key: platform.Key(kindNodes + "/" + string(node)), address: address, meter: m, log: log}
	k.loop = kernel.NewLoop(flushEvery, k.Flush)
	return k
}

// Start begins to write the record.
func (k *Keeper) Start(ctx context.Context) error { return k.loop.Start(ctx) }

// Stop writes it a last time.
func (k *Keeper) Stop(ctx context.Context) error {
	err := k.loop.Stop(ctx)
	k.idle = idleFlushes
	k.Flush(ctx)
	return err
}

// Flush writes the record where it has changed.
func (k *Keeper) Flush(ctx context.Context) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.known && !k.recall(ctx) {
		return
	}
	asOf := time.Now()
	windows, changed := k.meter.Snapshot()
	if k.idle++; !changed && k.version != 0 && k.idle < idleFlushes {
		return
	}
	raw, err := json.Marshal(Record{Address: k.address, AsOf: asOf.UnixMilli(), Windows: windows})
	if err != nil {
		k.log.Error("usage: Record cannot be encoded.", "error", err)
		return
	}
	version, err := k.store.Put(ctx, k.key, raw, k.version)
	if err != nil {
		// What was written is not known: the next time reads it first. The counts
		// themselves are all in memory and go out whole.
		k.known = false
		k.idle = idleFlushes
		k.log.Warn("usage: Record cannot be written.", "version", k.version, "error", err)
		return
	}
	k.version, k.idle = version, 0
}

// recall reads the record's version, and the counts of a former life the first
// time.
func (k *Keeper) recall(ctx context.Context) bool {
	o, err := k.store.Get(ctx, k.key)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		k.log.Warn("usage: Record cannot be read.", "error", err)
		return false
	}
	var r Record
	if err == nil {
		if err := json.Unmarshal(o.Value, &r); err != nil {
			k.log.Warn("usage: Record of a former life is not readable and is replaced.", "error", err)
		}
	}
	if !k.begun {
		k.meter.Restore(r.Windows)
		k.begun = true
	}
	k.known, k.version = true, o.Version
	return true
}

// records reads the records of all nodes.
func records(ctx context.Context, store platform.Feed, log *slog.Logger) ([]Record, error) {
	snap, err := store.Snapshot(ctx, kindNodes)
	if err != nil {
		return nil, err
	}
	out := make([]Record, 0, len(snap.Objects))
	for _, o := range snap.Objects {
		var r Record
		if err := json.Unmarshal(o.Value, &r); err != nil {
			log.Warn("usage: Record of a node is not readable.", "key", string(o.Key), "error", err)
			continue
		}
		out = append(out, r)
	}
	return out, nil
}

// Addresses returns the addresses that nodes have recorded; some may be of nodes
// that are gone.
func Addresses(ctx context.Context, store platform.Feed, log *slog.Logger) ([]string, error) {
	list, err := records(ctx, store, log)
	if err != nil {
		return nil, err
	}
	out := make([]string, 0, len(list))
	for _, r := range list {
		out = append(out, r.Address)
	}
	return out, nil
}
