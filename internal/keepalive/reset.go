package keepalive

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// DialFunc returns a function that dials with a dialer. Reads from its connections end with ECONNRESET
// after a reset, whoever has got to know of it first.
func DialFunc(dialer *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if tcp, ok := c.(*net.TCPConn); ok {
			return &resetConn{TCPConn: tcp}, nil
		}
		return c, nil
	}
}

// resetConn is a connection whose reads end with ECONNRESET after a reset. The kernel reports a reset
// once: if a write in progress gets it, reads get a plain end, which looks like the end of a response
// without a length.
type resetConn struct {
	*net.TCPConn
	writeFailed atomic.Bool // a write has got the reset
}

// Read implements net.Conn.
func (c *resetConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if errors.Is(err, io.EOF) && (c.writeFailed.Load() || c.isReset()) {
		return n, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: syscall.ECONNRESET}
	}
	return n, err
}

// Write implements net.Conn.
func (c *resetConn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	if errors.IsAny(err, syscall.ECONNRESET, syscall.EPIPE) {
		c.writeFailed.Store(true)
	}
	return n, err
}

// tcpClose is the kernel's state of a connection after a reset. After a plain end sent by the peer, the
// state is another one until this side closes the connection, too.
const tcpClose = 7

// isReset reports whether the kernel has the connection as reset, or this side has closed it meanwhile,
// as it does after a write that has failed.
func (c *resetConn) isReset() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	reset := false
	err = raw.Control(func(fd uintptr) {
		info, infoErr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		reset = infoErr == nil && info.State == tcpClose
	})
	return err != nil || reset
}
