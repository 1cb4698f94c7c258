package e2e

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/jujubeshed/jujubeshed/api/gen/callers"
	"github.com/jujubeshed/jujubeshed/internal/standin/service"
)

// slowOrder is an order whose body is sent in two parts.
type slowOrder struct {
	net.Conn
}

// beginOrder sends an order up to the last byte of its body.
func beginOrder(t *testing.T, addr, key string) slowOrder {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_, _ = fmt.Fprintf(c, "POST /orders HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nIdempotency-Key: %s\r\nContent-Length: %d\r\n\r\n%s",
		workspaceKey, key, len(orderBody), orderBody[:len(orderBody)-1])
	return slowOrder{c}
}

// finish sends the rest.
func (o slowOrder) finish() { _, _ = io.WriteString(o, orderBody[len(orderBody)-1:]) }

// response returns the response; the node must not close the connection without one.
func (o slowOrder) response(t *testing.T, what string) reply {
	t.Helper()
	_ = o.SetReadDeadline(time.Now().Add(time.Minute))
	resp, err := http.ReadResponse(bufio.NewReader(o), nil)
	if err != nil {
		t.Errorf("%s: closed without a response: %v", what, err)
		return reply{}
	}
	return readReply(t, resp)
}

// TestLateOrders guards against orders that a stopping node sends although it exits before they
// end, and against those that are cut off then without a response.
func TestLateOrders(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, deploymentOptions{})
	d.setDeskFaults(t, service.Faults{Delay: time.Minute}) // after the effect
	running := beginOrder(t, d.nodes[0], "running")
	running.finish()
	eventually(t, "the running order has its effect", func() error {
		if d.effects(t).ByKey["running"] != 1 {
			return fmt.Errorf("no effect yet")
		}
		return nil
	})
	late := beginOrder(t, d.nodes[0], "late")
	time.Sleep(100 * time.Millisecond) // its head is read
	d.nodeProc[0].signal(t, syscall.SIGTERM)
	time.Sleep(2 * time.Second)
	late.finish()
	r := late.response(t, "late order")
	checkVerdict(t, r, http.StatusServiceUnavailable, callers.ProblemVerdictNotRun)
	d.checkEffects(t, "late", 0)
	r = running.response(t, "running order")
	checkVerdict(t, r, http.StatusBadGateway, callers.ProblemVerdictMayHaveRun)
	<-d.nodeProc[0].done
	d.checkEffects(t, "late", 0)
	d.checkEffects(t, "running", 1)
}
