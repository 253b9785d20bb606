package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-logr/logr"

	"cicadacross"
	"cicadacross/internal/register"
	standin "cicadacross/internal/standin/platform"
	"cicadacross/internal/timer"
)

const (
	startTimeout  = 2 * time.Minute
	changeTimeout = 30 * time.Second
	pollPeriod    = 10 * time.Millisecond
	// changeTail lets the announcements end that follow the last apply of a change.
	changeTail = time.Second
	// targetsPerService is the ratio of the two-year size, 600 targets in 43 services.
	targetsPerService = 14
	zones             = 7
	zonesPerRegion    = 3
	seedCount         = 3
)

var clock timer.System

// trial is one case of the measurement.
type trial struct {
	daemons, routes, changes int
	policy                   string
	rest, warm               time.Duration
}

// result holds the figures of a case. Those of a daemon are means over the daemons.
type result struct {
	trial         trial
	registerBytes int
	startCalls    float64 // calls to the source until every daemon has a configuration, for each daemon
	samples       int
	late          int // daemons that missed a change within its time
	median        time.Duration
	p99           time.Duration
	worst         time.Duration
	changeBytes   float64 // sent and received by one daemon for one change
	restBytes     float64 // per second, sent and received by one daemon
	restBytesMax  float64 // of the busiest daemon
	loopback      float64 // per second and daemon, sent and received, all packets with TCP/IP headers
	sourceRest    float64 // calls per second of the whole fleet
	sourceChange  float64 // calls of the whole fleet for one change
	waiting       int
	processor     float64       // share of a core at rest
	processorEach time.Duration // processor time of one daemon for one change
	memory        float64       // bytes
}

// fleetRun is a case in progress.
type fleetRun struct {
	trial     trial
	platform  *standin.Server
	processes []*process
	number    uint64
}

func (t trial) measure(ctx context.Context, log logr.Logger) (result, error) {
	r := &fleetRun{trial: t, platform: standin.New(standin.Options{})}
	if err := r.platform.Start(); err != nil {
		return result{}, err
	}
	defer r.platform.Stop()
	defer r.stop()
	r.platform.Set(cicadacross.KeyHosts, hostList(t.daemons))
	size, err := r.publish()
	if err != nil {
		return result{}, err
	}
	if err := r.start(ctx); err != nil {
		return result{}, err
	}
	if _, late := r.await(ctx, clock.Now(), startTimeout); late > 0 {
		return result{}, fmt.Errorf("%d of %d daemons have no configuration after %s", late, t.daemons, startTimeout)
	}
	startCalls := float64(r.platform.Counts().Calls)
	log.Info("started", "daemons", t.daemons, "bytes", size)
	if !sleep(ctx, t.warm) {
		return result{}, ctx.Err()
	}
	out := result{trial: t, registerBytes: size, startCalls: startCalls / float64(t.daemons)}
	if err := r.measureRest(ctx, &out); err != nil {
		return out, err
	}
	return out, r.measureChanges(ctx, &out)
}

func (r *fleetRun) start(ctx context.Context) error {
	var seeds []string
	for i := range min(seedCount, r.trial.daemons) {
		seeds = append(seeds, peerAddress(i))
	}
	for i := range r.trial.daemons {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		p, err := startProcess(hostName(i), zoneName(i), peerAddress(i), strings.Join(seeds, ","),
			r.platform.Address(), r.trial.policy)
		if err != nil {
			return err
		}
		r.processes = append(r.processes, p)
	}
	return nil
}

func (r *fleetRun) stop() {
	for _, p := range r.processes {
		_ = p.stdin.Close()
	}
	for _, p := range r.processes {
		p.stop()
	}
}

// sleep waits for d and reports whether ctx is still open.
func sleep(ctx context.Context, d time.Duration) bool {
	t := clock.After(d)
	defer t.Stop()
	select {
	case <-t.C():
		return true
	case <-ctx.Done():
		return false
	}
}

// publish publishes the next version, which differs from the last in one line, and returns the size of its parts.
func (r *fleetRun) publish() (int, error) {
	r.number++
	p, faults := register.Parse(register.NewDocument("register.csv", []byte(registerText(r.trial.daemons))),
		register.NewDocument("rules.toml", []byte(rulesText(r.trial, r.number))))
	if len(faults) > 0 {
		return 0, fmt.Errorf("the generated register is bad: %s", faults[0])
	}
	size := len(p.Manifest())
	values := map[string][]byte{cicadacross.KeyManifest: p.Manifest()}
	for digest, data := range p.Parts() {
		size += len(data)
		values[cicadacross.KeyPartPrefix+digest] = data
	}
	r.platform.SetAll(values)
	return size, nil
}

// await waits until all daemons have the present version, and returns their delays and the number of those that
// haven't.
func (r *fleetRun) await(ctx context.Context, since time.Time, limit time.Duration) (delays []time.Duration, late int) {
	ticker := clock.Every(pollPeriod)
	defer ticker.Stop()
	for {
		delays, late = delays[:0], 0
		for _, p := range r.processes {
			at := p.appliedAt(r.number)
			if at.IsZero() {
				late++
				continue
			}
			delays = append(delays, at.Sub(since))
		}
		if late == 0 || clock.Now().Sub(since) > limit || ctx.Err() != nil {
			return delays, late
		}
		<-ticker.C()
	}
}

// sums are the figures of all daemons at one time.
type sums struct {
	at        time.Time
	bytes     []int64
	total     int64
	processor time.Duration
	memory    int64
	calls     uint64
	loopback  int64
}

func (r *fleetRun) sums() (sums, error) {
	s := sums{at: clock.Now(), calls: r.platform.Counts().Calls, loopback: loopbackBytes()}
	for _, p := range r.processes {
		answer, err := p.ask()
		if err != nil {
			return s, err
		}
		bytes := answer.Figures.SentBytes + answer.Figures.ReceivedBytes
		s.bytes = append(s.bytes, bytes)
		s.total += bytes
		s.processor += answer.CPU
		s.memory += answer.Resident
	}
	return s, nil
}

func (r *fleetRun) measureRest(ctx context.Context, out *result) error {
	before, err := r.sums()
	if err != nil {
		return err
	}
	if !sleep(ctx, r.trial.rest) {
		return ctx.Err()
	}
	after, err := r.sums()
	if err != nil {
		return err
	}
	n, length := float64(r.trial.daemons), after.at.Sub(before.at).Seconds()
	out.restBytes = float64(after.total-before.total) / n / length
	for i := range after.bytes {
		out.restBytesMax = max(out.restBytesMax, float64(after.bytes[i]-before.bytes[i])/length)
	}
	const sentAndReceived = 2
	out.loopback = sentAndReceived * float64(after.loopback-before.loopback) / n / length
	out.sourceRest = float64(after.calls-before.calls) / length
	out.waiting = r.platform.Counts().Waiting
	out.processor = (after.processor - before.processor).Seconds() / n / length
	out.memory = float64(after.memory) / n
	return nil
}

func (r *fleetRun) measureChanges(ctx context.Context, out *result) error {
	histogram := hdrhistogram.New(1, changeTimeout.Microseconds(), 3)
	before, err := r.sums()
	if err != nil {
		return err
	}
	for range r.trial.changes {
		since := clock.Now()
		if _, err := r.publish(); err != nil {
			return err
		}
		delays, late := r.await(ctx, since, changeTimeout)
		out.late += late
		for _, delay := range delays {
			if err := histogram.RecordValue(max(1, delay.Microseconds())); err != nil {
				return err
			}
		}
		if !sleep(ctx, changeTail) {
			return ctx.Err()
		}
	}
	after, err := r.sums()
	if err != nil {
		return err
	}
	n, changes, length := float64(r.trial.daemons), float64(r.trial.changes), after.at.Sub(before.at).Seconds()
	out.changeBytes = (float64(after.total-before.total)/n - out.restBytes*length) / changes
	used := (after.processor-before.processor).Seconds()/n - out.processor*length
	out.processorEach = time.Duration(used / changes * float64(time.Second))
	out.sourceChange = (float64(after.calls-before.calls) - out.sourceRest*length) / changes
	out.samples = int(histogram.TotalCount())
	out.median = time.Duration(histogram.ValueAtQuantile(50)) * time.Microsecond
	out.p99 = time.Duration(histogram.ValueAtQuantile(99)) * time.Microsecond
	out.worst = time.Duration(histogram.Max()) * time.Microsecond
	return nil
}

// loopbackBytes returns the bytes that the loopback device has carried, with all headers.
func loopbackBytes() int64 {
	data, err := os.ReadFile("/proc/net/dev")
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		name, rest, found := strings.Cut(line, ":")
		if fields := strings.Fields(rest); found && strings.TrimSpace(name) == "lo" && len(fields) > 0 {
			bytes, _ := strconv.ParseInt(fields[0], 10, 64)
			return bytes
		}
	}
	return 0
}

func hostName(i int) string { return fmt.Sprintf("%s-%03d", zoneName(i), i) }

func zoneName(i int) string { return fmt.Sprintf("zone-%d", i%zones+1) }

// peerAddress gives each daemon a loopback address of its own.
func peerAddress(i int) string { return fmt.Sprintf("127.77.%d.%d:7946", i/250, i%250+1) }

func hostList(daemons int) []byte {
	var hosts []string
	for i := range daemons {
		hosts = append(hosts, strconv.Quote(hostName(i)))
	}
	return []byte(`{"live":[` + strings.Join(hosts, ",") + `],"leaving":[]}`)
}

func registerText(daemons int) string {
	var text strings.Builder
	text.WriteString("service,target,host,region,availability_zone,upstream,peer,caller,operator,slots,connections\n")
	for i := range daemons {
		service, ip := i/targetsPerService, strings.TrimSuffix(peerAddress(i), ":7946")
		fmt.Fprintf(&text, "service-%02d,service-%02d-%03d,%s,region-%d,%s,%s:8080,%s:7946,%s:8000,%s:9000,10,110\n",
			service, service, i, hostName(i), i%zones/zonesPerRegion+1, zoneName(i), ip, ip, ip, ip)
	}
	return text.String()
}

// rulesText returns rules in which the time limit of the first route depends on the number.
func rulesText(t trial, number uint64) string {
	// The register refuses a service without a route.
	services := (t.daemons + targetsPerService - 1) / targetsPerService
	var text strings.Builder
	fmt.Fprintf(&text, "version = %d\n", number)
	text.WriteString("[[rank]]\nname = \"lookup\"\nurgency = 1\ntarget_time = \"300ms\"\nworth = 10\n")
	for i := range max(t.routes, services) {
		timeout := time.Second
		if i == 0 {
			timeout += time.Duration(number) * time.Millisecond
		}
		fmt.Fprintf(&text, "[[route]]\nname = \"route-%04d\"\nservice = \"service-%02d\"\nmethod = \"GET\"\n"+
			"path_prefix = \"/route-%04d\"\nrank = \"lookup\"\nrepeatable = true\ntimeout = %q\n", i, i%services, i, timeout)
	}
	return text.String()
}
