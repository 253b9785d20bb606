package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"cicadacross"
	"cicadacross/internal/standin/upstream"
	"cicadacross/internal/timer"
)

const (
	fleetKey = "the key of the measured fleet"
	// startTimeout is far above the time that processes need to start, since the machine may be busy.
	startTimeout = 60 * time.Second
	pollInterval = 50 * time.Millisecond
	// keyAcceptanceDelay is the time after their start during which daemons do not accept new idempotency keys. It
	// follows from the bound on clock skew.
	keyAcceptanceDelay = 5500 * time.Millisecond
	// slowFactor is the factor by which the service times of a slow target increase.
	slowFactor = 5
)

var clock timer.System

// policy is the admission policy and the balancer that the daemons of a run use.
type policy struct {
	name, admission, balancer string
}

var policies = []policy{
	{"share", "share", "least"},
	{"priority", "priority", "least"},
	{"fifo", "fifo", "least"},
	{"share-roundrobin", "share", "roundrobin"},
}

func lookupPolicy(name string) (policy, error) {
	for _, p := range policies {
		if p.name == name {
			return p, nil
		}
	}
	return policy{}, fmt.Errorf("policy %q is unknown; give share, priority, fifo or share-roundrobin", name)
}

// host is one host of the fleet.
type host struct {
	target           cicadacross.Target
	daemon, upstream *process
}

// fleet is a running deployment.
type fleet struct {
	deployment    *deployment
	programs      string
	logs          string
	policy        policy
	platform      *process
	hosts         []*host
	controlClient http.Client
}

// startFleet starts all processes and waits until the daemons are ready and accept new keys.
func startFleet(ctx context.Context, d *deployment, programs, logs string, p policy) (*fleet, error) {
	f := &fleet{deployment: d, programs: programs, logs: logs, policy: p}
	f.controlClient.Timeout = startTimeout
	if err := f.start(ctx); err != nil {
		f.stop()
		return nil, err
	}
	return f, nil
}

func (f *fleet) start(ctx context.Context) error {
	registerFile := filepath.Join(f.programs, "register.csv")
	rulesFile := filepath.Join(f.programs, "rules.toml")
	if err := os.WriteFile(registerFile, f.deployment.registerText, 0o600); err != nil {
		return err
	}
	if err := os.WriteFile(rulesFile, f.deployment.rulesText, 0o600); err != nil {
		return err
	}
	var err error
	f.platform, err = startProcess(f.programs, f.logs, "platform", platformProgram, nil,
		"--listen="+f.deployment.platformListen, "--register="+registerFile, "--rules="+rulesFile)
	if err != nil {
		return err
	}
	for _, target := range f.deployment.publication.Configuration().Targets() {
		h := &host{target: target}
		f.hosts = append(f.hosts, h)
		h.upstream, err = startProcess(f.programs, f.logs, "upstream-"+target.Host(), upstreamProgram, nil,
			"--listen="+target.Upstream(), fmt.Sprintf("--slots=%d", target.Slots()))
		if err != nil {
			return err
		}
	}
	for _, h := range f.hosts {
		if err := f.startDaemon(h); err != nil {
			return err
		}
	}
	for _, h := range f.hosts {
		if err := f.awaitReady(ctx, h); err != nil {
			return err
		}
	}
	if !sleep(ctx, keyAcceptanceDelay) {
		return ctx.Err()
	}
	return nil
}

func (f *fleet) startDaemon(h *host) error {
	t := h.target
	flags := []string{
		"--host=" + t.Host(), "--availability-zone=" + t.AvailabilityZone(),
		"--listen-caller=" + t.Caller(), "--listen-peer=" + t.Peer(), "--listen-operator=" + t.Operator(),
		"--platform=" + f.deployment.platformListen, "--upstream=" + t.Upstream(),
		"--admission=" + f.policy.admission, "--balancer=" + f.policy.balancer,
	}
	zones := []string{t.AvailabilityZone()}
	for _, other := range f.deployment.publication.Configuration().Targets() {
		if !slices.Contains(zones, other.AvailabilityZone()) {
			zones = append(zones, other.AvailabilityZone())
			flags = append(flags, "--seeds="+other.Peer())
		}
	}
	var err error
	h.daemon, err = startProcess(f.programs, f.logs, "daemon-"+t.Host(), daemonProgram,
		[]string{"CICADACROSS_FLEET_KEY=" + fleetKey}, flags...)
	return err
}

// awaitReady waits until the upstream of the host responds and its daemon is ready. The error is not nil when that
// takes longer than startTimeout or ctx is done.
func (f *fleet) awaitReady(ctx context.Context, h *host) error {
	deadline := clock.Now().Add(startTimeout)
	for {
		if f.setServiceTimes(h, 1) == nil && f.daemonReady(h) {
			return nil
		}
		if clock.Now().After(deadline) {
			return fmt.Errorf("host %s isn't ready after %s", h.target.Host(), startTimeout)
		}
		if !sleep(ctx, pollInterval) {
			return ctx.Err()
		}
	}
}

func (f *fleet) daemonReady(h *host) bool {
	response, err := f.controlClient.Get("http://" + h.target.Operator() + "/healthz")
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	var health struct {
		Ready bool `json:"ready"`
	}
	return json.NewDecoder(response.Body).Decode(&health) == nil && health.Ready
}

// setServiceTimes sets the service times of the host's upstream to those of its routes, multiplied by the factor. With
// factor 0, the upstream responds immediately.
func (f *fleet) setServiceTimes(h *host, factor int) error {
	behavior := upstream.Behavior{Slots: h.target.Slots(), ServiceTimes: make(map[string]time.Duration)}
	for _, k := range f.deployment.routeLoads {
		if k.route.Service() == h.target.Service() {
			behavior.ServiceTimes[strings.TrimSuffix(k.path, "/")] = time.Duration(factor) * k.serviceTime
		}
	}
	data, err := json.Marshal(behavior)
	if err != nil {
		return err
	}
	response, err := f.controlClient.Post("http://"+h.target.Upstream()+"/control/behavior", "application/json",
		bytes.NewReader(data))
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("upstream %s: %s", h.target.Upstream(), response.Status)
	}
	return nil
}

// The faults that can be injected.
const (
	faultNone   = "none"
	faultTarget = "target"
	faultSlow   = "slow"
	faultZone   = "zone"
)

// inject injects the fault: faultTarget kills the upstream and the daemon of the first host, faultSlow makes the
// upstream of the first host slow, and faultZone kills all daemons in the availability zone of the first host.
func (f *fleet) inject(fault string) error {
	first := f.hosts[0]
	switch fault {
	case faultNone:
		return nil
	case faultTarget:
		first.upstream.kill()
		first.daemon.kill()
		return nil
	case faultSlow:
		return f.setServiceTimes(first, slowFactor)
	case faultZone:
		for _, h := range f.hosts {
			if h.target.AvailabilityZone() == first.target.AvailabilityZone() {
				h.daemon.kill()
			}
		}
		return nil
	}
	return fmt.Errorf("fault %q is unknown; give none, target, slow or zone", fault)
}

// daemonCPUTime returns the total CPU time of all daemons that have not been killed.
func (f *fleet) daemonCPUTime() (time.Duration, error) {
	var total time.Duration
	for _, h := range f.hosts {
		if h.daemon.ended {
			continue
		}
		used, err := h.daemon.cpuTime()
		if err != nil {
			return 0, err
		}
		total += used
	}
	return total, nil
}

// stop kills all processes.
func (f *fleet) stop() {
	for _, h := range f.hosts {
		if h.daemon != nil {
			h.daemon.kill()
		}
	}
	for _, h := range f.hosts {
		if h.upstream != nil {
			h.upstream.kill()
		}
	}
	if f.platform != nil {
		f.platform.kill()
	}
}

// sleep waits for d or until ctx is done. It reports whether ctx was not done.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := clock.After(d)
	defer t.Stop()
	select {
	case <-t.C():
		return true
	case <-ctx.Done():
		return false
	}
}
