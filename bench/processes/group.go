package processes

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// clockTicks is the unit of processor time in /proc on Linux, fixed at 100 per second for programs.
const clockTicks = 100

// ErrRunning is returned when a process did not end in time.
var ErrRunning = errors.New("process is still running")

// Group holds the processes that it started. All of them end with Close, and also when the starting process is killed.
type Group struct {
	dir    string
	starts chan startRequest
	done   chan struct{}

	mu        sync.Mutex
	processes []*Process
}

type startRequest struct {
	command *exec.Cmd
	result  chan error
}

// NewGroup returns an empty group that writes the output of its processes to files in dir.
func NewGroup(dir string) *Group {
	g := &Group{dir: dir, starts: make(chan startRequest), done: make(chan struct{})}
	go g.startLoop()
	return g
}

// startLoop starts processes from one thread that lives as long as the group, because the kernel ends a process with a
// parent-death signal when the thread that started it ends.
func (g *Group) startLoop() {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	for {
		select {
		case request := <-g.starts:
			request.result <- request.command.Start()
		case <-g.done:
			return
		}
	}
}

// Process is a running or ended process.
type Process struct {
	name    string
	log     string
	command *exec.Cmd
	ended   chan struct{}
	err     error
}

// Start starts a program. Its output goes to a file named after it; a restarted process appends.
func (g *Group) Start(name, path string, args ...string) (*Process, error) {
	log := filepath.Join(g.dir, name+".log")
	output, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	defer output.Close()
	command := exec.Command(path, args...)
	command.Stdout, command.Stderr = output, output
	command.Dir = g.dir
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	request := startRequest{command: command, result: make(chan error, 1)}
	select {
	case g.starts <- request:
	case <-g.done:
		return nil, fmt.Errorf("start %s: group is closed", name)
	}
	if err := <-request.result; err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	p := &Process{name: name, log: log, command: command, ended: make(chan struct{})}
	go p.wait()
	g.mu.Lock()
	g.processes = append(g.processes, p)
	g.mu.Unlock()
	return p, nil
}

// Close kills the processes that still run and waits for them.
func (g *Group) Close() error {
	g.mu.Lock()
	processes := g.processes
	g.processes = nil
	g.mu.Unlock()
	var errs []error
	for _, p := range processes {
		errs = append(errs, p.Kill())
	}
	select {
	case <-g.done:
	default:
		close(g.done)
	}
	return errors.Join(errs...)
}

func (p *Process) wait() {
	p.err = p.command.Wait()
	close(p.ended)
}

// Name returns the name that the process was started with.
func (p *Process) Name() string { return p.name }

// PID returns the process id.
func (p *Process) PID() int { return p.command.Process.Pid }

// Ended is closed when the process has ended.
func (p *Process) Ended() <-chan struct{} { return p.ended }

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// Freeze stops the process from being scheduled.
func (p *Process) Freeze() error { return p.signal(syscall.SIGSTOP) }

// Thaw lets a frozen process run again.
func (p *Process) Thaw() error { return p.signal(syscall.SIGCONT) }

// Terminate asks the process to stop.
func (p *Process) Terminate() error { return p.signal(syscall.SIGTERM) }

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() error {
	if !p.Running() {
		return nil
	}
	// The process may end between the check and the signal.
	if err := p.signal(syscall.SIGKILL); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	<-p.ended
	return nil
}

// Stop asks the process to stop and waits. It returns an error if the process fails or does not end in time.
func (p *Process) Stop(ctx context.Context) error {
	if err := p.Terminate(); err != nil {
		return err
	}
	return p.Wait(ctx)
}

// Wait waits for the end of the process and returns its error.
func (p *Process) Wait(ctx context.Context) error {
	select {
	case <-p.ended:
		if p.err != nil {
			return fmt.Errorf("%s: %w", p.name, p.err)
		}
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%s: %w", p.name, ErrRunning)
	}
}

// Log returns the output so far.
func (p *Process) Log() string {
	text, err := os.ReadFile(p.log)
	if err != nil {
		return fmt.Sprintf("read log of %s: %v", p.name, err)
	}
	return string(text)
}

// CPUTime returns the processor time that the running process has used.
func (p *Process) CPUTime() (time.Duration, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.PID()))
	if err != nil {
		return 0, fmt.Errorf("read processor time of %s: %w", p.name, err)
	}
	// The name of the program, in parentheses, may contain blanks; the fields after it are counted from the state.
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	const user, system = 11, 12
	if len(fields) <= system {
		return 0, fmt.Errorf("read processor time of %s: %q", p.name, text)
	}
	var ticks int64
	for _, field := range []string{fields[user], fields[system]} {
		n, err := strconv.ParseInt(field, 10, 64)
		if err != nil {
			return 0, fmt.Errorf("read processor time of %s: %w", p.name, err)
		}
		ticks += n
	}
	return time.Duration(ticks) * time.Second / clockTicks, nil
}

func (p *Process) signal(signal syscall.Signal) error {
	if err := p.command.Process.Signal(signal); err != nil {
		return fmt.Errorf("signal %v to %s: %w", signal, p.name, err)
	}
	return nil
}
