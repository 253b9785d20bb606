package main

import (
	"os"
	"strconv"
	"strings"
	"time"
)

func init() { cases["quar"] = caseQuar }

// crashGap is the time between the ends of the two targets: 50 ms, or CRASH_GAP_MS.
func crashGap() time.Duration {
	ms, err := strconv.Atoi(os.Getenv("CRASH_GAP_MS"))
	if err != nil {
		ms = 50
	}
	return time.Duration(ms) * time.Millisecond
}

// caseQuar crashes two targets shortly one after the other while all callers read the same page.
func caseQuar(rec *record, trouble bool) (bool, error) {
	var specs []machineSpec
	for _, zone := range []string{"bronte", "bronte", "catania", "catania", "adrano", "adrano", "paterno", "paterno"} {
		specs = append(specs, machineSpec{zone, oldService})
	}
	f, err := newFleet(rec, specs, 9)
	if err != nil {
		return false, err
	}
	defer f.close()
	f.store.put("op/config", configuration(7, host, []rule{
		{"r-lot", "safe", "/lohu930/", oldService, 1.2, 2}, {"r-pay", "unsafe", "/pufi791/", oldService, 1.5, 2},
	}, []string{oldService}, idleRoutes))
	f.registerTargets()
	if err := f.startAll(); err != nil {
		return false, err
	}
	t := &traffic{stop: make(chan struct{})}
	t.start(f, f.machines, "GET", "/lohu930/160", "", 60*time.Millisecond, 1200*time.Millisecond)
	t.start(f, f.machines, "POST", "/pufi791/60", "pay", 300*time.Millisecond, 1500*time.Millisecond)
	time.Sleep(4 * time.Second)
	crashed := time.Now()
	if trouble {
		for i := range 2 {
			f.machines[i].target.close()
			time.Sleep(crashGap())
		}
		rec.say("2 targets crash")
		time.Sleep(3 * time.Second)
		for i := range 2 {
			if err := f.machines[i].target.start(); err != nil {
				return false, err
			}
		}
		rec.say("they are back")
	} else {
		time.Sleep(3 * time.Second)
	}
	time.Sleep(20 * time.Second)
	t.end()
	count := map[string]map[int]int{}
	for _, a := range t.answers.all() {
		rec.printf("sent %.3f by %s: %s %s, status %d %s %s", rec.since(a.sentAt), a.machine, a.id, a.path, a.status, a.err, strings.TrimSpace(a.body))
		if a.sentAt.Sub(crashed) > 8*time.Second {
			if count[a.path] == nil {
				count[a.path] = map[int]int{}
			}
			count[a.path][a.status]++
		}
	}
	rec.say("from 8 s after the crash, answers by status: %v", count)
	lot := count["/lohu930/160"]
	return lot[200]*4 >= lot[200]+lot[503]+lot[429]+lot[502]+lot[504], nil
}
