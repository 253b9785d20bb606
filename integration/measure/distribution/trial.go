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
	pollInterval  = 10 * time.Millisecond
	// announcementWait is the wait after a change for the announcements that follow its last application.
	announcementWait = time.Second
	// targetsPerService is the ratio at the size expected in two years: 600 targets in 43 services.
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

// result holds the figures of a case. Figures per daemon are means over all daemons.
type result struct {
	trial                  trial
	registerBytes          int
	startCallsPerDaemon    float64 // calls to the source per daemon until every daemon has a configuration
	samples                int
	late                   int // number of times that a daemon did not apply a change within changeTimeout
	median                 time.Duration
	p99                    time.Duration
	worst                  time.Duration
	bytesPerChange         float64 // sent and received by one daemon for one change, without the traffic at rest
	restBytesPerSecond     float64 // sent and received by one daemon while there are no changes
	maxRestBytesPerSecond  float64 // of the daemon with the most traffic
	loopbackBytesPerSecond float64 // sent and received per daemon, all packets with TCP/IP headers
	sourceCallsAtRest      float64 // calls per second of the whole fleet
	sourceCallsPerChange   float64 // calls of the whole fleet for one change
	watchesHeld            int
	cpuShareAtRest         float64       // share of a core that one daemon uses without changes
	cpuPerChange           time.Duration // CPU time of one daemon for one change
	memory                 float64       // resident memory of one daemon in bytes
}

// fleetRun is a case in progress with its platform and its daemons.
type fleetRun struct {
	trial         trial
	platform      *standin.Server
	processes     []*process
	versionNumber uint64
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
	if _, late := r.awaitVersion(ctx, clock.Now(), startTimeout); late > 0 {
		return result{}, fmt.Errorf("%d of %d daemons have no configuration after %s", late, t.daemons, startTimeout)
	}
	startCalls := float64(r.platform.Counts().Calls)
	log.Info("started", "daemons", t.daemons, "bytes", size)
	if !sleep(ctx, t.warm) {
		return result{}, ctx.Err()
	}
	out := result{trial: t, registerBytes: size, startCallsPerDaemon: startCalls / float64(t.daemons)}
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

// sleep waits for d or until ctx is done. It reports whether ctx was not done.
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

// publish publishes the next version, which differs from the previous one in one line of the rules, and returns the
// total size of its manifest and parts in bytes.
func (r *fleetRun) publish() (int, error) {
	r.versionNumber++
	p, faults := register.Parse(register.NewDocument("register.csv", []byte(registerText(r.trial.daemons))),
		register.NewDocument("rules.toml", []byte(rulesText(r.trial, r.versionNumber))))
	if len(faults) > 0 {
		return 0, fmt.Errorf("generated register or rules are invalid: %s", faults[0])
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

// awaitVersion waits until all daemons have applied the current version, at most until limit after since. It returns
// the delays of the daemons since that time and the number of daemons that have not applied the version.
func (r *fleetRun) awaitVersion(
	ctx context.Context, since time.Time, limit time.Duration,
) (delays []time.Duration, late int) {
	ticker := clock.Every(pollInterval)
	defer ticker.Stop()
	for {
		delays, late = delays[:0], 0
		for _, p := range r.processes {
			at := p.appliedAt(r.versionNumber)
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

// fleetTotals holds the figures of all daemons and of the platform at the time at. All except memory count since their
// start. bytes has the bytes sent and received by each daemon, total their sum.
type fleetTotals struct {
	at       time.Time
	bytes    []int64
	total    int64
	cpu      time.Duration
	memory   int64
	calls    uint64
	loopback int64
}

func (r *fleetRun) totals() (fleetTotals, error) {
	s := fleetTotals{at: clock.Now(), calls: r.platform.Counts().Calls, loopback: loopbackBytes()}
	for _, p := range r.processes {
		report, err := p.requestReport()
		if err != nil {
			return s, err
		}
		bytes := report.Counts.SentBytes + report.Counts.ReceivedBytes
		s.bytes = append(s.bytes, bytes)
		s.total += bytes
		s.cpu += report.CPU
		s.memory += report.Resident
	}
	return s, nil
}

func (r *fleetRun) measureRest(ctx context.Context, out *result) error {
	before, err := r.totals()
	if err != nil {
		return err
	}
	if !sleep(ctx, r.trial.rest) {
		return ctx.Err()
	}
	after, err := r.totals()
	if err != nil {
		return err
	}
	n, length := float64(r.trial.daemons), after.at.Sub(before.at).Seconds()
	out.restBytesPerSecond = float64(after.total-before.total) / n / length
	for i := range after.bytes {
		out.maxRestBytesPerSecond = max(out.maxRestBytesPerSecond, float64(after.bytes[i]-before.bytes[i])/length)
	}
	const sentAndReceived = 2
	out.loopbackBytesPerSecond = sentAndReceived * float64(after.loopback-before.loopback) / n / length
	out.sourceCallsAtRest = float64(after.calls-before.calls) / length
	out.watchesHeld = r.platform.Counts().Waiting
	out.cpuShareAtRest = (after.cpu - before.cpu).Seconds() / n / length
	out.memory = float64(after.memory) / n
	return nil
}

func (r *fleetRun) measureChanges(ctx context.Context, out *result) error {
	histogram := hdrhistogram.New(1, changeTimeout.Microseconds(), 3)
	before, err := r.totals()
	if err != nil {
		return err
	}
	for range r.trial.changes {
		since := clock.Now()
		if _, err := r.publish(); err != nil {
			return err
		}
		delays, late := r.awaitVersion(ctx, since, changeTimeout)
		out.late += late
		for _, delay := range delays {
			if err := histogram.RecordValue(max(1, delay.Microseconds())); err != nil {
				return err
			}
		}
		if !sleep(ctx, announcementWait) {
			return ctx.Err()
		}
	}
	after, err := r.totals()
	if err != nil {
		return err
	}
	n, changes, length := float64(r.trial.daemons), float64(r.trial.changes), after.at.Sub(before.at).Seconds()
	out.bytesPerChange = (float64(after.total-before.total)/n - out.restBytesPerSecond*length) / changes
	used := (after.cpu-before.cpu).Seconds()/n - out.cpuShareAtRest*length
	out.cpuPerChange = time.Duration(used / changes * float64(time.Second))
	out.sourceCallsPerChange = (float64(after.calls-before.calls) - out.sourceCallsAtRest*length) / changes
	out.samples = int(histogram.TotalCount())
	out.median = time.Duration(histogram.ValueAtQuantile(50)) * time.Microsecond
	out.p99 = time.Duration(histogram.ValueAtQuantile(99)) * time.Microsecond
	out.worst = time.Duration(histogram.Max()) * time.Microsecond
	return nil
}

// loopbackBytes returns the number of bytes that the loopback device has received, with all headers, or 0 when it
// can't be read.
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

// peerAddress returns the peer address of daemon i. Every daemon has its own loopback address.
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

// rulesText returns rules with the version number, in which the timeout of the first route depends on the number.
func rulesText(t trial, number uint64) string {
	// Every service needs a route, since the register package rejects a service without one.
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
