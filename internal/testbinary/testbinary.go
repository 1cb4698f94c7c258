// Package testbinary builds the program for tests that run it as separate processes.
package testbinary

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"testing"

	"github.com/jujubeshed/jujubeshed/internal/cli"
)

// program makes the program's sources a part of the test's binary, so that go test does not reuse
// cached results after they have changed. An import alone is not enough: the linker leaves out
// what nothing refers to.
var program = cli.Run

// Run builds the program, sets path to the built file and runs the tests. It returns the
// exit code for TestMain.
func Run(m *testing.M, path *string) int {
	dir, err := os.MkdirTemp("", "jujubeshed")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	runtime.KeepAlive(program)
	*path = filepath.Join(dir, "jujubeshed")
	build := exec.Command("go", "build", "-o", *path, "github.com/jujubeshed/jujubeshed/cmd/jujubeshed")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build:", err)
		return 1
	}
	return m.Run()
}
