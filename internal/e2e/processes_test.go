package e2e

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/testbinary"
)

const (
	startTimeout = 20 * time.Second
	sharedKey    = "test-key-of-16-bytes"
)

var binary string

func TestMain(m *testing.M) { os.Exit(testbinary.Run(m, &binary)) }

// process is a process of the program.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
}

type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *syncBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *syncBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// start runs the program until the test ends. Its log is printed if the test failed.
func start(t testing.TB, name string, args ...string) *process {
	t.Helper()
	out := &syncBuffer{}
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

// pause suspends the process (SIGSTOP); resume continues it (SIGCONT).
func (p *process) pause(t testing.TB)  { p.signal(t, syscall.SIGSTOP) }
func (p *process) resume(t testing.TB) { p.signal(t, syscall.SIGCONT) }

func (p *process) signal(t testing.TB, sig syscall.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(sig); err != nil {
		t.Fatalf("%s: %v", p.name, err)
	}
}

// alive reports whether the process has not ended yet.
func (p *process) alive() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// terminate sends SIGTERM and waits until the process has ended.
func (p *process) terminate() {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	<-p.done
}

// runCommand runs a command of the program and returns its standard output. It fails the test
// if the exit code is not wantCode.
func runCommand(t testing.TB, wantCode int, args ...string) string {
	t.Helper()
	code, out, errs := tryCommand(args...)
	if code != wantCode {
		t.Fatalf("%v exited with %d, want %d:\n%s%s", args, code, wantCode, out, errs)
	}
	return string(out)
}

// tryCommand runs a command of the program for at most startTimeout. code is -1 if the
// command could not be started.
func tryCommand(args ...string) (code int, stdout, stderr []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	var out, errs bytes.Buffer
	cmd := exec.CommandContext(ctx, binary, args...)
	cmd.Stdout, cmd.Stderr = &out, &errs
	if err := cmd.Run(); err != nil && cmd.ProcessState == nil {
		return -1, nil, []byte(err.Error())
	}
	return cmd.ProcessState.ExitCode(), out.Bytes(), errs.Bytes()
}

// pollInterval is the time between two checks of a condition.
const pollInterval = 50 * time.Millisecond

// sleep waits for pollInterval or until ctx is done.
func sleep(ctx context.Context) {
	timer := time.NewTimer(pollInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// eventually calls f until it returns nil, and fails the test after startTimeout.
func eventually(t testing.TB, what string, f func() error) {
	t.Helper()
	var err error
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if err = f(); err == nil {
			return
		}
	}
	t.Fatalf("%s: %v", what, err)
}

func checkReady(addr string) func() error {
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
