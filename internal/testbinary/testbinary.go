// Package testbinary builds the program for tests that run it as separate processes.
package testbinary

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	// Makes the program's sources a dependency, so that go test does not reuse cached
	// results after they have changed.
	_ "github.com/jujubeshed/jujubeshed/internal/cli"
)

// Run builds the program, sets path to the built file and runs the tests. It returns the
// exit code for TestMain.
func Run(m *testing.M, path *string) int {
	dir, err := os.MkdirTemp("", "jujubeshed")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	*path = filepath.Join(dir, "jujubeshed")
	build := exec.Command("go", "build", "-o", *path, "github.com/jujubeshed/jujubeshed/cmd/jujubeshed")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build:", err)
		return 1
	}
	return m.Run()
}
