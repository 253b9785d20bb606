package roster

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"cicadacross"
	"cicadacross/internal/peerpb"
)

const (
	// confirmLimit is the age of the last confirmation from the registry at which a daemon reads for itself. With a ping
	// every 500 ms and one watch it keeps within 2 s, in which a target that leaves must be known everywhere.
	confirmLimit = 1200 * time.Millisecond
	// rankStep keeps the daemons of a zone from taking over at the same time.
	rankStep = 250 * time.Millisecond
	// electionPoll is the time between two looks whether this daemon must read.
	electionPoll = 100 * time.Millisecond
)

// election decides whether this daemon watches the registry. In each availability zone the daemon with the first place
// does; another one does when it hears of no reader before it. It is safe for concurrent use.
type election struct {
	roster *Roster

	mu sync.Mutex
	// zone holds the hosts of the availability zone in the order of their places, all the hosts of the fleet.
	zone []string
	all  []string
	// place is the place of this daemon.
	place int
	// own is when this daemon last heard the registry; others is the latest time at which a reader with an earlier place
	// did, as far as this daemon was told.
	own    time.Time
	others time.Time
	links  *links
	// known says that a configuration is in force.
	known bool
	// wasReader is for the log.
	wasReader bool
}

func (e *election) init(d *Roster) {
	e.roster = d
	e.links = newLinks(d.opts.Host, d.opts.LinkMbps)
}

// placeOf orders hosts by a hash, so that places don't follow addresses, which follow services.
func placeOf(host string) uint64 { return xxhash.Sum64String(host) }

// order sorts the hosts of the zone: fast links first, since the reader sends each change to all daemons of the zone.
func (e *election) order() {
	slices.SortFunc(e.zone, func(a, b string) int {
		return cmp.Or(cmp.Compare(e.links.of(b), e.links.of(a)), cmp.Compare(placeOf(a), placeOf(b)))
	})
	e.place = slices.Index(e.zone, e.roster.opts.Host)
}

// learn takes the links that another daemon knows, and returns those that are new.
func (e *election) learn(told []*peerpb.Link) []*peerpb.Link {
	e.mu.Lock()
	defer e.mu.Unlock()
	news := e.links.learn(told)
	if len(news) > 0 && e.known {
		e.order()
	}
	return news
}

// knownLinks returns all links that this daemon knows.
func (e *election) knownLinks() []*peerpb.Link {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.links.all()
}

// know takes the hosts of a new configuration.
func (e *election) know(c *cicadacross.Configuration) {
	own := e.roster.opts.Host
	zone := []string{own}
	all := []string{}
	for _, t := range c.Targets() {
		if t.Host() == own {
			continue
		}
		all = append(all, t.Host())
		if t.AvailabilityZone() == e.roster.opts.AvailabilityZone {
			zone = append(zone, t.Host())
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.zone, e.all, e.known = zone, all, true
	e.order()
}

// heard notes that this daemon heard the registry.
func (e *election) heard() {
	now := e.roster.opts.Timers.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.own = now
}

// told notes that the reader on the host heard the registry the given time ago.
func (e *election) told(host string, age time.Duration) {
	at := e.roster.opts.Timers.Now().Add(-age)
	e.mu.Lock()
	defer e.mu.Unlock()
	if i := slices.Index(e.zone, host); i >= 0 && i < e.place && at.After(e.others) {
		e.others = at
	}
}

// reading reports whether this daemon has heard the registry lately.
func (e *election) reading(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.own.IsZero() && now.Sub(e.own) < confirmLimit
}

// elected reports whether this daemon must watch the registry now.
func (e *election) elected() bool {
	now := e.roster.opts.Timers.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	elected := e.roster.opts.Everyone || !e.known || e.place == 0 ||
		now.Sub(e.others) > confirmLimit+time.Duration(e.place-1)*rankStep
	if elected != e.wasReader {
		e.wasReader = elected
		e.roster.opts.Log.Info("watch of the registry", "elected", elected, "place", e.place, "zone_hosts", len(e.zone))
	}
	return elected
}

// wait returns true when this daemon must read, or false when ctx ends.
func (e *election) wait(ctx context.Context) bool {
	if e.elected() {
		return ctx.Err() == nil
	}
	t := e.roster.opts.Timers.Every(electionPoll)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-t.C():
			if e.elected() {
				return true
			}
		}
	}
}

// sources returns the hosts to follow: the first two places of the zone.
func (e *election) sources() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var hosts []string
	for _, host := range e.zone[:min(len(e.zone), sourcePlaces)] {
		if host != e.roster.opts.Host {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// anyHost returns a random other host of the fleet, or "".
func (e *election) anyHost() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.all) == 0 {
		return ""
	}
	return e.all[rand.IntN(len(e.all))] // #nosec G404 -- no secret
}
