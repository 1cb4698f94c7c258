// Package kernel starts, drains and stops the services of a process.
//
// Services find each other by name: a service looks its dependencies up while it
// provisions, and the kernel starts each one after those it looked up. Draining
// and stopping go in the reverse order.
package kernel

import (
	"context"
	"fmt"
	"log/slog"
	"sync"

	"github.com/cockroachdb/errors"
)

// Service is a part of the process with a life of its own. The optional
// interfaces Provisioner, Starter, Drainer and Stopper give it one.
type Service any

// Provisioner looks its dependencies up. It must not start goroutines.
type Provisioner interface {
	Provision(r *Registry) error
}

// Starter begins work. It returns once the service can be used.
type Starter interface {
	Start(ctx context.Context) error
}

// Drainer ends accepted work and takes no more. It returns when the work has
// ended or ctx has.
type Drainer interface {
	Drain(ctx context.Context) error
}

// Stopper ends the service and all of its goroutines.
type Stopper interface {
	Stop(ctx context.Context) error
}

// Name identifies a service in a registry, for example "peer.membership".
type Name string

// Registry holds the services of one process.
type Registry struct {
	log *slog.Logger

	mu struct {
		sync.Mutex
		services    map[Name]Service
		names       []Name // in order of registration
		provisioned map[Name]bool
		resolving   []Name
		started     []Name // in order of start
	}
}

// New returns an empty registry.
func New(log *slog.Logger) *Registry {
	r := &Registry{log: log}
	r.mu.services = make(map[Name]Service)
	r.mu.provisioned = make(map[Name]bool)
	return r
}

// Register adds a service. It returns an error where the name is taken.
func (r *Registry) Register(name Name, s Service) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, taken := r.mu.services[name]; taken {
		return fmt.Errorf("service %q is registered already", name)
	}
	r.mu.services[name] = s
	r.mu.names = append(r.mu.names, name)
	return nil
}

// Lookup returns the service of that name as a T, provisioned.
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

// Start provisions and starts all services. Where one fails, those already
// started are stopped.
func (r *Registry) Start(ctx context.Context) error {
	for _, name := range r.registered() {
		if _, err := r.provision(name); err != nil {
			return err
		}
	}
	for _, name := range r.order() {
		if err := r.start(ctx, name); err != nil {
			return errors.CombineErrors(errors.Wrapf(err, "start service %q", name), r.Stop(ctx))
		}
	}
	return nil
}

// Drain drains the services in the reverse order of their start.
func (r *Registry) Drain(ctx context.Context) error {
	return r.backwards(func(name Name, s Service) error {
		d, ok := s.(Drainer)
		if !ok {
			return nil
		}
		r.log.Info("kernel: Drain.", "service", string(name))
		return d.Drain(ctx)
	})
}

// Stop stops the services in the reverse order of their start.
func (r *Registry) Stop(ctx context.Context) error {
	err := r.backwards(func(name Name, s Service) error {
		if st, ok := s.(Stopper); ok {
			return st.Stop(ctx)
		}
		return nil
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mu.started = nil
	return err
}

func (r *Registry) registered() []Name {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Name(nil), r.mu.names...)
}

// order returns the services, dependencies first. Provisioning appended them so.
func (r *Registry) order() []Name {
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
	r.log.Debug("kernel: Start.", "service", string(name))
	return st.Start(ctx)
}

func (r *Registry) service(name Name) Service {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mu.services[name]
}

// provision provisions a service once and records the order of dependencies.
func (r *Registry) provision(name Name) (Service, error) {
	s, todo, err := r.begin(name)
	if err != nil || !todo {
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
	r.mu.started = append(r.mu.started, name)
	return s, nil
}

// begin marks a service as being provisioned; todo is false where it already is.
func (r *Registry) begin(name Name) (s Service, todo bool, err error) {
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
			return nil, false, fmt.Errorf("services depend on each other in a circle: %v", append(r.mu.resolving, name))
		}
	}
	r.mu.resolving = append(r.mu.resolving, name)
	return s, true, nil
}

func (r *Registry) backwards(f func(Name, Service) error) error {
	names := r.order()
	var all error
	for i := len(names) - 1; i >= 0; i-- {
		if err := f(names[i], r.service(names[i])); err != nil {
			all = errors.CombineErrors(all, errors.Wrapf(err, "service %q", names[i]))
		}
	}
	return all
}
