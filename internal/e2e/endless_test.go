package e2e

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/testpeer"
)

const (
	// endlessMemoryMB is the memory of a usual entry host.
	endlessMemoryMB = 284
	endlessCallers  = 150
)

// endlessHandler answers each request with head and then with piece until the connection is closed.
func endlessHandler(head, piece string, calls *atomic.Int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if r.Method == http.MethodPost {
			calls.Add(1)
		}
		testpeer.AnswerEndlessly(w, head, piece)
	})
}

// endlessPlatform forwards to the platform, whose host list it extends by a host with an engine and
// a plain service at an address. While endless is set, its own responses don't end.
type endlessPlatform struct {
	host    string // entry in the host list
	endless atomic.Pointer[http.Handler]
}

func (p *endlessPlatform) start(t testing.TB, platform string) string {
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: platform})
	proxy.ModifyResponse = func(resp *http.Response) error {
		if resp.Request.Method != http.MethodGet || !strings.HasSuffix(resp.Request.URL.Path, "/hosts") {
			return nil
		}
		raw, err := io.ReadAll(resp.Body)
		if err != nil {
			return err
		}
		text := strings.Replace(string(raw), `"hosts":[`, `"hosts":[`+p.host+`,`, 1)
		resp.Body, resp.ContentLength = io.NopCloser(strings.NewReader(text)), int64(len(text))
		resp.Header.Set("Content-Length", strconv.Itoa(len(text)))
		return nil
	}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if h := p.endless.Load(); h != nil {
			(*h).ServeHTTP(w, r)
			return
		}
		proxy.ServeHTTP(w, r)
	}))
	t.Cleanup(srv.CloseClientConnections)
	return srv.Listener.Addr().String()
}

// checkNodeWhile checks, until done is closed, that a node stays within the memory of its host and
// serves chats at sound engines.
func (d *deployment) checkNodeWhile(t *testing.T, what string, done <-chan struct{}) {
	t.Helper()
	var served, sent atomic.Int64
	var wg sync.WaitGroup
	peak := 0
	for i := 0; ; i++ {
		if i%5 == 0 {
			wg.Go(func() {
				c := chat{prompt: "a line", seed: uint64(i), tokens: 3}
				sent.Add(1)
				if got, err := c.streamOnce("/chat", d.nodes[0]); err == nil && got == c.want() {
					served.Add(1)
				}
			})
		}
		select {
		case <-done:
			wg.Wait()
			t.Logf("%s: peak memory %d MB, %d of %d chats served", what, peak, served.Load(), sent.Load())
			if peak > endlessMemoryMB || !d.nodeProc[0].alive() {
				t.Errorf("%s: the process took %d MB of %d, alive %t", what, peak, endlessMemoryMB, d.nodeProc[0].alive())
			}
			if 20*served.Load() < 19*sent.Load() {
				t.Errorf("%s: %d of %d chats were served", what, served.Load(), sent.Load())
			}
			return
		case <-time.After(20 * time.Millisecond):
			peak = max(peak, testpeer.MemoryMB(d.nodeProc[0].cmd.Process.Pid))
		}
	}
}

// TestAnswersWithoutEnd guards against a node that runs out of memory, and takes the requests of
// other callers with it, since endpoints or the platform answer with bytes without end.
func TestAnswersWithoutEnd(t *testing.T) {
	t.Parallel()
	const ok = "HTTP/1.1 200 OK\r\n"
	for name, c := range map[string]struct{ head, piece string }{
		"head":     {ok + "X-A: ", "x"},
		"body":     {ok + "\r\n", "x"},
		"refusal":  {"HTTP/1.1 503 Service Unavailable\r\nX-Verdict: not-run\r\n\r\n", "x"},
		"comments": {ok + "Content-Type: text/event-stream\r\n\r\n", ": x\n\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var orders atomic.Int64
			handler := endlessHandler(c.head, c.piece, &orders)
			srv := httptest.NewServer(handler)
			t.Cleanup(srv.CloseClientConnections)
			address := srv.Listener.Addr().String()
			platform := &endlessPlatform{host: `{"host":"endless","data_centre":"kalamaria","incarnation":1,"state":"live","endpoints":[` +
				`{"id":"endless-desk","address":"` + address + `","kind":"plain","service":"order-desk","version":"v1"}]}`}
			d := newDeployment(t, deploymentOptions{nodePlatform: platform.start})
			done := make(chan struct{})
			go func() {
				defer close(done)
				var wg sync.WaitGroup
				for i := range endlessCallers {
					wg.Go(func() { _, _, _ = sendOrder(d.nodes[0], fmt.Sprintf("%s-%d", name, i), "{}") })
				}
				wg.Wait()
			}()
			d.checkNodeWhile(t, "endpoint", done)
			if orders.Load() == 0 {
				t.Error("no order reached the endpoint")
			}
			platform.endless.Store(&handler)
			done = make(chan struct{})
			time.AfterFunc(3*time.Second, func() { close(done) })
			d.checkNodeWhile(t, "platform", done)
		})
	}
}
