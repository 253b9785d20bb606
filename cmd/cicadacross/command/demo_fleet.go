package command

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"

	"github.com/go-logr/logr"
	"github.com/google/uuid"
	"github.com/zeromicro/go-zero/rest/httpc"

	"cicadacross"
	"cicadacross/internal/daemon"
	"cicadacross/internal/register"
	"cicadacross/internal/standin/platform"
	"cicadacross/internal/standin/upstream"
	"cicadacross/internal/timer"
)

const (
	demoService = "shop"
	demoSlots   = 4

	// The ports are below the range that operating systems use for outgoing connections, so that no such connection takes
	// a port between the search and its use.
	minPort      = 20_000
	portCount    = 12_000
	maxPortTries = 1_000
	// maxDemoResponseSize is the maximum size of a response body, in bytes; the rest is not read.
	maxDemoResponseSize = 1 << 20
)

// demoFleet is a fleet with the platform, upstreams and daemons in this process.
type demoFleet struct {
	log      logr.Logger
	platform *platform.Server
	hosts    []*demoHost
	fleetKey string
}

// demoHost is a host with its upstream and its daemon. The addresses are those of the daemon, as IP:port.
type demoHost struct {
	name, zone                                  string
	callerAddress, peerAddress, operatorAddress string
	upstream                                    *upstream.Server
	// daemon is nil unless it is running.
	daemon *daemon.Daemon
}

// start starts the platform and the upstreams.
func (f *demoFleet) start() error {
	f.fleetKey = uuid.NewString()
	f.platform = platform.New(platform.Options{})
	if err := f.platform.Start(); err != nil {
		return err
	}
	for _, zone := range []string{"north", "south"} {
		for i := range 2 {
			addresses, err := freeAddresses(3)
			if err != nil {
				return err
			}
			host := &demoHost{
				name: fmt.Sprintf("%s-%d", zone, i+1), zone: zone,
				callerAddress: addresses[0], peerAddress: addresses[1], operatorAddress: addresses[2],
				upstream: upstream.New(upstream.Options{Timers: timer.System{}}),
			}
			if err := host.upstream.Start("127.0.0.1:0"); err != nil {
				return err
			}
			f.hosts = append(f.hosts, host)
		}
	}
	return nil
}

// freeAddresses returns n different addresses on loopback on which nothing listens.
func freeAddresses(n int) ([]string, error) {
	addresses := make([]string, 0, n)
	for range maxPortTries {
		if len(addresses) == n {
			return addresses, nil
		}
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(minPort+rand.IntN(portCount)))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		// The listener stays open until all addresses are found, so that none is found twice.
		defer func() { _ = listener.Close() }()
		addresses = append(addresses, address)
	}
	return nil, newError("demo", KindDemo, "too few free ports on loopback")
}

// startDaemons starts a daemon on each host.
func (f *demoFleet) startDaemons() error {
	for _, host := range f.hosts {
		settings := daemon.DefaultSettings()
		settings.Host, settings.AvailabilityZone = host.name, host.zone
		settings.ListenCaller, settings.ListenPeer = host.callerAddress, host.peerAddress
		settings.ListenOperator = host.operatorAddress
		settings.Platform, settings.Upstream = f.platform.Address(), host.upstream.Address()
		settings.Seeds = []string{f.hosts[0].peerAddress, f.hosts[2].peerAddress}
		settings.FleetKey = f.fleetKey
		d, err := daemon.New(settings, daemon.Options{Logger: f.log})
		if err != nil {
			return err
		}
		if err := d.Start(); err != nil {
			return err
		}
		host.daemon = d
	}
	return nil
}

// demoRules holds the rules that differ between versions.
type demoRules struct {
	version uint64
	// timeout is the time limit of price lookups, as a duration string.
	timeout string
	// leaving is the host that receives no new requests, or empty.
	leaving string
}

const demoRulesTemplate = `version = %d

[[rank]]
name = "purchase"
urgency = 1
target_time = "300ms"
worth = 100

[[rank]]
name = "lookup"
urgency = 2
target_time = "500ms"
worth = 10

[[route]]
name = "prices"
service = "shop"
method = "GET"
path_prefix = "/prices"
rank = "lookup"
repeatable = true
timeout = %q

[[route]]
name = "orders"
service = "shop"
method = "POST"
path_prefix = "/orders"
rank = "purchase"
repeatable = false
timeout = "5s"
`

func (r demoRules) document() register.Document {
	text := fmt.Sprintf(demoRulesTemplate, r.version, r.timeout)
	if r.leaving != "" {
		text += fmt.Sprintf("\n[[leaving]]\nhost = %q\n", r.leaving)
	}
	return register.NewDocument("rules.toml", []byte(text))
}

func (f *demoFleet) register() register.Document {
	var b strings.Builder
	b.WriteString("service,target,host,region,availability_zone,upstream,peer,caller,operator,slots,connections\n")
	for _, h := range f.hosts {
		fmt.Fprintf(&b, "%s,%s-%s,%s,demo,%s,%s,%s,%s,%s,%d,100\n", demoService, demoService, h.name, h.name, h.zone,
			h.upstream.Address(), h.peerAddress, h.callerAddress, h.operatorAddress, demoSlots)
	}
	return register.NewDocument("register.csv", []byte(b.String()))
}

// publish stores the values of a version in the platform, the manifest last.
func (f *demoFleet) publish(rules demoRules) (cicadacross.Version, error) {
	publication, faults := register.Parse(f.register(), rules.document())
	if len(faults) > 0 {
		return cicadacross.Version{}, newError("publish", KindFaults, "%s", faults)
	}
	parts := make(map[string][]byte)
	for digest, data := range publication.Parts() {
		parts[cicadacross.KeyPartPrefix+digest] = data
	}
	f.platform.SetAll(parts)
	f.platform.Set(cicadacross.KeyManifest, publication.Manifest())
	return publication.Version(), nil
}

// runningHosts returns the hosts whose daemon is running.
func (f *demoFleet) runningHosts() []*demoHost {
	var hosts []*demoHost
	for _, h := range f.hosts {
		if h.daemon != nil {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

func (f *demoFleet) operatorAddresses() []string {
	var addresses []string
	for _, h := range f.hosts {
		addresses = append(addresses, h.operatorAddress)
	}
	return addresses
}

// allAtVersion reports whether all running daemons have applied the version.
func (f *demoFleet) allAtVersion(version cicadacross.Version) bool {
	for _, h := range f.runningHosts() {
		if c := h.daemon.Fleet().Configuration(); c == nil || c.Version() != version {
			return false
		}
	}
	return true
}

func (f *demoFleet) allReady() bool {
	for _, h := range f.runningHosts() {
		if !h.daemon.Fleet().Ready() {
			return false
		}
	}
	return true
}

// executionCount returns the number of requests with the idempotency key that all upstreams together ran.
func (f *demoFleet) executionCount(key string) int {
	executions := 0
	for _, h := range f.hosts {
		executions += h.upstream.Executions().ByKey[key]
	}
	return executions
}

// close stops all daemons, upstreams and the platform.
func (f *demoFleet) close() {
	for _, h := range f.hosts {
		h.kill()
		h.upstream.Close()
	}
	if f.platform != nil {
		f.platform.Stop()
	}
}

// kill stops the daemon immediately. It does nothing when the daemon is not running.
func (h *demoHost) kill() {
	if h.daemon != nil {
		h.daemon.Close()
		h.daemon = nil
	}
}

// shutdown stops the daemon gracefully. The daemon must be running.
func (h *demoHost) shutdown(ctx context.Context) error {
	d := h.daemon
	h.daemon = nil
	return d.Shutdown(ctx)
}

// demoResponse holds the parts of a response that the demo uses.
type demoResponse struct {
	status    int
	outcome   string
	reason    string
	requestID string
	body      string
}

// send sends a request to the daemon of the host as a caller, with the idempotency key unless it is empty.
func (h *demoHost) send(ctx context.Context, method, path, body, key string) (demoResponse, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+h.callerAddress+path, strings.NewReader(body))
	if err != nil {
		return demoResponse{}, wrapError("request", KindDemo, err, "to %s", h.name)
	}
	request.Host = demoService
	if key != "" {
		request.Header.Set(cicadacross.HeaderIdempotencyKey, key)
	}
	response, err := httpc.DoRequest(request)
	if err != nil {
		return demoResponse{}, wrapError("request", KindDemo, err, "to %s", h.name)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxDemoResponseSize))
	if err != nil {
		return demoResponse{}, wrapError("request", KindDemo, err, "reading the response of %s", h.name)
	}
	return demoResponse{
		status:    response.StatusCode,
		outcome:   response.Header.Get(cicadacross.HeaderOutcome),
		reason:    response.Header.Get(cicadacross.HeaderReason),
		requestID: response.Header.Get(cicadacross.HeaderRequestID),
		body:      string(data),
	}, nil
}

// checkDone returns an error unless the outcome is done and the status 200.
func (r demoResponse) checkDone() error {
	if r.outcome == cicadacross.OutcomeDone.String() && r.status == http.StatusOK {
		return nil
	}
	return newError("request", KindDemo, "status %d, outcome %q, reason %q: %s", r.status, r.outcome, r.reason, r.body)
}
