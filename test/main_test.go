// Package test runs the product's own binary in separate processes, injects
// faults between them and checks the whole history against the properties that
// must always hold.
package test

import (
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"testing"

	"lilacvane/internal/command"
	"lilacvane/internal/labcommand"
)

// linked holds the programs' code in the test binary. TestMain builds them
// itself; without this the toolchain would not see that they changed and answer
// from its cache of results.
var linked = [...]any{command.Main, labcommand.Main}

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
	runtime.KeepAlive(linked)
	code := m.Run()
	_ = os.RemoveAll(directory)
	os.Exit(code)
}
