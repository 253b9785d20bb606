package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

// ports are the ports of a machine, the same on all machines.
type ports struct{ caller, ready, peer, operator, app int }

// machine is one sidecar machine: a target and the daemon beside it.
type machine struct {
	name, ip, zone string
	target         *target
	daemon         *daemon
}

// fleet is a small deployment on loopback addresses.
type fleet struct {
	ports    ports
	store    *store
	runs     *runLog
	machines []*machine
	record   *record
	graceS   int
}

// daemon is one process of the project, started as the deploy file says.
type daemon struct {
	mu  sync.Mutex
	cmd *exec.Cmd
	out *os.File
}

// freePort returns a port that is free on all addresses.
func freePort(ips []string, used map[int]bool) (int, error) {
	for range 2000 {
		port := 20000 + rand.IntN(10000)
		if used[port] {
			continue
		}
		free := true
		for _, ip := range ips {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				free = false
				break
			}
			_ = listener.Close()
		}
		if free {
			used[port] = true
			return port, nil
		}
	}
	return 0, fmt.Errorf("no free port")
}

// machineSpec says where a machine is and what it runs.
type machineSpec struct{ zone, service string }

func newFleet(rec *record, specs []machineSpec, slots int) (*fleet, error) {
	f := &fleet{runs: &runLog{}, record: rec, graceS: 6}
	var ips []string
	for i, spec := range specs {
		m := &machine{name: fmt.Sprintf("m%02d-%s", i, spec.zone), ip: fmt.Sprintf("127.61.%d.%d", i/200, 1+i%200), zone: spec.zone}
		f.machines = append(f.machines, m)
		ips = append(ips, m.ip)
	}
	used := make(map[int]bool)
	for _, p := range []*int{&f.ports.caller, &f.ports.ready, &f.ports.peer, &f.ports.operator, &f.ports.app} {
		port, err := freePort(ips, used)
		if err != nil {
			return nil, err
		}
		*p = port
	}
	var err error
	if f.store, err = newStore("127.0.0.1:0"); err != nil {
		return nil, err
	}
	for i, m := range f.machines {
		id := fmt.Sprintf("i-%04x%02d", rand.IntN(1<<16), i)
		m.target, err = newTarget(id, specs[i].service, m.zone, fmt.Sprintf("%s:%d", m.ip, f.ports.app), slots, f.runs)
		if err != nil {
			return nil, err
		}
		m.daemon = &daemon{}
	}
	return f, nil
}

// registerTargets writes the entries of all targets.
func (f *fleet) registerTargets() {
	for _, m := range f.machines {
		f.store.put(m.target.key(), m.target.entry())
	}
}

// start starts the daemon of a machine with the command and the environment of deploy/system.toml.
func (f *fleet) start(m *machine) error {
	at := func(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }
	cmd := exec.Command("target/cicadacrossd")
	cmd.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "GOMAXPROCS=1",
		"CICADACROSS_HOST=" + m.ip,
		"CICADACROSS_AVAILABILITY_ZONE=" + m.zone,
		"CICADACROSS_SERVICE=" + m.target.service,
		"CICADACROSS_UPSTREAM=" + m.target.address,
		"CICADACROSS_REGISTRY=" + f.store.address,
		"CICADACROSS_LISTEN_CALLER=" + at(f.ports.caller),
		"CICADACROSS_LISTEN_READY=" + at(f.ports.ready),
		"CICADACROSS_LISTEN_PEER=" + at(f.ports.peer),
		"CICADACROSS_LISTEN_OPERATOR=" + at(f.ports.operator),
		"CICADACROSS_MEMORY_LIMIT=284",
		"CICADACROSS_LINK_MBPS=1000.0",
		fmt.Sprintf("CICADACROSS_GRACE=%ds", f.graceS),
		"CICADACROSS_RETRY_RATIO=0.2",
		"CICADACROSS_RETRY_EXTRA=56",
		"CICADACROSS_RETRY_WINDOW=10s",
		"CICADACROSS_FLEET_KEY=one-fleet-on-the-platform",
		"CICADACROSS_ADMISSION=aim",
		"CICADACROSS_BALANCER=swift",
	}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if dir := os.Getenv("DAEMON_LOGS"); dir != "" {
		out, err := os.OpenFile(dir+"/"+m.name+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return err
		}
		cmd.Stdout, cmd.Stderr = out, out
		m.daemon.out = out
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	m.daemon.mu.Lock()
	m.daemon.cmd = cmd
	m.daemon.mu.Unlock()
	return nil
}

func (d *daemon) signal(s os.Signal) {
	d.mu.Lock()
	cmd := d.cmd
	d.mu.Unlock()
	if cmd != nil && cmd.Process != nil {
		_ = cmd.Process.Signal(s)
	}
}

// kill ends the process at once and waits for its end.
func (d *daemon) kill() {
	d.mu.Lock()
	cmd := d.cmd
	d.cmd = nil
	d.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	_ = cmd.Wait()
	if d.out != nil {
		_ = d.out.Close()
	}
}

// startAll starts all daemons and waits until they are ready.
func (f *fleet) startAll() error {
	for _, m := range f.machines {
		if err := f.start(m); err != nil {
			return err
		}
	}
	return f.awaitReady(f.machines, 20*time.Second)
}

func (f *fleet) awaitReady(machines []*machine, limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, m := range machines {
		for !f.isReady(m) {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

var readyClient = &http.Client{Timeout: time.Second}

func (f *fleet) isReady(m *machine) bool {
	response, err := readyClient.Get(fmt.Sprintf("http://%s:%d/api/readiness", m.ip, f.ports.ready))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// close ends all processes and stand-ins.
func (f *fleet) close() {
	for _, m := range f.machines {
		m.daemon.kill()
	}
	for _, m := range f.machines {
		if m.target != nil {
			m.target.close()
		}
	}
	if f.store != nil {
		f.store.close()
	}
}

// rule is one route of a configuration.
type rule struct {
	name, kind, prefix, service string
	timeoutS                    float64
	attempts                    int
}

// configuration returns the text of a configuration. idle is the number of further routes that get no requests.
func configuration(version int, host string, rules []rule, services []string, idle int) string {
	var b strings.Builder
	fmt.Fprintf(&b, `{"version":%d,"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,`+
		`"idleTimeoutS":15},"baseVersion":%d,"listeners":[{"host":"%s","rules":[`, version, version-1, host)
	write := func(r rule, first bool) {
		if !first {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"name":"%s","kind":"%s","aimS":0.5,"priority":1,"match":{"prefix":"%s"},"action":{"service":"%s",`+
			`"timeoutS":%g,"maxAttempts":%d}}`, r.name, r.kind, r.prefix, r.service, r.timeoutS, r.attempts)
	}
	for i, r := range rules {
		write(r, i == 0)
	}
	for i := range idle {
		write(rule{name: fmt.Sprintf("r-idle%05d", i), kind: "safe", prefix: fmt.Sprintf("/idle%05d/", i),
			service: services[0], timeoutS: 1.2, attempts: 2}, false)
	}
	b.WriteString(`]}],"clusters":[`)
	for i, s := range services {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"name":"%s","healthPath":"/healthz","maxConnections":110,"protocol":"h1","tls":false}`, s)
	}
	b.WriteString("]}")
	return b.String()
}
