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

// kindNodes is the kind of the nodes' records in the store.
const kindNodes = "nodes"

const (
	// checkInterval is how often a recorder checks whether its record is due.
	checkInterval = 250 * time.Millisecond
	// writesPerSecond limits the writes of all nodes together. The nodes also exchange
	// their counts directly, so the stored ones matter only when many fail at once.
	writesPerSecond = 5
	// minFlushInterval and maxFlushInterval limit the time between two writes of a node.
	// A window's report is due two windows after its end.
	minFlushInterval = 1500 * time.Millisecond
	maxFlushInterval = 8 * time.Second
)

// Recorder writes this node's usage record to the store.
type Recorder struct {
	store     platformapi.Feed
	key       platformapi.Key
	address   string
	usage     *UsageTable
	nodeCount func() int
	log       *slog.Logger
	loop      *kernel.Loop

	mu            sync.Mutex
	versionKnown  bool // version is that of the stored record
	recovered     bool // the counts of earlier incarnations were read
	version       platformapi.Version
	lastAttempt   time.Time // time of the last attempt to write
	writtenCounts string    // encoded counts of the last successful write
}

// NewRecorder returns a recorder that has not started; nodeCount returns the number of
// live nodes.
func NewRecorder(store platformapi.Feed, address string, table *UsageTable, nodeCount func() int, log *slog.Logger) *Recorder {
	r := &Recorder{store: store, key: platformapi.Key(kindNodes + "/" + table.node), address: address, usage: table, nodeCount: nodeCount, log: log}
	r.loop = kernel.NewLoop(checkInterval, r.flushIfDue)
	return r
}

// Start starts writing the record in the background.
func (r *Recorder) Start(ctx context.Context) error { return r.loop.Start(ctx) }

// Stop ends the writing in the background and writes the record a last time.
func (r *Recorder) Stop(ctx context.Context) error {
	err := r.loop.Stop(ctx)
	r.Flush(ctx)
	return err
}

// flushIfDue writes the record if the interval since the last attempt has passed.
func (r *Recorder) flushIfDue(ctx context.Context) {
	interval := time.Duration(r.nodeCount()) * time.Second / writesPerSecond
	interval = min(max(interval, minFlushInterval), maxFlushInterval)
	r.mu.Lock()
	due := time.Since(r.lastAttempt) >= interval
	r.mu.Unlock()
	if due {
		r.Flush(ctx)
	}
}

// Flush writes the record if its counts have changed since the last write.
func (r *Recorder) Flush(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastAttempt = time.Now()
	if r.version.Era() < r.store.Era() {
		r.versionKnown, r.writtenCounts = false, "" // the store was restored: the record may be gone
	}
	if !r.versionKnown && !r.load(ctx) {
		return
	}
	record := r.usage.Record(r.address)
	counts, err := json.Marshal(record.Incarnations)
	if err != nil {
		r.log.Error("usage: Counts cannot be encoded.", "error", err)
		return
	}
	if string(counts) == r.writtenCounts && r.version != 0 {
		return
	}
	raw, err := json.Marshal(record)
	if err != nil {
		r.log.Error("usage: Record cannot be encoded.", "error", err)
		return
	}
	version, err := r.store.Put(ctx, r.key, raw, r.version)
	if err != nil {
		// The write may have been applied: the next attempt reads the record's version
		// first. No counts are lost, as each write contains all of them.
		r.versionKnown = false
		r.log.Warn("usage: Record cannot be written.", "version", r.version, "error", err)
		return
	}
	r.version, r.writtenCounts = version, string(counts)
}

// load reads the record's version and, the first time, the counts of earlier
// incarnations. It reports whether the record could be read.
func (r *Recorder) load(ctx context.Context) bool {
	o, err := r.store.Get(ctx, r.key)
	if err != nil && !errors.Is(err, platformapi.ErrNotFound) {
		r.log.Warn("usage: Record cannot be read.", "error", err)
		return false
	}
	if err == nil && !r.recovered {
		var record Record
		if err := json.Unmarshal(o.Value, &record); err != nil {
			r.log.Warn("usage: Record of an earlier incarnation cannot be decoded and is replaced.", "error", err)
		}
		r.usage.MergeRecord(record)
	}
	r.versionKnown, r.recovered, r.version = true, true, o.Version
	return true
}

// mergeRecords merges the stored records of all nodes into a usage table.
func mergeRecords(ctx context.Context, store platformapi.Feed, t *UsageTable, log *slog.Logger) error {
	snap, err := store.Snapshot(ctx, kindNodes)
	if err != nil {
		return err
	}
	for _, r := range decodeRecords(snap.Objects, log) {
		t.MergeRecord(r)
	}
	return nil
}

// decodeRecords decodes records. It logs those that cannot be decoded and skips them.
func decodeRecords(objects []platformapi.Object, log *slog.Logger) []Record {
	out := make([]Record, 0, len(objects))
	for _, o := range objects {
		var r Record
		if err := json.Unmarshal(o.Value, &r); err != nil {
			log.Warn("usage: Record of a node cannot be decoded.", "key", string(o.Key), "error", err)
			continue
		}
		out = append(out, r)
	}
	return out
}

// Addresses returns the addresses in the nodes' stored records; some may be of nodes
// that no longer exist.
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
