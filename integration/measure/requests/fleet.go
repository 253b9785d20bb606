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
	// startLimit is far above the time that processes need to start, since the machine may be busy.
	startLimit = 60 * time.Second
	pollPeriod = 50 * time.Millisecond
	// keySettling is the time after the start within which daemons don't accept new keys: the bound on clock skew.
	keySettling = 5500 * time.Millisecond
	// slowFactor multiplies the service times of a slow target.
	slowFactor = 5
)

var clock timer.System

// policy is what the daemons of a run use.
type policy struct {
	name, admission, balancer string
}

var policies = []policy{
	{"share", "share", "least"},
	{"priority", "priority", "least"},
	{"fifo", "fifo", "least"},
	{"share-roundrobin", "share", "roundrobin"},
}

func policyNamed(name string) (policy, error) {
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

// fleet is a deployment that runs.
type fleet struct {
	deployment *deployment
	programs   string
	logs       string
	policy     policy
	platform   *process
	hosts      []*host
	control    http.Client
}

// startFleet starts all processes and waits until the daemons are ready and accept new keys.
func startFleet(ctx context.Context, d *deployment, programs, logs string, p policy) (*fleet, error) {
	f := &fleet{deployment: d, programs: programs, logs: logs, policy: p}
	f.control.Timeout = startLimit
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
		if err := f.ready(ctx, h); err != nil {
			return err
		}
	}
	if !sleep(ctx, keySettling) {
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

// ready waits until the upstream and the daemon of the host serve.
func (f *fleet) ready(ctx context.Context, h *host) error {
	limit := clock.Now().Add(startLimit)
	for {
		if f.setServiceTimes(h, 1) == nil && f.daemonReady(h) {
			return nil
		}
		if clock.Now().After(limit) {
			return fmt.Errorf("host %s isn't ready after %s", h.target.Host(), startLimit)
		}
		if !sleep(ctx, pollPeriod) {
			return ctx.Err()
		}
	}
}

func (f *fleet) daemonReady(h *host) bool {
	response, err := f.control.Get("http://" + h.target.Operator() + "/healthz")
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	var answer struct {
		Ready bool `json:"ready"`
	}
	return json.NewDecoder(response.Body).Decode(&answer) == nil && answer.Ready
}

// setServiceTimes gives the upstream the service times of its kinds of work, multiplied by the factor; 0 makes it
// answer at once.
func (f *fleet) setServiceTimes(h *host, factor int) error {
	behavior := upstream.Behavior{Slots: h.target.Slots(), ServiceTimes: make(map[string]time.Duration)}
	for _, k := range f.deployment.kinds {
		if k.route.Service() == h.target.Service() {
			behavior.ServiceTimes[strings.TrimSuffix(k.path, "/")] = time.Duration(factor) * k.service
		}
	}
	data, err := json.Marshal(behavior)
	if err != nil {
		return err
	}
	response, err := f.control.Post("http://"+h.target.Upstream()+"/control/behavior", "application/json",
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

// inject makes the fault happen. The target on the first host dies or is slow; the daemons of its zone are killed.
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

// daemonTime returns the processor time of all daemons that run.
func (f *fleet) daemonTime() (time.Duration, error) {
	var total time.Duration
	for _, h := range f.hosts {
		if h.daemon.ended {
			continue
		}
		used, err := h.daemon.processorTime()
		if err != nil {
			return 0, err
		}
		total += used
	}
	return total, nil
}

// stop ends all processes.
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

// sleep waits for d and reports whether ctx is still open.
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
