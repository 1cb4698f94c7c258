package e2e

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	// The processes are built from it: go test runs anew where it has changed.
	_ "github.com/jujubeshed/jujubeshed/internal/cli"
)

const (
	startTimeout = 20 * time.Second
	sharedKey    = "test-key-of-16-bytes"
)

var binary string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "e2e")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binary = filepath.Join(dir, "jujubeshed")
	build := exec.Command("go", "build", "-o", binary, "../../cmd/jujubeshed")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build:", err)
		return 1
	}
	return m.Run()
}

// process is one running process of the program.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
}

type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// start runs the program until the test ends; its log is printed where the test failed.
func start(t testing.TB, name string, args ...string) *process {
	t.Helper()
	out := &lockedBuffer{}
	cmd := exec.Command(binary, args...)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	p := &process{name: name, cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.done)
	}()
	t.Cleanup(func() {
		p.kill()
		if t.Failed() {
			t.Logf("log of %s:\n%s", name, out)
		}
	})
	return p
}

func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// terminate asks the process to stop and returns when it has.
func (p *process) terminate() {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	<-p.done
}

const addressPort = 20080

var addressCount atomic.Uint32

// freeAddress returns an address of the loopback network that no other test uses:
// each process of a run has an IP number of its own.
func freeAddress(t testing.TB) string {
	t.Helper()
	pid := uint32(os.Getpid())
	n := addressCount.Add(1)
	return fmt.Sprintf("127.%d.%d.%d:%d", 64+pid>>8%64, pid%256, 1+n%250, addressPort+n/250)
}

// runCommand runs a command of the program to its end and returns its output.
func runCommand(t testing.TB, wantCode int, args ...string) string {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	out, err := exec.CommandContext(ctx, binary, args...).CombinedOutput()
	code := 0
	if err != nil {
		code = -1
		var exit *exec.ExitError
		if errors.As(err, &exit) {
			code = exit.ExitCode()
		}
	}
	if code != wantCode {
		t.Fatalf("%v exited with %d, want %d:\n%s", args, code, wantCode, out)
	}
	return string(out)
}

// eventually waits until f returns nil.
func eventually(t testing.TB, what string, f func() error) {
	t.Helper()
	var err error
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if err = f(); err == nil {
			return
		}
	}
	t.Fatalf("%s: %v", what, err)
}

func ready(addr string) func() error {
	return func() error {
		resp, err := http.Get("http://" + addr + "/readyz")
		if err != nil {
			return err
		}
		defer func() { _ = resp.Body.Close() }()
		if resp.StatusCode != http.StatusNoContent {
			return fmt.Errorf("status %d", resp.StatusCode)
		}
		return nil
	}
}
