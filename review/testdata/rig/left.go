package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["left-callers"] = leftCallers }

// leftCallers: some clients leave early. A sound server falls silent for a second now and then;
// when it goes on, it has more requests than it queues and turns the others away. Nothing may
// reach a worker long after its client has left.
func leftCallers(d *deployment, trouble bool) ([]string, error) {
	const (
		length   = 75 * time.Second
		silence  = 1200 * time.Millisecond
		every    = 2500 * time.Millisecond
		deadline = 1500 * time.Millisecond
		// Three in ten clients leave when half of the objective of 150 ms has passed.
		leavesAfter = 75 * time.Millisecond
		perSecond   = 150
		// late is the time after a client's leaving from which an arrival counts.
		late = 500 * time.Millisecond
		// aFew is the number of such arrivals that the rule bears.
		aFew = 10
	)
	if err := d.startStore(); err != nil {
		return nil, err
	}
	d.store.Set("config", "main", map[string]any{
		"version": 3,
		"routes": []map[string]any{{
			"name": "order-confirm", "host": "shop.example", "path_prefix": "/orders/", "service": "order-desk", "kind": "non_idempotent",
			"timeout_ms": 1500, "ttft_target_ms": 150, "max_attempts": 1, "priority": 2,
		}},
		"services": []map[string]any{{"name": "order-desk", "health_path": "/health", "max_conns": 110}},
		"tenants":  []map[string]any{{"name": "shop", "api_keys": []string{"key-1"}}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 20000},
	})
	var mu sync.Mutex
	left := make(map[string]time.Time) // when the client of a request closed its channel
	var violations []string
	arrived := func(server, id string) {
		mu.Lock()
		defer mu.Unlock()
		if at, ok := left[id]; ok {
			after := time.Since(at)
			d.logf("server %s gets %s %d ms after its client has left", server, id, after.Milliseconds())
			if after > late {
				violations = append(violations, fmt.Sprintf("GONE: %s reaches %s %d ms after its client has left", id, server, after.Milliseconds()))
			}
		}
	}
	ran := func(server, id string) { d.logf("server %s runs %s", server, id) }
	var desks []*desk
	for i := range 4 {
		s := &desk{d: d, id: fmt.Sprintf("i-%d", i+1), addr: fmt.Sprintf("%s:8308", d.ip(101+i)), service: "order-desk", slots: 2, queue: 2, work: 30 * time.Millisecond, onArrival: arrived, onRun: ran}
		if err := s.start(); err != nil {
			return nil, err
		}
		desks = append(desks, s)
	}
	if err := d.addNodes(8); err != nil {
		return nil, err
	}
	stop := time.Now().Add(length)
	var wg sync.WaitGroup
	if trouble {
		wg.Go(func() {
			for i := 0; time.Now().Before(stop); i++ {
				time.Sleep(every - silence)
				desks[i%len(desks)].fallSilent(silence)
			}
		})
	}
	status := make(map[int]int)
	for i := 0; time.Now().Before(stop); i++ {
		wg.Go(func() {
			id, n := fmt.Sprintf("o%05d", i), d.nodes[i%len(d.nodes)]
			ctx, cancel := context.WithTimeout(context.Background(), deadline+time.Second)
			if trouble && rand.Float64() < 0.3 {
				cancel()
				ctx, cancel = context.WithTimeout(context.Background(), leavesAfter)
			}
			defer cancel()
			code, closed := order(ctx, n, id, deadline)
			mu.Lock()
			defer mu.Unlock()
			status[code]++
			if code == 0 {
				left[id] = closed
			}
			d.logf("order %s at %s: status %d (0: the client has left)", id, n.name, code)
		})
		time.Sleep(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
	}
	wg.Wait()
	time.Sleep(2 * time.Second)
	d.logf("orders by status: %v, of them late after their clients left: %d", status, len(violations))
	if len(violations) <= aFew {
		return nil, nil
	}
	return violations, nil
}

// order sends an order on a channel of its own. It returns status 0 and when the channel was
// closed if the client left.
func order(ctx context.Context, n *node, id string, deadline time.Duration) (int, time.Time) {
	t := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.front()+"/orders/"+id, strings.NewReader("a plaque"))
	if err != nil {
		return -1, time.Time{}
	}
	req.Host = "shop.example"
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Api-Key", "key-1")
	req.Header.Set("Deadline-Remaining", fmt.Sprint(deadline.Milliseconds()))
	resp, err := t.RoundTrip(req)
	if err != nil {
		return 0, time.Now()
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.ReadAll(resp.Body); err != nil {
		return 0, time.Now()
	}
	return resp.StatusCode, time.Time{}
}
