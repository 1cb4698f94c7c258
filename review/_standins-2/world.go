package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/jujubeshed/jujubeshed/platform/platformtest"
)

// program is the command of the deploy file, after its build.
var program = []string{"target/jujubeshed", "serve"}

// Bounds of the installation kaptaan-edge.
const (
	graceTime   = 8 * time.Second
	drainTime   = 2 * time.Second
	contactTime = 3 * time.Second
	leaseTime   = 3 * time.Second
	thawTime    = 300 * time.Millisecond
)

var zones = []string{"sialkot-a", "sialkot-b", "lahore-a", "lahore-b"}

// world is the platform, its workers and the nodes of one case.
type world struct {
	trouble bool
	started time.Time
	dir     string
	ip      string // prefix of all addresses
	store   *platformtest.Store
	srv     *http.Server
	address string // of the store
	nodes   []*node

	mu     sync.Mutex
	record *os.File
	close_ []func()
}

func newWorld(record string, trouble bool) (*world, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	w := &world{trouble: trouble, started: time.Now(), dir: dir, record: f, store: platformtest.New(), ip: fmt.Sprintf("127.%d.%d.", 30+pid/250%200, 1+pid%250)}
	ln, err := net.Listen("tcp", w.ip+"2:0")
	if err != nil {
		return nil, err
	}
	w.address = ln.Addr().String()
	w.srv = &http.Server{Handler: w.store.Handler(), ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = w.srv.Serve(ln) }()
	w.atClose(func() { _ = w.srv.Close() })
	w.say("trouble: %v", trouble)
	return w, nil
}

// atClose registers what ends a part of the world.
func (w *world) atClose(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.close_ = append(w.close_, f)
}

// close ends all processes and listeners.
func (w *world) close() {
	for _, n := range w.nodes {
		n.kill()
	}
	w.mu.Lock()
	list := w.close_
	w.mu.Unlock()
	for _, f := range list {
		f()
	}
	if os.Getenv("KEEP_LOGS") != "" {
		fmt.Fprintln(os.Stderr, "logs are in", w.dir)
		return
	}
	_ = os.RemoveAll(w.dir)
}

// since returns the time since the start of the case, in seconds.
func (w *world) since(at time.Time) float64 { return at.Sub(w.started).Seconds() }

// say writes a line to the record.
func (w *world) say(format string, args ...any) { w.sayAt(time.Now(), format, args...) }

func (w *world) sayAt(at time.Time, format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", w.since(at), fmt.Sprintf(format, args...))
}

// sleepUntil waits until some seconds after the start.
func (w *world) sleepUntil(seconds float64) {
	time.Sleep(time.Until(w.started.Add(time.Duration(seconds * float64(time.Second)))))
}

// listen returns a listener on a free port.
func (w *world) listen() (net.Listener, error) {
	ln, err := net.Listen("tcp", w.ip+"3:0")
	if err == nil {
		w.atClose(func() { _ = ln.Close() })
	}
	return ln, err
}

// node is a node's process and its links to the platform.
type node struct {
	w            *world
	name, ip     string
	zone         string
	store, cloud *link
	env          []string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// addNodes starts nodes, with links of their own to the store and to the platform's API.
func (w *world) addNodes(count int, cloudAddress string) error {
	control := func(i int) string { return fmt.Sprintf("%s%d:7703", w.ip, 11+i) }
	var seeds []string
	for i := range min(count, 3) {
		seeds = append(seeds, control(i))
	}
	for i := range count {
		n := &node{w: w, ip: fmt.Sprintf("%s%d", w.ip, 11+i), zone: zones[i%len(zones)]}
		n.name = fmt.Sprintf("front-%s-%d", n.zone, 1+i/len(zones))
		var err error
		if n.store, err = w.newLink(w.address); err != nil {
			return err
		}
		if n.cloud, err = w.newLink(cloudAddress); err != nil {
			return err
		}
		lines := []string{
			"node_id=" + n.name, "role=entry", "class=front", "serves=front,control", "ip=" + n.ip, "zone=" + n.zone, "region=pk-north",
			"listen.front=" + n.front(), "listen.ready=" + n.ip + ":7702", "listen.control=" + control(i), "internal_ports=7600,7615",
			"seeds=" + strings.Join(seeds, ","), "bootstrap=true", "limits.cpu_share=0.4", "limits.cores=1", "limits.memory_mb=284", "limits.max_fds=4100",
			"discovery=platform", "entry=vip", "heartbeat_ms=1200",
			"bounds.contact_ms=3000", "bounds.ack_ms=4000", "bounds.drain_ms=2000", "bounds.grace_s=8", "bounds.loss_slack_ms=200", "bounds.config_apply_ms=2000",
			"bounds.retry_budget_ratio=0.2", "bounds.retry_window_s=10", "bounds.budget_slack=56", "bounds.quota_window_s=8", "bounds.quota_overshoot=0.1",
			"bounds.quota_slack=140000", "bounds.fencing_required=false", "bounds.lease_ms=3000", "bounds.thaw_ms=300", "bounds.usage_window_s=5",
			"bounds.usage_tolerance=0.05", "bounds.usage_late_s=10", "bounds.exposure_share=0.1", "bounds.exposure_slack=50", "bounds.rollback_ms=5000",
			"bounds.recovery_s=12", "platform.addr=" + n.store.address(), "platform.form=objects", "platform.writes_per_s=400", "platform.reads_per_s=2000",
			"platform.history_s=20", "platform.value_bytes=1048576", "cloud_api.addr=" + n.cloud.address(), "cloud_api.rate_per_s=50.0",
			"cloud_api.duties=usage_report,autoscale", "cloud_api.duty_per_s=50.0",
		}
		for _, z := range zones {
			lines = append(lines, "zones."+z+"=pk-north")
		}
		if err := os.WriteFile(n.settings(), []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
			return err
		}
		w.nodes = append(w.nodes, n)
	}
	for _, n := range w.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	return w.awaitReady()
}

func (n *node) settings() string { return filepath.Join(n.w.dir, n.name+".conf") }
func (n *node) front() string    { return n.ip + ":7701" }

func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(n.w.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(program[0], program[1:]...)
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "JUJUBESHED_BOOT=" + n.settings()}, n.env...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.cmd, n.exited = cmd, exited
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		n.w.say("process of %s ended: %v", n.name, err)
		close(exited)
	}()
	return nil
}

func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		_ = n.cmd.Process.Signal(s) // it may have ended
	}
}

func (n *node) kill() {
	n.mu.Lock()
	exited := n.exited
	n.mu.Unlock()
	if exited == nil {
		return
	}
	n.signal(syscall.SIGKILL)
	<-exited
}

// stop ends the process as the platform does, and reports whether it ended within the grace time.
func (n *node) stop() bool {
	n.signal(syscall.SIGTERM)
	select {
	case <-n.exited:
		return true
	case <-time.After(graceTime):
		n.kill()
		return false
	}
}

func (n *node) ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.ip+":7702/api/ready", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (w *world) awaitReady() error {
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, n := range w.nodes {
			if n.ready() {
				ready++
			}
		}
		if ready == len(w.nodes) {
			w.say("%d nodes are ready", ready)
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d nodes are ready", ready, len(w.nodes))
		}
	}
}

func (w *world) nodeNamed(name string) *node {
	for _, n := range w.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}
