package main

import (
	"time"
)

func init() { cases["gone"] = caseGone }

// leavingTargets is the number of targets that leave at once: a share of .13 (scale_in in the site file) of the 24
// targets of the service.
const leavingTargets = 3

// caseGone kills 18 of 32 daemons at once, while targets leave that never report draining: their entries are removed,
// and they go on serving.
func caseGone(rec *record, trouble bool) (bool, error) {
	f, err := newHerdFleet(rec)
	if err != nil {
		return false, err
	}
	defer f.close()
	f.store.put("op/config", configuration(7, host, []rule{{"r-lot", "safe", "/lohu930/", oldService, 1.2, 2}},
		[]string{oldService, newService}, idleRoutes))
	f.registerTargets()
	if err := f.startAll(); err != nil {
		return false, err
	}
	rec.say("%d daemons are ready", len(f.machines))
	killed, alive := herd(f)
	t := &traffic{stop: make(chan struct{})}
	t.start(f, alive, "GET", "/lohu930/40", "", 50*time.Millisecond, 1200*time.Millisecond)
	time.Sleep(5 * time.Second)
	if trouble {
		for _, m := range killed {
			go m.daemon.kill()
		}
		rec.say("herd_kill: %d of %d daemons are killed", len(killed), len(f.machines))
	}
	time.Sleep(20 * time.Millisecond)
	gone := map[string]time.Time{}
	for i := len(alive) - 1; i >= 0 && len(gone) < leavingTargets; i-- {
		if target := alive[i].target; target.service == oldService {
			gone[target.id] = f.store.remove(target.key())
			rec.say("the entry of %s on %s is removed; acknowledged at %.3f", target.id, alive[i].name,
				rec.since(gone[target.id]))
		}
	}
	time.Sleep(herdDown)
	if trouble {
		for _, m := range killed {
			if err := f.start(m); err != nil {
				return false, err
			}
		}
		rec.say("the killed daemons are started again")
	}
	time.Sleep(2 * time.Second)
	t.end()
	sender := map[string]string{}
	for _, a := range t.answers.all() {
		sender[a.id] = a.machine
		rec.printf("sent %.3f by %s: %s, status %d %s", rec.since(a.sentAt), a.machine, a.id, a.status, a.err)
	}
	late, last := 0, time.Duration(0)
	for _, r := range f.runs.all() {
		rec.printf("run %.3f %s at %s", rec.since(r.at), r.id, r.target)
		removed, leaves := gone[r.target]
		if !leaves || r.at.Sub(removed) <= grownApply {
			continue
		}
		last = max(last, r.at.Sub(removed))
		if late++; late <= 3 {
			rec.say("DRAIN: request %s, sent to %s, reaches %s %.3f s after its removal was acknowledged", r.id, sender[r.id],
				r.target, r.at.Sub(removed).Seconds())
		}
	}
	rec.say("requests that reached a target later than %v after its removal: %d, the last one after %.3f s", grownApply, late,
		last.Seconds())
	return late == 0, nil
}
