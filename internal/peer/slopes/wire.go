package main

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	peerv1 "github.com/jujubeshed/jujubeshed/api/gen/peer/v1"
	"github.com/jujubeshed/jujubeshed/api/gen/peer/v1/peerv1connect"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/peer"
	"github.com/jujubeshed/jujubeshed/internal/peer/gossip"
)

const wireCalls = 5000

// countingConn counts the bytes of a connection in both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Uint64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(uint64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(uint64(n))
	return n, err
}

// wire prints the bytes and CPU time of one call between two services, made with a
// minimal message, and the memory of a connection.
func wire(w io.Writer) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s, err := gossip.New(gossip.Options{
		Peer: peer.Options{ID: ident.NodeID("node-000"), DataCentre: "dc-00", Address: l.Addr().String()},
		Key:  []byte("the key of a measurement"),
	})
	if err != nil {
		return err
	}
	server := serve(s, l)
	defer func() { _ = server.Close() }()
	bytes := new(atomic.Uint64)
	client := s.HTTPClient(countingTransport(bytes))
	call := func(c *http.Client) error {
		m := &peer.Message{From: "node-001", DataCentre: "dc-00", Address: "10.0.0.1:7000"}
		_, err := peerv1connect.NewGossipServiceClient(c, "http://"+l.Addr().String(), connect.WithAcceptCompression("gzip", nil, nil)).
			Exchange(context.Background(), connect.NewRequest(&peerv1.ExchangeRequest{Message: m}))
		return err
	}
	if err := call(client); err != nil {
		return err
	}
	bytes.Store(0)
	cpu := cpuTime()
	for range wireCalls {
		if err := call(client); err != nil {
			return err
		}
	}
	cpu = cpuTime() - cpu
	heap, err := connectionHeap(s, call)
	if err != nil {
		return err
	}
	printHeader(w, "call between two services, both sides", "value")
	printRow(w, "bytes of a call beside TCP/IP headers", float64(bytes.Load())/wireCalls)
	printRow(w, "processor time of a call, microseconds", float64(cpu.Microseconds())/wireCalls)
	printRow(w, "heap of a connection, both ends, KB", heap/1024)
	return nil
}

func serve(s *gossip.Service, l net.Listener) *http.Server {
	mux := http.NewServeMux()
	mux.Handle(s.Handler())
	p := new(http.Protocols)
	p.SetUnencryptedHTTP2(true)
	server := &http.Server{Handler: mux, Protocols: p, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(l) }()
	return server
}

// countingTransport returns an HTTP/2 transport that counts the bytes of its connections.
func countingTransport(bytes *atomic.Uint64) *http.Transport {
	p := new(http.Protocols)
	p.SetUnencryptedHTTP2(true)
	return &http.Transport{Protocols: p, DisableCompression: true,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := new(net.Dialer).DialContext(ctx, network, address)
			return countingConn{c, bytes}, err
		}}
}

// connectionHeap returns the heap memory of an idle connection, both ends included.
func connectionHeap(s *gossip.Service, call func(*http.Client) error) (float64, error) {
	const connections = 100
	before := heapBytes()
	var clients []*http.Client
	for range connections {
		c := s.HTTPClient(countingTransport(new(atomic.Uint64)))
		if err := call(c); err != nil {
			return 0, err
		}
		clients = append(clients, c)
	}
	heap := heapBytes() - before
	runtime.KeepAlive(clients)
	return heap / connections, nil
}
