package callerconn

import (
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Limits of QueueBytes.
const (
	minQueueBytes = 16 << 10
	maxQueueBytes = 64 << 10
)

// QueueBytes returns the size of the kernel's queue for each connection and direction, in bytes, if
// the queues of all connections together may take some memory. It returns zero if either is not known.
func QueueBytes(memory int64, connections int) int {
	if memory <= 0 || connections <= 0 {
		return 0
	}
	return int(min(max(memory/int64(connections), minQueueBytes), maxQueueBytes))
}

// LimitQueues returns the settings of a listener for whose connections the kernel holds at most a number
// of bytes in each direction. Zero means the kernel's default, which grows to some megabytes for a
// client that receives nothing.
func LimitQueues(config net.ListenConfig, bytes int) net.ListenConfig {
	if bytes <= 0 {
		return config
	}
	const kernelFactor = 2 // the kernel doubles the values to allow for its own overhead
	config.Control = func(_, _ string, c syscall.RawConn) error {
		var err error
		controlErr := c.Control(func(fd uintptr) {
			err = errors.CombineErrors(
				unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, bytes/kernelFactor),
				unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, bytes/kernelFactor),
			)
		})
		return errors.CombineErrors(controlErr, err)
	}
	return config
}
