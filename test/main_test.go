// Package test runs the project's own programs as separate processes, injects faults
// between them and checks the recorded history against the invariants of the system.
package test

import (
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"strings"
	"testing"

	"lilacvane/internal/command"
	"lilacvane/internal/labcommand"
)

// linked references the programs' code into the test binary. TestMain builds the programs
// itself, so without this the go command would not notice that they changed and would
// return a cached test result.
var linked = [...]any{command.Main, labcommand.Main}

const (
	// raceOptions is the variable that holds the options of the race detector.
	raceOptions = "GORACE"
	// noExitSleep ends programs with the race detector as soon as they have ended their work. By default it sleeps for
	// a second before the process exits, which is not a part of the program.
	noExitSleep = "atexit_sleep_ms=0"
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
	runtime.KeepAlive(linked)
	if err := os.Setenv(raceOptions, strings.TrimSpace(os.Getenv(raceOptions)+" "+noExitSleep)); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(directory)
	os.Exit(code)
}
