package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jujubeshed/jujubeshed/platform/platformtest"
)

// Ports of a node. Each node has a loopback address of its own.
const (
	portFront   = 8221
	portReady   = 8224
	portControl = 8229
)

// rig is a small deployment: the platform's store and API, which this process serves, and the nodes,
// which are processes of their own.
type rig struct {
	dir      string
	prefix   string // of the loopback addresses, such as "127.31.7."
	store    *platformtest.Store
	platform string // address of the store and the API
	record   *record
	nodes    []*node
}

// record is the record of a run.
type record struct {
	mu    sync.Mutex
	begin time.Time
	out   io.Writer
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f s  %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...))
}

// newRig starts the platform. front wraps its handler, and may be nil.
func newRig(out io.Writer, front func(http.Handler) http.Handler) (*rig, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	r := &rig{dir: dir, prefix: freePrefix(), store: platformtest.New(), record: &record{begin: time.Now(), out: out}}
	current.Store(r)
	h := r.store.Handler()
	if front != nil {
		h = front(h)
	}
	ln, err := net.Listen("tcp", r.prefix+"2:0")
	if err != nil {
		return nil, err
	}
	r.platform = ln.Addr().String()
	go func() { _ = (&http.Server{Handler: h}).Serve(ln) }()
	return r, nil
}

// current is the deployment of this run, which has to be ended however the run ends.
var current atomic.Pointer[rig]

// freePrefix returns the first three bytes of loopback addresses at which nothing listens on the nodes' ports.
func freePrefix() string {
	prefix := ""
	for i := range 200 {
		n := os.Getpid() + i
		prefix = fmt.Sprintf("127.%d.%d.", 40+n%200, 1+(n/200)%250)
		ln, err := net.Listen("tcp", fmt.Sprintf("%s10:%d", prefix, portControl))
		if err == nil {
			_ = ln.Close()
			break
		}
	}
	return prefix
}

// node is an entry node, a process that is started from the deploy file's command.
type node struct {
	rig      *rig
	name, ip string
	settings string
	log      *os.File

	mu       sync.Mutex
	cmd      *exec.Cmd
	done     chan struct{} // closed when the process has ended
	expected bool          // whether the end of the process was asked for
	crashes  int           // times that a process has ended by itself
}

// addNode writes the settings of a node; its seeds are the first three nodes.
func (r *rig) addNode(zone string, override map[string]string) (*node, error) {
	i := len(r.nodes)
	n := &node{rig: r, name: fmt.Sprintf("front-%s-%d", zone, i+1), ip: fmt.Sprintf("%s%d", r.prefix, 10+i)}
	var seeds []string
	for k := range 3 {
		seeds = append(seeds, fmt.Sprintf("%s%d:%d", r.prefix, 10+k, portControl))
	}
	values := map[string]string{
		"node_id": n.name, "role": "entry", "class": "front", "serves": "front,control", "ip": n.ip, "zone": zone, "region": "thessaloniki",
		"zones.kalamaria": "thessaloniki", "zones.pylaia": "thessaloniki", "zones.evosmos": "thessaloniki", "zones.thermi": "thessaloniki",
		"listen.front": fmt.Sprintf("%s:%d", n.ip, portFront), "listen.ready": fmt.Sprintf("%s:%d", n.ip, portReady),
		"listen.control": fmt.Sprintf("%s:%d", n.ip, portControl), "internal_ports": "7600,7615", "seeds": strings.Join(seeds, ","),
		"bootstrap": "true", "fault_counted": "true", "limits.cpu_share": "0.4", "limits.cores": "1", "limits.memory_mb": "284",
		"limits.max_fds": "4100", "limits.link_mbps": "1000.0", "limits.disk_mb": "0", "discovery": "platform", "entry": "vip", "heartbeat_ms": "1200",
		"contracts":                "base,drain,config,cost,retry,recover,engine,stream,tenants,quota,leader,rollout,platform",
		"fault_tolerance.machines": "2", "fault_tolerance.zones": "0", "fault_tolerance.regions": "0",
		"bounds.seed_lag_s": "3", "bounds.addr_reuse_s": "2", "bounds.contact_ms": "3000", "bounds.ack_ms": "4000", "bounds.catch_up_s": "4",
		"bounds.drain_ms": "2000", "bounds.grace_s": "8", "bounds.loss_slack_ms": "200", "bounds.config_apply_ms": "2000", "bounds.rollback_slack_ms": "250",
		"bounds.skew_max_ms": "5000", "bounds.strict_revoke": "false", "bounds.revoke_ms": "5000", "bounds.retry_budget_ratio": "0.2",
		"bounds.retry_window_s": "10", "bounds.budget_slack": "56", "bounds.quota_window_s": "8", "bounds.quota_overshoot": "0.1",
		"bounds.quota_slack": "140000", "bounds.fencing_required": "false", "bounds.lease_ms": "3000", "bounds.thaw_ms": "300",
		"bounds.usage_window_s": "5", "bounds.usage_tolerance": "0.05", "bounds.usage_late_s": "10", "bounds.exposure_share": "0.1",
		"bounds.exposure_slack": "50", "bounds.rollback_ms": "5000", "bounds.recovery_s": "12", "bounds.pass_ms": "120", "bounds.retry_after_s": "6",
		"platform.addr": r.platform, "platform.form": "objects", "platform.writes_per_s": "400", "platform.reads_per_s": "2000",
		"platform.history_s": "20", "platform.value_bytes": "1048576", "platform.ttl_min_ms": "1000",
		"cloud_api.addr": r.platform, "cloud_api.rate_per_s": "50.0", "cloud_api.duties": "usage_report,autoscale", "cloud_api.duty_per_s": "50.0",
	}
	for k, v := range override {
		values[k] = v
	}
	var lines []string
	for k, v := range values {
		lines = append(lines, k+"="+v)
	}
	sort.Strings(lines)
	n.settings = filepath.Join(r.dir, n.name+".conf")
	if err := os.WriteFile(n.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(r.dir, n.name+".log"))
	if err != nil {
		return nil, err
	}
	n.log = log
	r.nodes = append(r.nodes, n)
	return n, nil
}

// restartDelay is the time after which the platform starts a process again that has ended by itself.
const restartDelay = 500 * time.Millisecond

// start starts the process of the node with the command of the deploy file.
func (n *node) start() error {
	cmd := exec.Command("target/jujubeshed", "serve")
	cmd.Env = []string{"JUJUBESHED_BOOT=" + n.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + n.rig.dir, "LANG=C"}
	cmd.Stdout, cmd.Stderr = n.log, n.log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.done, n.expected = cmd, done, false
	n.mu.Unlock()
	n.rig.record.printf("%s started, process %d", n.name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		close(done)
		n.mu.Lock()
		expected := n.expected
		if !expected {
			n.crashes++
		}
		n.mu.Unlock()
		if expected {
			n.rig.record.printf("%s ended: %v", n.name, err)
			return
		}
		n.rig.record.printf("%s ended by itself: %v", n.name, err)
		for _, line := range n.logged("panic") {
			n.rig.record.printf("%s logged: %s", n.name, line)
		}
		time.Sleep(restartDelay)
		n.mu.Lock()
		expected = n.expected
		n.mu.Unlock()
		if !expected {
			_ = n.start()
		}
	}()
	return nil
}

// crashCount returns how often a process of the node has ended by itself.
func (n *node) crashCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.crashes
}

func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.expected = n.expected || s == syscall.SIGTERM || s == syscall.SIGKILL
	n.rig.record.printf("%s gets %s", n.name, s)
	_ = n.cmd.Process.Signal(s)
}

func (n *node) front() string { return fmt.Sprintf("%s:%d", n.ip, portFront) }

func (n *node) ready() bool {
	c := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get(fmt.Sprintf("http://%s:%d/api/ready", n.ip, portReady))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// startAll starts all nodes and waits until they are ready.
func (r *rig) startAll() error {
	for _, n := range r.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	for _, n := range r.nodes {
		if err := n.awaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

func (n *node) awaitReady(d time.Duration) error {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if n.ready() {
			n.rig.record.printf("%s is ready", n.name)
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %s", n.name, d)
}

// end kills the processes that this run has started and removes its folder, unless KEEP is set.
func (r *rig) end() {
	for _, n := range r.nodes {
		n.mu.Lock()
		n.expected = true
		if n.cmd != nil {
			_ = n.cmd.Process.Signal(syscall.SIGCONT)
			_ = n.cmd.Process.Kill()
		}
		done := n.done
		n.mu.Unlock()
		if done != nil {
			<-done
		}
		_ = n.log.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.dir)
	}
}

// logged returns the lines of a node's log that contain all of some texts.
func (n *node) logged(texts ...string) []string {
	raw, _ := os.ReadFile(n.log.Name())
	var out []string
	for _, line := range strings.Split(string(raw), "\n") {
		ok := line != ""
		for _, t := range texts {
			ok = ok && strings.Contains(line, t)
		}
		if ok {
			out = append(out, line)
		}
	}
	return out
}
