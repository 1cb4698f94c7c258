package gateway

import (
	"context"

	"github.com/jujubeshed/jujubeshed/internal/lease/holder"
)

// leaseService runs the lease holder in the background as a kernel service.
type leaseService struct {
	holder *holder.Holder
	cancel context.CancelFunc
	done   chan struct{}
}

// Start implements kernel.Starter.
func (l *leaseService) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel, l.done = cancel, make(chan struct{})
	go func() {
		defer close(l.done)
		_ = l.holder.Run(ctx) // returns when ctx ends or the lease is released
	}()
	return nil
}

// Stop implements kernel.Stopper.
func (l *leaseService) Stop(context.Context) error {
	l.cancel()
	<-l.done
	return nil
}
