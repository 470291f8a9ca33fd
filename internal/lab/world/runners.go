package world

import (
	"encoding/json"
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
	// mutex guards Process while the runner is restarted. ended is set once it must not be
	// restarted any more; faults are those of its next process.
	mutex  sync.Mutex
	ended  bool
	faults runnerstub.Faults
	// startFaults are those that its process started with.
	startFaults runnerstub.Faults
}

// RunnerOptions are the options of a runner to start.
type RunnerOptions struct {
	Name    string
	Service string
	Zone    string
	// MemoryMB is its memory for weights, Slots the number of its concurrent requests and
	// AdapterSlots the maximum number of its adapters.
	MemoryMB     float64
	Slots        int
	AdapterSlots int
	TokenTime    time.Duration
	// LoadTime is the duration of a load from the weight store.
	LoadTime time.Duration
	// ModelMB is the size that the runner assumes for each model.
	ModelMB float64
	// CrashBy is a text that crashes the runner's process: in a request when it is run, in the
	// name of a model when it is loaded. Empty for none. Restart determines whether and how
	// the process is restarted.
	CrashBy string
	Restart RestartPolicy
	// CrashByParts are parts of prompts, by commas, that crash the process as it begins to write an
	// answer; empty for none.
	CrashByParts string
	// Build is the version of its software; empty for none.
	Build string
}

// RestartPolicy determines how a runner whose process has ended, for example by a crash, is
// restarted, at the same address and with nothing loaded.
type RestartPolicy struct {
	// After is the delay until the restart; zero for no restart.
	After time.Duration
	// Renamed gives it a new identifier each time, as runners of the platform have after most
	// restarts.
	Renamed bool
}

// StartRunner starts a runner, which adds itself to the platform's list, and waits until
// it responds.
func (w *World) StartRunner(options RunnerOptions) (*Runner, error) {
	host := w.nextRunner
	w.nextRunner++
	if options.Service == "" {
		options.Service = EngineService
	}
	runner := &Runner{ID: options.Name, options: options, address: w.address(host, portRunner)}
	runner.Journal = filepath.Join(w.Directory, fmt.Sprintf("journal-%s-%d.jsonl", options.Name, host))
	runner.seed = w.Seed + uint64(host)
	if w.Proxied && !w.DirectRunners {
		proxy, err := faultproxy.New(w.address(host, portProxy), runner.address)
		if err != nil {
			return nil, err
		}
		runner.Proxy = proxy
	}
	if err := w.startRunnerProcess(runner, options.Name); err != nil {
		return nil, err
	}
	w.Runners[options.Name] = runner
	if options.Restart.After > 0 {
		go w.restartOnExit(runner)
	}
	return runner, waitForURL("http://" + runner.address + protocol.PathReport)
}

// startRunnerProcess starts a runner's process with an identifier and the runner's faults.
func (w *World) startRunnerProcess(runner *Runner, id string) error {
	options := runner.options
	faults, err := json.Marshal(runner.faults)
	if err != nil {
		return err
	}
	advertise := runner.address
	if runner.Proxy != nil {
		advertise = runner.Proxy.Address()
	}
	process, err := start(w.Directory, "runner-"+options.Name, w.labProgram(), "runner", "--id", id, "--service", options.Service,
		"--zone", options.Zone, "--listen", runner.address, "--advertise", advertise, "--store", w.address(hostStore, portStore),
		"--memory-mb", fmt.Sprint(options.MemoryMB), "--model-mb", fmt.Sprint(options.ModelMB), "--slots", fmt.Sprint(options.Slots),
		"--adapter-slots", fmt.Sprint(options.AdapterSlots), "--token-time", options.TokenTime.String(), "--load-time", options.LoadTime.String(),
		"--journal", runner.Journal, "--seed", fmt.Sprint(runner.seed), "--crash-by", options.CrashBy, "--crash-by-parts", options.CrashByParts, "--build", options.Build, "--faults", string(faults))
	runner.Process, runner.startFaults = process, runner.faults
	return err
}

// restartOnExit restarts a runner whenever its process ends, until killForGood is called.
func (w *World) restartOnExit(runner *Runner) {
	id := runner.options.Name
	for incarnation := 2; ; incarnation++ {
		<-runner.currentProcess().Done()
		time.Sleep(runner.options.Restart.After)
		if runner.options.Restart.Renamed {
			// The platform's list drops runners that no longer write to it.
			_ = w.Unlist(id)
			id = fmt.Sprintf("%s-%d", runner.options.Name, incarnation)
		}
		if !w.restartUnlessEnded(runner, id) {
			return
		}
		w.restoreFaults(runner)
	}
}

// restoreFaults gives a runner's new process the faults that were set while it started.
func (w *World) restoreFaults(runner *Runner) {
	if waitUntilServing(runner.currentProcess().Done(), "http://"+runner.address+protocol.PathReport) != nil {
		return
	}
	runner.mutex.Lock()
	faults, began := runner.faults, runner.startFaults
	runner.mutex.Unlock()
	if faults == began {
		return
	}
	// A process that has ended again gets them with its next start.
	_ = w.post(runner.address, runnerstub.PathFaults, faults)
}

// restartUnlessEnded starts a runner's process again unless the runner was killed for
// good. It returns whether it was started.
func (w *World) restartUnlessEnded(runner *Runner, id string) bool {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	return !runner.ended && w.startRunnerProcess(runner, id) == nil
}

// currentProcess returns the runner's newest process.
func (r *Runner) currentProcess() *Process {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.Process
}

// killForGood kills the runner and keeps it from being restarted.
func (r *Runner) killForGood() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.ended = true
	r.Kill()
}

// CrashRunner kills a runner's process as a crash would: the platform's list is not updated,
// and the runner is restarted if its RestartPolicy has a delay.
func (w *World) CrashRunner(id string) { w.Runners[id].currentProcess().Kill() }

// KillRunner kills a runner and removes it from the platform's list.
func (w *World) KillRunner(id string) error {
	w.Runners[id].Kill()
	return w.Unlist(id)
}

// Unlist removes a runner from the platform's list.
func (w *World) Unlist(id string) error {
	return w.PutRows(protocol.Row{Table: protocol.RunnerTable, Key: id, Deleted: true})
}

// DrainRunner makes a runner publish that it is draining.
func (w *World) DrainRunner(id string) error {
	return w.post(w.Runners[id].address, runnerstub.PathDrain, nil)
}

// SetRunnerCold makes a runner cold, or warm again.
func (w *World) SetRunnerCold(id string, cold runnerstub.Cold) error {
	return w.post(w.Runners[id].address, runnerstub.PathCold, cold)
}

// ZoneOf returns the zone of a runner, also of one that has ended.
func (w *World) ZoneOf(id string) string { return w.Runners[id].options.Zone }

// SetRunnerFaults replaces the faults injected into a runner, also for its later processes.
func (w *World) SetRunnerFaults(id string, faults runnerstub.Faults) error {
	runner := w.Runners[id]
	runner.mutex.Lock()
	runner.faults = faults
	runner.mutex.Unlock()
	return w.post(w.Runners[id].address, runnerstub.PathFaults, faults)
}

// LapseRunners makes the store remove the rows of all runners and write them again.
func (w *World) LapseRunners() error {
	return w.post(w.address(hostStore, portStore), storestub.PathLapse, protocol.RunnerTable)
}
