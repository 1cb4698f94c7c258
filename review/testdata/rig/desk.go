package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// desk is a stand-in for an application server: it works on slots requests at a time, queues a
// few more and turns others away. While it is silent, it reads and answers nothing.
type desk struct {
	d        *deployment
	id, addr string
	service  string
	slots    int
	queue    int
	work     time.Duration
	// onArrival is called when a request arrives and the server sees it, and onRun when the
	// server begins to work on it.
	onArrival, onRun func(server, id string)

	mu       sync.Mutex
	seq      int
	born     int64
	silent   chan struct{} // closed when the server goes on; nil while it works
	waiting  []chan struct{}
	accepted int // requests in the slots and in the queue
	running  chan struct{}
}

func (s *desk) start() error {
	l, err := net.Listen("tcp", s.addr)
	if err != nil {
		return err
	}
	s.born, s.running = time.Now().UnixMilli(), make(chan struct{}, s.slots)
	go func() { _ = (&http.Server{Handler: s, ReadHeaderTimeout: 10 * time.Second}).Serve(l) }()
	s.register()
	go func() {
		for {
			time.Sleep(heartbeatInterval)
			s.register()
		}
	}()
	return nil
}

func (s *desk) register() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seq++
	s.d.store.Set("servers", s.id, map[string]any{
		"service": s.service, "addr": s.addr, "zone": "a", "version": "v1", "slots": s.slots, "state": "ready",
		"cold_remaining_ms": 0, "seq": s.seq, "born": s.born,
	})
}

// fallSilent makes the server silent for a time. Then it takes the requests that have come
// meanwhile in the order of their arrival.
func (s *desk) fallSilent(d time.Duration) {
	s.mu.Lock()
	s.silent = make(chan struct{})
	s.mu.Unlock()
	s.d.logf("server %s falls silent for %s", s.id, d)
	time.Sleep(d)
	s.mu.Lock()
	s.silent = nil
	waiting := s.waiting
	s.waiting = nil
	s.mu.Unlock()
	s.d.logf("server %s goes on, %d requests have come", s.id, len(waiting))
	for _, w := range waiting {
		close(w)
		time.Sleep(100 * time.Microsecond)
	}
}

// ServeHTTP implements http.Handler.
func (s *desk) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	s.onArrival(s.id, id)
	s.mu.Lock()
	if s.silent != nil {
		turn := make(chan struct{})
		s.waiting = append(s.waiting, turn)
		s.mu.Unlock()
		<-turn
		s.mu.Lock()
	}
	h := w.Header()
	h.Set("Attempt-Id", id)
	h.Set("Server-Load", fmt.Sprintf("%d,%d,%d", min(s.accepted, s.slots), max(s.accepted-s.slots, 0), s.slots))
	if e := r.Header.Get("Expect-Instance"); e != "" && e != s.id {
		s.mu.Unlock()
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if s.accepted >= s.slots+s.queue {
		s.mu.Unlock()
		s.d.logf("server %s is full and turns %s away", s.id, id)
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.accepted++
	s.mu.Unlock()
	s.running <- struct{}{}
	s.onRun(s.id, id)
	time.Sleep(s.work)
	<-s.running
	s.mu.Lock()
	s.accepted--
	s.mu.Unlock()
	h.Set("Server-Seal", "seal."+s.id+"."+id)
	_, _ = fmt.Fprintf(w, "confirmed %s", id)
}
