package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// heartbeatInterval is how often a server writes its entry.
const heartbeatInterval = 1200 * time.Millisecond

// engine is a stand-in for a model server. It answers each request with a stream of pieces
// events that has neither a length nor chunks and ends with its channel. Its run can be moved
// to another engine with the call kv-move.
type engine struct {
	d       *deployment
	copies  *copies
	id      string
	addr    string
	service string
	spot    bool
	born    int64
	pieces  int
	gap     time.Duration
	// copyTime is the time for which the first copy of a run occupies the link.
	copyTime time.Duration

	mu       sync.Mutex
	seq      int
	state    string
	leavesAt time.Time
	runs     map[string]*engineRun
	conns    map[net.Conn]bool
	listener net.Listener
	ended    bool
	queue    []chan struct{} // of the copies that wait for the link, the one on its way first
}

// engineRun is a run in progress or a stopped one.
type engineRun struct {
	made    int
	stop    chan struct{}
	stopped bool
	moving  bool
	copied  bool
}

// copies are the copies of runs, by handle.
type copies struct {
	mu   sync.Mutex
	next int
	at   map[string]kvCopy
}

type kvCopy struct{ source, target, run string }

func (e *engine) start() error {
	l, err := net.Listen("tcp", e.addr)
	if err != nil {
		return err
	}
	e.listener, e.state, e.born = l, "ready", time.Now().UnixMilli()
	e.runs, e.conns = make(map[string]*engineRun), make(map[net.Conn]bool)
	srv := &http.Server{Handler: e, ReadHeaderTimeout: 10 * time.Second, ConnState: func(c net.Conn, s http.ConnState) {
		e.mu.Lock()
		defer e.mu.Unlock()
		if s == http.StateNew {
			e.conns[c] = true
		}
		if s == http.StateClosed {
			delete(e.conns, c)
		}
	}}
	go func() { _ = srv.Serve(l) }()
	e.register()
	go func() {
		for {
			time.Sleep(heartbeatInterval)
			if !e.register() {
				return
			}
		}
	}()
	return nil
}

// register writes the server's entry. It returns false after the server's end.
func (e *engine) register() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ended {
		return false
	}
	e.seq++
	entry := map[string]any{
		"service": e.service, "addr": e.addr, "zone": "a", "version": "v1", "slots": 48, "state": e.state,
		"cold_remaining_ms": 0, "seq": e.seq, "born": e.born,
	}
	if e.spot {
		entry["spot"] = true
	}
	if !e.leavesAt.IsZero() {
		entry["leaves_ms"] = time.Until(e.leavesAt).Milliseconds()
	}
	e.d.store.Set("servers", e.id, entry)
	return true
}

// reclaim announces that the server leaves after a time, and ends it then.
func (e *engine) reclaim(notice time.Duration) {
	e.mu.Lock()
	e.state, e.leavesAt = "draining", time.Now().Add(notice)
	running := len(e.runs)
	e.mu.Unlock()
	e.d.logf("server %s reports draining, leaves in %s, %d runs", e.id, notice, running)
	e.register()
	time.Sleep(notice)
	e.end()
}

// end ends the server: all its channels are reset, and its entry is removed.
func (e *engine) end() {
	e.mu.Lock()
	e.ended = true
	conns := e.conns
	e.conns = nil
	_ = e.listener.Close()
	stopped, running := 0, 0
	for _, r := range e.runs {
		if r.stopped {
			stopped++
		} else {
			running++
		}
	}
	e.mu.Unlock()
	for c := range conns {
		reset(c)
	}
	e.d.store.Remove("servers", e.id)
	e.d.logf("server %s is gone: %d runs broken off by resets, %d stopped for their move", e.id, running, stopped)
}

// reset closes a channel with a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get("Expect-Instance"); id != "" && id != e.id {
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == "/api/kv-move":
		e.move(w, r)
	case r.URL.Path == "/health":
		w.Header().Set("Instance-Id", e.id)
	case strings.HasPrefix(r.URL.Path, "/api/"):
		w.WriteHeader(http.StatusNotFound)
	default:
		e.serve(w, r)
	}
}

// serve runs a request, or continues one from its copy.
func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if from := r.Header.Get("Kv-From"); from != "" && !e.copies.use(from, e.addr, id) {
		e.d.logf("server %s rejects the continuation of %s: no copy %s", e.id, id, from)
		w.Header().Set("Attempt-Id", id)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	run := &engineRun{made: after, stop: make(chan struct{})}
	e.mu.Lock()
	if e.ended {
		e.mu.Unlock()
		reset(conn)
		return
	}
	e.runs[id], e.conns[conn] = run, true
	e.mu.Unlock()
	e.d.logf("server %s runs %s from event %d, Kv-From %q", e.id, id, after+1, r.Header.Get("Kv-From"))
	e.stream(conn, id, run)
}

// stream writes the events of a run until it is complete or stopped.
func (e *engine) stream(conn net.Conn, id string, run *engineRun) {
	defer func() {
		e.mu.Lock()
		delete(e.conns, conn)
		e.mu.Unlock()
	}()
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: seal.%s.%s\r\nContent-Type: text/event-stream\r\nWeight-Versions: 1\r\n\r\n", id, e.id, id)
	for err == nil {
		select {
		case <-run.stop:
			e.d.logf("server %s stops %s after event %d for its move and closes its stream without its end", e.id, id, run.made)
			_ = conn.Close()
			return
		case <-time.After(e.gap):
		}
		e.mu.Lock()
		stopped := run.stopped
		if !stopped {
			run.made++
		}
		made := run.made
		e.mu.Unlock()
		if stopped {
			continue
		}
		if _, err = fmt.Fprintf(conn, "id: %d\ndata: %s piece %d\n\n", made, id, made); err != nil {
			break
		}
		if made == e.pieces {
			e.forget(id)
			e.d.logf("server %s has completed %s with event %d", e.id, id, made)
			_ = conn.Close()
			return
		}
	}
	e.forget(id)
	e.d.logf("server %s: the channel of %s ended after event %d: %v", e.id, id, run.made, err)
	_ = conn.Close()
}

func (e *engine) forget(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.runs, id)
}

// move implements the call kv-move. The copies wait for each other on the link.
func (e *engine) move(w http.ResponseWriter, r *http.Request) {
	var in struct {
		ID, Target string
		Last       bool
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	run := e.runs[in.ID]
	switch {
	case run == nil:
		e.mu.Unlock()
		e.d.logf("server %s: move of %s: no such run", e.id, in.ID)
		w.WriteHeader(http.StatusNotFound)
		return
	case run.moving:
		e.mu.Unlock()
		w.WriteHeader(http.StatusConflict)
		return
	}
	run.moving = true
	if in.Last && !run.stopped {
		run.stopped = true
		close(run.stop)
	}
	took := e.copyTime
	if run.copied {
		took /= 20 // only what is new
	}
	e.mu.Unlock()
	e.transfer(took)
	e.mu.Lock()
	run.moving, run.copied = false, true
	created, ended := run.made, e.ended
	if in.Last {
		delete(e.runs, in.ID)
	}
	e.mu.Unlock()
	if ended {
		panic(http.ErrAbortHandler)
	}
	handle := e.copies.add(kvCopy{e.addr, in.Target, in.ID})
	e.d.logf("server %s: copy of %s to %s is complete, last %t, handle %s, %d events", e.id, in.ID, in.Target, in.Last, handle, created)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"handle": handle, "created": created})
}

// transfer waits for the copies before this one and then for its own time, in order.
func (e *engine) transfer(took time.Duration) {
	turn := make(chan struct{})
	e.mu.Lock()
	e.queue = append(e.queue, turn)
	if len(e.queue) == 1 {
		close(turn)
	}
	e.mu.Unlock()
	<-turn
	time.Sleep(took)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.queue = e.queue[1:]; len(e.queue) > 0 {
		close(e.queue[0])
	}
}

func (c *copies) add(k kvCopy) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	handle := fmt.Sprintf("h%d", c.next)
	c.at[handle] = k
	return handle
}

// use takes the copy that a Kv-From header names, for the run at the engine at an address.
func (c *copies) use(from, addr, run string) bool {
	source, handle, _ := strings.Cut(from, "/")
	c.mu.Lock()
	defer c.mu.Unlock()
	k, ok := c.at[handle]
	if !ok || k.source != source || k.run != run || k.target != addr && k.source != addr {
		return false
	}
	delete(c.at, handle)
	return true
}
