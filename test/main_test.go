// Package test runs the product's own binary in separate processes, injects
// faults between them and checks the whole history against the properties that
// must always hold.
package test

import (
	"fmt"
	"os"
	"os/exec"
	"testing"

	// The programs under test are built by TestMain; these imports make the
	// toolchain run the tests again whenever the programs change.
	_ "lilacvane/internal/command"
	_ "lilacvane/internal/labcommand"
)

// programs is the directory of the binaries under test.
var programs string

func TestMain(m *testing.M) {
	directory, err := os.MkdirTemp("", "lilacvane-test-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	build := exec.Command("go", "build", "-o", directory+"/", "lilacvane/cmd/...")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, output)
		os.Exit(1)
	}
	programs = directory
	code := m.Run()
	_ = os.RemoveAll(directory)
	os.Exit(code)
}
