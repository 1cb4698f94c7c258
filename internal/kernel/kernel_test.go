package kernel

import (
	"context"
	"errors"
	"log/slog"
	"reflect"
	"strings"
	"testing"
	"time"
)

type recorder struct {
	name  string
	needs []Name
	fail  error
	calls *[]string
}

func (s *recorder) Provision(r *Registry) error {
	for _, n := range s.needs {
		if _, err := Lookup[*recorder](r, n); err != nil {
			return err
		}
	}
	return nil
}

func (s *recorder) note(what string) { *s.calls = append(*s.calls, what+" "+s.name) }

func (s *recorder) Start(context.Context) error {
	s.note("start")
	return s.fail
}

func (s *recorder) Drain(context.Context) error {
	s.note("drain")
	return nil
}

func (s *recorder) Stop(context.Context) error {
	s.note("stop")
	return nil
}

func build(t *testing.T, calls *[]string, services ...*recorder) *Registry {
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
	r := build(t, &calls,
		&recorder{name: "entry", needs: []Name{"peer", "store"}},
		&recorder{name: "peer", needs: []Name{"store"}},
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
		{"missing", []*recorder{{name: "a", needs: []Name{"b"}}}, `service "b" is not registered`},
		{"circle", []*recorder{{name: "a", needs: []Name{"b"}}, {name: "b", needs: []Name{"a"}}}, "in a circle"},
		{"start", []*recorder{{name: "a", fail: errors.New("port is taken")}}, "port is taken"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var calls []string
			err := build(t, &calls, tt.services...).Start(context.Background())
			if err == nil || !strings.Contains(err.Error(), tt.want) {
				t.Errorf("error = %v, want %q in it", err, tt.want)
			}
		})
	}
	r := New(slog.Default())
	if err := r.Register("a", 1); err != nil {
		t.Fatal(err)
	}
	if err := r.Register("a", 2); err == nil {
		t.Error("a name was registered twice")
	}
	if _, err := Lookup[string](r, "a"); err == nil {
		t.Error("a service was found under another type")
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
		t.Error("called after its stop")
	default:
	}
}
