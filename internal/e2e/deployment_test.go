package e2e

import (
	"bufio"
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
)

// site is a small deployment of separate processes.
type site struct {
	platform string
	desk     string
	nodes    []string // callers' addresses
	peers    []string
	ops      []string
	nodeProc []*process
	engines  []*engineProcess
}

// engineProcess is a stand-in engine with its address and host.
type engineProcess struct {
	*process
	addr string
	host string
}

var dataCentres = []string{"kalamaria", "pylaia", "evosmos"}

// siteOptions are what a test changes of a site.
type siteOptions struct {
	engine   []string // further flags of the engines
	spare    []string // data centres of further engines
	platform standinplatform.Faults
}

func newSite(t testing.TB, opts siteOptions) *site {
	t.Helper()
	s := &site{platform: freeAddress(t)}
	start(t, "platform", "standin", "platform", "--listen", s.platform, "--faults", toJSON(opts.platform))
	eventually(t, "platform", func() error {
		resp, err := http.Get("http://" + s.platform + "/control")
		if err == nil {
			_ = resp.Body.Close()
		}
		return err
	})
	for _, dc := range append(slices.Clone(dataCentres), opts.spare...) {
		s.startEngine(t, dc, "v1", opts.engine...)
	}
	s.desk = freeAddress(t)
	start(t, "desk", "standin", "service", "--listen", s.desk,
		"--platform", s.platform, "--data-centre", dataCentres[0], "--host", "desk-0", "--service", "order-desk", "--version", "v1")
	for range dataCentres {
		s.nodes = append(s.nodes, freeAddress(t))
		s.peers = append(s.peers, freeAddress(t))
		s.ops = append(s.ops, freeAddress(t))
	}
	for i := range dataCentres {
		s.startNode(t, i)
	}
	runCommand(t, 0, "apply", "--platform", s.platform, "../../examples/kallergis")
	for _, n := range s.nodes {
		eventually(t, "node "+n, ready(n))
	}
	for _, e := range s.engines {
		s.awaitEndpoint(t, e.host, operators.EndpointStateLive)
	}
	s.awaitEndpoint(t, "desk-0", operators.EndpointStateLive)
	s.everywhere(t, 1)
	return s
}

func (s *site) startNode(t testing.TB, i int) {
	t.Helper()
	args := []string{"node", "--node-id", fmt.Sprintf("entry-%d", i), "--data-centre", dataCentres[i],
		"--callers", s.nodes[i], "--peers", s.peers[i], "--operators", s.ops[i],
		"--host", fmt.Sprintf("entry-host-%d", i), "--platform", s.platform, "--key", sharedKey, "--drain-delay", "200ms", "--drain-timeout", "500ms"}
	for j, p := range s.peers {
		if j != i {
			args = append(args, "--join", p)
		}
	}
	p := start(t, fmt.Sprintf("node-%d", i), args...)
	if i < len(s.nodeProc) {
		s.nodeProc[i] = p
	} else {
		s.nodeProc = append(s.nodeProc, p)
	}
}

// from returns the callers' addresses, beginning with node i.
func (s *site) from(i int) []string {
	i %= len(s.nodes)
	return append(append([]string(nil), s.nodes[i:]...), s.nodes[:i]...)
}

func (s *site) effects(t *testing.T) service.Effects {
	t.Helper()
	resp, err := http.Get("http://" + s.desk + service.PathEffects)
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

// startEngine starts one more engine host.
func (s *site) startEngine(t testing.TB, dc, version string, flags ...string) *engineProcess {
	t.Helper()
	e := &engineProcess{addr: freeAddress(t), host: fmt.Sprintf("gpu-%d", len(s.engines))}
	args := []string{"standin", "engine", "--listen", e.addr, "--platform", s.platform, "--data-centre", dc,
		"--host", e.host, "--service", "inscription", "--version", version}
	e.process = start(t, e.host, append(args, flags...)...)
	s.engines = append(s.engines, e)
	return e
}

// runs returns how often each request was begun at the engine; nil where it is gone.
func (e *engineProcess) runs() map[ident.RequestID]int {
	var runs map[ident.RequestID]int
	if control.Get(context.Background(), e.addr, engine.PathRuns, &runs) != nil {
		return nil
	}
	return runs
}

// post sends body to a control page.
func post(t testing.TB, addr, path string, body any) {
	t.Helper()
	if err := control.Post(context.Background(), addr, path, body); err != nil {
		t.Fatal(err)
	}
}

// get reads the state of a control page.
func get(t testing.TB, addr string, out any) {
	t.Helper()
	if err := control.Get(context.Background(), addr, control.Path, out); err != nil {
		t.Fatal(err)
	}
}

func (s *site) storeFaults(t testing.TB, f memstore.Faults) {
	t.Helper()
	post(t, s.platform, control.Path, standinplatform.Faults{Store: f})
}

func (s *site) deskFaults(t testing.TB, f service.Faults) {
	t.Helper()
	post(t, s.desk, control.Path, f)
}

func toJSON(v any) string {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return string(raw)
}

// operatorArgs returns the flags of an operator's command at node i.
func (s *site) operatorArgs(i int) []string {
	return []string{"--node", s.ops[i], "--key", sharedKey, "--json"}
}

// status runs the command at node i.
func (s *site) status(i int) (*operators.Status, error) {
	var st operators.Status
	return &st, commandJSON(&st, append([]string{"status"}, s.operatorArgs(i)...)...)
}

// moves runs the command at node i.
func (s *site) moves(i int) ([]operators.Move, error) {
	var list operators.MoveList
	err := commandJSON(&list, append([]string{"moves"}, s.operatorArgs(i)...)...)
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

// accepted returns the accepted configuration as the store holds it.
func (s *site) accepted(t testing.TB) config.Accepted {
	t.Helper()
	o, err := s.object(config.KeyAccepted)
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
func (s *site) object(key platformapi.Key) (platformapi.Object, error) {
	c, err := platformapi.NewClient(platformapi.ClientOptions{Address: s.platform})
	if err != nil {
		return platformapi.Object{}, err
	}
	defer c.Close()
	return c.Get(context.Background(), key)
}

// everywhere waits until every node says that one revision, at least min, is in
// force everywhere, and returns it.
func (s *site) everywhere(t testing.TB, min int64) int64 {
	t.Helper()
	var revision int64
	eventually(t, "one revision everywhere", func() error {
		revision = 0
		for i := range s.nodes {
			st, err := s.status(i)
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

// metric returns the sum of a metric over its labels, at a node's operators' address.
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
