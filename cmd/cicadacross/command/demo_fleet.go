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

	// Ports are taken from below the range that systems use for outgoing connections, so that none of those takes a
	// port between the search and its use.
	lowestPort   = 20_000
	portRange    = 12_000
	maxPortTries = 1_000
	// maxDemoAnswer bounds the answer that is read, in bytes.
	maxDemoAnswer = 1 << 20
)

// demoFleet is a platform, upstreams and daemons in this process.
type demoFleet struct {
	log      logr.Logger
	platform *platform.Server
	hosts    []*demoHost
	key      string
}

// demoHost is one host with its upstream and its daemon.
type demoHost struct {
	name, zone             string
	caller, peer, operator string
	upstream               *upstream.Server
	// daemon is nil before its start and after its end.
	daemon *daemon.Daemon
}

// start starts the platform and the upstreams.
func (f *demoFleet) start() error {
	f.key = uuid.NewString()
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
				caller: addresses[0], peer: addresses[1], operator: addresses[2],
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

// freeAddresses returns different addresses on loopback on which nothing listens.
func freeAddresses(n int) ([]string, error) {
	addresses := make([]string, 0, n)
	for range maxPortTries {
		if len(addresses) == n {
			return addresses, nil
		}
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(lowestPort+rand.IntN(portRange)))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		// It stays open until all are found, so that no address is found twice.
		defer func() { _ = listener.Close() }()
		addresses = append(addresses, address)
	}
	return nil, newError("demo", KindDemo, "no free ports on loopback")
}

// startDaemons starts a daemon on each host.
func (f *demoFleet) startDaemons() error {
	for _, host := range f.hosts {
		settings := daemon.DefaultSettings()
		settings.Host, settings.AvailabilityZone = host.name, host.zone
		settings.ListenCaller, settings.ListenPeer, settings.ListenOperator = host.caller, host.peer, host.operator
		settings.Platform, settings.Upstream = f.platform.Address(), host.upstream.Address()
		settings.Seeds = []string{f.hosts[0].peer, f.hosts[2].peer}
		settings.FleetKey = f.key
		d, err := daemon.New(settings, daemon.Options{Log: f.log})
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

// demoRules are the rules of one version.
type demoRules struct {
	version uint64
	// timeout is the time limit of price lookups.
	timeout string
	// leaving is the host that leaves, or empty.
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
			h.upstream.Address(), h.peer, h.caller, h.operator, demoSlots)
	}
	return register.NewDocument("register.csv", []byte(b.String()))
}

// publish sets the values of a version on the platform, the manifest last.
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

// running returns the hosts whose daemons run.
func (f *demoFleet) running() []*demoHost {
	var hosts []*demoHost
	for _, h := range f.hosts {
		if h.daemon != nil {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

func (f *demoFleet) operators() []string {
	var addresses []string
	for _, h := range f.hosts {
		addresses = append(addresses, h.operator)
	}
	return addresses
}

// allAt reports whether every running daemon has the version in force.
func (f *demoFleet) allAt(version cicadacross.Version) bool {
	for _, h := range f.running() {
		if c := h.daemon.Fleet().Configuration(); c == nil || c.Version() != version {
			return false
		}
	}
	return true
}

func (f *demoFleet) allReady() bool {
	for _, h := range f.running() {
		if !h.daemon.Fleet().Ready() {
			return false
		}
	}
	return true
}

// runsOf returns how often requests with the key began to run on all upstreams together.
func (f *demoFleet) runsOf(key string) int {
	runs := 0
	for _, h := range f.hosts {
		runs += h.upstream.Executions().ByKey[key]
	}
	return runs
}

// close ends everything that runs.
func (f *demoFleet) close() {
	for _, h := range f.hosts {
		h.kill()
		h.upstream.Close()
	}
	if f.platform != nil {
		f.platform.Stop()
	}
}

// kill ends the daemon at once.
func (h *demoHost) kill() {
	if h.daemon != nil {
		h.daemon.Close()
		h.daemon = nil
	}
}

// shutdown ends the daemon gracefully.
func (h *demoHost) shutdown(ctx context.Context) error {
	d := h.daemon
	h.daemon = nil
	return d.Shutdown(ctx)
}

// demoAnswer is what a caller sees of an answer.
type demoAnswer struct {
	status    int
	outcome   string
	reason    string
	requestID string
	body      string
}

// send sends a request of a caller to the daemon of the host, with an idempotency key unless it is empty.
func (h *demoHost) send(ctx context.Context, method, path, body, key string) (demoAnswer, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+h.caller+path, strings.NewReader(body))
	if err != nil {
		return demoAnswer{}, wrapError("request", KindDemo, err, "to %s", h.name)
	}
	request.Host = demoService
	if key != "" {
		request.Header.Set(cicadacross.HeaderIdempotencyKey, key)
	}
	response, err := httpc.DoRequest(request)
	if err != nil {
		return demoAnswer{}, wrapError("request", KindDemo, err, "to %s", h.name)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxDemoAnswer))
	if err != nil {
		return demoAnswer{}, wrapError("request", KindDemo, err, "reading the answer of %s", h.name)
	}
	return demoAnswer{
		status:    response.StatusCode,
		outcome:   response.Header.Get(cicadacross.HeaderOutcome),
		reason:    response.Header.Get(cicadacross.HeaderReason),
		requestID: response.Header.Get(cicadacross.HeaderRequestID),
		body:      string(data),
	}, nil
}

func (a demoAnswer) expectDone() error {
	if a.outcome == cicadacross.OutcomeDone.String() && a.status == http.StatusOK {
		return nil
	}
	return newError("request", KindDemo, "status %d, outcome %q, reason %q: %s", a.status, a.outcome, a.reason, a.body)
}
