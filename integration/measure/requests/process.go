package main

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// The import paths of the programs that the measurement starts.
const (
	daemonProgram   = "cicadacross/cmd/cicadacrossd"
	platformProgram = "cicadacross/integration/cmd/platformstandin"
	upstreamProgram = "cicadacross/integration/cmd/upstreamstandin"
)

// buildPrograms builds the programs into a new directory, which the caller removes.
func buildPrograms() (string, error) {
	directory, err := os.MkdirTemp("", "cicadacross-requests-")
	if err != nil {
		return "", err
	}
	output, err := exec.Command("go", "build", "-o", directory+"/", daemonProgram, platformProgram,
		upstreamProgram).CombinedOutput()
	if err != nil {
		return directory, fmt.Errorf("go build: %w\n%s", err, output)
	}
	return directory, nil
}

// process is a started program.
type process struct {
	command *exec.Cmd
	ended   bool
}

// startProcess starts the program from the directory. Its output goes to the file NAME.log in the directory logs, or
// is discarded when logs is empty.
func startProcess(directory, logs, name, program string, environment []string, arguments ...string) (*process, error) {
	p := &process{command: exec.Command(filepath.Join(directory, filepath.Base(program)), arguments...)}
	p.command.Env = append(os.Environ(), environment...)
	var output io.Writer
	if logs != "" {
		file, err := os.Create(filepath.Join(logs, name+".log"))
		if err != nil {
			return nil, err
		}
		defer func() { _ = file.Close() }()
		output = file
	}
	p.command.Stdout, p.command.Stderr = output, output
	return p, p.command.Start()
}

// kill sends SIGKILL and waits until the process has exited. Further calls do nothing.
func (p *process) kill() {
	if p.ended {
		return
	}
	p.ended = true
	_ = p.command.Process.Signal(syscall.SIGKILL)
	_ = p.command.Wait()
}

// ticksPerSecond is the number of clock ticks per second in which /proc gives CPU times. Linux fixes it for user
// space.
const ticksPerSecond = 100

// cpuTime returns the user and system CPU time that the process has used.
func (p *process) cpuTime() (time.Duration, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.command.Process.Pid))
	if err != nil {
		return 0, err
	}
	// The program name is in parentheses and may contain spaces. After it, the user time is the 12th field and the system
	// time the 13th.
	const userField, systemField = 11, 12
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	if len(fields) <= systemField {
		return 0, fmt.Errorf("/proc/%d/stat is too short", p.command.Process.Pid)
	}
	total := 0
	for _, field := range []string{fields[userField], fields[systemField]} {
		ticks, err := strconv.Atoi(field)
		if err != nil {
			return 0, err
		}
		total += ticks
	}
	return time.Duration(total) * time.Second / ticksPerSecond, nil
}
