package callerconn

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// errNoHeadMemory ends a connection whose head does not fit into the memory for heads.
var errNoHeadMemory = errors.New("memory for the heads of requests is exhausted")

// unknownLength is the length of a body in chunks.
const unknownLength = -1

// conn is a connection of a client. Reads return no bytes beyond the end of a head or a body of known
// length, so that the memory of each head is taken before the head is parsed.
type conn struct {
	net.Conn
	memory *Memory

	// mu guards the fields below. net/http reads in the background while a request begins.
	mu       sync.Mutex
	rest     []byte // read beyond the end of a head
	bodyLeft int64  // of the body that is being read; unknownLength for a body in chunks
	head     headScanner
	preface  int           // bytes of the preface of HTTP/2 so far; negative if this is another protocol
	frames   *frameScanner // nil unless the connection uses HTTP/2
	lastRead []byte        // the last bytes of a body in chunks, which may contain a part of the next head
	reading  int64         // cost of the head that is being read
	request  int64         // cost of the head of the running request
	complete bool          // whether a head has arrived completely and its request has not ended
	cancel   func()        // cancels the running request; nil if there is none, or over HTTP/2
	heads    int           // heads over HTTP/2 that have arrived completely and are not served yet

	// taken is the memory taken from that of all heads. It is returned at the end of the request or
	// of the connection.
	taken  atomic.Int64
	closed atomic.Bool

	// Since when the client is waited for, to send a body, to receive a response, and to complete a
	// head over HTTP/2, as returned by instant; zero if it isn't.
	bodies  waitingReads
	writes  atomic.Int64
	partial atomic.Int64
	// early is since when bytes have arrived that belong to no request being served; zero if none have.
	early   atomic.Int64
	writing sync.Mutex // locked while bytes are written
}

// newConn returns a connection. The memory is nil if that of heads is not limited; http2 reports whether
// the server accepts HTTP/2.
func newConn(c net.Conn, m *Memory, http2 bool) *conn {
	out := &conn{Conn: c, memory: m}
	if !http2 {
		out.preface = -1
	}
	return out
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	if c.frames == nil && c.bodyLeft > 0 && int64(len(p)) > c.bodyLeft {
		p = p[:c.bodyLeft]
	}
	n, err := 0, error(nil)
	if n = copy(p, c.rest); n > 0 {
		c.rest = c.rest[n:]
	}
	c.mu.Unlock()
	if n == 0 {
		n, err = c.Conn.Read(p)
	}
	if n == 0 {
		return n, err
	}
	if c.frames != nil {
		return c.readFrames(p, n, err)
	}
	c.mu.Lock()
	size, cost := c.account(p[:n])
	c.mu.Unlock()
	if !c.take(cost) {
		c.abort()
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: errNoHeadMemory}
	}
	return size, err
}

// account returns how many of the bytes that were read may be parsed now, and the memory to take for
// them beforehand.
func (c *conn) account(p []byte) (size int, cost int64) {
	switch {
	case c.bodyLeft > 0:
		c.bodyLeft -= int64(len(p))
		return len(p), 0
	case c.bodyLeft == unknownLength:
		c.lastRead = append(c.lastRead, p[max(0, len(p)-maxBuffered):]...)
		c.lastRead = c.lastRead[max(0, len(c.lastRead)-maxBuffered):]
		return len(p), 0
	}
	if c.complete { // net/http reads ahead, also before it calls the handler
		c.early.CompareAndSwap(0, instant(time.Now()))
	}
	size, lines, ended := c.head.scan(p)
	c.complete = c.complete || ended
	if size < len(p) {
		c.rest = append(append([]byte(nil), p[size:]...), c.rest...)
	}
	if c.matchPreface(p[:size]) {
		return size, http2Bytes
	}
	before := c.request + c.reading
	cost = headCost(size, lines)
	c.reading += cost
	return size, max(0, before+cost-freeHeadBytes) - max(0, before-freeHeadBytes)
}

// maxBuffered is the size of net/http's buffer, which may hold bytes of the next request.
const maxBuffered = 4 << 10

// matchPreface recognises a connection that uses HTTP/2 by its first bytes, and returns true at the end
// of the preface. The server reads it alone.
func (c *conn) matchPreface(p []byte) bool {
	if c.preface < 0 {
		return false
	}
	if c.preface+len(p) > len(http2Preface) || string(p) != http2Preface[c.preface:c.preface+len(p)] {
		c.preface = -1
		return false
	}
	c.preface += len(p)
	if c.preface < len(http2Preface) {
		return false
	}
	c.frames = &frameScanner{}
	return true
}

// readFrames takes the memory for frames of HTTP/2 that were read. It waits while the client doesn't
// receive what is written to it: the answers to its frames would be queued without end.
func (c *conn) readFrames(p []byte, n int, err error) (int, error) {
	size, ends, open := c.frames.scan(p[:n])
	if !c.take(headCost(size, size/bytesPerField)) {
		c.abort()
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: errNoHeadMemory}
	}
	c.mu.Lock()
	c.heads += ends
	c.mu.Unlock()
	switch {
	case !open:
		c.partial.Store(0)
	case size > 0:
		c.partial.CompareAndSwap(0, instant(time.Now()))
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	return n, err
}

// take takes memory from that of all heads, unless the connection is closed.
func (c *conn) take(n int64) bool {
	if n == 0 || c.memory == nil {
		return true
	}
	if !c.memory.heads.Take(n) {
		return false
	}
	c.taken.Add(n)
	if c.closed.Load() {
		c.returnMemory(n)
		return false
	}
	return true
}

// hasRest reports whether bytes were read that belong to the next request.
func (c *conn) hasRest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.rest) > 0
}

// returnMemory returns memory of heads.
func (c *conn) returnMemory(n int64) {
	for c.memory != nil && n > 0 {
		taken := c.taken.Load()
		n = min(n, taken)
		if c.taken.CompareAndSwap(taken, taken-n) {
			c.memory.heads.Return(n)
			return
		}
	}
}

// begin records that a request is served whose body has a length. cancel cancels it.
func (c *conn) begin(length int64, cancel func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.frames != nil {
		// The handler takes the memory of its own head.
		c.returnMemory((c.taken.Load() - http2Bytes) / int64(max(c.heads, 1)))
		c.heads = max(c.heads-1, 0)
		return
	}
	c.request, c.reading, c.cancel = c.reading, 0, cancel
	c.bodyLeft, c.lastRead = max(length, unknownLength), nil
}

// end records that the request has ended.
func (c *conn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.frames != nil {
		if c.heads = 0; c.partial.Load() == 0 {
			c.returnMemory(c.taken.Load() - http2Bytes)
		}
		return
	}
	c.request, c.complete, c.cancel = 0, false, nil
	c.early.Store(0)
	if c.bodyLeft == unknownLength {
		c.bodyLeft, c.reading = 0, headCost(len(c.lastRead), countLines(c.lastRead))
	}
	c.returnMemory(c.taken.Load() - max(0, c.reading-freeHeadBytes))
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	c.writes.Store(instant(time.Now()))
	defer c.writes.Store(0)
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.closed.Store(true)
	c.returnMemory(c.taken.Load())
	return c.Conn.Close()
}

// abort closes the connection, discards what the kernel holds for it, and cancels its request: the
// server doesn't notice the end of the connection if it has read bytes beyond the request already.
func (c *conn) abort() {
	_ = c.SetLinger(0) // fails only on a connection that is closed already
	_ = c.Close()      // nothing more is sent to this client
	c.mu.Lock()
	cancel := c.cancel
	c.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// SetLinger sets what a close does with bytes that the kernel still holds, as
// net.TCPConn.SetLinger.
func (c *conn) SetLinger(seconds int) error {
	if l, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return l.SetLinger(seconds)
	}
	return nil
}

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.New("connection has no descriptor")
	}
	return sc.SyscallConn()
}

// processStart is the time to which instants refer.
var processStart = time.Now()

// instant returns a time as a number other than zero. It is not affected by changes of the time of day.
func instant(t time.Time) int64 { return max(int64(t.Sub(processStart)), 1) }

// waitingReads are reads of bodies.
type waitingReads struct {
	count atomic.Int32
	since atomic.Int64
}

func (w *waitingReads) begin() {
	if w.count.Add(1) == 1 {
		w.since.Store(instant(time.Now()))
	}
}

func (w *waitingReads) end() {
	if w.count.Add(-1) == 0 {
		w.since.Store(0)
	}
}

// waitsSince returns since when the client is waited for while a request is served, and false if it
// isn't.
func (c *conn) waitsSince() (time.Time, bool) {
	return earliest(c.bodies.since.Load(), c.writes.Load(), c.partial.Load())
}

// earlySince returns since when the client has sent bytes beyond the request that is served, and false
// if it hasn't. Nothing is known about what they are.
func (c *conn) earlySince() (time.Time, bool) { return earliest(c.early.Load()) }

// earliest returns the time of the first of some instants, and false if all are zero.
func earliest(instants ...int64) (time.Time, bool) {
	first := int64(0)
	for _, at := range instants {
		if at != 0 && (first == 0 || at < first) {
			first = at
		}
	}
	return processStart.Add(time.Duration(first)), first != 0
}
