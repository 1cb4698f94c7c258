package e2e

import (
	"bufio"
	"fmt"
	"net"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/testaddress"
)

// TestHangupWhileStarting guards against processes that SIGHUP ends while they start: it comes while
// the packages of the program are initialised, long before the services of the node have started.
func TestHangupWhileStarting(t *testing.T) {
	t.Parallel()
	for range 5 {
		ip := testaddress.IP()
		address := func(port int) string { return net.JoinHostPort(ip, fmt.Sprint(port)) }
		dir := t.TempDir()
		writeFile(t, dir, "node.conf", strings.Join([]string{
			"node_id=n", "zone=a", "ip=" + ip, "listen.front=" + address(8221), "listen.ready=" + address(8224), "listen.control=" + address(8229),
			"internal_ports=7600,7615", "platform.addr=" + address(8225), "bounds.grace_s=1", "",
		}, "\n"))
		cmd := exec.Command(binary, "serve", "--settings", filepath.Join(dir, "node.conf"))
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
