package e2e

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/jujubeshed/jujubeshed/api/gen/callers"
	"github.com/jujubeshed/jujubeshed/internal/entry"
	"github.com/jujubeshed/jujubeshed/internal/standin/service"
	"github.com/jujubeshed/jujubeshed/internal/testaddress"
)

// TestBadInput sends invalid requests: each must get a problem document with the verdict
// not-run, none may reach an endpoint, and the node must continue to serve.
func TestBadInput(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, deploymentOptions{})
	before := startedRequests(d.engines)
	head := func(method, path, key string) string {
		return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: jujubeshed\r\nConnection: close\r\nAuthorization: Bearer %s\r\n", method, path, key)
	}
	body := func(text string) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(text), text) }
	chatBody := string(chat{prompt: "a line", tokens: 1}.body(true))
	cases := []struct {
		name, request string
		status        int
	}{
		{"header too large", head("POST", "/chat", workspaceKey) + "X-Long: " + strings.Repeat("x", 2*entry.MaxHeaderBytes) + "\r\n" + body(chatBody), http.StatusRequestHeaderFieldsTooLarge},
		{"body too large", head("POST", "/orders", workspaceKey) + "Idempotency-Key: large\r\n" + body(strings.Repeat("x", entry.DefaultMaxBodyBytes+1)), http.StatusRequestEntityTooLarge},
		{"body too large, in chunks", head("POST", "/chat", workspaceKey) + "Transfer-Encoding: chunked\r\n\r\n" +
			fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", entry.DefaultMaxBodyBytes+1, strings.Repeat("x", entry.DefaultMaxBodyBytes+1)), http.StatusRequestEntityTooLarge},
		{"unknown key", head("POST", "/chat", "no-such-key") + body(chatBody), http.StatusUnauthorized},
		{"no key", "POST /chat HTTP/1.1\r\nHost: jujubeshed\r\nConnection: close\r\n" + body(chatBody), http.StatusUnauthorized},
		{"unknown route", head("POST", "/no/such/route", workspaceKey) + body(chatBody), http.StatusNotFound},
		{"unknown method", head("BREW", "/chat", workspaceKey) + body(chatBody), http.StatusNotFound},
		{"malformed JSON", head("POST", "/chat", workspaceKey) + body(`{"messages": [`), http.StatusBadRequest},
		{"wrong JSON type", head("POST", "/chat", workspaceKey) + body(`{"messages": "none"}`), http.StatusBadRequest},
		{"no messages", head("POST", "/chat", workspaceKey) + body(`{"messages": []}`), http.StatusBadRequest},
		{"order without idempotency key", head("POST", "/orders", workspaceKey) + body(orderBody), http.StatusBadRequest},
		{"idempotency key too long", head("POST", "/orders", workspaceKey) + "Idempotency-Key: " + strings.Repeat("k", 300) + "\r\n" + body(orderBody), http.StatusBadRequest},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			checkVerdict(t, sendRaw(t, d.nodes[0], c.request), c.status, callers.ProblemVerdictNotRun)
		})
	}
	if n := len(startedRequests(d.engines)); n != len(before) {
		t.Errorf("engines started %d requests", n-len(before))
	}
	var desk service.Status
	getStatus(t, d.desk, &desk)
	if desk.Calls != 0 {
		t.Errorf("the order service got %d calls", desk.Calls)
	}
	c := chat{prompt: "a line", seed: 1, tokens: 3}
	if got, err := c.streamOnce("/chat", d.nodes[0]); err != nil || got != c.want() {
		t.Errorf("chat after the invalid requests: %q, error %v", got, err)
	}
}

// sendRaw writes a request verbatim and reads the response. A node may respond before it
// has read the complete request.
func sendRaw(t *testing.T, addr, request string) reply {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	go func() { _, _ = conn.Write([]byte(request)) }()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("no response: %v", err)
	}
	return readReply(t, resp)
}

// TestWrongPeerKey starts a node with a different key: its peers must refuse it and reveal
// nothing to it. An operator with a different key must be refused too.
func TestWrongPeerKey(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, deploymentOptions{})
	callersAddr, peersAddr, opsAddr := testaddress.New(), testaddress.New(), testaddress.New()
	const otherKey = "another-key-of-16-bytes"
	start(t, "stranger", "node", "--node-id", "stranger", "--data-centre", dataCentres[0],
		"--callers", callersAddr, "--peers", peersAddr, "--operators", opsAddr,
		"--platform", d.platform, "--key", otherKey, "--join", d.peers[0], "--join", d.peers[1])
	eventually(t, "the stranger's configuration", checkReady(callersAddr))
	eventually(t, "refused calls of the stranger", func() error {
		n, err := metric(d.ops[0], "peer_calls_refused_total")
		if err == nil && n < 3 {
			err = fmt.Errorf("%g calls", n)
		}
		return err
	})
	stranger := &deployment{ops: []string{opsAddr}}
	code, out, _ := tryCommand("status", "--node", opsAddr, "--key", otherKey, "--json")
	if code != 0 || strings.Contains(string(out), "entry-") {
		t.Errorf("the stranger knows members: exit code %d, %s", code, out)
	}
	if _, err := stranger.status(0); err == nil {
		t.Error("an operator's call with a different key was served")
	}
	for i := range d.nodes {
		st, err := d.status(i)
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range st.Members {
			if m.Node == "stranger" {
				t.Errorf("node %d lists the stranger as a member: %+v", i, m)
			}
		}
	}
}
