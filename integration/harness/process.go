// Package harness starts the real binaries as separate processes for the integration tests.
package harness

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The programs that tests start, with their import paths.
const (
	Daemon   = "cicadacross/cmd/cicadacrossd"
	Command  = "cicadacross/cmd/cicadacross"
	Platform = "cicadacross/integration/cmd/platformstandin"
	Upstream = "cicadacross/integration/cmd/upstreamstandin"
)

// build holds the directory with the binaries, which are built once for each test binary.
var build struct {
	once      sync.Once
	directory string
	err       error
}

// Binary returns the path of a program's binary. RemoveBinaries must be called at the end of TestMain.
func Binary(t testing.TB, program string) string {
	t.Helper()
	build.once.Do(func() {
		build.directory, build.err = os.MkdirTemp("", "cicadacross-integration-")
		if build.err != nil {
			return
		}
		command := exec.Command("go", "build", "-o", build.directory+"/", Daemon, Command, Platform, Upstream)
		output, err := command.CombinedOutput()
		if err != nil {
			build.err = fmt.Errorf("go build: %w\n%s", err, output)
		}
	})
	assert.NilError(t, build.err)
	return filepath.Join(build.directory, filepath.Base(program))
}

// RemoveBinaries removes what Binary built.
func RemoveBinaries() {
	if build.directory != "" {
		_ = os.RemoveAll(build.directory)
	}
}

// Process is one started process. It is ended at the end of the test. Methods are safe for concurrent use.
type Process struct {
	name    string
	command *exec.Cmd
	done    chan struct{}
	// read is closed when all output is kept.
	read  chan struct{}
	mu    sync.Mutex
	lines []string
	exit  error
}

// keptLines bounds the log lines that are kept of one process.
const keptLines = 20_000

// Start starts the program. Its output is kept and printed when the test fails.
func Start(t testing.TB, name, program string, environment []string, arguments ...string) *Process {
	t.Helper()
	p := &Process{name: name, command: exec.Command(Binary(t, program), arguments...)}
	p.done, p.read = make(chan struct{}), make(chan struct{})
	p.command.Env = append(os.Environ(), environment...)
	reader, writer := io.Pipe()
	p.command.Stdout = writer
	p.command.Stdout, p.command.Stderr = writer, writer
	assert.NilError(t, p.command.Start())
	go p.loop(reader)
	go p.run(writer)
	t.Cleanup(func() {
		p.Kill()
		if t.Failed() {
			const tail = 40
			t.Logf("last lines of %s:\n%s", name, strings.Join(p.Tail(tail), "\n"))
		}
	})
	return p
}

func (p *Process) run(writer *io.PipeWriter) {
	err := p.command.Wait()
	p.mu.Lock()
	p.exit = err
	p.mu.Unlock()
	_ = writer.Close()
	// A test that has waited for the end must find the last lines.
	<-p.read
	close(p.done)
}

func (p *Process) loop(reader io.Reader) {
	defer close(p.read)
	scanner := bufio.NewScanner(reader)
	const longestLine = 1 << 20
	scanner.Buffer(nil, longestLine)
	for scanner.Scan() {
		p.mu.Lock()
		if len(p.lines) == keptLines {
			p.lines = p.lines[keptLines/2:]
		}
		p.lines = append(p.lines, scanner.Text())
		p.mu.Unlock()
	}
}

// Tail returns the last lines of the output.
func (p *Process) Tail(n int) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.lines[max(0, len(p.lines)-n):]...)
}

// Logged reports whether an output line contains all the parts.
func (p *Process) Logged(parts ...string) bool {
	for _, line := range p.Tail(keptLines) {
		if containsAll(line, parts) {
			return true
		}
	}
	return false
}

func containsAll(line string, parts []string) bool {
	for _, part := range parts {
		if !strings.Contains(line, part) {
			return false
		}
	}
	return true
}

// Kill ends the process at once and waits for its end. A paused process is ended too.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// Terminate asks the process to shut down; it doesn't wait.
func (p *Process) Terminate() { p.signal(syscall.SIGTERM) }

// Hangup sends SIGHUP.
func (p *Process) Hangup() { p.signal(syscall.SIGHUP) }

// Pause stops the process as a frozen host would.
func (p *Process) Pause() { p.signal(syscall.SIGSTOP) }

// Resume continues a paused process.
func (p *Process) Resume() { p.signal(syscall.SIGCONT) }

func (p *Process) signal(s syscall.Signal) {
	select {
	case <-p.done:
	default:
		_ = p.command.Process.Signal(s)
	}
}

// Wait waits for the end of the process, at most for the limit, and reports whether it ended and with which error.
func (p *Process) Wait(limit time.Duration) (ended bool, err error) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-p.done:
		p.mu.Lock()
		defer p.mu.Unlock()
		return true, p.exit
	case <-timer.C:
		return false, nil
	}
}

// PID returns the process id.
func (p *Process) PID() int { return p.command.Process.Pid }

// Eventually waits until the condition holds, at most for the limit, and fails the test otherwise.
func Eventually(t testing.TB, limit time.Duration, what string, condition func() bool) {
	t.Helper()
	const interval = 20 * time.Millisecond
	deadline := time.Now().Add(limit)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("not within %s: %s", limit, what)
		}
		time.Sleep(interval)
	}
}
