package world

import (
	"path/filepath"
	"strconv"
	"time"
)

// Hosts of processes that run many hollow nodes or engines.
const (
	hostHollowNodes   = 5
	hostHollowEngines = 60
	maximumHollow     = 50
)

// StartHollowNodes starts a process that runs count nodes spread over zones and
// regions.
func (w *World) StartHollowNodes(number, count, zones, regions int) (*Process, error) {
	name := "hollow-" + strconv.Itoa(number)
	arguments := []string{
		"hollow", "--name", name, "--count", strconv.Itoa(count), "--zones", strconv.Itoa(zones), "--regions", strconv.Itoa(regions),
		"--ip", w.ip(hostHollowNodes + number%maximumHollow), "--table", w.TableAddress(), "--machines", w.machinesAddress(),
	}
	for _, seed := range w.seeds {
		arguments = append(arguments, "--seed", seed)
	}
	return start(w.Directory, name, w.lab(), arguments...)
}

// StartHollowEngines starts a process that runs count engines spread over zones
// and regions and puts them on the machine list.
func (w *World) StartHollowEngines(number, count, zones, regions int, memoryMiB int64) (*Process, error) {
	name := "engines-" + strconv.Itoa(number)
	return start(w.Directory, name, w.lab(),
		"engines", "--name", name, "--count", strconv.Itoa(count), "--zones", strconv.Itoa(zones), "--regions", strconv.Itoa(regions),
		"--ip", w.ip(hostHollowEngines+number%maximumHollow), "--weights", w.address(1, portWeights), "--machines", w.address(1, portMachines),
		"--memory-mib", strconv.FormatInt(memoryMiB, 10), "--token-time", (20 * time.Millisecond).String())
}

func (w *World) ip(host int) string { return w.network + "." + strconv.Itoa(host) }

// LogPath is where a process logs.
func (w *World) LogPath(name string) string { return filepath.Join(w.Directory, name+".log") }
