package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// desk is a sound worker of a plain service: it processes slots requests at a time and queues a few more.
type desk struct {
	rig         *rig
	id, service string
	zone, addr  string
	work        time.Duration
	slots       chan struct{}
	waiting     chan struct{}
	born        int64

	mu      sync.Mutex
	arrived map[string]int // requests that were not rejected, by Attempt-Id
	ran     map[string]int // requests that it has begun to run
}

// startDesk starts a worker and registers it.
func (r *rig) startDesk(d *desk) error {
	d.rig, d.arrived, d.ran, d.born = r, make(map[string]int), make(map[string]int), time.Now().UnixMilli()
	d.slots, d.waiting = make(chan struct{}, 6), make(chan struct{}, 24)
	ln, err := net.Listen("tcp", r.prefix+"200:0")
	if err != nil {
		return err
	}
	d.addr = ln.Addr().String()
	go func() { _ = (&http.Server{Handler: d}).Serve(ln) }()
	d.register()
	return nil
}

func (d *desk) register() {
	d.rig.store.Set("servers", d.id, map[string]any{
		"service": d.service, "addr": d.addr, "zone": d.zone, "version": "v1", "slots": cap(d.slots), "state": "ready", "cold_remaining_ms": 0,
		"seq": 1, "born": d.born,
	})
}

// accepted returns how often a request has arrived at the worker, which has not rejected it.
func (d *desk) accepted(id string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.arrived[id]
}

// ServeHTTP implements http.Handler.
func (d *desk) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	refuse := func(status int) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(status)
	}
	if want := r.Header.Get("Expect-Instance"); want != "" && want != d.id {
		refuse(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	select {
	case d.waiting <- struct{}{}:
	default:
		refuse(http.StatusServiceUnavailable)
		return
	}
	d.mu.Lock()
	d.arrived[id]++
	d.mu.Unlock()
	d.rig.record.printf("request %s has arrived at worker %s", id, d.id)
	select {
	case d.slots <- struct{}{}:
		<-d.waiting
	case <-r.Context().Done():
		<-d.waiting
		return
	}
	defer func() { <-d.slots }()
	d.mu.Lock()
	d.ran[id]++
	d.mu.Unlock()
	d.rig.record.printf("worker %s runs %s", d.id, id)
	time.Sleep(d.work)
	w.Header().Set("Server-Seal", "seal."+d.id+"."+id)
	w.Header().Set("Server-Load", fmt.Sprintf("%d,%d,%d", len(d.slots), len(d.waiting), cap(d.slots)))
	_, _ = io.WriteString(w, "answer to "+id)
}
