// Package testaddress provides loopback addresses for tests that start listeners. An
// address is used by one test only, so that no other test or process can take it between
// the choice of the address and the start of the listener.
package testaddress

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"sync/atomic"
)

// FirstPort is the port of the addresses. It is below the kernel's ephemeral ports, which
// outgoing connections may use.
const FirstPort = 20080

// ipsPerProcess is the number of IP addresses of one test process.
const ipsPerProcess = 250

var count atomic.Uint32

// New returns a loopback address (IP:port) at which nothing listens.
func New() string {
	n := count.Add(1)
	return net.JoinHostPort(loopbackIP(n), strconv.Itoa(int(FirstPort+n/ipsPerProcess)))
}

// IP returns a loopback IP address that no other call of New or IP has returned, unless a
// test process needs more than ipsPerProcess.
func IP() string { return loopbackIP(count.Add(1)) }

// loopbackIP returns the n-th IP address of this process.
func loopbackIP(n uint32) string {
	pid := uint32(os.Getpid())
	return fmt.Sprintf("127.%d.%d.%d", 64+(pid>>8)%64, pid%256, 1+n%ipsPerProcess)
}
