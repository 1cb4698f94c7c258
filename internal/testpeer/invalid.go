package testpeer

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// InvalidResponses returns bytes by name that look like complete responses with a body and are none. The
// head of each has the given fields, in which IDMark stands for the ID of the request.
func InvalidResponses(fields string) map[string]string {
	const body = "{}"
	response := func(status, field string) string {
		return "HTTP/1.1 " + status + "\r\n" + fields + field + "\r\n" + body
	}
	const length = "Content-Length: 2\r\n"
	out := map[string]string{
		"length with a blank":   response("200 OK", "Content-Length : 2\r\n"),
		"chunks with a blank":   "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding : chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
		"blank at the end":      response("200 OK", length+"X-A : b\r\n"),
		"blank within":          response("200 OK", length+"X A: b\r\n"),
		"control byte":          response("200 OK", length+"X-\x01A: b\r\n"),
		"tab":                   response("200 OK", length+"X-A\t: b\r\n"),
		"no field name":         response("200 OK", length+": b\r\n"),
		"field name not ASCII":  response("200 OK", length+"X-\xc3\xa4: b\r\n"),
		"brackets":              response("200 OK", length+"X(A): b\r\n"),
		"change of protocol":    "HTTP/1.1 101 Switching Protocols\r\n" + fields + "Upgrade: x\r\nConnection: Upgrade\r\n\r\n",
		"informational, blanks": "HTTP/1.1 103 Early Hints\r\nX A: b\r\n\r\n" + response("200 OK", length),
	}
	for _, status := range []string{"000", "099", "001", "600", "999", "+20", "-20", "2 0", "20", "2000"} {
		out["status "+status] = response(status+" OK", length)
	}
	return out
}

// NewResponder returns the address of a server that answers each request, once it has read it
// completely, with raw bytes, and closes the connection. It listens until the test ends.
func NewResponder(t testing.TB, response string) string {
	t.Helper()
	return listen(t, func(c *net.TCPConn) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err == nil {
			_, _ = io.WriteString(c, strings.ReplaceAll(response, IDMark, r.Header.Get("Attempt-Id")))
		}
	})
}

// resetDelay is the time after which a peer resets a connection that it has sent a part of a response
// over. The client has read that part and is blocked in its write by then.
const resetDelay = 10 * time.Millisecond

// NewResetter returns the address of a server that reads the head of each request only, answers it at
// once with the beginning of a response, and resets the connection while the client is sending the
// body. It listens until the test ends.
func NewResetter(t testing.TB, response string) string {
	t.Helper()
	return listen(t, func(c *net.TCPConn) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, strings.ReplaceAll(response, IDMark, r.Header.Get("Attempt-Id")))
		time.Sleep(resetDelay)
		_ = c.SetLinger(0)
	})
}

// listen returns the address of a server that calls serve with each connection, and then closes it.
func listen(t testing.TB, serve func(c *net.TCPConn)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				serve(c.(*net.TCPConn))
			}()
		}
	}()
	return ln.Addr().String()
}
