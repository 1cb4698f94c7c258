// Package demo runs a complete deployment in one process, on loopback addresses:
// nodes, and stand-ins for the platform, engines and plain services.
package demo

import (
	"context"
	"fmt"
	"io/fs"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubeshed/jujubeshed/examples"
	"github.com/jujubeshed/jujubeshed/internal/config"
	"github.com/jujubeshed/jujubeshed/internal/config/syncer"
	"github.com/jujubeshed/jujubeshed/internal/endpoint"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/node"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
	"github.com/jujubeshed/jujubeshed/internal/sharedkey"
	"github.com/jujubeshed/jujubeshed/internal/standin/engine"
	standinplatform "github.com/jujubeshed/jujubeshed/internal/standin/platform"
	"github.com/jujubeshed/jujubeshed/internal/standin/process"
	"github.com/jujubeshed/jujubeshed/internal/standin/service"
)

// readyTimeout is the maximum time for all nodes to become ready.
const readyTimeout = 20 * time.Second

// The nodes' drain times are short since no load balancer has to notice the drain.
const (
	drainDelay   = 100 * time.Millisecond
	drainTimeout = 500 * time.Millisecond
)

// firstVersion is the version that the example configurations serve.
const firstVersion ident.Version = "v1"

// siteKey is the shared key of a site's nodes.
const siteKey sharedkey.Key = "demo-key-of-16-bytes"

// SiteOptions are the settings of a Site.
type SiteOptions struct {
	Shape Shape
	// Speed divides the engines' simulated times. Default: 1.
	Speed float64
	Log   *slog.Logger
}

// Site is a running deployment.
type Site struct {
	opts     SiteOptions
	Platform *standinplatform.Server
	Engines  []*engine.Engine
	Services []*service.Service
	Nodes    []*node.Node
	// Callers and Operators are the nodes' addresses for callers and operators.
	Callers   []string
	Operators []string

	engineAddrs  []string
	serviceAddrs []string
	engineHosts  []engineHost
	engineSerial int // number of the latest engine started
	peers        []string
	platformAddr string
	ctx          context.Context // of the nodes and stand-ins
	cancel       context.CancelFunc
	wg           sync.WaitGroup
}

// engineHost is a running engine stand-in.
type engineHost struct {
	name ident.Host
	dc   ident.DataCentre
}

// StartSite starts a deployment and waits until every node is ready.
func StartSite(ctx context.Context, opts SiteOptions) (*Site, error) {
	if opts.Speed == 0 {
		opts.Speed = 1
	}
	siteCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	s := &Site{opts: opts, ctx: siteCtx, cancel: cancel}
	if err := s.start(siteCtx); err != nil {
		return nil, errors.CombineErrors(err, s.Stop(ctx))
	}
	return s, nil
}

func (s *Site) start(ctx context.Context) error {
	if err := s.startPlatform(ctx); err != nil {
		return err
	}
	for i := range s.opts.Shape.Engines {
		s.engineSerial = i
		if err := s.startEngine(ctx, i, firstVersion, engine.Faults{}); err != nil {
			return err
		}
	}
	for i := range s.opts.Shape.Services {
		if err := s.startService(ctx, i); err != nil {
			return err
		}
	}
	if err := s.startNodes(ctx); err != nil {
		return err
	}
	if err := s.applyExample(ctx); err != nil {
		return err
	}
	return s.waitReady(ctx)
}

func listen() (net.Listener, error) {
	return net.Listen("tcp", "127.0.0.1:0")
}

// freeAddress returns a loopback address whose port is currently unused.
func freeAddress() (string, error) {
	ln, err := listen()
	if err != nil {
		return "", err
	}
	return ln.Addr().String(), ln.Close()
}

func (s *Site) startPlatform(ctx context.Context) error {
	ln, err := listen()
	if err != nil {
		return err
	}
	s.platformAddr = ln.Addr().String()
	s.Platform = standinplatform.New(standinplatform.Options{Seed: 1})
	s.serveStandin(ctx, process.Options{Listener: ln, Handler: s.Platform.Handler(), Log: s.opts.Log})
	return nil
}

// serveStandin serves a stand-in in the background until the site stops.
func (s *Site) serveStandin(ctx context.Context, opts process.Options) {
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		if err := process.Run(ctx, opts); err != nil && !errors.Is(err, process.ErrReclaimed) {
			s.opts.Log.Error("demo: Stand-in failed.", "error", err)
		}
	}()
}

func (s *Site) dataCentre(i int) ident.DataCentre {
	dcs := s.opts.Shape.DataCentres
	return dcs[i%len(dcs)]
}

func (s *Site) startEngine(ctx context.Context, i int, version ident.Version, faults engine.Faults) error {
	name := fmt.Sprintf("gpu-%d", i)
	e := engine.New(engine.Options{
		ID: ident.EndpointID(name), Version: version, Speed: s.opts.Speed, Seed: uint64(i), ChecksFence: true, Faults: faults,
	})
	s.Engines = append(s.Engines, e)
	s.engineHosts = append(s.engineHosts, engineHost{ident.Host(name), s.dataCentre(i)})
	return s.startEndpoint(ctx, i, name, platformapi.KindEngine, s.opts.Shape.EngineService, version, e.Handler(), e.SetLeaving)
}

func (s *Site) startService(ctx context.Context, i int) error {
	name := fmt.Sprintf("desk-%d", i)
	d := service.New(service.Options{ID: ident.EndpointID(name), Version: firstVersion, Seed: uint64(i)})
	s.Services = append(s.Services, d)
	return s.startEndpoint(ctx, i, name, platformapi.KindPlain, s.opts.Shape.PlainService, firstVersion, d.Handler(), d.SetLeaving)
}

func (s *Site) startEndpoint(ctx context.Context, i int, name string, kind platformapi.EndpointKind, svc ident.Service, version ident.Version, h http.Handler, leaving func(endpoint.LeavingState)) error {
	ln, err := listen()
	if err != nil {
		return err
	}
	addrs := &s.engineAddrs
	if kind == platformapi.KindPlain {
		addrs = &s.serviceAddrs
	}
	*addrs = append(*addrs, ln.Addr().String())
	s.serveStandin(ctx, process.Options{
		Listener: ln, Handler: h, Platform: s.platformAddr, SetLeaving: leaving, Log: s.opts.Log,
		Host: platformapi.HostInfo{
			Host: ident.Host(name), DataCentre: s.dataCentre(i), Incarnation: 1, State: platformapi.HostLive,
			Reclaimable: true, PricePerHour: 1, Class: "standard",
		},
		Endpoint: platformapi.EndpointInfo{ID: ident.EndpointID(name), Kind: kind, Service: svc, Version: version},
	})
	return nil
}

func (s *Site) startNodes(ctx context.Context) error {
	for range s.opts.Shape.Nodes {
		var addrs [3]string
		for i := range addrs {
			a, err := freeAddress()
			if err != nil {
				return err
			}
			addrs[i] = a
		}
		s.Callers = append(s.Callers, addrs[0])
		s.Operators = append(s.Operators, addrs[1])
		s.peers = append(s.peers, addrs[2])
	}
	for i := range s.opts.Shape.Nodes {
		n, err := s.startNode(ctx, i)
		if err != nil {
			return err
		}
		s.Nodes = append(s.Nodes, n)
	}
	return nil
}

func (s *Site) startNode(ctx context.Context, i int) (*node.Node, error) {
	n, err := node.New(node.Options{
		ID: ident.NodeID(fmt.Sprintf("entry-%d", i)), DataCentre: s.dataCentre(i),
		Callers: s.Callers[i], Operators: s.Operators[i], Peers: s.peers[i], Seeds: withoutIndex(s.peers, i),
		Platform: s.platformAddr, Key: siteKey, DrainDelay: drainDelay, DrainTimeout: drainTimeout,
	}, s.opts.Log)
	if err != nil {
		return nil, err
	}
	return n, n.Start(ctx)
}

func withoutIndex(all []string, i int) []string {
	out := append([]string(nil), all[:i]...)
	return append(out, all[i+1:]...)
}

// exampleFiles returns the example configuration of the shape.
func (s *Site) exampleFiles() ([]config.File, error) {
	var files []config.File
	names, err := fs.Glob(examples.Files, s.opts.Shape.Name+"/*.yaml")
	if err != nil {
		return nil, err
	}
	for _, name := range names {
		data, err := examples.Files.ReadFile(name)
		if err != nil {
			return nil, err
		}
		files = append(files, config.File{Name: name[len(s.opts.Shape.Name)+1:], Data: data})
	}
	return files, nil
}

// waitReady waits until every node is ready, which requires an applied configuration.
func (s *Site) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, addr := range s.Callers {
		for !isReady(ctx, addr) {
			if ctx.Err() != nil {
				return errors.Newf("node at %s is not ready after %s", addr, readyTimeout)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

func isReady(ctx context.Context, addr string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusNoContent
}

// EngineControls returns the addresses of the engine stand-ins' control pages.
func (s *Site) EngineControls() []string {
	return s.engineAddrs
}

// ServiceControls returns the addresses of the service stand-ins' control pages.
func (s *Site) ServiceControls() []string {
	return s.serviceAddrs
}

// Stop stops the nodes, then the stand-ins.
func (s *Site) Stop(ctx context.Context) error {
	var errs error
	for _, n := range s.Nodes {
		errs = errors.CombineErrors(errs, n.Stop(ctx))
	}
	s.cancel()
	s.wg.Wait()
	return errs
}

// applyExample applies the example configuration of the shape.
func (s *Site) applyExample(ctx context.Context) error {
	files, err := s.exampleFiles()
	if err != nil {
		return err
	}
	_, err = syncer.New(syncer.Options{Store: s.Platform.Store()}).Apply(ctx, files)
	return err
}

// PlatformAddress returns the address of the platform stand-in.
func (s *Site) PlatformAddress() string {
	return s.platformAddr
}
