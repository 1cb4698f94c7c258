package keepalive

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// DiscardingDialer returns a dialer like Dialer for calls that must not take effect after their
// caller has given them up. The kernel goes on sending what the peer has not acknowledged, also
// after an ordinary close and after the end of the process, so that a call that a partition has
// held up would arrive when the path is back. The connections of this dialer are reset when they
// are closed, also by the end of the process, which discards these bytes.
//
// If maxUnacknowledged is not zero, the kernel also ends a connection whose peer has acknowledged
// nothing for so long, which holds while the process is stopped. It then decides when keepalive
// probes give up, too. It must be zero for peers that may stop reading for longer.
func DiscardingDialer(timeout, maxUnacknowledged time.Duration) *net.Dialer {
	d := Dialer(timeout)
	d.Control = func(_, _ string, c syscall.RawConn) error {
		var err error
		controlErr := c.Control(func(fd uintptr) { err = discardOnClose(int(fd), maxUnacknowledged) })
		return errors.CombineErrors(controlErr, err)
	}
	return d
}

func discardOnClose(fd int, maxUnacknowledged time.Duration) error {
	if err := unix.SetsockoptLinger(fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1}); err != nil {
		return errors.Wrap(err, "set SO_LINGER")
	}
	if maxUnacknowledged == 0 {
		return nil
	}
	err := unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(maxUnacknowledged.Milliseconds()))
	return errors.Wrap(err, "set TCP_USER_TIMEOUT")
}

// discardingConn is a connection whose Close discards bytes that the peer has not acknowledged.
// If there are none, it closes in the ordinary way, which tells the peer reliably: a reset that
// gets lost is not sent again.
type discardingConn struct{ *resetConn }

// Close implements net.Conn.
func (c discardingConn) Close() error {
	if hasUnacknowledged(c.TCPConn) {
		_ = c.SetLinger(0) // fails only on a connection that is closed already
	}
	return c.TCPConn.Close()
}

// hasUnacknowledged reports whether the kernel holds bytes that the peer has not acknowledged.
func hasUnacknowledged(c *net.TCPConn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	held := false
	err = raw.Control(func(fd uintptr) {
		n, ioctlErr := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		held = ioctlErr == nil && n > 0
	})
	return err == nil && held
}

// DiscardingDialFunc returns a function that dials like Dialer. The connections discard what the
// peer has not acknowledged when they are closed: a request that is given up while a partition
// holds it up doesn't arrive later.
func DiscardingDialFunc(timeout time.Duration) func(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := Dialer(timeout)
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		tcp, ok := c.(*net.TCPConn)
		if !ok {
			return c, nil
		}
		return discardingConn{&resetConn{TCPConn: tcp}}, nil
	}
}
