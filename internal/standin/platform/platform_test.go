package platform

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubeshed/jujubeshed/internal/platformapi"
	"github.com/jujubeshed/jujubeshed/internal/standin/control"
	"github.com/jujubeshed/jujubeshed/internal/standin/memstore"
)

// startServer returns a stand-in, a client of it, its clock, which the test may advance, and its URL.
func startServer(t *testing.T) (*Server, *platformapi.Client, *time.Time, string) {
	t.Helper()
	now := time.UnixMilli(1_000_500)
	s := New(Options{Seed: 1, Now: func() time.Time { return now }})
	srv := httptest.NewServer(s.Handler())
	t.Cleanup(srv.Close)
	c, err := platformapi.NewClient(platformapi.ClientOptions{Address: srv.Listener.Addr().String()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return s, c, &now, srv.URL
}

// wantError fails the test unless err is target, or nil if target is nil.
func wantError(t *testing.T, what string, err, target error) {
	t.Helper()
	if !errors.Is(err, target) {
		t.Errorf("%s: error = %v, want %v", what, err, target)
	}
}

func TestStoreThroughClient(t *testing.T) {
	s, c, _, url := startServer(t)
	ctx := context.Background()
	v, err := c.Put(ctx, "a/1", []byte("x"), 0)
	wantError(t, "create", err, nil)
	_, err = c.Put(ctx, "a/1", []byte("y"), 0)
	wantError(t, "create again", err, platformapi.ErrConflict)
	_, err = c.Get(ctx, "a/2")
	wantError(t, "get", err, platformapi.ErrNotFound)
	_, err = c.Put(ctx, "a/3", make([]byte, platformapi.MaxObjectBytes+1), 0)
	wantError(t, "large", err, platformapi.ErrTooLarge)

	w, err := c.Watch(ctx, "a/", 0, time.Minute)
	wantError(t, "watch", err, nil)
	if len(w.Changed) != 1 || string(w.Changed[0].Value) != "x" || w.Gap {
		t.Errorf("watch = %+v", w)
	}
	done := make(chan platformapi.WatchResult, 1)
	go func() {
		r, _ := c.Watch(ctx, "a/", w.Position, time.Minute)
		done <- r
	}()
	for s.Status().Store.Watches < 2 {
		time.Sleep(time.Millisecond)
	}
	wantError(t, "delete", c.Delete(ctx, "a/1", v), nil)
	if r := <-done; len(r.Changed) != 1 || r.Changed[0].Version != 0 {
		t.Errorf("watch of a deletion = %+v", r)
	}

	for _, tt := range []struct {
		name   string
		faults memstore.Faults
		write  error
		read   error
		effect bool
	}{
		{"down", memstore.Faults{Down: true}, platformapi.ErrUnavailable, platformapi.ErrUnavailable, false},
		{"throttled", memstore.Faults{Throttled: true}, platformapi.ErrThrottled, platformapi.ErrThrottled, false},
		{"lost response", memstore.Faults{LoseNext: 1}, platformapi.ErrUnknown, platformapi.ErrNotFound, true},
		{"lost request", memstore.Faults{LoseRequest: 1}, platformapi.ErrUnknown, platformapi.ErrNotFound, false},
		{"conflict", memstore.Faults{ConflictNext: 1}, platformapi.ErrConflict, platformapi.ErrNotFound, false},
	} {
		wantError(t, tt.name, control.Post(ctx, url, control.Path, Faults{Store: tt.faults}), nil)
		key := platformapi.Key("f/" + tt.name)
		_, err := c.Put(ctx, key, nil, 0)
		wantError(t, tt.name+" write", err, tt.write)
		_, err = c.Get(ctx, "none")
		wantError(t, tt.name+" read", err, tt.read)
		s.SetFaults(Faults{})
		_, err = c.Get(ctx, key)
		if got := err == nil; got != tt.effect {
			t.Errorf("%s: effect = %v, want %v", tt.name, got, tt.effect)
		}
	}
	var st Status
	wantError(t, "status", control.Get(ctx, url, control.Path, &st), nil)
	got := c.Counts()
	if st.Store.Calls != got.Reads+got.Writes+got.Watches {
		t.Errorf("client counts %+v, store counts %+v", got, st.Store)
	}
}

func TestClientWithoutPlatform(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "no backend", http.StatusServiceUnavailable)
	}))
	c, err := platformapi.NewClient(platformapi.ClientOptions{Address: srv.URL})
	wantError(t, "new", err, nil)
	_, err = c.Put(context.Background(), "k", nil, 0)
	wantError(t, "refused by a balancer", err, platformapi.ErrUnavailable)
	srv.Close()
	_, err = c.Put(context.Background(), "k", nil, 0)
	wantError(t, "refused connection", err, platformapi.ErrUnavailable)

	hung := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	defer hung.Close()
	c, err = platformapi.NewClient(platformapi.ClientOptions{Address: hung.URL, CallTimeout: 20 * time.Millisecond})
	wantError(t, "new", err, nil)
	wantError(t, "write without response", c.Delete(context.Background(), "k", 1), platformapi.ErrUnknown)
	_, err = c.List(context.Background(), "k")
	wantError(t, "read without response", err, platformapi.ErrUnavailable)
}

func TestReclaimAndLag(t *testing.T) {
	s, c, now, url := startServer(t)
	ctx := context.Background()
	h := platformapi.HostInfo{Host: "h1", DataCentre: "kalamaria", Incarnation: 2, State: platformapi.HostLive, Reclaimable: true,
		PricePerHour: 2, Endpoints: []platformapi.EndpointInfo{{ID: "e1", Address: "127.0.0.1:1", Kind: platformapi.KindEngine}}}
	wantError(t, "register", RegisterHost(ctx, url, h), nil)
	wantError(t, "lag", control.Post(ctx, url, control.Path, Faults{HostLag: 5 * time.Second}), nil)
	states := func() (out string) {
		list, err := c.ListHosts(ctx)
		wantError(t, "list", err, nil)
		for _, h := range list {
			out += string(h.State) + " " + string(h.Endpoints[0].ID)
		}
		return out
	}
	step := func(d time.Duration, list string, notices int) {
		t.Helper()
		*now = now.Add(d)
		n, err := c.Notices(ctx)
		wantError(t, "notices", err, nil)
		if notices > 0 && !n[0].Deadline.Equal(time.UnixMilli(1_015_500)) {
			t.Errorf("deadline = %v", n[0].Deadline)
		}
		if got := states(); got != list || len(n) != notices {
			t.Errorf("after %v: list %q, %d notices, want %q, %d", d, got, len(n), list, notices)
		}
	}
	step(4*time.Second, "", 0)
	step(time.Second, "live e1", 0)
	wantError(t, "reclaim", control.Post(ctx, url, PathReclaim, Reclaim{DataCentre: "kalamaria", Notice: 10 * time.Second}), nil)
	step(0, "live e1", 1)
	step(5*time.Second, "leaving e1", 1)
	step(5*time.Second, "leaving e1", 0)
	step(5*time.Second, "", 0)
	if st := s.Status(); st.Reclaimed != 1 || st.Cost != 2*15.0/3600 {
		t.Errorf("status = %+v", st)
	}
}

func TestBuyOnce(t *testing.T) {
	s, c, _, _ := startServer(t)
	ctx := context.Background()
	s.SetFaults(Faults{LoseBuyAnswers: 1})
	req := platformapi.BuyRequest{Token: "t1", DataCentre: "pylaia", Class: "gpu", Reclaimable: true}
	_, err := c.Buy(ctx, req)
	wantError(t, "lost response", err, platformapi.ErrUnknown)
	host, err := c.Buy(ctx, req)
	wantError(t, "repeat", err, nil)
	s.SetFaults(Faults{RefuseStarts: true})
	req.Token = "t2"
	_, err = c.Buy(ctx, req)
	wantError(t, "refused", err, platformapi.ErrRefused)
	wantError(t, "release", c.Release(ctx, host), nil)
	wantError(t, "release again", c.Release(ctx, host), nil)
	if st := s.Status(); st.Bought != 1 || st.Released != 1 || st.Refused != 1 || st.Hosts != 0 {
		t.Errorf("status = %+v", st)
	}
}
