package mover

import (
	"context"
	"strings"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/move"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
)

// loadRecords reads all records once, so that a new node knows which version serves.
// If the store does not respond, the next tick retries.
func (m *Mover) loadRecords(ctx context.Context) {
	m.mu.Lock()
	loaded := m.mu.loaded
	m.mu.Unlock()
	if loaded {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, m.opts.CallTimeout)
	defer cancel()
	objects, err := m.opts.Store.List(ctx, move.KeyPrefix)
	if err != nil {
		m.opts.Log.Warn("move: Records cannot be read.", "error", err)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.mu.loaded = true
	for _, o := range objects {
		name := ident.MoveName(strings.TrimPrefix(string(o.Key), string(move.KeyPrefix)))
		m.controllerLocked(name).HandleRead(o, nil)
	}
}

// performLocked performs an action of a controller. Store calls run in goroutines of
// their own, so that a slow store does not delay marks.
func (m *Mover) performLocked(ctx context.Context, name ident.MoveName, c *move.Controller, a move.Action) {
	switch a := a.(type) {
	case move.MarkAction:
		m.opts.Metrics.brakes.Inc()
		m.opts.Log.Warn("move: Version marked as bad.", "move", name, "version", a.Mark.Version, "reason", a.Mark.Reason)
	case move.ReadAction:
		m.storeCall(ctx, func(ctx context.Context) func() {
			object, err := m.opts.Store.Get(ctx, move.RecordKey(name))
			return func() { c.HandleRead(object, err) }
		})
	case move.PutAction:
		m.storeCall(ctx, func(ctx context.Context) func() {
			version, err := m.opts.Store.Put(ctx, move.RecordKey(name), a.Value, a.Expect)
			return func() { m.putDoneLocked(name, c, version, err) }
		})
	}
}

func (m *Mover) putDoneLocked(name ident.MoveName, c *move.Controller, version platformapi.Version, err error) {
	c.HandlePut(version, err)
	if err != nil {
		m.opts.Log.Warn("move: Record cannot be written.", "move", name, "error", err)
		return
	}
	r := c.Record()
	m.opts.Log.Info("move: Record written.", "move", name, "state", r.State, "share", r.Share.String(), "reason", r.Reason)
}

// storeCall runs f, which calls the store, in a goroutine of its own, and then the
// function that f returns, which handles the result, with m.mu locked.
func (m *Mover) storeCall(ctx context.Context, f func(context.Context) func()) {
	m.opts.Metrics.calls.Inc()
	m.calls.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, m.opts.CallTimeout)
		defer cancel()
		handle := f(ctx)
		m.mu.Lock()
		defer m.mu.Unlock()
		handle()
		if cfg := m.opts.Config(); cfg != nil {
			m.publishSplitsLocked(cfg)
		}
	})
}
