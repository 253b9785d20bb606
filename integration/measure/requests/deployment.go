package main

import (
	"encoding/csv"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"cicadacross"
	"cicadacross/internal/register"
)

// workload describes the requests that callers send to one route.
type workload struct {
	// routeName is the name of the route in the rules.
	routeName string
	// path is the prefix of the requested paths.
	path string
	// serviceTime is the time that the upstream takes to serve one request.
	serviceTime time.Duration
	// slotShare is the share of the service's slots that the route uses in the usual mix.
	slotShare float64
	// bodyBytes is the length of the request body.
	bodyBytes int
}

const photoBytes = 16 << 10

// deployments holds the workloads of the deployments in examples/. Service times are well below the target times of
// the ranks, so that a request that is not queued ends in time.
var deployments = map[string][]workload{
	"mandorlea": {
		{routeName: "lot-prices", path: "/lots/", serviceTime: 100 * time.Millisecond, slotShare: 0.40},
		{
			routeName: "confirmations", path: "/confirmations/", serviceTime: 120 * time.Millisecond, slotShare: 0.15,
			bodyBytes: 256,
		},
		{routeName: "quotes", path: "/quotes/", serviceTime: 120 * time.Millisecond, slotShare: 0.15, bodyBytes: 256},
		{routeName: "lot-photos", path: "/photos/", serviceTime: time.Second, slotShare: 0.30, bodyBytes: photoBytes},
		{routeName: "stock", path: "/stock/", serviceTime: 100 * time.Millisecond, slotShare: 0.65},
		{routeName: "stock-photos", path: "/photos/", serviceTime: time.Second, slotShare: 0.35, bodyBytes: photoBytes},
	},
	"sofia": {
		{routeName: "pages", path: "/pages/", serviceTime: 120 * time.Millisecond, slotShare: 0.50},
		{
			routeName: "publications", path: "/releases/", serviceTime: 250 * time.Millisecond, slotShare: 0.15,
			bodyBytes: 1 << 10,
		},
		{routeName: "media", path: "/media/", serviceTime: time.Second, slotShare: 0.35, bodyBytes: photoBytes},
		{routeName: "queries", path: "/queries/", serviceTime: 300 * time.Millisecond, slotShare: 0.60},
		{routeName: "archive", path: "/archive/", serviceTime: time.Second, slotShare: 0.40, bodyBytes: photoBytes},
	},
}

// floodRoutes holds, for each deployment, the name of the route that floods in the case of the least and of the most
// urgent rank.
var floodRoutes = map[string]map[string]string{
	"mandorlea": {"least": "lot-photos", "most": "confirmations"},
	"sofia":     {"least": "media", "most": "publications"},
}

// routeLoad is a workload with its route and the total number of slots of the route's service.
type routeLoad struct {
	workload
	index int
	route cicadacross.Route
	slots int
}

// capacityPerSecond returns the number of requests per second that fills all slots of the service.
func (l *routeLoad) capacityPerSecond() float64 { return float64(l.slots) / l.serviceTime.Seconds() }

// targetTime returns the target time of the route's rank. A response within this time is in time.
func (l *routeLoad) targetTime() time.Duration { return l.route.Rank().TargetTime() }

// deployment is a deployment from examples/ whose hosts have been moved to unused loopback addresses.
type deployment struct {
	name           string
	publication    *register.Publication
	registerText   []byte
	rulesText      []byte
	routeLoads     []*routeLoad
	slots          int
	platformListen string
}

// The ports of a host. Every host has its own IP address.
const (
	upstreamPort = 8080
	peerPort     = 7946
	callerPort   = 8000
	operatorPort = 9000
	platformPort = 8085
)

// newDeployment reads the register and the rules of the named deployment below the directory and replaces the
// addresses in the register by unused loopback addresses.
func newDeployment(directory, name string) (*deployment, error) {
	workloads, ok := deployments[name]
	if !ok {
		return nil, fmt.Errorf("deployment %q is unknown; give mandorlea or sofia", name)
	}
	d := &deployment{name: name}
	data, err := os.ReadFile(filepath.Join(directory, name, "register.csv"))
	if err != nil {
		return nil, err
	}
	if d.rulesText, err = os.ReadFile(filepath.Join(directory, name, "rules.toml")); err != nil {
		return nil, err
	}
	rows, err := csv.NewReader(strings.NewReader(string(data))).ReadAll()
	if err != nil {
		return nil, err
	}
	if err := d.assignAddresses(rows); err != nil {
		return nil, err
	}
	publication, faults := register.Parse(register.NewDocument("register.csv", d.registerText),
		register.NewDocument("rules.toml", d.rulesText))
	if len(faults) > 0 {
		return nil, fmt.Errorf("register of %s: %s", name, faults[0])
	}
	d.publication = publication
	return d, d.addRouteLoads(workloads)
}

// assignAddresses sets registerText to the register with the addresses replaced by unused ones in 127.0.0.0/8.
func (d *deployment) assignAddresses(rows [][]string) error {
	prefix, err := freePrefix(len(rows))
	if err != nil {
		return err
	}
	d.platformListen = fmt.Sprintf("%s.1:%d", prefix, platformPort)
	ports := map[string]int{
		"upstream": upstreamPort, "peer": peerPort, "caller": callerPort, "operator": operatorPort,
	}
	for i, row := range rows[1:] {
		for column, title := range rows[0] {
			if port, ok := ports[title]; ok {
				row[column] = hostAddress(prefix, i, port)
			}
		}
	}
	var text strings.Builder
	writer := csv.NewWriter(&text)
	if err := writer.WriteAll(rows); err != nil {
		return err
	}
	d.registerText = []byte(text.String())
	return nil
}

func hostAddress(prefix string, i, port int) string {
	const firstHost = 10
	return fmt.Sprintf("%s.%d:%d", prefix, firstHost+i, port)
}

// freePrefix returns the first three bytes, as text, of IP addresses on which no process listens. The search starts
// at a prefix that depends on the process ID.
func freePrefix(hosts int) (string, error) {
	const low, span = 16, 200
	for try := range span {
		prefix := fmt.Sprintf("127.%d.%d", low+(os.Getpid()+try)%span, low+os.Getpid()/span%span)
		if isFree(prefix, hosts) {
			return prefix, nil
		}
	}
	return "", fmt.Errorf("no free addresses in 127.0.0.0/8")
}

func isFree(prefix string, hosts int) bool {
	for i := range hosts {
		for _, port := range []int{upstreamPort, peerPort, callerPort, operatorPort} {
			listener, err := net.Listen("tcp", hostAddress(prefix, i, port))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

func (d *deployment) addRouteLoads(works []workload) error {
	slots := make(map[string]int)
	routes := make(map[string]cicadacross.Route)
	for _, service := range d.publication.Configuration().Services() {
		for _, target := range service.Targets() {
			slots[service.Name()] += target.Slots()
			d.slots += target.Slots()
		}
		for _, route := range service.Routes() {
			routes[route.Name()] = route
		}
	}
	for i, w := range works {
		route, ok := routes[w.routeName]
		if !ok {
			return fmt.Errorf("the rules of %s have no route %q", d.name, w.routeName)
		}
		d.routeLoads = append(d.routeLoads, &routeLoad{workload: w, index: i, route: route, slots: slots[route.Service()]})
	}
	return nil
}

// ratesAtLoad returns the rates of the usual mix, in requests per second for each routeLoad. load is a multiple of the
// capacity.
func (d *deployment) ratesAtLoad(load float64) []float64 {
	rates := make([]float64, len(d.routeLoads))
	for i, l := range d.routeLoads {
		rates[i] = load * l.slotShare * l.capacityPerSecond()
	}
	return rates
}

// ratesInFlood returns the rates of ratesAtLoad(base), but with the flooding route at load, a multiple of its
// capacity. floodName is "least" or "most".
func (d *deployment) ratesInFlood(floodName string, base, load float64) ([]float64, error) {
	rates := d.ratesAtLoad(base)
	for i, k := range d.routeLoads {
		if k.routeName == floodRoutes[d.name][floodName] {
			rates[i] = load * k.capacityPerSecond()
			return rates, nil
		}
	}
	return nil, fmt.Errorf("flood %q is unknown; give least or most", floodName)
}
