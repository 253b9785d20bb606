package harness

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadacross"
	"cicadacross/internal/register"
	"cicadacross/internal/standin/platform"
	"cicadacross/internal/standin/upstream"
)

// The ports of a host. Every host of every test has its own IP address in 127.0.0.0/8.
const (
	callerPort   = 8080
	peerPort     = 8081
	operatorPort = 8082
	upstreamPort = 8083
	// peerEntrancePort is the port on which other daemons reach peerPort through the fault-injecting network.
	peerEntrancePort = 8084
	platformPort     = 8085
)

// FleetKey is the shared secret with which the daemons of all test fleets authenticate to each other.
const FleetKey = "integration-test-key"

// Service is the name of the only service of a test fleet.
const Service = "store"

// Options configures a test fleet. The zero value is a fleet of two availability zones with two hosts each and four
// slots per target.
type Options struct {
	Zones        int
	HostsPerZone int
	Slots        int
	// Seeds is the number of hosts in each zone whose addresses all daemons know at their start; 0 means one.
	Seeds int
	// DaemonFlags are added to the flags of every daemon.
	DaemonFlags []string
	// UpstreamFlags are added to the flags of every upstream stand-in.
	UpstreamFlags []string
	// Unpublished starts the fleet without a published configuration.
	Unpublished bool
}

func (o Options) withDefaults() Options {
	if o.Zones == 0 {
		o.Zones = 2
	}
	if o.HostsPerZone == 0 {
		o.HostsPerZone = 2
	}
	if o.Slots == 0 {
		o.Slots = 4
	}
	if o.Seeds == 0 {
		o.Seeds = 1
	}
	return o
}

// Host is one host of a test fleet with its daemon and its upstream.
type Host struct {
	fleet    *Fleet
	name     string
	zone     string
	ip       string
	Daemon   *Process
	Upstream *Process
}

// Fleet is a test fleet whose platform stand-in, upstreams and daemons run as separate processes.
type Fleet struct {
	t        testing.TB
	options  Options
	prefix   string
	network  *Network
	Platform *Process
	control  *platform.Control
	hosts    []*Host
	zones    []string
}

// startTimeout is far above the time that processes need to start, since machines that run tests may be busy.
const startTimeout = 20 * time.Second

// fleetCount is the number of fleets that this test binary has created. It gives each fleet its own addresses.
var fleetCount atomic.Uint32

// addressPrefix returns the first three bytes of the IP addresses of a new fleet, as text. The second byte depends on
// the process ID, so that test binaries that run at the same time do not use the same addresses.
func addressPrefix() string {
	const low, span = 16, 200
	return fmt.Sprintf("127.%d.%d", low+os.Getpid()%span, low+fleetCount.Add(1)%span)
}

// NewFleet starts a platform, upstreams and daemons. Unless Unpublished is set, it publishes version 1 and waits
// until all daemons are ready.
func NewFleet(t testing.TB, options Options) *Fleet {
	t.Helper()
	f := &Fleet{t: t, options: options.withDefaults(), prefix: addressPrefix(), network: NewNetwork(t)}
	f.assignAddresses()
	f.startPlatform()
	for _, h := range f.hosts {
		h.StartUpstream()
	}
	if !f.options.Unpublished {
		f.Publish(1, "")
	}
	for _, h := range f.hosts {
		h.StartDaemon()
	}
	if !f.options.Unpublished {
		Eventually(t, startTimeout, "all daemons are ready", func() bool { return f.AllApplied(1) })
	}
	return f
}

// assignAddresses creates the hosts with their names, zones and addresses, and the links between them and to the
// platform.
func (f *Fleet) assignAddresses() {
	const firstHostNumber = 10
	for z := range f.options.Zones {
		f.zones = append(f.zones, fmt.Sprintf("zone-%c", 'a'+z))
	}
	for z, zone := range f.zones {
		for i := range f.options.HostsPerZone {
			number := z*f.options.HostsPerZone + i
			h := &Host{fleet: f, name: fmt.Sprintf("%s-%d", zone, i+1), zone: zone}
			h.ip = fmt.Sprintf("%s.%d", f.prefix, firstHostNumber+number)
			f.hosts = append(f.hosts, h)
			f.network.SetZone(h.ip, zone)
		}
	}
	for _, h := range f.hosts {
		f.network.ListenBehindLinks(h.address(peerEntrancePort), h.address(peerPort), f.zones)
	}
	for _, zone := range f.zones {
		f.network.addLink(zone, f.platformAddress())
	}
}

func (f *Fleet) platformAddress() string { return fmt.Sprintf("%s.1:%d", f.prefix, platformPort) }

func (h *Host) address(port int) string { return fmt.Sprintf("%s:%d", h.ip, port) }

// Name returns the name of the host.
func (h *Host) Name() string { return h.name }

// Zone returns the availability zone of the host.
func (h *Host) Zone() string { return h.zone }

// Hosts returns all hosts, or those of one zone when zone is not empty.
func (f *Fleet) Hosts(zone string) []*Host {
	var hosts []*Host
	for _, h := range f.hosts {
		if zone == "" || h.zone == zone {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// Host returns the host with the name. It fails the test when there is none.
func (f *Fleet) Host(name string) *Host {
	f.t.Helper()
	for _, h := range f.hosts {
		if h.name == name {
			return h
		}
	}
	f.t.Fatalf("no host %q", name)
	return nil
}

// Zones returns the names of the availability zones.
func (f *Fleet) Zones() []string { return f.zones }

// Network returns the fault-injecting network between the processes.
func (f *Fleet) Network() *Network { return f.network }

// PlatformLink returns the link from the zone to the platform.
func (f *Fleet) PlatformLink(zone string) *Link { return f.network.Link(zone, f.platformAddress()) }

// PartitionZone disconnects the zone from the daemons of all other zones, in both directions, and from the platform
// when platform is true.
func (f *Fleet) PartitionZone(zone string, platform bool) {
	f.applyToZoneLinks(zone, platform, (*Link).Disconnect)
}

// HealZone removes the faults of all links between the zone and the other zones, and of its link to the platform.
func (f *Fleet) HealZone(zone string) { f.applyToZoneLinks(zone, true, (*Link).Heal) }

func (f *Fleet) applyToZoneLinks(zone string, platform bool, apply func(*Link)) {
	f.t.Helper()
	for _, h := range f.hosts {
		for _, from := range f.zones {
			if from != h.zone && (from == zone || h.zone == zone) {
				apply(f.network.Link(from, h.address(peerPort)))
			}
		}
	}
	if platform {
		apply(f.PlatformLink(zone))
	}
}

// Register returns the register of the fleet as CSV, without the hosts in without.
func (f *Fleet) Register(without ...string) string {
	var b strings.Builder
	b.WriteString("service,target,host,region,availability_zone,upstream,peer,caller,operator,slots,connections\n")
	for _, h := range f.hosts {
		if slices.Contains(without, h.name) {
			continue
		}
		fmt.Fprintf(&b, "%s,%s-target,%s,region-1,%s,%s,%s,%s,%s,%d,100\n", Service, h.name, h.name, h.zone,
			h.address(upstreamPort), h.address(peerEntrancePort), h.address(callerPort), h.address(operatorPort),
			f.options.Slots)
	}
	return b.String()
}

// Rules returns the rules with the version number as TOML, with extra appended.
func (f *Fleet) Rules(version uint64, extra string) string {
	return fmt.Sprintf(rulesTemplate, version, Service) + extra
}

const rulesTemplate = `version = %[1]d

[[rank]]
name = "urgent"
urgency = 1
target_time = "300ms"
worth = 100

[[rank]]
name = "normal"
urgency = 2
target_time = "1s"
worth = 10

[[rank]]
name = "bulk"
urgency = 3
target_time = "10s"
worth = 1

[[route]]
name = "confirm"
service = "%[2]s"
method = "POST"
path_prefix = "/confirm"
rank = "urgent"
repeatable = false
timeout = "2s"

[[route]]
name = "upload"
service = "%[2]s"
method = "PUT"
path_prefix = "/upload"
rank = "bulk"
repeatable = true
timeout = "30s"

[[route]]
name = "read"
service = "%[2]s"
path_prefix = "/"
rank = "normal"
repeatable = true
timeout = "2s"
`

func (f *Fleet) startPlatform() {
	f.t.Helper()
	f.Platform = Start(f.t, "platform", Platform, nil, "--listen="+f.platformAddress())
	f.control = platform.NewControl(f.platformAddress())
	Eventually(f.t, startTimeout, "the platform responds", func() bool {
		_, err := f.control.Counts(context.Background())
		return err == nil
	})
}

// PlatformControl returns the client with which a test controls the platform stand-in.
func (f *Fleet) PlatformControl() *platform.Control { return f.control }

// Publication returns the publication of the register, without the hosts in without, and of the rules with the version
// number and extra appended. It publishes nothing.
func (f *Fleet) Publication(version uint64, extra string, without ...string) *register.Publication {
	f.t.Helper()
	publication, faults := register.Parse(
		register.NewDocument("register.csv", []byte(f.Register(without...))),
		register.NewDocument("rules.toml", []byte(f.Rules(version, extra))),
	)
	assert.Equal(f.t, len(faults), 0, "%v", faults)
	return publication
}

// Publish publishes the register and the rules with the version number, with extra appended to the rules, and returns
// the version. It does not wait until daemons have applied it.
func (f *Fleet) Publish(version uint64, extra string) cicadacross.Version {
	f.t.Helper()
	publication := f.Publication(version, extra)
	assert.NilError(f.t, f.control.Publish(context.Background(), PublicationValues(publication)))
	return publication.Version()
}

// PublishWithout publishes the rules with the version number and the register without the hosts.
func (f *Fleet) PublishWithout(version uint64, hosts ...string) {
	f.t.Helper()
	values := PublicationValues(f.Publication(version, "", hosts...))
	assert.NilError(f.t, f.control.Publish(context.Background(), values))
}

// PublishHostList publishes the platform's host list, with the given hosts as leaving and all others as live.
func (f *Fleet) PublishHostList(leaving ...string) {
	f.t.Helper()
	list := struct {
		Live    []string `json:"live"`
		Leaving []string `json:"leaving"`
	}{Leaving: leaving}
	for _, h := range f.hosts {
		if !slices.Contains(leaving, h.name) {
			list.Live = append(list.Live, h.name)
		}
	}
	data, err := json.Marshal(list)
	assert.NilError(f.t, err)
	assert.NilError(f.t, f.control.Publish(context.Background(), map[string][]byte{cicadacross.KeyHosts: data}))
}

// PublicationValues returns the platform's keys and values for the manifest and the parts of a publication.
func PublicationValues(publication *register.Publication) map[string][]byte {
	values := map[string][]byte{cicadacross.KeyManifest: publication.Manifest()}
	for digest, data := range publication.Parts() {
		values[cicadacross.KeyPartPrefix+digest] = data
	}
	return values
}

// AllApplied reports whether every daemon has the version number as its last applied one and is ready.
func (f *Fleet) AllApplied(version uint64) bool {
	for _, h := range f.hosts {
		if !h.HasApplied(version) {
			return false
		}
	}
	return true
}

// AppliedVersions returns the versions that the current daemon process has applied according to its log, oldest first.
// Their digests are shortened as in the log.
func (h *Host) AppliedVersions() []cicadacross.Version {
	var versions []cicadacross.Version
	for _, line := range h.Daemon.Tail(maxKeptLines) {
		if !strings.Contains(line, `msg="configuration applied"`) {
			continue
		}
		_, rest, _ := strings.Cut(line, " version=")
		text, _, _ := strings.Cut(rest, " ")
		number, digest, _ := strings.Cut(text, "-")
		parsed, err := strconv.ParseUint(number, 10, 64)
		assert.NilError(h.fleet.t, err, line)
		versions = append(versions, cicadacross.NewVersion(parsed, digest))
	}
	return versions
}

// LastApplied returns the last version that the current daemon process has applied, or the zero Version.
func (h *Host) LastApplied() cicadacross.Version {
	versions := h.AppliedVersions()
	if len(versions) == 0 {
		return cicadacross.Version{}
	}
	return versions[len(versions)-1]
}

// HasApplied reports whether the last version that the current daemon process has applied has the number, and whether
// the daemon is ready.
func (h *Host) HasApplied(version uint64) bool {
	return h.LastApplied().Number() == version && h.Daemon.Logged("msg=ready")
}

// StartUpstream starts a new process of the host's upstream stand-in.
func (h *Host) StartUpstream() {
	h.fleet.t.Helper()
	h.Upstream = Start(h.fleet.t, "upstream "+h.name, Upstream, nil,
		append([]string{"--listen=" + h.address(upstreamPort)}, h.fleet.options.UpstreamFlags...)...)
}

// StartDaemon starts a new process of the host's daemon. It does not wait until the daemon is ready.
func (h *Host) StartDaemon() {
	h.fleet.t.Helper()
	f := h.fleet
	var seeds []string
	for _, zone := range f.zones {
		for _, seed := range f.Hosts(zone)[:f.options.Seeds] {
			if seed != h {
				seeds = append(seeds, seed.address(peerEntrancePort))
			}
		}
	}
	flags := []string{
		"--host=" + h.name, "--availability-zone=" + h.zone,
		"--listen-caller=" + h.address(callerPort), "--listen-peer=" + h.address(peerPort),
		"--advertise-peer=" + h.address(peerEntrancePort), "--listen-operator=" + h.address(operatorPort),
		"--platform=" + f.PlatformLink(h.zone).proxy.Listen, "--upstream=" + h.address(upstreamPort),
		"--decision-lines=10000",
	}
	for _, seed := range seeds {
		flags = append(flags, "--seeds="+seed)
	}
	h.Daemon = Start(f.t, "daemon "+h.name, Daemon, []string{"CICADACROSS_FLEET_KEY=" + FleetKey},
		append(flags, f.options.DaemonFlags...)...)
}

// Request sends a request to the daemon of the host on a new connection and returns the complete response. The error
// is not nil when there is no response or its body could not be read to the end.
func (h *Host) Request(ctx context.Context, method, path, body string, header map[string]string) (Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, h.URL(path), strings.NewReader(body))
	if err != nil {
		return Response{}, err
	}
	request.Host = Service
	for name, value := range header {
		request.Header.Set(name, value)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return Response{}, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return Response{Status: response.StatusCode, Header: response.Header, Body: string(data)}, err
}

// URL returns the URL of the path at the address at which the daemon accepts requests of callers.
func (h *Host) URL(path string) string { return "http://" + h.address(callerPort) + path }

// PeerAddress returns the address on which the daemon itself listens for other daemons. Connections to it bypass the
// fault-injecting network.
func (h *Host) PeerAddress() string { return h.address(peerPort) }

// NestedRequests sends a request whose upstream sends the next one to the same daemon, and so on, until calls requests
// are in progress at once. It returns the response to the first.
func (h *Host) NestedRequests(ctx context.Context, calls int) (Response, error) {
	header := map[string]string{}
	if calls > 1 {
		header[upstream.HeaderCall] = h.URL("/")
		header[upstream.HeaderService] = Service
		header[upstream.HeaderRemainingCalls] = strconv.Itoa(calls - 1)
	}
	return h.Request(ctx, http.MethodGet, "/", "", header)
}

// Response is an HTTP response with its complete body.
type Response struct {
	Status int
	Header http.Header
	Body   string
}

// Logged reports whether the output of any daemon has a line that contains all parts.
func (f *Fleet) Logged(parts ...string) bool {
	for _, h := range f.hosts {
		if h.Daemon.Logged(parts...) {
			return true
		}
	}
	return false
}

// DisconnectPlatform disconnects the zone from the platform only.
func (f *Fleet) DisconnectPlatform(zone string) { f.PlatformLink(zone).Disconnect() }
