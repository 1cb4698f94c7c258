package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jujubeshed/jujubeshed/platform/platformtest"
)

const (
	// refuseTime is how long the store refuses all calls in the drill, and loadTime how long it then takes
	// to answer the first ones: it loads its copy.
	refuseTime = 2400 * time.Millisecond
	loadTime   = 600 * time.Millisecond
	// storeAnswerTime is the time in which the store answers otherwise.
	storeAnswerTime = 4 * time.Millisecond
	// renewInterval is the time between two renewals of the lease on the duties, and startDelay the time
	// after one at which the drill begins.
	renewInterval = 750 * time.Millisecond
	startDelay    = 300 * time.Millisecond
)

// drill is the front of the store. Its Store-Era is the number of times that the store was restored.
type drill struct {
	rig     *rig
	renewed chan struct{} // receives a value when the lease on the duties is written
	mu      sync.Mutex
	loading chan struct{} // closed when the copy is loaded; nil unless the store loads it
}

// awaitRenewal waits until startDelay after a renewal of the lease.
func (d *drill) awaitRenewal() error {
	select {
	case <-d.renewed: // an earlier one
	default:
	}
	select {
	case <-d.renewed:
		time.Sleep(startDelay)
		return nil
	case <-time.After(10 * renewInterval):
		return errors.New("the lease on the duties is not renewed")
	}
}

// eraWriter counts the restores from zero: the store of the package platformtest counts from one.
type eraWriter struct {
	http.ResponseWriter
	wrote bool
}

func (w *eraWriter) WriteHeader(status int) {
	if !w.wrote {
		w.wrote = true
		if n, err := strconv.Atoi(w.Header().Get("Store-Era")); err == nil {
			w.Header().Set("Store-Era", strconv.Itoa(n-1))
		}
	}
	w.ResponseWriter.WriteHeader(status)
}

func (w *eraWriter) Write(p []byte) (int, error) {
	if !w.wrote {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(p)
}

// play takes the store away and brings it back from the copy that was made when it went.
func (d *drill) play() {
	r := d.rig
	backup := r.store.Copy()
	r.store.SetFaults(platformtest.Faults{Down: true})
	r.record.printf("the store is away: it answers 503, Store-Era 0")
	time.Sleep(refuseTime)
	d.mu.Lock()
	d.loading = make(chan struct{})
	d.mu.Unlock()
	r.record.printf("the store loads its copy: it takes calls and does not answer yet")
	time.Sleep(loadTime)
	r.store.Restore(backup)
	r.store.SetFaults(platformtest.Faults{})
	d.mu.Lock()
	close(d.loading)
	d.loading = nil
	d.mu.Unlock()
	r.record.printf("the store is back from its copy, Store-Era 1")
}

// handler returns the front of the store's handler.
func (d *drill) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if !strings.Contains(req.URL.RawQuery, "wait_ms") {
			time.Sleep(storeAnswerTime)
		}
		d.mu.Lock()
		loading := d.loading
		d.mu.Unlock()
		if loading != nil {
			select {
			case <-loading:
			case <-req.Context().Done():
				return // the caller has given up; nothing was done
			}
		}
		if req.Method == http.MethodPut && strings.HasPrefix(req.URL.Path, "/api/objects/lease/") {
			select {
			case d.renewed <- struct{}{}:
			default:
			}
		}
		next.ServeHTTP(&eraWriter{ResponseWriter: w}, req)
	})
}

// holderOf returns the node that holds the lease on the duties, by its record in the store.
func (r *rig) holderOf() *node {
	spec, _, ok := r.store.Object("lease", "duty")
	var record struct{ Owner struct{ Node string } }
	if !ok || json.Unmarshal(spec, &record) != nil {
		return nil
	}
	for _, n := range r.nodes {
		if n.name == record.Owner.Node {
			return n
		}
	}
	return nil
}

// caseDrill plays a drill: the store is away and comes back from a copy. Nothing else happens.
func caseDrill(out io.Writer, trouble bool) (broken bool, err error) {
	d := &drill{renewed: make(chan struct{}, 1)}
	r, err := newRig(out, d.handler)
	if err != nil {
		return false, err
	}
	d.rig = r
	defer r.end()
	config := map[string]any{
		"version": 3, "routes": []map[string]any{
			{"name": "order-confirm", "host": "shop.example", "path_prefix": "/o/", "kind": "non_idempotent", "service": "order-desk", "timeout_ms": 1000, "ttft_target_ms": 100, "max_attempts": 1, "priority": 2},
			{"name": "order-status", "host": "shop.example", "path_prefix": "/s/", "kind": "idempotent", "service": "order-desk", "timeout_ms": 1000, "ttft_target_ms": 100, "max_attempts": 2, "priority": 2},
		},
		"services": []map[string]any{{"name": "order-desk", "health_path": "/health", "max_conns": 110}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 20000},
	}
	r.store.Set("config", "main", config)
	var desks []*desk
	for i, zone := range []string{"kalamaria", "pylaia", "evosmos", "thermi"} {
		w := &desk{id: fmt.Sprintf("i-desk%d", i), service: "order-desk", zone: zone, work: 40 * time.Millisecond}
		if err := r.startDesk(w); err != nil {
			return false, err
		}
		desks = append(desks, w)
		if _, err := r.addNode(zone, nil); err != nil {
			return false, err
		}
	}
	if err := r.startAll(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)

	stop := make(chan struct{})
	var mu sync.Mutex
	var all []outcome
	var wg sync.WaitGroup
	for i := range 64 {
		c := &caller{rig: r, node: r.nodes[i%len(r.nodes)], name: fmt.Sprintf("c%d", i)}
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				var o outcome
				if i/len(r.nodes)%2 == 0 {
					o = c.send(http.MethodPost, "/o/1", nil, "an order", time.Second)
				} else {
					o = c.send(http.MethodGet, "/s/1", nil, "", time.Second)
				}
				r.record.printf("%s at %s: status %d, kept %t, complete %t, %v", o.id, o.node.name, o.status, o.kept, o.complete, o.closed)
				mu.Lock()
				all = append(all, o)
				mu.Unlock()
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	time.Sleep(3 * time.Second)
	holder := r.holderOf()
	if holder == nil {
		return false, fmt.Errorf("no node holds the duties")
	}
	r.record.printf("%s holds the duties", holder.name)
	if trouble {
		if os.Getenv("START") == "any" {
			time.Sleep(rand.N(renewInterval))
		} else if err := d.awaitRenewal(); err != nil {
			return false, err
		}
		d.play()
	}
	time.Sleep(500 * time.Millisecond)
	r.store.Set("config", "main", config)
	for _, w := range desks {
		w.register()
	}
	time.Sleep(4 * time.Second)
	close(stop)
	wg.Wait()

	lost := make(map[*node]int)
	for _, o := range all {
		if !o.kept || o.status != 0 || o.closed == nil {
			continue // only channels that had carried a request before and were closed without an answer count
		}
		for _, w := range desks {
			if w.accepted(o.id) > 0 {
				lost[o.node]++
				break
			}
		}
	}
	for _, n := range r.nodes {
		r.record.printf("%s has ended by itself %d times", n.name, n.crashCount())
		r.record.printf("%s has passed %d requests from kept channels on to sound workers, and closed these channels without an answer", n.name, lost[n])
		broken = broken || lost[n] > 3
	}
	return broken, nil
}
