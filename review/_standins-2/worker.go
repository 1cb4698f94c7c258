package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// worker is a stand-in for a worker. It does the work of a request in workTime, then answers.
type worker struct {
	w                 *world
	id, service, zone string
	address           string
	handler           func(rw http.ResponseWriter, r *http.Request)

	mu   sync.Mutex
	runs map[string]int // by Attempt-Id
	seq  int
}

const workTime = 15 * time.Millisecond

// addWorker starts a worker and registers it. A nil handler answers each request with its body.
func (w *world) addWorker(id, service, zone string, handler func(*worker, http.ResponseWriter, *http.Request)) (*worker, error) {
	ln, err := w.listen()
	if err != nil {
		return nil, err
	}
	k := &worker{w: w, id: id, service: service, zone: zone, address: ln.Addr().String(), runs: make(map[string]int)}
	srv := &http.Server{ReadHeaderTimeout: 30 * time.Second, Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if want := r.Header.Get("Expect-Instance"); want != "" && want != k.id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if r.URL.Path == "/health" {
			rw.Header().Set("Instance-Id", k.id)
			return
		}
		attempt := r.Header.Get("Attempt-Id")
		k.mu.Lock()
		k.runs[attempt]++
		n := k.runs[attempt]
		k.mu.Unlock()
		rw.Header().Set("Attempt-Id", attempt)
		rw.Header().Set("Server-Seal", fmt.Sprintf("%s.%s.%d", k.id, attempt, n))
		rw.Header()["Date"] = nil
		if handler != nil {
			handler(k, rw, r)
			return
		}
		time.Sleep(workTime)
		_, _ = fmt.Fprintf(rw, "done by %s\n", k.id)
	})}
	go func() { _ = srv.Serve(ln) }()
	w.atClose(func() { _ = srv.Close() })
	k.register("ready")
	go func() {
		for {
			time.Sleep(1200 * time.Millisecond)
			k.register("ready")
		}
	}()
	return k, nil
}

// register writes the worker's entry, as it does with each ping.
func (k *worker) register(state string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.seq++
	k.w.store.Set("servers", k.id, map[string]any{
		"service": k.service, "addr": k.address, "zone": k.zone, "version": "v1", "slots": 48, "state": state, "cold_remaining_ms": 0,
		"seq": k.seq, "born": k.w.started.UnixMilli(),
	})
}
