package httpabort

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// TestAbortIsDetected guards against responses that end as complete before their last byte: the
// body of a response over HTTP/1.0 has no end mark but that of its connection.
func TestAbortIsDetected(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "a part")
		_ = http.NewResponseController(w).Flush()
		time.Sleep(20 * time.Millisecond) // the caller reads the part
		Abort(w, r)
	}))
	defer srv.Close()
	for _, version := range []string{"1.0", "1.1"} {
		c, err := net.Dial("tcp", srv.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = fmt.Fprintf(c, "GET / HTTP/%s\r\nHost: h\r\n\r\n", version)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		if body, err := io.ReadAll(resp.Body); err == nil {
			t.Errorf("HTTP/%s: the body %q ended as complete", version, body)
		}
		_ = c.Close()
	}
}
