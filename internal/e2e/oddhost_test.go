package e2e

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/jujubeshed/jujubeshed/api/gen/operators"
)

// oddHosts are entries of another writer in the host list.
var oddHosts = []string{
	strings.Repeat(`[`, 20_000) + strings.Repeat(`]`, 20_000),
	`{"host":"odd-1","data_centre":"pylaia","incarnation":1,"state":"live","x":` + strings.Repeat(`[`, 20_000) + strings.Repeat(`]`, 20_000) + `}`,
	`{"host":"odd-2","data_centre":"pylaia","incarnation":1e400,"state":"live"}`,
	`{"host":"odd-3","data_centre":"pylaia","incarnation":99999999999999999999999,"state":"live"}`,
	`{"host":"odd-4","data_centre":"pylaia","incarnation":1,"state":"live","deadline":9223372036854775807}`,
	`{"host":"odd-5","data_centre":"pylaia","incarnation":1,"state":"unknown"}`,
	`{"host":"odd-6","data_centre":"pylaia","incarnation":1,"state":"live","endpoints":[{"id":"odd-6","address":"127.0.0.1:99999","kind":"engine","service":"inscription","version":"v1"}]}`,
	`null`,
}

// oddHostsProxy forwards to the platform, and inserts the odd entries into host lists while on is set.
func oddHostsProxy(on *atomic.Bool) func(t testing.TB, platform string) string {
	return func(t testing.TB, platform string) string {
		proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: platform})
		proxy.ModifyResponse = func(resp *http.Response) error {
			if !on.Load() || resp.Request.Method != http.MethodGet || !strings.HasSuffix(resp.Request.URL.Path, "/hosts") {
				return nil
			}
			raw, err := io.ReadAll(resp.Body)
			if err != nil {
				return err
			}
			var list struct {
				Hosts []json.RawMessage `json:"hosts"`
			}
			if err := json.Unmarshal(raw, &list); err != nil {
				return err
			}
			entries := oddHosts
			for _, h := range list.Hosts {
				entries = append(entries, string(h))
			}
			raw = []byte(`{"hosts":[` + strings.Join(entries, ",") + `]}`)
			resp.Body, resp.ContentLength = io.NopCloser(bytes.NewReader(raw)), int64(len(raw))
			resp.Header.Set("Content-Length", strconv.Itoa(len(raw)))
			return nil
		}
		srv := httptest.NewServer(proxy)
		t.Cleanup(srv.Close)
		return srv.Listener.Addr().String()
	}
}

// TestOddHostInList guards against nodes that stop following the host list, or end, because of an
// entry of another writer that can't be read: one that is there when they start, and one that
// comes while they poll.
func TestOddHostInList(t *testing.T) {
	t.Parallel()
	for name, atStart := range map[string]bool{"at the start": true, "later": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var on atomic.Bool
			on.Store(atStart)
			d := newDeployment(t, deploymentOptions{nodePlatform: oddHostsProxy(&on)})
			on.Store(true)
			added := d.startEngine(t, dataCentres[1], "v1")
			d.awaitEndpoint(t, added.host, operators.EndpointStateLive)
			for i, addr := range d.nodes {
				c := chat{prompt: "a line", seed: uint64(i), tokens: 3}
				if got, err := c.streamOnce("/chat", addr); err != nil || got != c.want() {
					t.Errorf("chat at node %d: %q, error %v", i, got, err)
				}
			}
		})
	}
}
