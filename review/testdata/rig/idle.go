package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["idle-channels"] = idleChannels }

// second counts, for one second and one node, the clients that opened a new channel and sent a
// request on it, and those of them that got an answer.
type second struct {
	tried, answered int
	ready           bool
}

// idleChannels: many users come at once. Each opens a channel, sends a request, reads the answer
// and leaves the channel open. The configuration allows a channel to be idle for 15 s. A node that
// says that it is ready must take new channels.
func idleChannels(d *deployment, trouble bool) ([]string, error) {
	const (
		nodes   = 2
		length  = 96 * time.Second
		contact = 3    // seconds, bounds.contact_ms
		clients = 7    // that try in that time
		usual   = 29.2 // requests per second and machine of the site: 234 at 8 machines
		burst   = 1.7  // the site's largest
		// patience is the time in which a node has to read a request on a new channel.
		patience = time.Second
	)
	// The channels of the clients are this process's own.
	if err := mayOpen(nodes*maxFiles + 500); err != nil {
		return nil, err
	}
	if err := d.startStore(); err != nil {
		return nil, err
	}
	d.store.Set("config", "main", map[string]any{
		"version": 3,
		"routes": []map[string]any{{
			"name": "order-status", "host": "shop.example", "path_prefix": "/status/", "service": "order-desk", "kind": "idempotent",
			"timeout_ms": 1000, "ttft_target_ms": 100, "max_attempts": 2, "priority": 2,
		}},
		"services": []map[string]any{{"name": "order-desk", "health_path": "/health", "max_conns": 110}},
		"tenants":  []map[string]any{{"name": "shop", "api_keys": []string{"key-1"}}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	for i := range 4 {
		s := &desk{
			d: d, id: fmt.Sprintf("i-%d", i+1), addr: fmt.Sprintf("%s:8308", d.ip(101+i)), service: "order-desk", slots: 6, queue: 24, work: 15 * time.Millisecond,
			onArrival: func(string, string) {}, onRun: func(string, string) {},
		}
		if err := s.start(); err != nil {
			return nil, err
		}
	}
	if err := d.addNodes(nodes); err != nil {
		return nil, err
	}
	perSecond := usual
	if trouble {
		perSecond *= burst
	}
	begin := time.Now()
	var mu sync.Mutex
	seconds := make([][]second, nodes)
	for i := range seconds {
		seconds[i] = make([]second, int(length.Seconds())+3)
	}
	at := func(t time.Time) int { return int(t.Sub(begin).Seconds()) }
	var open []net.Conn
	var ownErr error // of a client that had no descriptor
	var wg sync.WaitGroup
	for i, n := range d.nodes {
		wg.Go(func() { // the platform asks for readiness once a second, on a kept channel
			for time.Since(begin) < length {
				now := time.Now()
				ready := n.ready()
				mu.Lock()
				seconds[i][at(now)].ready = ready
				mu.Unlock()
				time.Sleep(time.Until(now.Add(time.Second)))
			}
		})
		wg.Go(func() {
			for k := 0; time.Since(begin) < length; k++ {
				wg.Go(func() {
					tried := time.Now()
					conn, err := visit(n, fmt.Sprintf("s%d-%05d", i, k), patience)
					mu.Lock()
					defer mu.Unlock()
					s := &seconds[i][at(tried)]
					s.tried++
					if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.EADDRNOTAVAIL) {
						ownErr = err
					}
					if err != nil {
						return
					}
					s.answered++
					open = append(open, conn)
				})
				time.Sleep(time.Until(begin.Add(time.Duration(float64(k+1) / perSecond * float64(time.Second)))))
			}
		})
	}
	wg.Wait()
	if ownErr != nil {
		return nil, ownErr
	}
	var violations []string
	for i, n := range d.nodes {
		violations = append(violations, d.judge(n, seconds[i], contact, clients)...)
	}
	for _, c := range open {
		_ = c.Close()
	}
	return violations, nil
}

// mayOpen returns an error if this process may have fewer open descriptors than n.
func mayOpen(n uint64) error {
	var own syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &own); err != nil {
		return err
	}
	if own.Cur < n {
		return fmt.Errorf("the clients need %d descriptors, %d are allowed", n, own.Cur)
	}
	return nil
}

// judge returns the spans of contact seconds in which a node was ready all the time and took no new
// channel while a number of clients tried.
func (d *deployment) judge(n *node, seconds []second, contact, clients int) []string {
	taken := 0
	for s, c := range seconds {
		taken += c.answered
		d.logf("node %s, second %d: ready %t, %d clients opened a channel, %d got an answer, %d channels open", n.name, s, c.ready, c.tried, c.answered, taken)
	}
	var violations []string
	for s := 0; s+contact <= len(seconds); s++ {
		span := second{ready: true}
		for _, c := range seconds[s : s+contact] {
			span.tried, span.answered, span.ready = span.tried+c.tried, span.answered+c.answered, span.ready && c.ready
		}
		if span.ready && span.tried >= clients && span.answered == 0 {
			violations = append(violations, fmt.Sprintf("RECOVER: %s says that it is ready and takes none of %d new channels in the seconds %d to %d", n.name, span.tried, s, s+contact))
		}
	}
	return violations
}

// visit opens a channel to a node, sends a request and reads the answer. The channel stays open.
func visit(n *node, id string, patience time.Duration) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", n.front(), patience)
	if err != nil {
		return nil, err
	}
	_ = conn.SetDeadline(time.Now().Add(patience))
	_, err = fmt.Fprintf(conn, "GET /status/%s HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: %s\r\nApi-Key: key-1\r\nDeadline-Remaining: 1000\r\n\r\n", id, id)
	if err == nil {
		var resp *http.Response
		if resp, err = http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
			_, err = io.ReadAll(resp.Body)
			_ = resp.Body.Close()
		}
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}
