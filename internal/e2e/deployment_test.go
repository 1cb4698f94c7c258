package e2e

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/jujubeshed/jujubeshed/api/gen/operators"
	"github.com/jujubeshed/jujubeshed/internal/config"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
	"github.com/jujubeshed/jujubeshed/internal/standin/control"
	"github.com/jujubeshed/jujubeshed/internal/standin/engine"
	"github.com/jujubeshed/jujubeshed/internal/standin/memstore"
	standinplatform "github.com/jujubeshed/jujubeshed/internal/standin/platform"
	"github.com/jujubeshed/jujubeshed/internal/standin/service"
	"github.com/jujubeshed/jujubeshed/internal/testaddress"
)

// deployment is a small installation of the program and its test doubles, as separate processes.
type deployment struct {
	platform string
	// nodePlatform is the address at which nodes reach the platform; empty for that of the platform.
	nodePlatform string
	desk         string   // address of the order service
	nodes        []string // addresses for callers
	peers        []string // addresses for other nodes
	ops          []string // addresses for operators
	nodeProc     []*process
	engines      []*engineProcess
}

// engineProcess is the process of a stand-in engine.
type engineProcess struct {
	*process
	addr string
	host string
}

var dataCentres = []string{"kalamaria", "pylaia", "evosmos"}

// deploymentOptions are the settings that differ between tests.
type deploymentOptions struct {
	engine       []string // additional flags of the engines
	extraEngines []string // data centres of additional engines
	platform     standinplatform.Faults
	// nodePlatform returns the address of a proxy through which nodes reach the platform; nil for none.
	nodePlatform func(t testing.TB, platform string) string
}

func newDeployment(t testing.TB, opts deploymentOptions) *deployment {
	t.Helper()
	d := &deployment{platform: testaddress.New()}
	start(t, "platform", "standin", "platform", "--listen", d.platform, "--faults", toJSON(opts.platform))
	eventually(t, "platform", func() error {
		resp, err := http.Get("http://" + d.platform + "/control")
		if err == nil {
			_ = resp.Body.Close()
		}
		return err
	})
	if opts.nodePlatform != nil {
		d.nodePlatform = opts.nodePlatform(t, d.platform)
	}
	for _, dc := range append(slices.Clone(dataCentres), opts.extraEngines...) {
		d.startEngine(t, dc, "v1", opts.engine...)
	}
	d.desk = testaddress.New()
	start(t, "desk", "standin", "service", "--listen", d.desk,
		"--platform", d.platform, "--data-centre", dataCentres[0], "--host", "desk-0", "--service", "order-desk", "--version", "v1")
	for range dataCentres {
		d.nodes = append(d.nodes, testaddress.New())
		d.peers = append(d.peers, testaddress.New())
		d.ops = append(d.ops, testaddress.New())
	}
	for i := range dataCentres {
		d.startNode(t, i)
	}
	runCommand(t, 0, "apply", "--platform", d.platform, "../../examples/kallergis")
	for _, n := range d.nodes {
		eventually(t, "node "+n, checkReady(n))
	}
	for _, e := range d.engines {
		d.awaitEndpoint(t, e.host, operators.EndpointStateLive)
	}
	d.awaitEndpoint(t, "desk-0", operators.EndpointStateLive)
	d.awaitRevision(t, 1)
	return d
}

func (d *deployment) startNode(t testing.TB, i int) {
	t.Helper()
	args := []string{"node", "--node-id", fmt.Sprintf("entry-%d", i), "--data-centre", dataCentres[i],
		"--callers", d.nodes[i], "--peers", d.peers[i], "--operators", d.ops[i],
		"--host", fmt.Sprintf("entry-host-%d", i), "--platform", cmp.Or(d.nodePlatform, d.platform), "--key", sharedKey, "--drain-delay", "200ms", "--drain-timeout", "500ms"}
	for j, p := range d.peers {
		if j != i {
			args = append(args, "--join", p)
		}
	}
	p := start(t, fmt.Sprintf("node-%d", i), args...)
	if i < len(d.nodeProc) {
		d.nodeProc[i] = p
	} else {
		d.nodeProc = append(d.nodeProc, p)
	}
}

// addressesFrom returns the nodes' addresses for callers, beginning with node i.
func (d *deployment) addressesFrom(i int) []string {
	i %= len(d.nodes)
	return append(append([]string(nil), d.nodes[i:]...), d.nodes[:i]...)
}

func (d *deployment) effects(t *testing.T) service.Effects {
	t.Helper()
	resp, err := http.Get("http://" + d.desk + service.PathEffects)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var e service.Effects
	if err := json.NewDecoder(resp.Body).Decode(&e); err != nil {
		t.Fatal(err)
	}
	return e
}

// startEngine starts an engine on a new host.
func (d *deployment) startEngine(t testing.TB, dc, version string, flags ...string) *engineProcess {
	t.Helper()
	e := &engineProcess{addr: testaddress.New(), host: fmt.Sprintf("gpu-%d", len(d.engines))}
	args := []string{"standin", "engine", "--listen", e.addr, "--platform", d.platform, "--data-centre", dc,
		"--host", e.host, "--service", "inscription", "--version", version}
	e.process = start(t, e.host, append(args, flags...)...)
	d.engines = append(d.engines, e)
	return e
}

// attempts returns how often each request was started at the engine; nil if the engine is
// unreachable.
func (e *engineProcess) attempts() map[ident.RequestID]int {
	var attempts map[ident.RequestID]int
	if control.Get(context.Background(), e.addr, engine.PathRuns, &attempts) != nil {
		return nil
	}
	return attempts
}

// postControl sends body to a control page of a stand-in.
func postControl(t testing.TB, addr, path string, body any) {
	t.Helper()
	if err := control.Post(context.Background(), addr, path, body); err != nil {
		t.Fatal(err)
	}
}

// getStatus reads the status of a stand-in from its control page.
func getStatus(t testing.TB, addr string, out any) {
	t.Helper()
	if err := control.Get(context.Background(), addr, control.Path, out); err != nil {
		t.Fatal(err)
	}
}

func (d *deployment) setStoreFaults(t testing.TB, f memstore.Faults) {
	t.Helper()
	postControl(t, d.platform, control.Path, standinplatform.Faults{Store: f})
}

func (d *deployment) setDeskFaults(t testing.TB, f service.Faults) {
	t.Helper()
	postControl(t, d.desk, control.Path, f)
}

func toJSON(v any) string {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return string(raw)
}

// operatorArgs returns the flags of an operator's command at node i.
func (d *deployment) operatorArgs(i int) []string {
	return []string{"--node", d.ops[i], "--key", sharedKey, "--json"}
}

// status runs the status command at node i.
func (d *deployment) status(i int) (*operators.Status, error) {
	var st operators.Status
	return &st, commandJSON(&st, append([]string{"status"}, d.operatorArgs(i)...)...)
}

// moves runs the moves command at node i.
func (d *deployment) moves(i int) ([]operators.Move, error) {
	var list operators.MoveList
	err := commandJSON(&list, append([]string{"moves"}, d.operatorArgs(i)...)...)
	return list.Moves, err
}

// commandJSON runs a command of the program and decodes its output.
func commandJSON(out json.Unmarshaler, args ...string) error {
	code, stdout, stderr := tryCommand(args...)
	if code != 0 {
		return fmt.Errorf("%v exited with %d: %s", args, code, stderr)
	}
	return json.Unmarshal(stdout, out)
}

// accepted returns the accepted configuration from the store.
func (d *deployment) accepted(t testing.TB) config.Accepted {
	t.Helper()
	o, err := d.object(config.KeyAccepted)
	if err != nil {
		t.Fatal(err)
	}
	a, err := config.DecodeAccepted(o.Value)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// object reads an object of the store.
func (d *deployment) object(key platformapi.Key) (platformapi.Object, error) {
	c, err := platformapi.NewClient(platformapi.ClientOptions{Address: d.platform})
	if err != nil {
		return platformapi.Object{}, err
	}
	defer c.Close()
	return c.Get(context.Background(), key)
}

// awaitRevision waits until every node reports that the same revision, at least min, is
// in force at all nodes. It returns the revision.
func (d *deployment) awaitRevision(t testing.TB, min int64) int64 {
	t.Helper()
	var revision int64
	eventually(t, "one revision at all nodes", func() error {
		revision = 0
		for i := range d.nodes {
			st, err := d.status(i)
			if err != nil {
				return err
			}
			if !st.Everywhere || st.Revision < min || i > 0 && st.Revision != revision {
				return fmt.Errorf("node %d: revision %d, everywhere %t, want at least %d", i, st.Revision, st.Everywhere, min)
			}
			if st.InvariantViolations > 0 {
				t.Fatalf("node %d counted %d violated invariants", i, st.InvariantViolations)
			}
			revision = st.Revision
		}
		return nil
	})
	return revision
}

// metric returns the sum of a metric over its labels. addr is a node's address for operators.
func metric(addr, name string) (float64, error) {
	resp, err := http.Get("http://" + addr + "/metrics")
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	sum := 0.0
	scan := bufio.NewScanner(resp.Body)
	for scan.Scan() {
		sample, value, _ := strings.Cut(scan.Text(), " ")
		if base, _, _ := strings.Cut(sample, "{"); base != name {
			continue
		}
		v, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return 0, err
		}
		sum += v
	}
	return sum, scan.Err()
}
