package kernel

import (
	"context"
	"errors"
	"log/slog"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"
)

// recorder is a service that appends the calls of its methods to calls.
type recorder struct {
	name         string
	dependencies []Name
	startErr     error
	calls        *[]string
}

func (s *recorder) Provision(r *Registry) error {
	for _, n := range s.dependencies {
		if _, err := Lookup[*recorder](r, n); err != nil {
			return err
		}
	}
	return nil
}

func (s *recorder) record(method string) { *s.calls = append(*s.calls, method+" "+s.name) }

func (s *recorder) Start(context.Context) error {
	s.record("start")
	return s.startErr
}

func (s *recorder) Drain(context.Context) error {
	s.record("drain")
	return nil
}

func (s *recorder) Stop(context.Context) error {
	s.record("stop")
	return nil
}

func newRegistry(t *testing.T, calls *[]string, services ...*recorder) *Registry {
	t.Helper()
	r := New(slog.Default())
	for _, s := range services {
		s.calls = calls
		if err := r.Register(Name(s.name), s); err != nil {
			t.Fatal(err)
		}
	}
	return r
}

func TestOrderFollowsLookups(t *testing.T) {
	var calls []string
	r := newRegistry(t, &calls,
		&recorder{name: "entry", dependencies: []Name{"peer", "store"}},
		&recorder{name: "peer", dependencies: []Name{"store"}},
		&recorder{name: "store"})
	ctx := context.Background()
	for _, f := range []func(context.Context) error{r.Start, r.Drain, r.Stop} {
		if err := f(ctx); err != nil {
			t.Fatal(err)
		}
	}
	want := []string{
		"start store", "start peer", "start entry",
		"drain entry", "drain peer", "drain store",
		"stop entry", "stop peer", "stop store",
	}
	if !reflect.DeepEqual(calls, want) {
		t.Errorf("calls = %v, want %v", calls, want)
	}
}

func TestErrors(t *testing.T) {
	tests := []struct {
		name     string
		services []*recorder
		want     string
	}{
		{"missing dependency", []*recorder{{name: "a", dependencies: []Name{"b"}}}, `service "b" is not registered`},
		{"circular dependency", []*recorder{{name: "a", dependencies: []Name{"b"}}, {name: "b", dependencies: []Name{"a"}}}, "circular dependency"},
		{"failed start", []*recorder{{name: "a", startErr: errors.New("port is in use")}}, "port is in use"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var calls []string
			err := newRegistry(t, &calls, tt.services...).Start(context.Background())
			if err == nil || !strings.Contains(err.Error(), tt.want) {
				t.Errorf("error = %v, want it to contain %q", err, tt.want)
			}
		})
	}
	r := New(slog.Default())
	if err := r.Register("a", 1); err != nil {
		t.Fatal(err)
	}
	if err := r.Register("a", 2); err == nil {
		t.Error("registering a name twice gave no error")
	}
	if _, err := Lookup[string](r, "a"); err == nil {
		t.Error("looking up a service with a wrong type gave no error")
	}
}

// TestFailedStartStopsOnlyStarted checks that after a failed start only services whose
// Start was called are stopped. A service that is stopped without having been started
// may panic, for example on a cancel function that its Start would have set.
func TestFailedStartStopsOnlyStarted(t *testing.T) {
	var calls []string
	r := newRegistry(t, &calls,
		&recorder{name: "first"},
		&recorder{name: "second", startErr: errors.New("port is in use")},
		&recorder{name: "third"})
	if err := r.Start(context.Background()); err == nil {
		t.Fatal("Start gave no error although the second service failed to start")
	}
	if !slices.Contains(calls, "stop first") {
		t.Errorf("first service was started but not stopped: calls = %v", calls)
	}
	if !slices.Contains(calls, "start third") && slices.Contains(calls, "stop third") {
		t.Errorf("third service was stopped without having been started: calls = %v", calls)
	}
}

func TestLoop(t *testing.T) {
	if err := NewLoop(time.Hour, nil).Stop(context.Background()); err != nil {
		t.Fatal(err)
	}
	calls := make(chan struct{})
	l := NewLoop(time.Millisecond, func(ctx context.Context) {
		select {
		case calls <- struct{}{}:
		case <-ctx.Done():
		}
	})
	if err := l.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	<-calls
	<-calls
	if err := l.Stop(context.Background()); err != nil {
		t.Fatal(err)
	}
	select {
	case <-calls:
		t.Error("the loop called the function after Stop")
	default:
	}
}
