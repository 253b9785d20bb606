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

// work is one kind of work that callers send.
type work struct {
	// route is the name of the route in the rules.
	route string
	// path is the prefix of the paths that are requested.
	path string
	// service is the time that the upstream takes.
	service time.Duration
	// part is the part of the service's slots that the kind takes in the usual mix.
	part float64
	// body is the length of the request's body in bytes.
	body int
}

const photoBytes = 16 << 10

// deployments holds the kinds of work of the deployments in examples/. Service times are well below the target times of
// the ranks, so that a request that isn't queued is in time.
var deployments = map[string][]work{
	"mandorlea": {
		{route: "lot-prices", path: "/lots/", service: 100 * time.Millisecond, part: 0.40},
		{route: "confirmations", path: "/confirmations/", service: 120 * time.Millisecond, part: 0.15, body: 256},
		{route: "quotes", path: "/quotes/", service: 120 * time.Millisecond, part: 0.15, body: 256},
		{route: "lot-photos", path: "/photos/", service: time.Second, part: 0.30, body: photoBytes},
		{route: "stock", path: "/stock/", service: 100 * time.Millisecond, part: 0.65},
		{route: "stock-photos", path: "/photos/", service: time.Second, part: 0.35, body: photoBytes},
	},
	"sofia": {
		{route: "pages", path: "/pages/", service: 120 * time.Millisecond, part: 0.50},
		{route: "publications", path: "/releases/", service: 250 * time.Millisecond, part: 0.15, body: 1 << 10},
		{route: "media", path: "/media/", service: time.Second, part: 0.35, body: photoBytes},
		{route: "queries", path: "/queries/", service: 300 * time.Millisecond, part: 0.60},
		{route: "archive", path: "/archive/", service: time.Second, part: 0.40, body: photoBytes},
	},
}

// floodKinds names the kind of each deployment that floods, for the least and the most urgent rank.
var floodKinds = map[string]map[string]string{
	"mandorlea": {"least": "lot-photos", "most": "confirmations"},
	"sofia":     {"least": "media", "most": "publications"},
}

// kind is a kind of work with its route and the slots of its service.
type kind struct {
	work
	index int
	route cicadacross.Route
	slots int
}

// capacity returns the requests a second that would fill all slots of the service.
func (k *kind) capacity() float64 { return float64(k.slots) / k.service.Seconds() }

// target returns the time within which the answer is in time.
func (k *kind) target() time.Duration { return k.route.Rank().TargetTime() }

// deployment is a deployment at addresses of its own.
type deployment struct {
	name           string
	publication    *register.Publication
	registerText   []byte
	rulesText      []byte
	kinds          []*kind
	slots          int
	platformListen string
}

// The ports of a host; every host has an IP address of its own.
const (
	upstreamPort = 8080
	peerPort     = 7946
	callerPort   = 8000
	operatorPort = 9000
	platformPort = 8085
)

// newDeployment reads the register and the rules from the directory and moves the register to free addresses.
func newDeployment(directory, name string) (*deployment, error) {
	works, ok := deployments[name]
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
	if err := d.place(rows); err != nil {
		return nil, err
	}
	publication, faults := register.Parse(register.NewDocument("register.csv", d.registerText),
		register.NewDocument("rules.toml", d.rulesText))
	if len(faults) > 0 {
		return nil, fmt.Errorf("register of %s: %s", name, faults[0])
	}
	d.publication = publication
	return d, d.addKinds(works)
}

// place writes the register with the addresses of a free part of 127.0.0.0/8.
func (d *deployment) place(rows [][]string) error {
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

// freePrefix returns the first three numbers of addresses of which nobody uses any, starting from one that depends on
// the process id.
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

func (d *deployment) addKinds(works []work) error {
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
		route, ok := routes[w.route]
		if !ok {
			return fmt.Errorf("the rules of %s have no route %q", d.name, w.route)
		}
		d.kinds = append(d.kinds, &kind{work: w, index: i, route: route, slots: slots[route.Service()]})
	}
	return nil
}

// mix returns the requests a second of each kind for a load of the usual mix, as a multiple of the capacity.
func (d *deployment) mix(load float64) []float64 {
	rates := make([]float64, len(d.kinds))
	for i, k := range d.kinds {
		rates[i] = load * k.part * k.capacity()
	}
	return rates
}

// flood returns the rates of mix(base) with the flooding kind at the load instead.
func (d *deployment) flood(which string, base, load float64) ([]float64, error) {
	rates := d.mix(base)
	for i, k := range d.kinds {
		if k.work.route == floodKinds[d.name][which] {
			rates[i] = load * k.capacity()
			return rates, nil
		}
	}
	return nil, fmt.Errorf("flood %q is unknown; give least or most", which)
}
