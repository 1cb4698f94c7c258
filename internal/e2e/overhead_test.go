package e2e

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/jujubeshed/jujubeshed/internal/endpoint"
	"github.com/jujubeshed/jujubeshed/internal/testaddress"
)

const (
	overheadRequests = 400
	overheadTokens   = 64
	maxMicros        = 10_000_000
)

// BenchmarkOverhead calls an engine alternately directly and through a node, and reports
// the latency that the node adds. The engine itself needs almost no time.
//
//	go test ./internal/e2e -run '^$' -bench Overhead -benchtime 1x
func BenchmarkOverhead(b *testing.B) {
	engineAddr := testaddress.New()
	d := newOverheadDeployment(b, engineAddr)
	direct, through := newLatencies(), newLatencies()
	for b.Loop() {
		for i := range overheadRequests {
			c := chat{prompt: fmt.Sprintf("quick question %d", i), seed: 1, tokens: overheadTokens}
			direct.measure(b, engineAddr, endpoint.PathChat, c)
			through.measure(b, d.nodes[0], "/chat", c)
		}
	}
	for _, q := range []float64{50, 99} {
		b.ReportMetric(float64(direct.first.ValueAtQuantile(q)), fmt.Sprintf("first-p%.0f-direct-µs", q))
		b.ReportMetric(through.added(direct, q, func(t *latencies) *hdrhistogram.Histogram { return t.first }), fmt.Sprintf("first-p%.0f-added-µs", q))
		b.ReportMetric(through.added(direct, q, func(t *latencies) *hdrhistogram.Histogram { return t.token }), fmt.Sprintf("token-p%.0f-added-µs", q))
	}
	reportNodeCost(b, d)
}

// reportNodeCost reports the node's processor time and allocations from its own metrics:
// per request, and per token as the difference between long and short responses.
func reportNodeCost(b *testing.B, d *deployment) {
	few := d.nodeCost(b, 2)
	many := d.nodeCost(b, 2+overheadTokens)
	b.ReportMetric((many.mallocs-few.mallocs)/(overheadRequests*overheadTokens), "allocs/token")
	b.ReportMetric((many.cpu-few.cpu)/(overheadRequests*overheadTokens)*1e6, "cpu-µs/token")
	b.ReportMetric(few.mallocs/overheadRequests, "allocs/request")
	b.ReportMetric(overheadRequests/few.cpu, "requests/core-s")
}

type nodeCost struct{ cpu, mallocs float64 }

func (d *deployment) nodeCost(b *testing.B, tokens int) nodeCost {
	before := d.scrape(b)
	t := newLatencies()
	for i := range overheadRequests {
		t.measure(b, d.nodes[0], "/chat", chat{prompt: fmt.Sprintf("cost %d", i), seed: 2, tokens: tokens})
	}
	after := d.scrape(b)
	return nodeCost{cpu: after.cpu - before.cpu, mallocs: after.mallocs - before.mallocs}
}

func (d *deployment) scrape(b *testing.B) nodeCost {
	resp, err := http.Get("http://" + d.ops[0] + "/metrics")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var c nodeCost
	scan := bufio.NewScanner(resp.Body)
	for scan.Scan() {
		name, value, _ := strings.Cut(scan.Text(), " ")
		v, _ := strconv.ParseFloat(value, 64)
		switch name {
		case "process_cpu_seconds_total":
			c.cpu = v
		case "go_memstats_mallocs_total":
			c.mallocs = v
		}
	}
	return c
}

// newOverheadDeployment starts one very fast engine and one node.
func newOverheadDeployment(b *testing.B, engineAddr string) *deployment {
	d := &deployment{platform: testaddress.New()}
	start(b, "platform", "standin", "platform", "--listen", d.platform)
	eventually(b, "platform", func() error {
		resp, err := http.Get("http://" + d.platform + "/control")
		if err == nil {
			_ = resp.Body.Close()
		}
		return err
	})
	start(b, "engine", "standin", "engine", "--listen", engineAddr, "--platform", d.platform,
		"--data-centre", dataCentres[0], "--host", "gpu-0", "--service", "inscription", "--version", "v1", "--speed", "100000")
	d.nodes, d.peers, d.ops = []string{testaddress.New()}, []string{testaddress.New()}, []string{testaddress.New()}
	d.startNode(b, 0)
	runCommand(b, 0, "apply", "--platform", d.platform, "../../examples/kallergis")
	runCommand(b, 0, "apply", "--platform", d.platform, unlimitedDesk(b))
	eventually(b, "node", checkReady(d.nodes[0]))
	eventually(b, "first chat", func() error {
		_, _, err := chat{prompt: "warm up", seed: 1, tokens: 2}.stream("/chat", d.nodes)
		return err
	})
	return d
}

// unlimitedDesk returns a folder with a file that raises the test workspace's limits far above the load.
func unlimitedDesk(b *testing.B) string {
	dir := b.TempDir()
	file := "workspaces:\n  desk: {keys: [" + workspaceKey + "], rate_per_second: 100000, concurrency: 10000}\n"
	if err := os.WriteFile(filepath.Join(dir, "90-unlimited.yaml"), []byte(file), 0o600); err != nil {
		b.Fatal(err)
	}
	return dir
}

// latencies records the times to the first token and between tokens, in microseconds.
type latencies struct{ first, token *hdrhistogram.Histogram }

func newLatencies() *latencies {
	return &latencies{hdrhistogram.New(1, maxMicros, 3), hdrhistogram.New(1, maxMicros, 3)}
}

func (t *latencies) added(base *latencies, q float64, pick func(*latencies) *hdrhistogram.Histogram) float64 {
	return float64(pick(t).ValueAtQuantile(q) - pick(base).ValueAtQuantile(q))
}

// measure sends one chat and records the latencies of its response.
func (t *latencies) measure(b *testing.B, addr, path string, c chat) {
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+path, bytes.NewReader(c.body(true)))
	if err != nil {
		b.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+workspaceKey)
	sentAt := time.Now()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	scan := bufio.NewScanner(resp.Body)
	var firstAt time.Time
	for scan.Scan() {
		if firstAt.IsZero() && strings.HasPrefix(scan.Text(), "data: ") {
			firstAt = time.Now()
			_ = t.first.RecordValue(firstAt.Sub(sentAt).Microseconds())
		}
	}
	if resp.StatusCode != http.StatusOK || firstAt.IsZero() {
		b.Fatalf("status %d", resp.StatusCode)
	}
	_ = t.token.RecordValue(time.Since(firstAt).Microseconds() / int64(c.tokens))
	_, _ = io.Copy(io.Discard, resp.Body)
}
