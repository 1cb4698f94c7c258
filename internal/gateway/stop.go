package gateway

import (
	"context"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/drain"
	"github.com/jujubeshed/jujubeshed/internal/kernel"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

// mayStart returns an error if the node stops before a request would end.
func (n *Node) mayStart(deadline time.Time, repeatable bool) *verdict.Error {
	plan := n.drainPlan.Load()
	if plan == nil || plan.MaySend(time.Now(), deadline, repeatable) {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.CodeStopping, "the node stops before the request would end")
}

// Stop drains and stops the node: it reports not ready, accepts connections until the load
// balancer has removed it, completes its running requests and stops its services. Requests that
// may not end in time are refused, and those that haven't at the end get an error.
func (n *Node) Stop(ctx context.Context) error {
	plan := drain.New(time.Now(), n.settings.Bounds.Grace)
	n.drainPlan.Store(&plan)
	n.draining.Store(true)
	n.log.Info("gateway: Stop.", "grace", n.settings.Bounds.Grace, "requests_end_ms", time.Until(plan.End).Milliseconds())
	terminate := time.AfterFunc(time.Until(plan.End), func() {
		n.log.Warn("gateway: Running requests are ended.", "requests", n.handler.TerminateRequests())
	})
	defer terminate.Stop()
	n.holder.Release(true)
	kernel.Sleep(ctx, time.Until(plan.Close))
	drainCtx, cancel := context.WithDeadline(ctx, plan.End.Add(plan.Exit.Sub(plan.End)/2))
	defer cancel()
	err := n.registry.Drain(drainCtx)
	stopCtx, cancelStop := context.WithDeadline(context.WithoutCancel(ctx), plan.Exit)
	defer cancelStop()
	if stopErr := n.registry.Stop(stopCtx); err == nil {
		err = stopErr
	}
	n.log.Info("gateway: Stopped.", "error", err)
	return err
}
