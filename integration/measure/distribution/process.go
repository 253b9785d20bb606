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

// questionTimeout bounds the wait for a daemon's figures on a busy machine.
const questionTimeout = 20 * time.Second

// process is one measured daemon.
type process struct {
	host    string
	command *exec.Cmd
	stdin   io.WriteCloser
	lines   io.Reader
	answers chan report

	mu      sync.Mutex
	applied map[uint64]time.Time
}

func startProcess(host, zone, address, seeds, platform, policy string) (*process, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	p := &process{host: host, answers: make(chan report, 1), applied: make(map[uint64]time.Time)}
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
	go p.run()
	return p, nil
}

// run reads the reports of the daemon.
func (p *process) run() {
	scanner := bufio.NewScanner(p.lines)
	for scanner.Scan() {
		var line report
		if json.Unmarshal(scanner.Bytes(), &line) != nil {
			continue
		}
		if line.Figures != nil {
			p.answers <- line
			continue
		}
		p.mu.Lock()
		p.applied[line.Applied] = line.At
		p.mu.Unlock()
	}
	close(p.answers)
}

// appliedAt returns when the daemon applied the version, or the zero time.
func (p *process) appliedAt(version uint64) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.applied[version]
}

// ask returns the daemon's figures.
func (p *process) ask() (report, error) {
	if _, err := io.WriteString(p.stdin, "figures\n"); err != nil {
		return report{}, err
	}
	select {
	case answer, ok := <-p.answers:
		if !ok {
			return report{}, fmt.Errorf("daemon %s ended", p.host)
		}
		return answer, nil
	case <-clock.After(questionTimeout).C():
		return report{}, fmt.Errorf("daemon %s doesn't answer", p.host)
	}
}

// stop ends the daemon and waits for it.
func (p *process) stop() {
	_ = p.stdin.Close()
	_ = p.command.Wait()
}
