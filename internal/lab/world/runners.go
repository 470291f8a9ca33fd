package world

import (
	"fmt"
	"path/filepath"
	"sync"
	"time"

	"lilacvane/internal/lab/faultproxy"
	"lilacvane/internal/lab/runnerstub"
	"lilacvane/internal/lab/storestub"
	"lilacvane/platform/protocol"
)

// Runner is a running emulated runner.
type Runner struct {
	*Process
	ID      string
	Journal string
	Proxy   *faultproxy.Proxy
	address string
	options RunnerOptions
	seed    uint64
	// mutex guards Process against end while the runner is started anew, ended is set once
	// it is not to be.
	mutex sync.Mutex
	ended bool
}

// RunnerOptions describe a runner to start.
type RunnerOptions struct {
	Name    string
	Service string
	Zone    string
	// MemoryMB and Slots are its memory and places; AdapterSlots those for
	// adapters.
	MemoryMB     float64
	Slots        int
	AdapterSlots int
	TokenTime    time.Duration
	// LoadTime is the time of a load from the weight store.
	LoadTime time.Duration
	// ModelMB is the size the runner takes each model to have.
	ModelMB float64
	// CrashBy is a text by which requests end the runner's process as they begin to run, and
	// models as they are loaded; empty for none. Returns says how it is started again.
	CrashBy string
	Returns Return
}

// Return says how a runner whose process ended by itself is started again, at the same
// address and with nothing loaded.
type Return struct {
	// After is the time until then; zero for never.
	After time.Duration
	// Renamed gives it a new identifier each time, as it has after most ends.
	Renamed bool
}

// StartRunner starts a runner, which puts itself on the platform's list.
func (w *World) StartRunner(options RunnerOptions) (*Runner, error) {
	host := w.nextRunner
	w.nextRunner++
	if options.Service == "" {
		options.Service = EngineService
	}
	runner := &Runner{ID: options.Name, options: options, address: w.address(host, portRunner)}
	runner.Journal = filepath.Join(w.Directory, fmt.Sprintf("journal-%s-%d.jsonl", options.Name, host))
	runner.seed = w.Seed + uint64(host)
	if w.Proxied {
		proxy, err := faultproxy.New(w.address(host, portProxy), runner.address)
		if err != nil {
			return nil, err
		}
		runner.Proxy = proxy
	}
	if err := w.runRunner(runner, options.Name); err != nil {
		return nil, err
	}
	w.Runners[options.Name] = runner
	if options.Returns.After > 0 {
		go w.restart(runner)
	}
	return runner, waitFor("http://" + runner.address + protocol.PathReport)
}

// runRunner starts a runner's process under an identifier.
func (w *World) runRunner(runner *Runner, id string) error {
	options := runner.options
	advertise := runner.address
	if runner.Proxy != nil {
		advertise = runner.Proxy.Address()
	}
	process, err := start(w.Directory, "runner-"+options.Name, w.lab(), "runner", "--id", id, "--service", options.Service,
		"--zone", options.Zone, "--listen", runner.address, "--advertise", advertise, "--store", w.address(hostStore, portStore),
		"--memory-mb", fmt.Sprint(options.MemoryMB), "--model-mb", fmt.Sprint(options.ModelMB), "--slots", fmt.Sprint(options.Slots),
		"--adapter-slots", fmt.Sprint(options.AdapterSlots), "--token-time", options.TokenTime.String(), "--load-time", options.LoadTime.String(),
		"--journal", runner.Journal, "--seed", fmt.Sprint(runner.seed), "--crash-by", options.CrashBy)
	runner.Process = process
	return err
}

// restart starts a runner again whenever its process ends by itself.
func (w *World) restart(runner *Runner) {
	id := runner.options.Name
	for incarnation := 2; ; incarnation++ {
		<-runner.current().Done()
		time.Sleep(runner.options.Returns.After)
		if runner.options.Returns.Renamed {
			// The platform's list drops what does not write to it any more.
			_ = w.Unlist(id)
			id = fmt.Sprintf("%s-%d", runner.options.Name, incarnation)
		}
		if !w.startAgain(runner, id) {
			return
		}
	}
}

// startAgain starts a runner's process unless the world ends.
func (w *World) startAgain(runner *Runner, id string) bool {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	return !runner.ended && w.runRunner(runner, id) == nil
}

// current returns the newest process.
func (r *Runner) current() *Process {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.Process
}

// end kills the runner for good.
func (r *Runner) end() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.ended = true
	r.Kill()
}

// CrashRunner ends a runner's process as a crash does: the platform's list is not told, and
// it is started again if its options say so.
func (w *World) CrashRunner(id string) { w.Runners[id].current().Kill() }

// KillRunner kills a runner and lets the platform's list drop it.
func (w *World) KillRunner(id string) error {
	w.Runners[id].Kill()
	return w.Unlist(id)
}

// Unlist drops a runner from the platform's list.
func (w *World) Unlist(id string) error {
	return w.PutRows(protocol.Row{Table: protocol.RunnerTable, Key: id, Deleted: true})
}

// DrainRunner lets a runner say that it leaves.
func (w *World) DrainRunner(id string) error {
	return w.post(w.Runners[id].address, runnerstub.PathDrain, nil)
}

// SetRunnerCold makes a runner cold, or warm again.
func (w *World) SetRunnerCold(id string, cold runnerstub.Cold) error {
	return w.post(w.Runners[id].address, runnerstub.PathCold, cold)
}

// ZoneOf is the zone of a runner, also of one that ended.
func (w *World) ZoneOf(id string) string { return w.Runners[id].options.Zone }

// SetRunnerFaults changes what a runner suffers.
func (w *World) SetRunnerFaults(id string, faults runnerstub.Faults) error {
	return w.post(w.Runners[id].address, runnerstub.PathFaults, faults)
}

// LapseRunners lets the store drop the rows of all runners and write them again.
func (w *World) LapseRunners() error {
	return w.post(w.address(hostStore, portStore), storestub.PathLapse, protocol.RunnerTable)
}
