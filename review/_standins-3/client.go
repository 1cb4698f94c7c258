package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// caller sends requests over a channel that it keeps, one after the other. After a channel has ended, it
// opens another one.
type caller struct {
	rig  *rig
	node *node
	name string
	conn net.Conn
	buf  *bufio.Reader
	sent int // requests on this channel
	n    int // requests
}

// outcome is what a caller has seen of a request.
type outcome struct {
	id       string
	node     *node
	kept     bool // the channel had carried a request before
	status   int  // zero without a response
	seal     string
	body     string
	complete bool  // the response came to its end
	closed   error // how the channel ended before that; nil if it didn't
	at, end  time.Time
}

// send sends a request and reads the response. deadline is how long the caller waits.
func (c *caller) send(method, path string, header map[string]string, body string, deadline time.Duration) outcome {
	c.n++
	o := outcome{id: fmt.Sprintf("%s-%d", c.name, c.n), node: c.node, at: time.Now()}
	defer func() {
		if !o.complete {
			c.close()
		}
	}()
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.node.front(), time.Second)
		if err != nil {
			o.closed, o.end = err, time.Now()
			return o
		}
		c.conn, c.buf, c.sent = conn, bufio.NewReader(conn), 0
	}
	o.kept = c.sent > 0
	c.sent++
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: %s\r\nDeadline-Remaining: %d\r\n", method, path, o.id, deadline.Milliseconds())
	for name, value := range header {
		fmt.Fprintf(&head, "%s: %s\r\n", name, value)
	}
	if method == http.MethodGet {
		body = ""
	} else {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(body))
	}
	_ = c.conn.SetDeadline(o.at.Add(deadline + 500*time.Millisecond))
	if _, err := io.WriteString(c.conn, head.String()+"\r\n"+body); err != nil {
		o.closed, o.end = err, time.Now()
		return o
	}
	resp, err := http.ReadResponse(c.buf, &http.Request{Method: method})
	if err != nil {
		o.closed, o.end = err, time.Now()
		return o
	}
	o.status, o.seal = resp.StatusCode, resp.Header.Get("Server-Seal")
	raw, err := io.ReadAll(resp.Body)
	o.body, o.end = string(raw), time.Now()
	if err != nil {
		o.closed = err
		return o
	}
	o.complete = true
	if resp.Close {
		c.close()
	}
	return o
}

func (c *caller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}
