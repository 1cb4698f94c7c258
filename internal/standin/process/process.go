// Package process runs a stand-in endpoint as a host of the platform would: it
// registers with the platform stand-in, hears of its reclaim, and ends abruptly
// at the deadline.
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
	// Platform is the address of the platform stand-in; empty registers nowhere.
	Platform string
	// Host is registered with one endpoint, whose address is the listener's.
	Host     platformapi.HostInfo
	Endpoint platformapi.EndpointInfo
	// SetLeaving hears of the host's reclaim.
	SetLeaving func(endpoint.LeavingState)
	// PollEvery is the time between two looks at the reclaim notices. Default: 250ms.
	PollEvery time.Duration
	Log       *slog.Logger
}

// ErrReclaimed is returned where the platform took the host away.
var ErrReclaimed = errors.New("host was reclaimed")

// Run serves until ctx ends (nil) or the host's reclaim deadline (ErrReclaimed).
// Either way open connections are cut.
func Run(ctx context.Context, opts Options) error {
	if opts.PollEvery == 0 {
		opts.PollEvery = 250 * time.Millisecond
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	srv := &http.Server{Handler: opts.Handler, ReadHeaderTimeout: 10 * time.Second}
	served := make(chan error, 1)
	go func() { served <- srv.Serve(opts.Listener) }()

	var err error
	if opts.Platform != "" {
		err = live(ctx, opts)
	} else {
		<-ctx.Done()
	}
	_ = srv.Close()
	if e := <-served; !errors.Is(e, http.ErrServerClosed) {
		err = errors.CombineErrors(err, e)
	}
	return err
}

// live registers the host and waits for the end of ctx or for its reclaim.
func live(ctx context.Context, opts Options) error {
	client, err := platformapi.NewClient(platformapi.ClientOptions{Address: opts.Platform})
	if err != nil {
		return err
	}
	defer client.Close()
	opts.Endpoint.Address = opts.Listener.Addr().String()
	opts.Host.State = platformapi.HostLive
	opts.Host.Endpoints = []platformapi.EndpointInfo{opts.Endpoint}
	tick := time.NewTicker(opts.PollEvery)
	defer tick.Stop()
	for registered := false; ; {
		if !registered {
			registered = register(ctx, opts) == nil
		} else if deadline, ok := notice(ctx, client, opts.Host); ok {
			return leave(ctx, opts, deadline)
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

// notice returns the reclaim deadline of this life of the host.
func notice(ctx context.Context, cloud platformapi.Cloud, h platformapi.HostInfo) (time.Time, bool) {
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

func leave(ctx context.Context, opts Options, deadline time.Time) error {
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
