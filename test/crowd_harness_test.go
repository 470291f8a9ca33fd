package test

import (
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
	"unsafe"

	"gotest.tools/v3/assert"

	"lilacvane/internal/lab/journal"
	"lilacvane/internal/lab/world"
	"lilacvane/internal/settings"
)

const (
	// crowdMachineMB is the memory of the machine of a node in these tests, in megabytes, as its settings
	// name it; crowdMemory is that in bytes, which its process must not pass.
	crowdMachineMB = 144
	crowdMemory    = memoryFactor * crowdMachineMB * 1_000_000
	// crowdSpareFiles is by how many the open descriptors of a node may differ before and after a crowd, for
	// connections to runners, peers and the store that come and go.
	crowdSpareFiles = 24
	// crowdSampling is the time between two samples of a node's memory.
	crowdSampling = 20 * time.Millisecond
)

// testCrowd lets a crowd send, and stay. The node stays within the memory of its machine and serves an ordinary
// request meanwhile and after they have left. It gives back their descriptors, and none of those that it refused
// has run.
func testCrowd(t *testing.T, kind crowdKind) {
	t.Helper()
	w, node := startCrowdWorld(t, kind.files)
	if kind.files > 0 {
		limitFiles(t, node, kind.files)
	}
	files := openFiles(t, node)
	memory := watchMemory(node)
	c := startCrowd(node, kind)
	waitUntil(t, "the crowd has sent", func() error {
		if settled := c.settled.Load(); settled < int64(kind.members) {
			return fmt.Errorf("%d of %d", settled, kind.members)
		}
		return nil
	})
	awaitOrdinary(t, node)
	c.close()
	awaitOrdinary(t, node)
	resident := residentMemory(t, node)
	peak := max(memory.stop(), resident)
	t.Logf("%d MB at most, resident %d MB; members by status of their answer: %v", peak/1_000_000, resident/1_000_000, c.answers())
	assert.Check(t, !node.Current().Ended())
	assert.Check(t, peak <= crowdMemory, "%d bytes", peak)
	waitUntil(t, "descriptors are given back", func() error {
		if open := openFiles(t, node); open > files+crowdSpareFiles {
			return fmt.Errorf("%d are open, %d were", open, files)
		}
		return nil
	})
	checkRefusedNotRun(t, w, c)
}

// startCrowdWorld starts a node on a machine with little memory, and runners. files is the number of descriptors that its
// settings name.
func startCrowdWorld(t *testing.T, files int) (*world.World, *world.Node) {
	t.Helper()
	w := newWorld(t, func(options *world.Options) {
		options.Proxied = false
		options.Adjust = func(s *settings.Settings) {
			useShortIntervals(s)
			s.Log.Level = settings.Default().Log.Level
			s.Capacity.MemoryMB, s.Capacity.Files = crowdMachineMB, files
		}
	})
	startMailers(t, w, 1)
	startRunners(t, w, 1)
	node := startNodes(t, w, 1)[0]
	// The requests of some crowds wait for this model.
	stuckModel(t, w, node, "alpha")
	waitKnown(t, "alpha", node)
	awaitOrdinary(t, node)
	return w, node
}

// awaitOrdinary sends small requests until one is served: a refused client returns.
func awaitOrdinary(t *testing.T, node *world.Node) {
	t.Helper()
	waitUntil(t, "an ordinary request is served", func() error {
		got := send(t.Context(), node, clientRequest{Method: http.MethodPost, Path: "/read/ordinary", Body: []byte(strings.Repeat("o", 2000)), Deadline: 3 * time.Second})
		if got.Status != http.StatusOK || !got.Complete {
			return fmt.Errorf("%+v", got)
		}
		return nil
	})
}

// openFiles returns how many descriptors the process of a node has open.
func openFiles(t *testing.T, node *world.Node) int {
	t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", node.Current().ID()))
	assert.NilError(t, err)
	return len(entries)
}

// limitFiles sets how many descriptors the process of a node may have open.
func limitFiles(t *testing.T, node *world.Node, files int) {
	t.Helper()
	limit := syscall.Rlimit{Cur: uint64(files), Max: uint64(files)}
	_, _, errno := syscall.RawSyscall6(syscall.SYS_PRLIMIT64, uintptr(node.Current().ID()), syscall.RLIMIT_NOFILE, uintptr(unsafe.Pointer(&limit)), 0, 0, 0)
	assert.Equal(t, errno, syscall.Errno(0))
}

// answers counts the members of a crowd by the status of their answer.
func (c *crowd) answers() map[int]int {
	counts := make(map[int]int)
	for _, member := range c.members {
		status, _ := member.answer()
		counts[status]++
	}
	return counts
}

// refusals are the statuses that promise that a request was not run and will not be.
var refusals = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// checkRefusedNotRun checks that no request ran whose client was refused, and that each 503 says when to return.
func checkRefusedNotRun(t *testing.T, w *world.World, c *crowd) {
	t.Helper()
	records, err := w.Journals()
	assert.NilError(t, err)
	ran := make(map[string]bool)
	for _, record := range records {
		if record.Event == journal.EventRun {
			ran[record.Request] = true
		}
	}
	for _, member := range c.members {
		status, retryAfter := member.answer()
		assert.Check(t, !slices.Contains(refusals, status) || !ran[member.id], "%s ran and got %d", member.id, status)
		assert.Check(t, status != http.StatusServiceUnavailable || retryAfter != "", "%s got 503 without a time to return", member.id)
	}
}

// memoryWatch samples the memory that a node takes: that of its process, and the bytes that have arrived for it and
// are not read yet.
type memoryWatch struct {
	node    *world.Node
	done    chan struct{}
	running sync.WaitGroup
	peak    int
}

// watchMemory starts to watch a node.
func watchMemory(node *world.Node) *memoryWatch {
	m := &memoryWatch{node: node, done: make(chan struct{})}
	m.running.Go(func() {
		ticker := time.NewTicker(crowdSampling)
		defer ticker.Stop()
		for {
			select {
			case <-m.done:
				return
			case <-ticker.C:
				m.peak = max(m.peak, processMemory(node.Current().ID())+unreadBytes(node))
			}
		}
	})
	return m
}

// stop ends the samples and returns the highest, in bytes.
func (m *memoryWatch) stop() int {
	close(m.done)
	m.running.Wait()
	return m.peak
}

// processMemory returns the resident memory of a process, in bytes; zero if it has ended.
func processMemory(id int) int {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", id))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(content))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.Atoi(fields[1])
	if err != nil {
		return 0
	}
	return pages * os.Getpagesize()
}

// unreadBytes returns how many bytes wait in the sockets of a node's address to be read.
func unreadBytes(node *world.Node) int {
	host, _, err := net.SplitHostPort(node.Clients)
	if err != nil {
		return 0
	}
	address := net.ParseIP(host).To4()
	// The table has addresses as the bytes of numbers in the machine's order, which is little-endian on all machines
	// that these tests run on.
	slices.Reverse(address)
	local := strings.ToUpper(hex.EncodeToString(address)) + ":"
	content, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	total := 0
	for line := range strings.Lines(string(content)) {
		fields := strings.Fields(line)
		// The queue of a listening socket counts connections.
		if len(fields) < 5 || !strings.HasPrefix(fields[1], local) || fields[3] == socketListens {
			continue
		}
		_, unread, _ := strings.Cut(fields[4], ":")
		if bytes, err := strconv.ParseInt(unread, 16, 64); err == nil {
			total += int(bytes)
		}
	}
	return total
}

// socketListens is the state of a listening socket in the kernel's table.
const socketListens = "0A"
