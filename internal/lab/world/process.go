// Package world starts a whole system as separate processes on loopback: the emulated
// store, emulated runners and nodes, each on its own IP address.
package world

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Process is a process that was started.
type Process struct {
	Name    string
	command *exec.Cmd
	log     *os.File
	done    chan struct{}
	mutex   sync.Mutex
	err     error
}

// start starts a program with its output appended to the file name.log in directory.
func start(directory, name, program string, arguments ...string) (*Process, error) {
	return startWith(nil, directory, name, program, arguments...)
}

// startWith is start with additional environment variables.
func startWith(environment []string, directory, name, program string, arguments ...string) (*Process, error) {
	log, err := os.OpenFile(filepath.Join(directory, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	command := exec.Command(program, arguments...)
	command.Stdout = log
	command.Stderr = log
	command.Env = append(os.Environ(), environment...)
	// The process gets its own process group and is killed when its parent ends, so that
	// none is left behind when a test is killed.
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		_ = log.Close()
		return nil, err
	}
	p := &Process{Name: name, command: command, log: log, done: make(chan struct{})}
	go p.wait()
	return p, nil
}

func (p *Process) wait() {
	err := p.command.Wait()
	p.mutex.Lock()
	p.err = err
	p.mutex.Unlock()
	_ = p.log.Close()
	close(p.done)
}

// Kill kills the process, also a frozen one, and waits for its end.
func (p *Process) Kill() {
	_ = p.command.Process.Signal(syscall.SIGCONT)
	_ = p.command.Process.Kill()
	<-p.done
}

// Freeze suspends the process.
func (p *Process) Freeze() error { return p.command.Process.Signal(syscall.SIGSTOP) }

// Thaw resumes a frozen process.
func (p *Process) Thaw() error { return p.command.Process.Signal(syscall.SIGCONT) }

// Terminate asks the process to shut down gracefully.
func (p *Process) Terminate() error { return p.command.Process.Signal(syscall.SIGTERM) }

// Interrupt asks the process to shut down as a terminal does.
func (p *Process) Interrupt() error { return p.command.Process.Signal(syscall.SIGINT) }

// Reload asks the process to read its settings again.
func (p *Process) Reload() error { return p.command.Process.Signal(syscall.SIGHUP) }

// Done returns a channel that is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Ended returns whether the process has ended.
func (p *Process) Ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// EndedBy returns the signal that terminated the process; zero for none.
func (p *Process) EndedBy() syscall.Signal {
	if !p.Ended() {
		return 0
	}
	status, ok := p.command.ProcessState.Sys().(syscall.WaitStatus)
	if !ok || !status.Signaled() {
		return 0
	}
	return status.Signal()
}

// Wait waits until the process ends and returns its error, or an error after timeout.
func (p *Process) Wait(timeout time.Duration) error {
	select {
	case <-p.done:
		p.mutex.Lock()
		defer p.mutex.Unlock()
		return p.err
	case <-time.After(timeout):
		return errors.New(p.Name + " has not ended")
	}
}

// ID returns the process ID.
func (p *Process) ID() int { return p.command.Process.Pid }

// claimNetwork picks a loopback network that no other World uses, in this process or
// another. The network is reserved until the listener that it returns is closed.
func claimNetwork() (string, net.Listener, error) {
	const octetRange, minOctet, attempts = 250, 2, 200
	var lastErr error
	for range attempts {
		network := fmt.Sprintf("127.%d.%d", minOctet+rand.IntN(octetRange), minOctet+rand.IntN(octetRange))
		networkClaim, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", network, portClaim))
		if err == nil {
			return network, networkClaim, nil
		}
		lastErr = err
	}
	return "", nil, lastErr
}
