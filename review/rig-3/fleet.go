package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record is the record of a case: what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  io.Writer
	began time.Time
}

func (r *record) log(event string, keysAndValues ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s", time.Since(r.began).Seconds(), event)
	for i := 0; i+1 < len(keysAndValues); i += 2 {
		fmt.Fprintf(r.file, " %v=%q", keysAndValues[i], fmt.Sprint(keysAndValues[i+1]))
	}
	fmt.Fprintln(r.file)
}

// ports are the ports that all machines use.
type ports struct{ caller, ready, peer, operator, app, store int }

// machine is one machine with its daemon and its target.
type machine struct {
	ip, zone, service string
	up                *upstream
	cmd               *exec.Cmd
	exited            chan struct{}
	log               string
}

type fleet struct {
	record   *record
	ports    ports
	store    *store
	machines []*machine
	bounds   bounds
	dir      string
	client   *http.Client
}

// bounds are the settings of a deployment that the deploy file passes to the daemon.
type bounds struct {
	graceS, drainS int
	memoryMB       int
	linkMbps       int
	// coldOvershoot and coldSlack are empty where the deployment doesn't set them.
	coldOvershoot, coldSlack string
}

// freePorts returns ports that are free on all loopback addresses that the case uses.
func freePorts(ips []string) (ports, error) {
	for base := 21000 + os.Getpid()%3000; base < 60000; base += 37 {
		free := true
		for _, ip := range ips {
			for p := base; p < base+6 && free; p++ {
				l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, p))
				if err != nil {
					free = false
					continue
				}
				_ = l.Close()
			}
		}
		if free {
			return ports{base, base + 1, base + 2, base + 3, base + 4, base + 5}, nil
		}
	}
	return ports{}, fmt.Errorf("no free ports")
}

func (f *fleet) address(m *machine, port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// startDaemon starts the daemon of the machine with the environment of deploy/system.toml.
func (f *fleet) startDaemon(m *machine) error {
	out, err := os.OpenFile(m.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command("target/cicadacrossd")
	cmd.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + f.dir,
		"CICADACROSS_HOST=" + m.ip,
		"CICADACROSS_AVAILABILITY_ZONE=" + m.zone,
		`CICADACROSS_ZONE_REGIONS={"z1":"r1","z2":"r1","z3":"r1"}`,
		"CICADACROSS_SERVICE=" + m.service,
		"CICADACROSS_UPSTREAM=" + f.address(m, f.ports.app),
		"CICADACROSS_REGISTRY=" + f.store.address,
		"CICADACROSS_LISTEN_CALLER=" + f.address(m, f.ports.caller),
		"CICADACROSS_LISTEN_READY=" + f.address(m, f.ports.ready),
		"CICADACROSS_LISTEN_PEER=" + f.address(m, f.ports.peer),
		"CICADACROSS_LISTEN_OPERATOR=" + f.address(m, f.ports.operator),
		fmt.Sprintf("CICADACROSS_MEMORY_LIMIT=%d", f.bounds.memoryMB),
		fmt.Sprintf("CICADACROSS_LINK_MBPS=%d", f.bounds.linkMbps),
		fmt.Sprintf("CICADACROSS_GRACE=%ds", f.bounds.graceS),
		fmt.Sprintf("CICADACROSS_UPSTREAM_DRAIN=%ds", f.bounds.drainS),
		"CICADACROSS_RETRY_RATIO=0.2", "CICADACROSS_RETRY_EXTRA=56", "CICADACROSS_RETRY_WINDOW=10s",
		"CICADACROSS_WARMUP_OVERSHOOT=" + f.bounds.coldOvershoot, "CICADACROSS_WARMUP_SLACK=" + f.bounds.coldSlack,
		"CICADACROSS_FLEET_KEY=one-fleet-on-the-platform",
		"CICADACROSS_ADMISSION=aim", "CICADACROSS_BALANCER=swift",
	}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	m.cmd, m.exited = cmd, make(chan struct{})
	exited := m.exited
	go func() { _ = cmd.Wait(); close(exited) }()
	f.record.log("daemon started", "machine", m.ip, "pid", cmd.Process.Pid)
	return nil
}

func (f *fleet) signal(m *machine, s syscall.Signal) {
	f.record.log("signal", "machine", m.ip, "signal", s)
	_ = m.cmd.Process.Signal(s)
}

// awaitReady waits until the daemon of the machine is ready.
func (f *fleet) awaitReady(m *machine) error {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		r, err := f.client.Get("http://" + f.address(m, f.ports.ready) + "/api/readiness")
		if err != nil {
			continue
		}
		_ = r.Body.Close()
		if r.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("daemon of %s is not ready", m.ip)
}

// stop ends all processes that the case started.
func (f *fleet) stop() {
	for _, m := range f.machines {
		if m.cmd != nil && m.cmd.Process != nil {
			_ = m.cmd.Process.Signal(syscall.SIGCONT)
			_ = m.cmd.Process.Kill()
			<-m.exited
		}
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(f.dir)
	}
}

// machineSpec describes one machine.
type machineSpec struct {
	zone, service string
	slots, queue  int
	// spare means that the target registers itself later.
	spare bool
}

// newFleet starts the store, the targets and the daemons, and waits until all are ready.
func newFleet(rec *record, b bounds, net24 string, specs []machineSpec, config string) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: rec, bounds: b, dir: dir, client: &http.Client{Timeout: 2 * time.Second}}
	ips := []string{net24 + ".250"}
	for i := range specs {
		ips = append(ips, fmt.Sprintf("%s.%d", net24, i+1))
	}
	if f.ports, err = freePorts(ips); err != nil {
		return f, err
	}
	if f.store, err = newStore(fmt.Sprintf("%s:%d", ips[0], f.ports.store)); err != nil {
		return f, err
	}
	f.store.put("op/config", config)
	for i, s := range specs {
		m := &machine{ip: ips[i+1], zone: s.zone, service: s.service}
		m.log = filepath.Join(dir, m.ip+".log")
		id := fmt.Sprintf("i-%d", i+1)
		if m.up, err = newUpstream(rec, id, s.service, f.address(m, f.ports.app), s.slots, s.queue); err != nil {
			return f, err
		}
		f.machines = append(f.machines, m)
		if !s.spare {
			f.store.put("servers/"+id, m.up.entry(s.zone, "ready", 1, bornMS, 0))
		}
	}
	for _, m := range f.machines {
		if err := f.startDaemon(m); err != nil {
			return f, err
		}
	}
	for _, m := range f.machines {
		if err := f.awaitReady(m); err != nil {
			return f, err
		}
	}
	return f, nil
}

// bornMS is the start of all targets that start with the case, in Unix milliseconds.
var bornMS = time.Now().UnixMilli()

// answer is what a client got.
type answer struct {
	id     string
	status int // 0 when there was no answer
	err    string
	seal   string
	body   string
	sent   time.Time
	took   time.Duration
}

// send sends one request from a client on the machine, on a new connection.
func (f *fleet) send(m *machine, method, host, path, id string, deadline time.Duration, body string) answer {
	return f.sendBody(m, method, host, path, id, deadline, strings.NewReader(body), int64(len(body)))
}

// sendBody is send with a body of the length that may arrive slowly.
func (f *fleet) sendBody(
	m *machine, method, host, path, id string, deadline time.Duration, body io.Reader, length int64,
) answer {
	a := answer{id: id, sent: time.Now()}
	request, err := http.NewRequest(method, "http://"+f.address(m, f.ports.caller)+path, body)
	if err != nil {
		a.err = err.Error()
		return a
	}
	request.Host, request.ContentLength = host, length
	request.Header["X-Attempt-Id"] = []string{id}
	request.Header["X-Deadline-Remaining"] = []string{fmt.Sprint(deadline.Milliseconds())}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: deadline + time.Second}
	f.record.log("send", "id", id, "machine", m.ip, "path", path, "body", length)
	response, err := client.Do(request)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		a.body, a.seal = string(data), response.Header.Get("X-Response-Seal")
		if err == nil {
			a.status = response.StatusCode
		}
	}
	if err != nil {
		a.err = err.Error()
	}
	a.took = time.Since(a.sent)
	f.record.log("answer", "id", id, "status", a.status, "err", a.err, "ms", a.took.Milliseconds())
	return a
}
