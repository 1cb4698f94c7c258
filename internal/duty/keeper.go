package duty

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubeshed/jujubeshed/internal/kernel"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
)

// kindNodes is the kind of the records that nodes keep in the store.
const kindNodes = "nodes"

const (
	// lookEvery is how often a keeper looks whether its record is due.
	lookEvery = 250 * time.Millisecond
	// writesPerSecond bounds the writes of all records: the nodes tell each other their
	// counts all the time, so that the store matters only when many die at once.
	writesPerSecond = 5
	// minFlushInterval and maxFlushInterval bound the time between two writes: a
	// window's report is due two windows after its end.
	minFlushInterval = 1500 * time.Millisecond
	maxFlushInterval = 8 * time.Second
)

// Recorder keeps this node's record in the store.
type Recorder struct {
	store   platformapi.Store
	key     platformapi.Key
	address string
	tally   *UsageTable
	nodes   func() int
	log     *slog.Logger
	loop    *kernel.Loop

	mu      sync.Mutex
	known   bool // the record's version is known
	begun   bool // the counts of a former life were taken over
	version platformapi.Version
	last    time.Time // of the last write
	written string    // the counts that were last written
}

// NewRecorder returns a keeper that has not started; nodes returns the number of those
// that are alive.
func NewRecorder(store platformapi.Store, address string, t *UsageTable, nodes func() int, log *slog.Logger) *Recorder {
	k := &Recorder{store: store, key: platformapi.Key(kindNodes + "/" + t.node), address: address, tally: t, nodes: nodes, log: log}
	k.loop = kernel.NewLoop(lookEvery, k.look)
	return k
}

// Start begins to write the record.
func (k *Recorder) Start(ctx context.Context) error { return k.loop.Start(ctx) }

// Stop writes it a last time.
func (k *Recorder) Stop(ctx context.Context) error {
	err := k.loop.Stop(ctx)
	k.Flush(ctx)
	return err
}

// look writes the record when it is due.
func (k *Recorder) look(ctx context.Context) {
	interval := time.Duration(k.nodes()) * time.Second / writesPerSecond
	interval = min(max(interval, minFlushInterval), maxFlushInterval)
	k.mu.Lock()
	due := time.Since(k.last) >= interval
	k.mu.Unlock()
	if due {
		k.Flush(ctx)
	}
}

// Flush writes the record where its counts have changed.
func (k *Recorder) Flush(ctx context.Context) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.last = time.Now()
	if !k.known && !k.recall(ctx) {
		return
	}
	record := k.tally.Record(k.address)
	counts, err := json.Marshal(record.Lives)
	if err != nil {
		k.log.Error("usage: Counts cannot be encoded.", "error", err)
		return
	}
	if string(counts) == k.written && k.version != 0 {
		return
	}
	raw, err := json.Marshal(record)
	if err != nil {
		k.log.Error("usage: Record cannot be encoded.", "error", err)
		return
	}
	version, err := k.store.Put(ctx, k.key, raw, k.version)
	if err != nil {
		// What was written is not known: the next time reads it first. The counts
		// themselves are all in memory and go out whole.
		k.known = false
		k.log.Warn("usage: Record cannot be written.", "version", k.version, "error", err)
		return
	}
	k.version, k.written = version, string(counts)
}

// recall reads the record's version, and the counts of former lives the first time.
func (k *Recorder) recall(ctx context.Context) bool {
	o, err := k.store.Get(ctx, k.key)
	if err != nil && !errors.Is(err, platformapi.ErrNotFound) {
		k.log.Warn("usage: Record cannot be read.", "error", err)
		return false
	}
	if err == nil && !k.begun {
		var r Record
		if err := json.Unmarshal(o.Value, &r); err != nil {
			k.log.Warn("usage: Record of a former life is not readable and is replaced.", "error", err)
		}
		k.tally.Add(r)
	}
	k.known, k.begun, k.version = true, true, o.Version
	return true
}

// addRecords takes the records of all nodes into a tally.
func addRecords(ctx context.Context, store platformapi.Feed, t *UsageTable, log *slog.Logger) error {
	snap, err := store.Snapshot(ctx, kindNodes)
	if err != nil {
		return err
	}
	for _, r := range decodeRecords(snap.Objects, log) {
		t.Add(r)
	}
	return nil
}

// decodeRecords decodes the records that can be read.
func decodeRecords(objects []platformapi.Object, log *slog.Logger) []Record {
	out := make([]Record, 0, len(objects))
	for _, o := range objects {
		var r Record
		if err := json.Unmarshal(o.Value, &r); err != nil {
			log.Warn("usage: Record of a node is not readable.", "key", string(o.Key), "error", err)
			continue
		}
		out = append(out, r)
	}
	return out
}

// Addresses returns the addresses that nodes have recorded; some may be of nodes that
// are gone.
func Addresses(ctx context.Context, store platformapi.Store, log *slog.Logger) ([]string, error) {
	objects, err := store.List(ctx, kindNodes)
	if err != nil {
		return nil, err
	}
	var out []string
	for _, r := range decodeRecords(objects, log) {
		out = append(out, r.Address)
	}
	return out, nil
}
