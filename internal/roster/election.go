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
	// confirmationTimeout is the age of the last confirmation from the registry at which a daemon reads the registry
	// itself. Together with a ping interval of 500 ms and one watch, it stays within 2 s, the time limit for all daemons
	// to learn of a leaving target.
	confirmationTimeout = 1200 * time.Millisecond
	// initialReaderTimeout replaces confirmationTimeout after this daemon discovered others at earlier positions of the
	// election order. It covers the start of a stream from them.
	initialReaderTimeout = 600 * time.Millisecond
	// takeoverStep is the additional timeout per position that isn't lost, so that the daemons of an availability zone
	// don't take over at the same time.
	takeoverStep = 250 * time.Millisecond
	// electionCheckInterval is the time between two checks whether this daemon is elected.
	electionCheckInterval = 100 * time.Millisecond
)

// election decides whether this daemon is a reader, which watches the registry. In each availability zone, the daemon
// at position 0 of the election order is the reader; another one becomes a reader too when no reader before it
// reports a recent confirmation. It is safe for concurrent use.
type election struct {
	roster *Roster

	mu sync.Mutex
	// zoneHosts holds the hosts of the availability zone in election order, with this one; otherHosts holds all other
	// hosts of the fleet.
	zoneHosts  []string
	otherHosts []string
	// position is the index of this host in zoneHosts.
	position int
	// lost holds the hosts of the availability zone that can't be expected to read the registry.
	lost map[string]bool
	// ownConfirmedAt is when the registry last confirmed the records to this daemon; readerConfirmedAt is the latest time
	// at which it did so to a reader at an earlier position, as far as that reader has reported it.
	ownConfirmedAt    time.Time
	readerConfirmedAt time.Time
	linkSpeeds        *linkSpeeds
	// registered reports that the upstream of this host is part of the configuration.
	registered bool
	// hostsKnown reports that the hosts of a configuration are known.
	hostsKnown bool
	// loggedElected is the result that was last logged.
	loggedElected bool
}

func (e *election) init(d *Roster) {
	e.roster = d
	e.linkSpeeds = newLinkSpeeds(d.opts.Host, d.opts.LinkMbps)
}

// hostHash returns the hash by which hosts with equal link speeds are ordered. They aren't ordered by address, since
// addresses are grouped by service.
func hostHash(host string) uint64 { return xxhash.Sum64String(host) }

// sortZoneHosts sorts the hosts of the availability zone and sets the position of this one. Hosts with faster links
// come first, since the reader sends each change to all daemons of the availability zone. The caller must hold mu.
func (e *election) sortZoneHosts() {
	slices.SortFunc(e.zoneHosts, func(a, b string) int {
		return cmp.Or(cmp.Compare(e.linkSpeeds.mbpsOf(b), e.linkSpeeds.mbpsOf(a)), cmp.Compare(hostHash(a), hostHash(b)))
	})
	position := slices.Index(e.zoneHosts, e.roster.opts.Host)
	if e.position == 0 && position > 0 {
		// The daemons before this one are assumed to read until initialReaderTimeout has passed without a confirmation.
		e.readerConfirmedAt = e.roster.opts.Timers.Now().Add(initialReaderTimeout - confirmationTimeout)
	}
	e.position = position
}

// mergeLinks merges the link speeds that another daemon reported and returns those that are new or changed.
func (e *election) mergeLinks(reported []*peerpb.Link) []*peerpb.Link {
	e.mu.Lock()
	defer e.mu.Unlock()
	changed := e.linkSpeeds.merge(reported)
	if len(changed) > 0 && e.hostsKnown {
		e.sortZoneHosts()
	}
	return changed
}

// knownLinks returns all link speeds that this daemon knows.
func (e *election) knownLinks() []*peerpb.Link {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.linkSpeeds.list()
}

// setHosts replaces the hosts by those of a new configuration.
func (e *election) setHosts(c *cicadacross.Configuration) {
	ownHost := e.roster.opts.Host
	zoneHosts := []string{ownHost}
	otherHosts := []string{}
	_, registered := c.TargetOn(ownHost)
	for _, t := range c.Targets() {
		if t.Host() == ownHost {
			continue
		}
		otherHosts = append(otherHosts, t.Host())
		if t.AvailabilityZone() == e.roster.opts.AvailabilityZone {
			zoneHosts = append(zoneHosts, t.Host())
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.zoneHosts, e.otherHosts, e.hostsKnown, e.registered = zoneHosts, otherHosts, true, registered
	e.sortZoneHosts()
}

// isRegistered reports whether the upstream of this host is part of the configuration.
func (e *election) isRegistered() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.registered
}

// recordOwnConfirmation records that the registry has just confirmed the records to this daemon.
func (e *election) recordOwnConfirmation() {
	now := e.roster.opts.Timers.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ownConfirmedAt = now
}

// recordReaderConfirmation records that the reader on the host reported a confirmation of the given age. Only hosts at
// earlier positions count.
func (e *election) recordReaderConfirmation(host string, age time.Duration) {
	at := e.roster.opts.Timers.Now().Add(-age)
	e.mu.Lock()
	defer e.mu.Unlock()
	if i := slices.Index(e.zoneHosts, host); i >= 0 && i < e.position && at.After(e.readerConfirmedAt) {
		e.readerConfirmedAt = at
	}
}

// isReading reports whether the registry has confirmed the records to this daemon within confirmationTimeout.
func (e *election) isReading(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.ownConfirmedAt.IsZero() && now.Sub(e.ownConfirmedAt) < confirmationTimeout
}

// isElected reports whether this daemon must watch the registry now, and logs when the result changes. While no hosts
// are known, every daemon is elected.
func (e *election) isElected() bool {
	now := e.roster.opts.Timers.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	elected := e.roster.opts.EveryDaemonReads || !e.hostsKnown || e.position == 0 ||
		now.Sub(e.readerConfirmedAt) > confirmationTimeout+time.Duration(max(0, e.hostsAhead()-1))*takeoverStep
	if elected != e.loggedElected {
		e.loggedElected = elected
		e.roster.opts.Logger.Info("registry reader election changed", "elected", elected, "place", e.position,
			"zone_hosts", len(e.zoneHosts))
	}
	return elected
}

// waitUntilElected waits until this daemon is elected. It returns false when ctx ends.
func (e *election) waitUntilElected(ctx context.Context) bool {
	if e.isElected() {
		return ctx.Err() == nil
	}
	t := e.roster.opts.Timers.Every(electionCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-t.C():
			if e.isElected() {
				return true
			}
		}
	}
}

// order returns the hosts of the availability zone in election order and the position of this host in it.
func (e *election) order() (hosts []string, own int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.zoneHosts), e.position
}

// setLost sets which hosts of the availability zone are lost.
func (e *election) setLost(lost map[string]bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lost = lost
}

// hostsAhead returns the number of hosts before this one in the election order that aren't lost. The caller must hold
// mu.
func (e *election) hostsAhead() int {
	n := 0
	for _, host := range e.zoneHosts[:min(e.position, len(e.zoneHosts))] {
		if !e.lost[host] {
			n++
		}
	}
	return n
}

// randomOtherHost returns a random other host of the fleet, or "" when there is none.
func (e *election) randomOtherHost() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.otherHosts) == 0 {
		return ""
	}
	return e.otherHosts[rand.IntN(len(e.otherHosts))] // #nosec G404 -- no secret
}
