package cicadacross

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// ConfigurationOptions holds the content of a configuration. The slices must not change afterwards.
type ConfigurationOptions struct {
	Version Version
	Targets []Target
	Ranks   []Rank
	Routes  []Route
	// Leaving lists the hosts that receive no new requests.
	Leaving []string
	// PartDigests maps the name of each part to its digest.
	PartDigests map[string]string
	Limits      CallerLimits
	// EvacuatedZones lists the availability zones whose targets receive no new requests.
	EvacuatedZones []string
}

// CallerLimits holds the limits on requests and connections of callers. A zero field means the default of the daemon.
type CallerLimits struct {
	// HeaderSize and BodySize are in bytes.
	HeaderSize int64
	BodySize   int64
	// HeaderTime is the time limit for receiving a request header.
	HeaderTime time.Duration
	// IdleTime is the time after which a connection without a request is closed.
	IdleTime time.Duration
}

// Configuration is one immutable, validated configuration. It is safe for concurrent use.
type Configuration struct {
	version  Version
	services map[string]*Service
	// servicesByLowerName maps the lower-case name of each service, since host names in HTTP are case-insensitive.
	servicesByLowerName map[string]*Service
	targetsByHost       map[string]Target
	ranks               map[string]Rank
	leaving             map[string]bool
	partDigests         map[string]string
	evacuatedZones      map[string]bool
	// routesByAuthority maps each authority in lower case to the routes that callers address by it instead of by the
	// service.
	routesByAuthority map[string]routeTable
	limits            CallerLimits
}

// Service is a named set of targets and routes.
type Service struct {
	name    string
	targets []Target
	routes  []Route
}

// NewConfiguration returns an indexed configuration. It doesn't validate the content; package register does.
func NewConfiguration(opts ConfigurationOptions) *Configuration {
	c := &Configuration{
		version:       opts.Version,
		services:      make(map[string]*Service),
		targetsByHost: make(map[string]Target, len(opts.Targets)),
		ranks:         make(map[string]Rank, len(opts.Ranks)),
		leaving:       make(map[string]bool, len(opts.Leaving)),
		partDigests:   maps.Clone(opts.PartDigests),
		limits:        opts.Limits,

		evacuatedZones:    make(map[string]bool, len(opts.EvacuatedZones)),
		routesByAuthority: make(map[string]routeTable),
	}
	for _, t := range opts.Targets {
		s := c.serviceFor(t.Service())
		s.targets = append(s.targets, t)
		c.targetsByHost[t.Host()] = t
	}
	for _, r := range opts.Routes {
		if r.Authority() != "" {
			c.tableFor(r.Authority()).add(r)
			continue
		}
		s := c.serviceFor(r.Service())
		s.routes = append(s.routes, r)
	}
	for _, s := range c.services {
		slices.SortFunc(s.targets, func(a, b Target) int { return cmp.Compare(a.Name(), b.Name()) })
		slices.SortStableFunc(s.routes, compareRoutes)
	}
	c.servicesByLowerName = make(map[string]*Service, len(c.services))
	for name, s := range c.services {
		c.servicesByLowerName[strings.ToLower(name)] = s
	}
	for _, r := range opts.Ranks {
		c.ranks[r.Name()] = r
	}
	for _, h := range opts.Leaving {
		c.leaving[h] = true
	}
	for _, zone := range opts.EvacuatedZones {
		c.evacuatedZones[zone] = true
	}
	return c
}

func (c *Configuration) serviceFor(name string) *Service {
	s, ok := c.services[name]
	if !ok {
		s = &Service{name: name}
		c.services[name] = s
	}
	return s
}

// compareRoutes orders routes by descending length of the path prefix, then those with a method before those without.
func compareRoutes(a, b Route) int {
	if c := cmp.Compare(len(b.PathPrefix()), len(a.PathPrefix())); c != 0 {
		return c
	}
	if c := cmp.Compare(len(b.Method()), len(a.Method())); c != 0 {
		return c
	}
	return cmp.Compare(a.Name(), b.Name())
}

// Version returns the version of the configuration.
func (c *Configuration) Version() Version { return c.version }

// Service returns the service with the name, or nil and false when there is none. An exact match takes precedence;
// otherwise, the lookup ignores case. Package register rejects services whose names differ only in case.
func (c *Configuration) Service(name string) (*Service, bool) {
	if s, ok := c.services[name]; ok {
		return s, true
	}
	s, ok := c.servicesByLowerName[strings.ToLower(name)]
	return s, ok
}

// RouteForAuthority returns the route with the longest matching path prefix among those of the authority, which is
// compared without regard to case. It returns false when no route of the authority matches.
func (c *Configuration) RouteForAuthority(authority, method, path string) (Route, bool) {
	return c.routesByAuthority[strings.ToLower(authority)].find(method, path)
}

func (c *Configuration) tableFor(authority string) routeTable {
	name := strings.ToLower(authority)
	if c.routesByAuthority[name] == nil {
		c.routesByAuthority[name] = make(routeTable)
	}
	return c.routesByAuthority[name]
}

// routeTable maps path prefixes without a trailing slash to the routes of one authority, so that the cost of a lookup
// doesn't depend on the number of routes.
type routeTable map[string][]Route

func (t routeTable) add(r Route) {
	prefix := strings.TrimSuffix(r.PathPrefix(), "/")
	t[prefix] = append(t[prefix], r)
	slices.SortStableFunc(t[prefix], compareRoutes)
}

func (t routeTable) find(method, path string) (Route, bool) {
	for prefix := path; ; {
		for _, r := range t[prefix] {
			if r.Matches(method, path) {
				return r, true
			}
		}
		cut := strings.LastIndexByte(prefix, '/')
		if cut < 0 {
			return Route{}, false
		}
		prefix = prefix[:cut]
	}
}

// Limits returns the limits on requests and connections of callers.
func (c *Configuration) Limits() CallerLimits { return c.limits }

// Services returns all services, sorted by name.
func (c *Configuration) Services() []*Service {
	list := slices.Collect(maps.Values(c.services))
	slices.SortFunc(list, func(a, b *Service) int { return cmp.Compare(a.name, b.name) })
	return list
}

// TargetOn returns the target on the host, or false when the configuration has none there.
func (c *Configuration) TargetOn(host string) (Target, bool) {
	t, ok := c.targetsByHost[host]
	return t, ok
}

// Targets returns all targets, sorted by host.
func (c *Configuration) Targets() []Target {
	list := slices.Collect(maps.Values(c.targetsByHost))
	slices.SortFunc(list, func(a, b Target) int { return cmp.Compare(a.Host(), b.Host()) })
	return list
}

// Rank returns the rank with the name, or false when there is none.
func (c *Configuration) Rank(name string) (Rank, bool) {
	r, ok := c.ranks[name]
	return r, ok
}

// Ranks returns all ranks, the most urgent first; equally urgent ranks are sorted by name.
func (c *Configuration) Ranks() []Rank {
	list := slices.Collect(maps.Values(c.ranks))
	slices.SortFunc(list, func(a, b Rank) int {
		return cmp.Or(cmp.Compare(a.Urgency(), b.Urgency()), cmp.Compare(a.Name(), b.Name()))
	})
	return list
}

// Leaving reports whether the host is configured to receive no new requests.
func (c *Configuration) Leaving(host string) bool { return c.leaving[host] }

// LeavingHosts returns the hosts that are configured to receive no new requests, sorted.
func (c *Configuration) LeavingHosts() []string { return slices.Sorted(maps.Keys(c.leaving)) }

// IsEvacuated reports whether the targets in the availability zone receive no new requests. Callers in the zone are
// still served, by targets in other zones.
func (c *Configuration) IsEvacuated(availabilityZone string) bool {
	return c.evacuatedZones[availabilityZone]
}

// EvacuatedZones returns the evacuated availability zones, sorted.
func (c *Configuration) EvacuatedZones() []string { return slices.Sorted(maps.Keys(c.evacuatedZones)) }

// PartDigest returns the digest of the named part, or "" when there is none.
func (c *Configuration) PartDigest(name string) string { return c.partDigests[name] }

// Name returns the name of the service.
func (s *Service) Name() string { return s.name }

// Targets returns the targets, sorted by name. The caller must not change the slice.
func (s *Service) Targets() []Target { return s.targets }

// Routes returns the routes in matching order. The caller must not change the slice.
func (s *Service) Routes() []Route { return s.routes }

// Route returns the route with the longest matching path prefix. Among equal prefixes, a route with a method takes
// precedence. It returns false when no route matches.
func (s *Service) Route(method, path string) (Route, bool) {
	for _, r := range s.routes {
		if r.Matches(method, path) {
			return r, true
		}
	}
	return Route{}, false
}

// TargetCount returns the number of targets.
func (c *Configuration) TargetCount() int { return len(c.targetsByHost) }

// TargetCountIn returns the number of targets in the availability zone.
func (c *Configuration) TargetCountIn(availabilityZone string) int {
	count := 0
	for _, t := range c.targetsByHost {
		if t.AvailabilityZone() == availabilityZone {
			count++
		}
	}
	return count
}
