package main

import (
	"net"
	"sync"
	"time"
)

// link is the path of one node to an address. While it is cut, it loses all packets in both
// directions, and the ends behave as their kernels do: what was sent on an open connection is sent
// again after 0.2, 0.4, 0.8 s and so on until it arrives, also after the sender has closed the
// connection; a connection that is begun meanwhile never comes about.
type link struct {
	ln     net.Listener
	target string

	mu       sync.Mutex
	cutAt    time.Time // zero while the link is whole
	healedAt time.Time // of the last cut; zero for none
	healed   chan struct{}
}

// firstRetransmission is the time after which a lost packet is sent again; the time doubles with each
// further loss.
const firstRetransmission = 200 * time.Millisecond

func (w *world) newLink(target string) (*link, error) {
	ln, err := w.listen()
	if err != nil {
		return nil, err
	}
	l := &link{ln: ln, target: target, healed: make(chan struct{})}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go l.serve(c)
		}
	}()
	return l, nil
}

func (l *link) address() string { return l.ln.Addr().String() }

func (l *link) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cutAt, l.healed = time.Now(), make(chan struct{})
}

func (l *link) heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cutAt, l.healedAt = time.Time{}, time.Now()
	close(l.healed)
}

// lastHealed returns when the last cut ended.
func (l *link) lastHealed() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.healedAt
}

func (l *link) state() (cut bool, healed chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.cutAt.IsZero(), l.healed
}

func (l *link) serve(client net.Conn) {
	if cut, healed := l.state(); cut {
		<-healed
		reset(client) // its opening packet was lost, and its owner has given up
		return
	}
	server, err := net.Dial("tcp", l.target)
	if err != nil {
		reset(client)
		return
	}
	go l.copy(server, client)
	l.copy(client, server)
}

// copy passes bytes on. The end of one direction is passed on as such.
func (l *link) copy(to, from net.Conn) {
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		l.transmit(time.Now())
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				reset(from)
				return
			}
		}
		if err != nil {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
	}
}

// transmit returns when a packet that was sent at a time arrives.
func (l *link) transmit(sent time.Time) {
	at := sent
	for interval := firstRetransmission; ; interval *= 2 {
		if cut, _ := l.state(); !cut {
			return
		}
		at = at.Add(interval)
		time.Sleep(time.Until(at))
	}
}

// reset closes a connection with a reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
