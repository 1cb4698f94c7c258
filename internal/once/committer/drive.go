package committer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubeshed/jujubeshed/internal/once"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
)

// maxTickInterval is the time between ticks if the ledger requires none earlier.
const maxTickInterval = 10 * time.Second

// step passes an event to the ledger and carries out the resulting actions.
func (c *Committer) step(ev once.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.mu.stopped {
		c.stepLocked(ev)
	}
}

func (c *Committer) stepLocked(ev once.Event) {
	for _, a := range c.mu.ledger.Step(time.Now(), ev) {
		c.executeLocked(a)
	}
	c.checkDrainedLocked()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (c *Committer) checkDrainedLocked() {
	if !c.mu.draining || c.mu.ledger.Pending() > 0 {
		return
	}
	select {
	case <-c.drained:
	default:
		close(c.drained)
	}
}

func (c *Committer) executeLocked(a once.Action) {
	switch a := a.(type) {
	case once.Reply:
		if ch, ok := c.mu.replies[a.Attempt]; ok {
			delete(c.mu.replies, a.Attempt)
			delete(c.mu.waiting, a.Attempt)
			ch <- a
		}
	case once.Recorded:
		if ch, ok := c.mu.outcomes[a.Attempt]; ok {
			delete(c.mu.outcomes, a.Attempt)
			ch <- a
		}
	case once.StoreGet:
		c.callStore("get", a.Call, func(ctx context.Context) (platformapi.Object, error) {
			return c.store.Get(ctx, a.Object)
		})
	case once.StorePut:
		c.callStore("put", a.Call, func(ctx context.Context) (platformapi.Object, error) {
			v, err := c.store.Put(ctx, a.Object, a.Value, a.Expect)
			return platformapi.Object{Version: v}, err
		})
	case once.StoreDelete:
		c.callStore("delete", 0, func(ctx context.Context) (platformapi.Object, error) {
			return c.delete(ctx, a.Object)
		})
	}
}

func (c *Committer) delete(ctx context.Context, key platformapi.Key) (platformapi.Object, error) {
	o, err := c.store.Get(ctx, key)
	if err != nil {
		return platformapi.Object{}, err
	}
	return platformapi.Object{}, c.store.Delete(ctx, key, o.Version)
}

// callStore makes a store callStore in a goroutine of its own and feeds its result back.
func (c *Committer) callStore(op string, id once.CallID, f func(context.Context) (platformapi.Object, error)) {
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		ctx, cancel := context.WithTimeout(c.ctx, c.opts.CallTimeout)
		defer cancel()
		start := time.Now()
		o, err := f(ctx)
		c.opts.Metrics.observe(op, err, time.Since(start))
		if err != nil && !errors.Is(err, platformapi.ErrConflict) && !errors.Is(err, platformapi.ErrNotFound) {
			c.opts.Log.Warn("once: Store call failed.", "call", op, "error", err)
		}
		if id != 0 {
			c.step(once.StoreResult{Call: id, Object: o, Err: err})
		}
	}()
}

// tickLoop sends a tick to the ledger whenever one is due.
func (c *Committer) tickLoop() {
	defer c.wg.Done()
	t := time.NewTimer(maxTickInterval)
	defer t.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-c.wake:
		case <-t.C:
			c.step(once.Tick{})
		}
		t.Reset(c.untilNext())
	}
}

func (c *Committer) untilNext() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := c.mu.ledger.Next()
	if next.IsZero() {
		return maxTickInterval
	}
	return min(max(time.Until(next), time.Millisecond), maxTickInterval)
}
