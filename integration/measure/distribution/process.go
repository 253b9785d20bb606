package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"sync"
	"time"
)

// reportTimeout is the longest wait for the figures of a daemon. It allows for a busy machine.
const reportTimeout = 20 * time.Second

// process is the process of one measured daemon.
type process struct {
	host    string
	command *exec.Cmd
	stdin   io.WriteCloser
	lines   io.Reader
	reports chan daemonReport

	mu      sync.Mutex
	applied map[uint64]time.Time
}

func startProcess(host, zone, address, seeds, platform, policy string) (*process, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	p := &process{host: host, reports: make(chan daemonReport, 1), applied: make(map[uint64]time.Time)}
	p.command = exec.Command(program, "daemon", "--host", host, "--availability-zone", zone, "--peer", address,
		"--seeds", seeds, "--platform", platform, "--readers", policy)
	p.command.Stderr = os.Stderr
	if p.stdin, err = p.command.StdinPipe(); err != nil {
		return nil, err
	}
	if p.lines, err = p.command.StdoutPipe(); err != nil {
		return nil, err
	}
	if err := p.command.Start(); err != nil {
		return nil, err
	}
	go p.loop()
	return p, nil
}

// loop reads the reports of the daemon until its output ends and then closes p.reports.
func (p *process) loop() {
	scanner := bufio.NewScanner(p.lines)
	for scanner.Scan() {
		var line daemonReport
		if json.Unmarshal(scanner.Bytes(), &line) != nil {
			continue
		}
		if line.Counts != nil {
			p.reports <- line
			continue
		}
		p.mu.Lock()
		p.applied[line.Applied] = line.At
		p.mu.Unlock()
	}
	close(p.reports)
}

// appliedAt returns the time at which the daemon applied the version, or the zero time when it has not.
func (p *process) appliedAt(version uint64) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.applied[version]
}

// requestReport requests the current figures of the daemon and waits for them, at most for reportTimeout.
func (p *process) requestReport() (daemonReport, error) {
	if _, err := io.WriteString(p.stdin, "figures\n"); err != nil {
		return daemonReport{}, err
	}
	select {
	case received, ok := <-p.reports:
		if !ok {
			return daemonReport{}, fmt.Errorf("daemon %s ended", p.host)
		}
		return received, nil
	case <-clock.After(reportTimeout).C():
		return daemonReport{}, fmt.Errorf("daemon %s did not report within %s", p.host, reportTimeout)
	}
}

// stop closes the standard input of the daemon, which ends it, and waits until it has exited.
func (p *process) stop() {
	_ = p.stdin.Close()
	_ = p.command.Wait()
}
