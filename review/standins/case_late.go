package main

import (
	"sync"
	"time"
)

func init() { cases["late"] = caseLate }

const (
	heartbeat = 1500 * time.Millisecond
	// lostPhase is the length of platform_lost in the site file, lateBy how late a lost write is done: 1 to 6 s.
	lostPhase = 4500 * time.Millisecond
	lateBy    = 5500 * time.Millisecond
)

// registry writes the heartbeats of the targets into the store. An entry changes when more than seq changes.
type registry struct {
	store *store
	mu    sync.Mutex
	last  map[string]string
}

// beat writes the entry of a target and returns the time of the acknowledgement.
func (r *registry) beat(t *target) time.Time {
	return r.write(t, t.entry(), t.currentState())
}

func (r *registry) write(t *target, entry, state string) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.last[t.id] == state {
		return time.Now()
	}
	r.last[t.id] = state
	return r.store.put(t.key(), entry)
}

func (t *target) currentState() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state
}

// caseLate loses the answer of one heartbeat, which the store does later. Meanwhile the target reports that it drains.
func caseLate(rec *record, trouble bool) (bool, error) {
	specs := []machineSpec{{"bronte", oldService}, {"bronte", oldService}, {"catania", oldService}, {"adrano", oldService}}
	f, err := newFleet(rec, specs, 9)
	if err != nil {
		return false, err
	}
	defer f.close()
	f.store.put("op/config", configuration(7, host, []rule{
		{"r-lot", "safe", "/lohu930/", oldService, 1.2, 2}, {"r-pay", "unsafe", "/pufi791/", oldService, 1.5, 2},
	}, []string{oldService}, idleRoutes))
	registry := &registry{store: f.store, last: make(map[string]string)}
	for _, m := range f.machines {
		registry.beat(m.target)
	}
	if err := f.startAll(); err != nil {
		return false, err
	}
	rec.say("%d daemons are ready", len(f.machines))
	t := &traffic{stop: make(chan struct{})}
	t.start(f, f.machines, "GET", "/lohu930/40", "", 100*time.Millisecond, 1200*time.Millisecond)
	t.start(f, f.machines, "POST", "/pufi791/60", "pay", 200*time.Millisecond, 1500*time.Millisecond)
	time.Sleep(4 * time.Second)
	leaving := f.machines[0].target
	// platform_lost lasts from here for lostPhase; the last heartbeat of the target in it is done late.
	time.Sleep(lostPhase - 100*time.Millisecond)
	entry := leaving.entry()
	if trouble {
		rec.say("heartbeat of %s, state ready: not answered; it is done %v later", leaving.id, lateBy)
		time.AfterFunc(lateBy, func() {
			registry.write(leaving, entry, "ready")
			rec.say("the late heartbeat is done")
		})
	} else {
		registry.write(leaving, entry, "ready")
	}
	time.Sleep(100 * time.Millisecond)
	rec.say("platform_lost has ended")
	time.Sleep(stableWindow + 100*time.Millisecond)
	leaving.setState("draining")
	drained := registry.beat(leaving)
	rec.say("target %s drains; acknowledged at %.3f", leaving.id, rec.since(drained))
	beats := time.NewTicker(heartbeat)
	defer beats.Stop()
	for end := time.Now().Add(6 * time.Second); time.Now().Before(end); {
		<-beats.C
		registry.beat(leaving)
	}
	t.end()
	late := 0
	for _, a := range t.answers.all() {
		rec.printf("sent %.3f by %s: %s %s, status %d %s", rec.since(a.sentAt), a.machine, a.id, a.path, a.status, a.err)
	}
	for _, r := range f.runs.all() {
		rec.printf("run %.3f %s %s at %s", rec.since(r.at), r.id, r.path, r.target)
		if r.target == leaving.id && r.at.Sub(drained) > drainTime {
			if late++; late <= 3 {
				rec.say("DRAIN: request %s reaches %s %.3f s after its draining was acknowledged", r.id, r.target,
					r.at.Sub(drained).Seconds())
			}
		}
	}
	rec.say("requests that reached the leaving target later than %v after its report: %d", drainTime, late)
	return late == 0, nil
}
