// Package testpeer contains peers of connections for tests.
package testpeer

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"
)

// HeldBytes is the size of a message that the kernel of its sender holds in part while an Unread
// doesn't read.
const HeldBytes = 64 << 10

// readTimeout limits the time of reading what has been sent.
const readTimeout = 3 * time.Second

// Unread accepts connections and reads nothing from them before it is asked to. What exceeds its
// small receive buffer stays in the kernel of the sender, as during a partition.
type Unread struct{ ln net.Listener }

// NewUnread returns an Unread that listens until the test ends.
func NewUnread(t *testing.T) *Unread {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
	}}
	ln, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	return &Unread{ln: ln}
}

// Address returns the IP:port of the peer.
func (u *Unread) Address() string { return u.ln.Addr().String() }

// Accept returns the next connection that was opened, whose reads fail after a while.
func (u *Unread) Accept(t *testing.T) net.Conn {
	t.Helper()
	c, err := u.ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if err := c.SetReadDeadline(time.Now().Add(readTimeout)); err != nil {
		t.Fatal(err)
	}
	return c
}

// ReadRequest reads the HTTP request that was sent over the next connection. It returns an error
// if the request does not arrive completely.
func (u *Unread) ReadRequest(t *testing.T) error {
	t.Helper()
	r, err := http.ReadRequest(bufio.NewReader(u.Accept(t)))
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, r.Body)
	return err
}
