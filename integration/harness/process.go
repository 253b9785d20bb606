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

// The import paths of the programs that tests start.
const (
	Daemon   = "cicadacross/cmd/cicadacrossd"
	Command  = "cicadacross/cmd/cicadacross"
	Platform = "cicadacross/integration/cmd/platformstandin"
	Upstream = "cicadacross/integration/cmd/upstreamstandin"
)

// build holds the directory of the built binaries. They are built once per test binary, at the first call of Binary.
var build struct {
	once      sync.Once
	directory string
	err       error
}

// Binary returns the path of the binary of a program, given by its import path, and builds all programs at the first
// call. TestMain must call RemoveBinaries at its end. Binary is safe for concurrent use.
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

// RemoveBinaries removes the binaries that Binary has built.
func RemoveBinaries() {
	if build.directory != "" {
		_ = os.RemoveAll(build.directory)
	}
}

// Process is a started process. It is killed at the end of the test. Its methods are safe for concurrent use.
type Process struct {
	t       testing.TB
	name    string
	command *exec.Cmd
	done    chan struct{}
	// outputRead is closed when all output of the process has been read.
	outputRead chan struct{}
	mu         sync.Mutex
	lines      []string
	exit       error
}

// maxKeptLines is the largest number of output lines that are kept per process. When it is reached, the older half is
// dropped.
const maxKeptLines = 20_000

// Start starts the program with the environment variables added to those of the test. The output of the process is
// kept; its last lines are logged when the test fails.
func Start(t testing.TB, name, program string, environment []string, arguments ...string) *Process {
	t.Helper()
	return start(t, name, exec.Command(Binary(t, program), arguments...), environment)
}

// StartWithDescriptorLimit is like Start, for a program that may open at most the given number of descriptors.
func StartWithDescriptorLimit(t testing.TB, name, program string, descriptors int, arguments ...string) *Process {
	t.Helper()
	script := fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, descriptors)
	arguments = append([]string{"-c", script, Binary(t, program)}, arguments...)
	return start(t, name, exec.Command("sh", arguments...), nil)
}

func start(t testing.TB, name string, command *exec.Cmd, environment []string) *Process {
	t.Helper()
	p := &Process{t: t, name: name, command: command}
	p.done, p.outputRead = make(chan struct{}), make(chan struct{})
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

// run waits for the exit of the process, records its error, and ends when all output has been read.
func (p *Process) run(writer *io.PipeWriter) {
	err := p.command.Wait()
	p.mu.Lock()
	p.exit = err
	p.mu.Unlock()
	_ = writer.Close()
	// A test that has waited for the exit must see the last output lines.
	<-p.outputRead
	close(p.done)
}

// loop keeps the output lines of the process until the output ends or a line exceeds longestLine.
func (p *Process) loop(reader io.Reader) {
	defer close(p.outputRead)
	scanner := bufio.NewScanner(reader)
	const longestLine = 1 << 20
	scanner.Buffer(nil, longestLine)
	for scanner.Scan() {
		p.mu.Lock()
		if len(p.lines) == maxKeptLines {
			p.lines = p.lines[maxKeptLines/2:]
		}
		p.lines = append(p.lines, scanner.Text())
		p.mu.Unlock()
	}
}

// Tail returns the last n lines of the output, or all kept lines when there are fewer.
func (p *Process) Tail(n int) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.lines[max(0, len(p.lines)-n):]...)
}

// Logged reports whether a kept output line contains all parts.
func (p *Process) Logged(parts ...string) bool {
	for _, line := range p.Tail(maxKeptLines) {
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

// Kill sends SIGKILL and waits until the process has exited. It also ends a paused process.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// Terminate sends SIGTERM, which starts a graceful shutdown. It does not wait for the exit.
func (p *Process) Terminate() { p.signal(syscall.SIGTERM) }

// Hangup sends SIGHUP to the process.
func (p *Process) Hangup() { p.signal(syscall.SIGHUP) }

// Pause suspends the process with SIGSTOP, as on a frozen host.
func (p *Process) Pause() { p.signal(syscall.SIGSTOP) }

// Resume continues a paused process with SIGCONT.
func (p *Process) Resume() { p.signal(syscall.SIGCONT) }

func (p *Process) signal(s syscall.Signal) {
	select {
	case <-p.done:
	default:
		_ = p.command.Process.Signal(s)
	}
}

// Wait waits until the process has exited, at most for the limit. It reports whether the process exited and with which
// error; err is nil when the exit status is 0 or the process is still running.
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

// PID returns the process ID.
func (p *Process) PID() int { return p.command.Process.Pid }

// Eventually polls the condition until it holds and fails the test when it does not hold within the limit. what
// describes the condition in the error message.
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
