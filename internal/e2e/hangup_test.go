package e2e

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/testaddress"
)

// serveCommand returns the command that runs a node whose store can't be reached.
func serveCommand(t *testing.T) *exec.Cmd {
	ip := testaddress.IP()
	address := func(port int) string { return net.JoinHostPort(ip, fmt.Sprint(port)) }
	dir := t.TempDir()
	writeFile(t, dir, "node.conf", strings.Join([]string{
		"node_id=n", "zone=a", "ip=" + ip, "listen.front=" + address(8221), "listen.ready=" + address(8224), "listen.control=" + address(8229),
		"internal_ports=7600,7615", "platform.addr=" + address(8225), "bounds.grace_s=1", "",
	}, "\n"))
	return exec.Command(binary, "serve", "--settings", filepath.Join(dir, "node.conf"))
}

// TestHangupWhileRuntimeStarts guards against processes that SIGHUP ends while the Go runtime starts:
// it comes when the runtime has started its first thread, before any package is initialised.
func TestHangupWhileRuntimeStarts(t *testing.T) {
	t.Parallel()
	for range 20 {
		cmd := serveCommand(t)
		logs, err := cmd.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		threads := fmt.Sprintf("/proc/%d/task", cmd.Process.Pid)
		for end := time.Now().Add(startTimeout); time.Now().Before(end); {
			if list, err := os.ReadDir(threads); err != nil || len(list) > 1 {
				break
			}
		}
		_ = cmd.Process.Signal(syscall.SIGHUP)
		kill := time.AfterFunc(startTimeout, func() { _ = cmd.Process.Kill() })
		logged := bufio.NewScanner(logs).Scan()
		kill.Stop()
		_ = cmd.Process.Kill()
		if err := cmd.Wait(); !logged {
			t.Errorf("the process has ended before its first log line: %v", err)
		}
	}
}

// TestHangupWhileStarting guards against processes that SIGHUP ends while they start: it comes while
// the packages of the program are initialised, long before the services of the node have started.
func TestHangupWhileStarting(t *testing.T) {
	t.Parallel()
	for range 5 {
		cmd := serveCommand(t)
		cmd.Env = append(cmd.Environ(), "GODEBUG=inittrace=1") // reports each initialised package
		out, err := cmd.StderrPipe()
		if err != nil {
			t.Fatal(err)
		}
		logs, err := cmd.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		go func() {
			for lines := bufio.NewScanner(out); lines.Scan(); {
				if strings.HasPrefix(lines.Text(), "init github.com/prometheus/client_golang/prometheus ") {
					_ = cmd.Process.Signal(syscall.SIGHUP)
				}
			}
		}()
		reloaded := make(chan bool, 1)
		go func() {
			found := false
			for lines := bufio.NewScanner(logs); !found && lines.Scan(); {
				found = strings.Contains(lines.Text(), "gateway: Reload requested")
			}
			reloaded <- found
		}()
		select {
		case found := <-reloaded:
			if !found {
				t.Errorf("the process has ended: %v", cmd.Wait())
				continue
			}
		case <-time.After(startTimeout):
			t.Error("SIGHUP was not handled")
		}
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
}
