package fleet

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// ProcessKind is the role of a process in a fleet.
type ProcessKind string

// The kinds of processes.
const (
	KindNode    ProcessKind = "node"
	KindStandIn ProcessKind = "stand-in"
	// KindTool is a process that ends by itself.
	KindTool ProcessKind = "tool"
)

// Process is one process of the fleet.
type Process struct {
	Name    string
	Kind    ProcessKind
	Started time.Time

	command *exec.Cmd
	log     *os.File
	done    chan struct{}

	lock  sync.Mutex
	ended time.Time
	err   error
}

// startProcess starts a program and appends its output to a log file in the folder. Processes
// of the same name share the log file.
func startProcess(kind ProcessKind, name, folder, binary string, arguments ...string) (*Process, error) {
	path := filepath.Join(folder, name+".log")
	log, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, errors.Wrap(err, "open the log of a process")
	}
	command := exec.Command(binary, arguments...)
	command.Stdout = log
	command.Stderr = log
	// A process group of its own keeps an interrupt of the terminal from reaching the
	// process before the fleet has recorded how the run ended. Pdeathsig makes the kernel
	// kill the process if the lab itself is killed.
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	process := &Process{
		Name: name, Kind: kind, Started: time.Now(), command: command, log: log,
		done: make(chan struct{}),
	}
	if err := command.Start(); err != nil {
		_ = log.Close()
		return nil, errors.Wrapf(err, "start %s", name)
	}
	go process.wait()
	return process, nil
}

func (process *Process) wait() {
	err := process.command.Wait()
	process.lock.Lock()
	process.ended = time.Now()
	process.err = err
	process.lock.Unlock()
	_ = process.log.Close()
	close(process.done)
}

// Done is closed when the process has ended.
func (process *Process) Done() <-chan struct{} { return process.done }

// Ended returns the time at which the process ended, or false while it runs.
func (process *Process) Ended() (time.Time, bool) {
	process.lock.Lock()
	defer process.lock.Unlock()
	return process.ended, !process.ended.IsZero()
}

// Err returns how the process ended: nil for success or while it runs.
func (process *Process) Err() error {
	process.lock.Lock()
	defer process.lock.Unlock()
	return process.err
}

// signal sends a signal unless the process has been waited for, so that the signal never
// reaches an unrelated process that got the same process ID.
func (process *Process) signal(signal os.Signal) {
	if _, ended := process.Ended(); !ended {
		_ = process.command.Process.Signal(signal)
	}
}

// Freeze suspends the process with SIGSTOP, as on a suspended machine.
func (process *Process) Freeze() { process.signal(syscall.SIGSTOP) }

// Thaw resumes a frozen process.
func (process *Process) Thaw() { process.signal(syscall.SIGCONT) }

// Kill sends SIGKILL and waits until the process has ended.
func (process *Process) Kill() {
	process.signal(syscall.SIGKILL)
	<-process.done
}

// Terminate sends SIGTERM, resumes the process if it is frozen, and kills it if it has
// not exited within the timeout. It reports whether the process exited without a kill.
func (process *Process) Terminate(timeout time.Duration) bool {
	process.signal(syscall.SIGTERM)
	process.Thaw()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-process.done:
		return true
	case <-timer.C:
		process.Kill()
		return false
	}
}
