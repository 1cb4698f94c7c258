// Package process runs a stand-in endpoint on a simulated host of the platform. It
// registers the host with the platform stand-in, polls for reclaim notices and
// closes all connections at the reclaim deadline.
package process

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubeshed/jujubeshed/internal/endpoint"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
	standin "github.com/jujubeshed/jujubeshed/internal/standin/platform"
)

// Options are the settings of Run.
type Options struct {
	Listener net.Listener
	Handler  http.Handler
	// Platform is the address of the platform stand-in. If empty, the host is not registered.
	Platform string
	// Host is registered with one endpoint, whose address is the listener's address.
	Host     platformapi.HostInfo
	Endpoint platformapi.EndpointInfo
	// SetLeaving is called with the leaving state when the host's reclaim is announced.
	SetLeaving func(endpoint.LeavingState)
	// PollInterval is the time between two polls for reclaim notices. Default: 250ms.
	PollInterval time.Duration
	Log          *slog.Logger
}

// ErrReclaimed is returned when the platform reclaims the host.
var ErrReclaimed = errors.New("host was reclaimed")

// Run serves until ctx ends and returns nil, or until the host's reclaim deadline
// and returns ErrReclaimed. Either way it closes open connections.
func Run(ctx context.Context, opts Options) error {
	if opts.PollInterval == 0 {
		opts.PollInterval = 250 * time.Millisecond
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	srv := &http.Server{Handler: opts.Handler, ReadHeaderTimeout: 10 * time.Second}
	served := make(chan error, 1)
	go func() { served <- srv.Serve(opts.Listener) }()

	var err error
	if opts.Platform != "" {
		err = registerAndWait(ctx, opts)
	} else {
		<-ctx.Done()
	}
	_ = srv.Close()
	if e := <-served; !errors.Is(e, http.ErrServerClosed) {
		err = errors.CombineErrors(err, e)
	}
	return err
}

// registerAndWait registers the host and waits until ctx ends or the host is reclaimed.
func registerAndWait(ctx context.Context, opts Options) error {
	client, err := platformapi.NewClient(platformapi.ClientOptions{Address: opts.Platform})
	if err != nil {
		return err
	}
	defer client.Close()
	opts.Endpoint.Address = opts.Listener.Addr().String()
	opts.Host.State = platformapi.HostLive
	opts.Host.Endpoints = []platformapi.EndpointInfo{opts.Endpoint}
	tick := time.NewTicker(opts.PollInterval)
	defer tick.Stop()
	for registered := false; ; {
		if !registered {
			registered = register(ctx, opts) == nil
		} else if deadline, ok := reclaimDeadline(ctx, client, opts.Host); ok {
			return waitForReclaim(ctx, opts, deadline)
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func register(ctx context.Context, opts Options) error {
	err := standin.RegisterHost(ctx, opts.Platform, opts.Host)
	if err != nil {
		opts.Log.Warn("standin: Registration failed.", "platform", opts.Platform, "err", err)
		return err
	}
	opts.Log.Info("standin: Registered.", "host", string(opts.Host.Host), "address", opts.Endpoint.Address)
	return nil
}

// reclaimDeadline returns the reclaim deadline of this incarnation of the host, if announced.
func reclaimDeadline(ctx context.Context, cloud platformapi.Cloud, h platformapi.HostInfo) (time.Time, bool) {
	list, err := cloud.Notices(ctx)
	if err != nil {
		return time.Time{}, false
	}
	for _, n := range list {
		if n.Host == h.Host && n.Incarnation == h.Incarnation {
			return n.Deadline, true
		}
	}
	return time.Time{}, false
}

func waitForReclaim(ctx context.Context, opts Options, deadline time.Time) error {
	opts.Log.Info("standin: Reclaim announced.", "host", string(opts.Host.Host), "deadline", deadline)
	if opts.SetLeaving != nil {
		opts.SetLeaving(endpoint.LeavingState{Leaving: true, Incarnation: opts.Host.Incarnation, Deadline: deadline})
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-timer.C:
		return ErrReclaimed
	case <-ctx.Done():
		return nil
	}
}
