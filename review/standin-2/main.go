// Command standin-2 plays the cases 4 to 8 of the review: it starts nodes of lilacvane as the deploy file says, plays
// clients, runners and the platform's store for them, writes what was sent, answered and run to a record, and exits with 1
// if a rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// limit bounds a case.
const limit = 110 * time.Second

// cases maps the names of cases to what plays them. They return what broke the rule; empty if it held.
var cases = map[string]func(*stage) ([]string, error){
	"homes":  playHomes,
	"keys":   playKeys,
	"path":   playPath,
	"upload": playUpload,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE PROGRAMS RECORD")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

// run plays a case and returns the exit status.
func run(name, programs, recordPath string) int {
	directory, err := os.MkdirTemp("", "review-")
	if err != nil {
		return failed(err)
	}
	defer os.RemoveAll(directory)
	file, err := os.Create(recordPath)
	if err != nil {
		return failed(err)
	}
	defer file.Close()
	programs, err = filepath.Abs(programs)
	if err != nil {
		return failed(err)
	}
	s, err := newStage(directory, programs, &record{file: file, begun: time.Now()})
	if err != nil {
		return failed(err)
	}
	defer s.close()
	s.trouble = os.Getenv("TROUBLE") != "0"
	if logs := os.Getenv("LOGS"); logs != "" {
		s.directory = logs
	}
	type result struct {
		broken []string
		err    error
	}
	played := make(chan result, 1)
	go func() {
		broken, err := cases[name](s)
		played <- result{broken, err}
	}()
	var r result
	select {
	case r = <-played:
	case <-time.After(limit):
		r.err = errors.New("the case took too long")
	}
	if r.err != nil {
		s.record.add("could not run: %v", r.err)
		return failed(r.err)
	}
	for _, broken := range r.broken {
		s.record.add("BROKEN %s", broken)
	}
	if len(r.broken) > 0 {
		fmt.Printf("broken: %d\n", len(r.broken))
		return 1
	}
	s.record.add("the rule held")
	fmt.Println("held")
	return 0
}

func failed(err error) int {
	fmt.Fprintln(os.Stderr, err)
	return 2
}
