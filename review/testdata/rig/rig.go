// Command rig runs one case of the review: it starts nodes as separate processes, with
// stand-ins for the platform, the servers and the clients in its own process.
//
// It exits with 1 if the rule of the case was broken, with 0 if it held and with 2 if the
// case could not run.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/jujubeshed/jujubeshed/platform/platformtest"
)

// maxRunTime ends a case that takes too long.
const maxRunTime = 110 * time.Second

// maxFiles is limits.max_fds of the settings.
const maxFiles = 4100

// testCase is one case. It returns the violations of the rule.
type testCase func(d *deployment, trouble bool) (violations []string, err error)

var cases = map[string]testCase{}

func main() {
	record := flag.String("record", "record.txt", "file to which the case writes what was sent, answered and run")
	program := flag.String("program", "target/jujubeshed", "program of the nodes")
	flag.Parse()
	os.Exit(run(flag.Arg(0), *program, *record, os.Getenv("TROUBLE") != "0"))
}

func run(name, program, record string, trouble bool) int {
	c, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", name)
		return 2
	}
	d, err := newDeployment(program, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer d.close()
	time.AfterFunc(maxRunTime, func() {
		d.logf("the case did not end within %s", maxRunTime)
		d.close()
		os.Exit(2)
	})
	d.logf("case %s, trouble %t", name, trouble)
	violations, err := c(d, trouble)
	if err != nil {
		d.logf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	for _, v := range violations {
		d.logf("VIOLATION: %s", v)
	}
	d.logf("%d violations", len(violations))
	fmt.Printf("%s: %d violations\n", name, len(violations))
	if len(violations) > 0 {
		return 1
	}
	return 0
}

// deployment is a small deployment on loopback addresses.
type deployment struct {
	program string
	dir     string // of the settings and the logs of the nodes
	ipBase  string
	start   time.Time
	store   *platformtest.Store
	// storeAddr is the address of the platform's store, cloudAddr that of its API for duties.
	storeAddr, cloudAddr string
	nodes                []*node

	mu     sync.Mutex
	record *os.File
	closed bool
}

func newDeployment(program, record string) (*deployment, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("program of the nodes: %w", err)
	}
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &deployment{program: program, dir: dir, record: f, start: time.Now(), store: platformtest.New()}
	if d.ipBase, err = freeNetwork(); err != nil {
		return nil, err
	}
	d.storeAddr = d.ip(100) + ":8225"
	d.cloudAddr = d.storeAddr
	return d, nil
}

// freeNetwork returns the first three numbers of loopback addresses that nothing uses.
func freeNetwork() (string, error) {
	for range 50 {
		base := fmt.Sprintf("127.%d.%d.", 130+rand.IntN(100), rand.IntN(250))
		free := true
		for _, port := range []string{"7601", "8221", "8224", "8225", "8229", "8308"} {
			for _, host := range []string{"1", "2", "3", "4", "5", "6", "7", "8", "100", "101", "102", "103", "104"} {
				l, err := net.Listen("tcp", base+host+":"+port)
				if err != nil {
					free = false
					continue
				}
				_ = l.Close()
			}
		}
		if free {
			return base, nil
		}
	}
	return "", errors.New("no free loopback addresses")
}

func (d *deployment) ip(host int) string { return fmt.Sprintf("%s%d", d.ipBase, host) }

// logf writes a line to the record.
func (d *deployment) logf(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.closed {
		_, _ = fmt.Fprintf(d.record, "%8.3f "+format+"\n", append([]any{time.Since(d.start).Seconds()}, args...)...)
	}
}

// startStore serves the platform's store and its API for duties.
func (d *deployment) startStore() error {
	l, err := net.Listen("tcp", d.storeAddr)
	if err != nil {
		return err
	}
	go func() { _ = (&http.Server{Handler: d.store.Handler(), ReadHeaderTimeout: 10 * time.Second}).Serve(l) }()
	return nil
}

// node is one process of the program.
type node struct {
	d        *deployment
	name     string
	ip       string
	settings string
	cmd      *exec.Cmd
	exited   chan struct{}
}

func (n *node) front() string { return n.ip + ":8221" }

// addNodes starts nodes and waits until all are ready.
func (d *deployment) addNodes(count int) error {
	for i := 1; i <= count; i++ {
		n := &node{d: d, name: fmt.Sprintf("front-a-%d", i), ip: d.ip(i)}
		n.settings = filepath.Join(d.dir, n.name+".conf")
		if err := os.WriteFile(n.settings, []byte(d.settings(n, count)), 0o600); err != nil {
			return err
		}
		d.nodes = append(d.nodes, n)
		if err := n.startProcess(); err != nil {
			return err
		}
	}
	for _, n := range d.nodes {
		if err := n.waitReady(); err != nil {
			return err
		}
	}
	return nil
}

// settings returns the settings of a node, with the bounds of a small deployment.
func (d *deployment) settings(n *node, count int) string {
	var seeds []string
	for i := 1; i <= min(count, 3); i++ {
		seeds = append(seeds, d.ip(i)+":8229")
	}
	return strings.Join([]string{
		"node_id=" + n.name, "role=entry", "class=front", "serves=front,control", "ip=" + n.ip, "zone=a", "region=r", "zones.a=r",
		"listen.front=" + n.front(), "listen.ready=" + n.ip + ":8224", "listen.control=" + n.ip + ":8229", "internal_ports=7600,7615",
		"seeds=" + strings.Join(seeds, ","), "bootstrap=true", "fault_counted=false",
		"limits.cpu_share=0.4", "limits.cores=1", "limits.memory_mb=284", fmt.Sprintf("limits.max_fds=%d", maxFiles), "limits.link_mbps=1000.0", "limits.disk_mb=0",
		"discovery=platform", "entry=vip", "heartbeat_ms=1200",
		"contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,quota,leader,rollout,platform",
		"bounds.seed_lag_s=3", "bounds.addr_reuse_s=2", "bounds.contact_ms=3000", "bounds.ack_ms=4000", "bounds.catch_up_s=4",
		"bounds.drain_ms=2000", "bounds.grace_s=8", "bounds.loss_slack_ms=200", "bounds.config_apply_ms=2000", "bounds.rollback_slack_ms=250",
		"bounds.skew_max_ms=5000", "bounds.strict_revoke=false", "bounds.revoke_ms=5000", "bounds.retry_budget_ratio=0.2",
		"bounds.retry_window_s=10", "bounds.budget_slack=56", "bounds.quota_window_s=8", "bounds.quota_overshoot=0.1", "bounds.quota_slack=140000",
		"bounds.fencing_required=false", "bounds.lease_ms=3000", "bounds.thaw_ms=300", "bounds.usage_window_s=5", "bounds.usage_tolerance=0.05",
		"bounds.usage_late_s=10", "bounds.exposure_share=0.1", "bounds.exposure_slack=50", "bounds.rollback_ms=5000", "bounds.recovery_s=12",
		"bounds.pass_ms=120", "bounds.retry_after_s=6",
		"platform.addr=" + d.storeAddr, "platform.form=objects", "platform.writes_per_s=400", "platform.reads_per_s=2000", "platform.history_s=20",
		"platform.value_bytes=1048576", "platform.ttl_min_ms=1000",
		"cloud_api.addr=" + d.cloudAddr, "cloud_api.rate_per_s=50.0", "cloud_api.duties=usage_report,autoscale", "cloud_api.duty_per_s=50.0",
	}, "\n") + "\n"
}

// startProcess starts the node's process with the command of the deploy file.
func (n *node) startProcess() error {
	log, err := os.OpenFile(filepath.Join(n.d.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(n.d.program, "serve")
	cmd.Env = append(os.Environ(), "JUJUBESHED_BOOT="+n.settings)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	// The platform bounds the descriptors of a process.
	if err := unix.Prlimit(cmd.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: maxFiles, Max: maxFiles}, nil); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.d.mu.Lock()
	n.cmd, n.exited = cmd, exited
	n.d.mu.Unlock()
	n.d.logf("node %s started at %s, process %d", n.name, n.ip, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		n.d.logf("node %s, process %d, ended: %v", n.name, cmd.Process.Pid, err)
		close(exited)
	}()
	return nil
}

// ready asks the node whether it is ready.
func (n *node) ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.ip+":8224/api/ready", nil)
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

func (n *node) waitReady() error {
	for range 200 {
		if n.ready() {
			n.d.logf("node %s is ready", n.name)
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("node %s is not ready after 20 s", n.name)
}

// close ends all processes and removes the temporary folder.
func (d *deployment) close() {
	d.mu.Lock()
	if d.closed {
		d.mu.Unlock()
		return
	}
	d.mu.Unlock()
	for _, n := range d.nodes {
		if n.cmd != nil {
			_ = n.cmd.Process.Signal(syscall.SIGCONT)
			_ = n.cmd.Process.Kill()
			<-n.exited
		}
	}
	d.mu.Lock()
	d.closed = true
	_ = d.record.Close()
	d.mu.Unlock()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println("logs:", d.dir)
	}
}
