package e2e

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// TestIdleCallersLeaveRoom guards against nodes that take no new callers and say that they are ready:
// callers leave more connections open than the process may have descriptors.
func TestIdleCallersLeaveRoom(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, deploymentOptions{})
	const files = 400
	if err := unix.Prlimit(d.nodeProc[0].cmd.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: files, Max: files}, nil); err != nil {
		t.Fatal(err)
	}
	for i := range 2 * files {
		c, err := net.Dial("tcp", d.nodes[0])
		if err != nil {
			t.Fatalf("caller %d: %v", i+1, err)
		}
		defer func() { _ = c.Close() }()
		_ = c.SetDeadline(time.Now().Add(startTimeout))
		if _, err := fmt.Fprint(c, "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			t.Fatalf("caller %d: %v", i+1, err)
		}
		if _, err := c.Read(make([]byte, 1)); err != nil {
			t.Fatalf("caller %d gets no answer: %v", i+1, err)
		}
		time.Sleep(5 * time.Millisecond)
	}
	eventually(t, "node that accepts connections", checkReady(d.nodes[0]))
	resp, err := http.Get("http://" + d.nodes[0] + "/healthz")
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
}
