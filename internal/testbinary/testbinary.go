// Package testbinary builds the program for tests that run it as separate processes.
package testbinary

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	// The program is built from it: go test runs anew where it has changed.
	_ "github.com/jujubeshed/jujubeshed/internal/cli"
)

// Run builds the program, sets path to it, and runs the tests. It returns the exit code
// for TestMain.
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
