// Command standin plays the cases of the review that are scripts. It starts the project's own program as
// separate processes on loopback, and plays their clients, runners and platform itself.
package main

import (
	"fmt"
	"os"
	"path/filepath"

	"lilacvane/platform/protocol"
)

// The services of the deployment, and the host of its routes.
const (
	engineService = "redactor"
	mailService   = "buzon"
	routeHost     = "ficu95.example"
)

// Results of a case, which are exit codes.
const (
	held   = 0
	broken = 1
	notRan = 2
)

// cases are the cases by name. Each returns whether its rule was broken.
var cases = map[string]func(w *world) (bool, error){
	"order":  truncatedStream,
	"spot":   cutAnswer,
	"denied": deniedRequests,
}

func main() { os.Exit(play()) }

// play plays the case that the first argument names, and writes the record into the folder that the second
// one names.
func play() int {
	if len(os.Args) == 3 && os.Args[1] == "runner" {
		return runRunner(os.Args[2])
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		return notRan
	}
	record, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRan
	}
	w, err := newWorld(record)
	if err != nil {
		record.add("not run: %v", err)
		return notRan
	}
	defer w.close()
	bad, err := cases[os.Args[1]](w)
	switch {
	case err != nil:
		record.add("not run: %v", err)
		return notRan
	case bad:
		record.add("the rule was broken")
		return broken
	default:
		record.add("the rule was held")
		return held
	}
}

// engine describes the runners of engineService with some models.
func engine(models ...string) *protocol.Engine {
	e := &protocol.Engine{Slots: 64, KVCapacity: 244881, SizeMB: 200000, HostMemMB: 140000, DiskMB: 400000, LoRASlots: 8, LoadsPerS: 4}
	for _, name := range models {
		e.Models = append(e.Models, protocol.Model{Name: name, SizeMB: 42700, LoadS: 1.3, WarmS: 0.44, DiskLoadS: 0.57})
	}
	return e
}

// limits bounds what clients may send, as in the sites of the users.
var limits = protocol.Limits{MaxHeaderBytes: 32768, MaxBodyBytes: 4194304, HeaderTimeoutMs: 5000, IdleTimeoutMs: 30000}
