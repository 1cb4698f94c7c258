package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["deadly-after-restart"] = deadlyAfterRestart }

// deadlyPart crashes each server that begins to write an answer on it.
const deadlyPart = "fa7a1"

// fragile is a stand-in for a model server that crashes under requests with deadlyPart and is back
// after some seconds, with a new id at the same address.
type fragile struct {
	d       *deployment
	addr    string
	name    string
	crashed func(at time.Time)

	mu    sync.Mutex
	id    string // empty while it is down
	lives int
	ln    net.Listener
	conns map[net.Conn]bool
}

func (f *fragile) start() error {
	l, err := net.Listen("tcp", f.addr)
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.lives++
	f.ln, f.conns, f.id = l, make(map[net.Conn]bool), fmt.Sprintf("i-%s-%d", f.name, f.lives)
	id, conns, born := f.id, f.conns, time.Now().UnixMilli()
	f.mu.Unlock()
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { f.serve(id, w, r) }), ReadHeaderTimeout: 10 * time.Second}
	srv.ConnState = func(c net.Conn, s http.ConnState) {
		f.mu.Lock()
		defer f.mu.Unlock()
		if s == http.StateNew {
			conns[c] = true
		}
		if s == http.StateClosed {
			delete(conns, c)
		}
	}
	go func() { _ = srv.Serve(l) }()
	go func() {
		for seq := 1; ; seq++ {
			f.mu.Lock()
			if f.id != id {
				f.mu.Unlock()
				return
			}
			f.d.store.Set("servers", id, map[string]any{
				"service": "draft-models", "addr": f.addr, "zone": "a", "version": "v1", "slots": 48, "state": "ready", "cold_remaining_ms": 0, "seq": seq, "born": born,
			})
			f.mu.Unlock()
			time.Sleep(heartbeatInterval)
		}
	}()
	return nil
}

// crash ends the server. It sends nothing more; its entry lapses after three heartbeats.
func (f *fragile) crash(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.id != id {
		return
	}
	f.id = ""
	_ = f.ln.Close()
	for c := range f.conns {
		reset(c)
	}
	f.crashed(time.Now())
	time.AfterFunc(3*heartbeatInterval, func() { f.d.store.Remove("servers", id) })
	time.AfterFunc(2*time.Second, func() {
		if err := f.start(); err != nil {
			f.d.logf("server at %s cannot start again: %v", f.addr, err)
		}
	})
}

func (f *fragile) serve(id string, w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("Attempt-Id")
	if e := r.Header.Get("Expect-Instance"); e != "" && e != id {
		w.Header().Set("Attempt-Id", attempt)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	deadly := strings.Contains(r.Header.Get("Prompt-Prefix"), ","+deadlyPart+":")
	time.Sleep(30 * time.Millisecond)
	w.Header().Set("Attempt-Id", attempt)
	w.Header().Set("Server-Seal", "seal."+id+"."+attempt)
	w.Header().Set("Content-Type", "text/event-stream")
	for i := 1; i <= 8; i++ {
		if deadly {
			f.d.logf("server %s crashes under %s", id, attempt)
			f.crash(id)
			panic(http.ErrAbortHandler)
		}
		if i == 1 {
			f.d.logf("server %s begins %s", id, attempt)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s piece %d\n\n", i, attempt, i)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(40 * time.Millisecond)
	}
}

// deadlyAfterRestart: all machines are killed at the same moment and are back at once. A second
// later requests with a part that crashes workers begin to come. From 6 s after the fifth crash
// sound requests of the route must begin at least half as often as before.
func deadlyAfterRestart(d *deployment, trouble bool) ([]string, error) {
	const (
		nodes   = 3
		contact = 3 * time.Second
		calm    = 14 * time.Second
		watch   = 14 * time.Second
	)
	if err := d.startStore(); err != nil {
		return nil, err
	}
	d.store.Set("config", "main", map[string]any{
		"version": 3,
		"routes": []map[string]any{{
			"name": "draft", "host": "shop.example", "path_prefix": "/draft/", "service": "draft-models", "kind": "stream", "timeout_ms": 10000,
			"ttft_target_ms": 800, "gap_target_ms": 400, "max_attempts": 1, "priority": 1, "session_affinity": true, "stream_resume": false,
		}},
		"services": []map[string]any{{
			"name": "draft-models", "health_path": "/health", "max_conns": 300,
			"engine": map[string]any{"slots": 48, "kv_capacity": 444000, "moves": true, "kv_bytes": 131072, "link_mbps": 550000},
		}},
		"tenants": []map[string]any{{"name": "desk", "api_keys": []string{"key-1"}}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	var mu sync.Mutex
	var crashes []time.Time
	for i := range 18 {
		f := &fragile{d: d, addr: fmt.Sprintf("%s:8308", d.ip(101+i)), name: fmt.Sprint(i + 1), crashed: func(at time.Time) {
			mu.Lock()
			defer mu.Unlock()
			crashes = append(crashes, at)
		}}
		if err := f.start(); err != nil {
			return nil, err
		}
	}
	if err := d.addNodes(nodes); err != nil {
		return nil, err
	}
	type sent struct {
		at    time.Time
		begun bool
	}
	var sound []sent
	var wg sync.WaitGroup
	stop := make(chan struct{})
	// A request shares its key and its first two parts with all others of the route.
	post := func(kind string, k int, own string) {
		n := d.nodes[k%nodes]
		r := request{
			id: fmt.Sprintf("%s%05d", kind, k), method: "POST", path: fmt.Sprintf("/draft/%s%d", kind, k), key: "key-1", body: fmt.Sprintf("letter %s %d", kind, k), deadline: 10 * time.Second,
			header: map[string]string{"Model": "m", "Token-Counts": "800,64", "Prompt-Prefix": fmt.Sprintf("5c1e07a2:200,91bd3f06:250,%s%s%x:100", own, kind[:1], 4096+k)},
		}
		at := time.Now()
		a := send(n, r)
		d.logf("client of %s at %s got %s", r.id, n.name, a)
		if kind == "c" {
			mu.Lock()
			defer mu.Unlock()
			sound = append(sound, sent{at, a.status == 200 && len(a.events) > 0})
		}
	}
	every := func(gap time.Duration, f func(k int)) {
		wg.Go(func() {
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				case <-time.After(gap):
					wg.Go(func() { f(k) })
				}
			}
		})
	}
	every(soundGap, func(k int) { post("c", k, "") })
	time.Sleep(calm)
	disrupted := time.Now()
	if trouble {
		for _, n := range d.nodes {
			n.kill()
		}
		time.Sleep(500 * time.Millisecond) // the platform's delay before a start
		for _, n := range d.nodes {
			if err := n.startProcess(); err != nil {
				return nil, err
			}
		}
		for _, n := range d.nodes {
			if err := n.waitReady(); err != nil {
				return nil, err
			}
		}
		time.Sleep(time.Second)
		every(deadlyGap, func(k int) { post("d", k, deadlyPart+":100,") })
	}
	fifth := disrupted
	for range 200 {
		mu.Lock()
		if len(crashes) >= 5 {
			fifth = crashes[4]
		}
		mu.Unlock()
		if !trouble || fifth != disrupted {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	from := fifth.Add(2 * contact)
	time.Sleep(time.Until(from.Add(watch)))
	close(stop)
	wg.Wait()
	var before, after, beganBefore, beganAfter int
	for _, s := range sound {
		switch {
		case s.at.Before(disrupted):
			before++
			if s.begun {
				beganBefore++
			}
		case s.at.After(from):
			after++
			if s.begun {
				beganAfter++
			}
		}
	}
	d.logf("%d crashes; sound requests begun: %d of %d before, %d of %d from 6 s after the fifth crash", len(crashes), beganBefore, before, beganAfter, after)
	if before < 20 || after < 20 {
		return nil, fmt.Errorf("too few sound requests: %d and %d", before, after)
	}
	if 2*beganAfter*before < beganBefore*after {
		return []string{fmt.Sprintf("LOST: %d of %d sound requests begin while deadly ones come, %d of %d did before", beganAfter, after, beganBefore, before)}, nil
	}
	return nil, nil
}

const (
	// soundGap and deadlyGap are the times between two sound and between two deadly requests.
	soundGap  = 600 * time.Millisecond
	deadlyGap = 50 * time.Millisecond
)

// kill ends the node's process at once.
func (n *node) kill() {
	n.d.logf("node %s is killed", n.name)
	_ = n.cmd.Process.Signal(syscall.SIGKILL)
	<-n.exited
}
