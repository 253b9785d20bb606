package main

import (
	"fmt"
	"math/bits"
	"sort"
	"strings"
	"time"
)

func init() { cases["herd"] = caseHerd }

const (
	zoneSize = 16
	// grownApply is configApplyS and drainS of the grown deployments.
	grownApply = 2500 * time.Millisecond
	// herdDown is how long a herd_kill with power lasts when a day names no other time.
	herdDown = 5 * time.Second
)

// caseHerd kills 18 of 32 daemons at once (0.56; the page names 0.6), while the operator moves a route and a target
// reports that it drains.
func caseHerd(rec *record, trouble bool) (bool, error) {
	f, err := newHerdFleet(rec)
	if err != nil {
		return false, err
	}
	defer f.close()
	version := 3
	publish := func(lotService string) time.Time {
		version += 2
		return f.store.put("op/config", configuration(version, host, []rule{
			{"r-lot", "safe", "/lohu930/", lotService, 1.2, 2}, {"r-pay", "unsafe", "/pufi791/", oldService, 1.5, 2},
		}, []string{oldService, newService}, idleRoutes))
	}
	publish(oldService)
	f.registerTargets()
	if err := f.startAll(); err != nil {
		return false, err
	}
	rec.say("%d daemons are ready", len(f.machines))
	killed, alive := herd(f)
	t := &traffic{stop: make(chan struct{})}
	t.start(f, alive, "GET", "/lohu930/40", "", 100*time.Millisecond, 1200*time.Millisecond)
	t.start(f, alive, "POST", "/pufi791/60", "pay", 200*time.Millisecond, 1500*time.Millisecond)
	time.Sleep(5 * time.Second)
	if trouble {
		for _, m := range killed {
			go m.daemon.kill()
		}
		rec.say("herd_kill: %d of %d daemons are killed", len(killed), len(f.machines))
	}
	time.Sleep(20 * time.Millisecond)
	moved := publish(newService)
	leaving := map[string]bool{}
	for _, m := range alive {
		if m.target.service == oldService && m.zone == "bronte" {
			leaving[m.target.id] = true
			m.target.setState("draining")
			f.store.put(m.target.key(), m.target.entry())
			rec.say("target %s drains; acknowledged at %.3f", m.target.id, time.Since(rec.start).Seconds())
			break
		}
	}
	rec.say("version %d moves /lohu930/ from %s to %s; acknowledged at %.3f", version, oldService, newService, rec.since(moved))
	time.Sleep(herdDown)
	if trouble {
		for _, m := range killed {
			if err := f.start(m); err != nil {
				return false, err
			}
		}
		rec.say("the killed daemons are started again")
	}
	time.Sleep(3 * time.Second)
	t.end()
	return judgeMoved(f, t, moved, grownApply, leaving), nil
}

// newHerdFleet returns a deployment of 2 zones and 2 services.
func newHerdFleet(rec *record) (*fleet, error) {
	var specs []machineSpec
	for _, zone := range []string{"bronte", "catania"} {
		for i := range zoneSize {
			service := oldService
			if i%4 == 3 {
				service = newService
			}
			specs = append(specs, machineSpec{zone, service})
		}
	}
	return newFleet(rec, specs, 9)
}

// herd returns the machines to kill and the others. The draw takes the first 11 machines of one zone and the first 7 of
// the other in the order of the daemons' election.
func herd(f *fleet) (killed, alive []*machine) {
	byZone := map[string][]*machine{}
	for _, m := range f.machines {
		byZone[m.zone] = append(byZone[m.zone], m)
	}
	for zone, n := range map[string]int{"bronte": 11, "catania": 7} {
		machines := byZone[zone]
		sort.Slice(machines, func(i, j int) bool { return xxhash(machines[i].ip) < xxhash(machines[j].ip) })
		killed, alive = append(killed, machines[:n]...), append(alive, machines[n:]...)
	}
	return killed, alive
}

// judgeMoved checks CONFIG: a request sent later than the limit after the acknowledgement isn't run by the old service.
func judgeMoved(f *fleet, t *traffic, moved time.Time, limit time.Duration, leaving map[string]bool) bool {
	rec := f.record
	services, runs := map[string]string{}, map[string]run{}
	for _, m := range f.machines {
		services[m.target.id] = m.target.service
	}
	late := 0
	for _, r := range f.runs.all() {
		runs[r.id] = r
		if leaving[r.target] && r.at.Sub(moved) > limit {
			late++
		}
	}
	stale, checked := map[string]int{}, 0
	var last time.Duration
	for _, a := range t.answers.all() {
		r, ran := runs[a.id]
		where := "not run"
		if ran {
			where = fmt.Sprintf("run by %s of %s", r.target, services[r.target])
		}
		rec.printf("sent %.3f by %s: %s %s, %s, status %d %s", rec.since(a.sentAt), a.machine, a.id, a.path, where, a.status, a.err)
		if !strings.HasPrefix(a.path, "/lohu930/") || a.sentAt.Sub(moved) <= limit {
			continue
		}
		checked++
		if ran && services[r.target] == oldService {
			stale[a.machine]++
			last = max(last, a.sentAt.Sub(moved))
		}
	}
	n := 0
	for machine, count := range stale {
		rec.say("CONFIG: %d requests of %s, sent later than %v after the acknowledgement, are run by the old service", count,
			machine, limit)
		n += count
	}
	rec.say("requests on the moved route sent later than %v after the acknowledgement: %d, run by the old service: %d, the "+
		"last one sent %.3f s after it", limit, checked, n, last.Seconds())
	rec.say("requests that reached the draining target later than %v after its report: %d", limit, late)
	return n == 0
}

// xxhash returns the 64-bit xxHash of a text of up to 31 bytes.
func xxhash(text string) uint64 {
	const (
		p1 uint64 = 11400714785074694791
		p2 uint64 = 14029467366897019727
		p3 uint64 = 1609587929392839161
		p4 uint64 = 9650029242287828579
		p5 uint64 = 2870177450012600261
	)
	b := []byte(text)
	h := p5 + uint64(len(b))
	for ; len(b) >= 8; b = b[8:] {
		k := uint64(0)
		for i := 7; i >= 0; i-- {
			k = k<<8 | uint64(b[i])
		}
		h ^= bits.RotateLeft64(k*p2, 31) * p1
		h = bits.RotateLeft64(h, 27)*p1 + p4
	}
	if len(b) >= 4 {
		k := uint64(b[0]) | uint64(b[1])<<8 | uint64(b[2])<<16 | uint64(b[3])<<24
		h ^= k * p1
		h = bits.RotateLeft64(h, 23)*p2 + p3
		b = b[4:]
	}
	for _, c := range b {
		h ^= uint64(c) * p5
		h = bits.RotateLeft64(h, 11) * p1
	}
	h ^= h >> 33
	h *= p2
	h ^= h >> 29
	h *= p3
	h ^= h >> 32
	return h
}
