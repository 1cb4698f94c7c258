// Package kernel starts, drains and stops the services of a process.
//
// Services find each other by name. A service looks up its dependencies while it is
// provisioned, and is started after them. Services are drained and stopped in the
// reverse order.
package kernel

import (
	"context"
	"fmt"
	"log/slog"
	"sync"

	"github.com/cockroachdb/errors"
)

// Service is a component of the process. It takes part in the life cycle by
// implementing any of Provisioner, Starter, Drainer and Stopper.
type Service any

// Provisioner is a service that looks up its dependencies before it is started.
// Provision must not start goroutines.
type Provisioner interface {
	Provision(r *Registry) error
}

// Starter is a service that has to be started. Start returns once the service is
// ready for use.
type Starter interface {
	Start(ctx context.Context) error
}

// Drainer is a service that finishes its accepted work before it is stopped. Drain
// accepts no new work; it returns when the accepted work has finished or ctx is done.
type Drainer interface {
	Drain(ctx context.Context) error
}

// Stopper is a service that has to be stopped. Stop ends all of its goroutines.
type Stopper interface {
	Stop(ctx context.Context) error
}

// Name identifies a service in a registry, for example "peer.membership".
type Name string

// Registry contains the services of one process and controls their life cycle.
type Registry struct {
	log *slog.Logger

	mu struct {
		sync.Mutex
		services    map[Name]Service
		names       []Name // in order of registration
		provisioned map[Name]bool
		resolving   []Name
		startOrder  []Name // provisioned services, dependencies first
		started     []Name // services that are running, in the order of their start
	}
}

// New returns an empty registry.
func New(log *slog.Logger) *Registry {
	r := &Registry{log: log}
	r.mu.services = make(map[Name]Service)
	r.mu.provisioned = make(map[Name]bool)
	return r
}

// Register adds a service. It returns an error if the name is already registered.
func (r *Registry) Register(name Name, s Service) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, exists := r.mu.services[name]; exists {
		return fmt.Errorf("service %q is already registered", name)
	}
	r.mu.services[name] = s
	r.mu.names = append(r.mu.names, name)
	return nil
}

// Lookup provisions the service of that name, if this has not been done, and returns
// it. It returns an error if the service is not registered, is not a T or can't be
// provisioned, or if services depend on each other circularly.
func Lookup[T any](r *Registry, name Name) (T, error) {
	var zero T
	s, err := r.provision(name)
	if err != nil {
		return zero, err
	}
	t, ok := s.(T)
	if !ok {
		return zero, fmt.Errorf("service %q is a %T, not a %T", name, s, &zero)
	}
	return t, nil
}

// Start provisions and starts all services. If one fails to start, those already
// started are stopped.
func (r *Registry) Start(ctx context.Context) error {
	for _, name := range r.registered() {
		if _, err := r.provision(name); err != nil {
			return err
		}
	}
	for _, name := range r.startOrder() {
		if err := r.start(ctx, name); err != nil {
			return errors.CombineErrors(errors.Wrapf(err, "start service %q", name), r.Stop(ctx))
		}
		r.markStarted(name)
	}
	return nil
}

// Drain drains the started services in the reverse order of their start. It goes through all
// of them and combines the errors.
func (r *Registry) Drain(ctx context.Context) error {
	return r.forEachReverse(func(name Name, s Service) error {
		d, ok := s.(Drainer)
		if !ok {
			return nil
		}
		r.log.Info("kernel: Draining service.", "service", string(name))
		return d.Drain(ctx)
	})
}

// Stop stops the started services in the reverse order of their start. It goes through all
// of them and combines the errors.
func (r *Registry) Stop(ctx context.Context) error {
	err := r.forEachReverse(func(name Name, s Service) error {
		if st, ok := s.(Stopper); ok {
			return st.Stop(ctx)
		}
		return nil
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mu.startOrder, r.mu.started = nil, nil
	return err
}

func (r *Registry) registered() []Name {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Name(nil), r.mu.names...)
}

// startOrder returns the provisioned services, dependencies first.
func (r *Registry) startOrder() []Name {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Name(nil), r.mu.startOrder...)
}

func (r *Registry) markStarted(name Name) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mu.started = append(r.mu.started, name)
}

// startedServices returns the running services, in the order of their start.
func (r *Registry) startedServices() []Name {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Name(nil), r.mu.started...)
}

func (r *Registry) start(ctx context.Context, name Name) error {
	s := r.service(name)
	st, ok := s.(Starter)
	if !ok {
		return nil
	}
	r.log.Debug("kernel: Starting service.", "service", string(name))
	return st.Start(ctx)
}

func (r *Registry) service(name Name) Service {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mu.services[name]
}

// provision provisions a service unless this has been done, and appends it to the
// start order after its dependencies.
func (r *Registry) provision(name Name) (Service, error) {
	s, needed, err := r.beginProvision(name)
	if err != nil || !needed {
		return s, err
	}
	if p, ok := s.(Provisioner); ok {
		err = p.Provision(r)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mu.resolving = r.mu.resolving[:len(r.mu.resolving)-1]
	if err != nil {
		return nil, errors.Wrapf(err, "provision service %q", name)
	}
	r.mu.provisioned[name] = true
	r.mu.startOrder = append(r.mu.startOrder, name)
	return s, nil
}

// beginProvision marks a service as being provisioned; needed is false if it has been
// provisioned before.
func (r *Registry) beginProvision(name Name) (s Service, needed bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.mu.services[name]
	if !ok {
		return nil, false, fmt.Errorf("service %q is not registered", name)
	}
	if r.mu.provisioned[name] {
		return s, false, nil
	}
	for _, n := range r.mu.resolving {
		if n == name {
			return nil, false, fmt.Errorf("circular dependency between services: %v", append(r.mu.resolving, name))
		}
	}
	r.mu.resolving = append(r.mu.resolving, name)
	return s, true, nil
}

func (r *Registry) forEachReverse(f func(Name, Service) error) error {
	names := r.startedServices()
	var combined error
	for i := len(names) - 1; i >= 0; i-- {
		if err := f(names[i], r.service(names[i])); err != nil {
			combined = errors.CombineErrors(combined, errors.Wrapf(err, "service %q", names[i]))
		}
	}
	return combined
}
