package mover

import (
	"context"
	"strings"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/move"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
)

// load reads all records once, so that a new node knows which version serves. It
// tries again at the next tick where the store does not answer.
func (m *Mover) load(ctx context.Context) {
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

// actLocked does what a controller asks for. Store calls run apart, so that a slow
// store holds up no brake.
func (m *Mover) actLocked(ctx context.Context, name ident.MoveName, c *move.Controller, a move.Action) {
	switch a := a.(type) {
	case move.MarkAction:
		m.opts.Metrics.brakes.Inc()
		m.opts.Log.Warn("move: Version marked as bad.", "move", name, "version", a.Mark.Version, "reason", a.Mark.Reason)
	case move.ReadAction:
		m.call(ctx, func(ctx context.Context) func() {
			object, err := m.opts.Store.Get(ctx, move.RecordKey(name))
			return func() { c.HandleRead(object, err) }
		})
	case move.PutAction:
		m.call(ctx, func(ctx context.Context) func() {
			version, err := m.opts.Store.Put(ctx, move.RecordKey(name), a.Value, a.Expect)
			return func() { m.wroteLocked(name, c, version, err) }
		})
	}
}

func (m *Mover) wroteLocked(name ident.MoveName, c *move.Controller, version platformapi.Version, err error) {
	c.HandlePut(version, err)
	if err != nil {
		m.opts.Log.Warn("move: Record cannot be written.", "move", name, "error", err)
		return
	}
	r := c.Record()
	m.opts.Log.Info("move: Recorded.", "move", name, "state", r.State, "share", r.Share.String(), "reason", r.Reason)
}

// call makes a store call in a goroutine of its own and hands the answer in.
func (m *Mover) call(ctx context.Context, f func(context.Context) func()) {
	m.opts.Metrics.calls.Inc()
	m.calls.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, m.opts.CallTimeout)
		defer cancel()
		answer := f(ctx)
		m.mu.Lock()
		defer m.mu.Unlock()
		answer()
		if cfg := m.opts.Config(); cfg != nil {
			m.publishLocked(cfg)
		}
	})
}
