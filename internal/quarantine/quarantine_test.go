package quarantine_test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cicadacross"
	"cicadacross/internal/failure"
	"cicadacross/internal/quarantine"
	"cicadacross/internal/timer"
)

// TestMain sets the seed and size of the property tests, unless flags set them, so that all runs are the same.
func TestMain(m *testing.M) {
	fixed := map[string]string{
		"rapid.seed": "1", "rapid.checks": "500", "rapid.steps": "100", "rapid.nofailfile": "true",
	}
	flag.Parse()
	flag.Visit(func(f *flag.Flag) { delete(fixed, f.Name) })
	for name, value := range fixed {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func newTracker(host string, timers *timer.Manual) *quarantine.Tracker {
	return quarantine.New(quarantine.Options{Host: host, Timers: timers})
}

// tryEnter enters without waiting.
func tryEnter(t *quarantine.Tracker, fingerprint uint64) (func(), error) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return t.Enter(ctx, fingerprint)
}

func kindOf(err error) quarantine.Kind {
	kind, _ := failure.KindOf[quarantine.Kind](err)
	return kind
}

func ExampleTracker() {
	tracker := newTracker("h1", timer.NewManual(time.Unix(0, 0)))
	const fingerprint = 12 // identifies the request
	for range 2 {
		leave, _ := tracker.Enter(context.Background(), fingerprint)
		tracker.RecordCrash()
		leave()
	}
	_, err := tracker.Enter(context.Background(), fingerprint)
	fmt.Println(err)
	// Output: enter: the request was in progress at 2 crashes, last on host "h1"
}

// Guards against starvation of a suspect: it waits for the other suspect and then runs.
func TestSuspectWaitsForTheOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := newTracker("h1", timer.NewManual(time.Unix(0, 0)))
		for _, f := range []uint64{1, 2} {
			_, err := tryEnter(tracker, f)
			assert.NilError(t, err)
		}
		tracker.RecordCrash()
		leave, err := tryEnter(tracker, 1)
		assert.NilError(t, err)
		w := &waiter{}
		go w.run(tracker, 2)
		synctest.Wait()
		assert.Assert(t, w.leave == nil)
		leave()
		synctest.Wait()
		assert.Assert(t, w.leave != nil)
		w.leave()
		assert.Equal(t, len(tracker.Suspects()), 0)
	})
}

type waiter struct{ leave func() }

func (w *waiter) run(tracker *quarantine.Tracker, fingerprint uint64) {
	w.leave, _ = tracker.Enter(context.Background(), fingerprint)
}

// Guards against a crash that never expires because two daemons report it to each other, each time with a slightly
// later crash time.
func TestReportedCrashExpires(t *testing.T) {
	timers := timer.NewManual(time.Unix(0, 0))
	a, b := newTracker("a", timers), newTracker("b", timers)
	_, _ = tryEnter(a, 1)
	a.RecordCrash()
	for range 10 * 60 {
		fromA, fromB := a.Suspects(), b.Suspects()
		timers.Advance(time.Second) // the messages take a second
		a.Merge(fromB)
		b.Merge(fromA)
	}
	timers.Advance(5 * time.Second)
	assert.Equal(t, len(a.Suspects())+len(b.Suspects()), 0)
}

// model is the expected state of one tracker: a crash count and time for each fingerprint.
type model struct {
	crashes    map[uint64]int
	last       map[uint64]time.Time
	inProgress map[uint64][]running
}

type running struct {
	leave     func()
	suspect   bool // entered as a suspect
	startedAt time.Time
}

func (m *model) expire(now time.Time) {
	for f, last := range m.last {
		if now.Sub(last) >= 10*time.Minute {
			delete(m.last, f)
			delete(m.crashes, f)
		}
	}
}

func (m *model) suspectRuns() bool {
	for f, requests := range m.inProgress {
		if len(requests) > 0 && m.crashes[f] > 0 {
			return true
		}
	}
	return false
}

// Guards against a quarantined request that runs, suspects that run concurrently, innocent requests that stay suspects,
// and lists that grow without bound.
func TestTrackerFollowsModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		timers := timer.NewManual(time.Unix(1000, 0))
		tracker := newTracker("h1", timers)
		m := &model{
			crashes: make(map[uint64]int), last: make(map[uint64]time.Time),
			inProgress: make(map[uint64][]running),
		}
		fingerprint := rapid.Uint64Range(1, 5)
		rt.Repeat(map[string]func(*rapid.T){
			"enter": func(rt *rapid.T) {
				f := fingerprint.Draw(rt, "fingerprint")
				m.expire(timers.Now())
				leave, err := tryEnter(tracker, f)
				switch {
				case m.crashes[f] >= 2:
					assert.Equal(rt, kindOf(err), quarantine.KindQuarantined)
				case m.crashes[f] == 1 && m.suspectRuns():
					assert.Equal(rt, kindOf(err), quarantine.KindWaiting)
				default:
					assert.NilError(rt, err)
					r := running{leave: leave, suspect: m.crashes[f] == 1, startedAt: timers.Now()}
					m.inProgress[f] = append(m.inProgress[f], r)
				}
			},
			"leave": func(rt *rapid.T) {
				f := fingerprint.Draw(rt, "fingerprint")
				m.expire(timers.Now())
				if n := len(m.inProgress[f]); n > 0 {
					r := m.inProgress[f][n-1]
					m.inProgress[f] = m.inProgress[f][:n-1]
					r.leave()
					if r.suspect && m.crashes[f] == 1 && !m.last[f].After(r.startedAt) {
						delete(m.crashes, f)
						delete(m.last, f)
					}
				}
			},
			"crash": func(*rapid.T) {
				m.expire(timers.Now())
				tracker.RecordCrash()
				m.crash(timers.Now())
			},
			"merge": func(rt *rapid.T) {
				f := fingerprint.Draw(rt, "fingerprint")
				m.expire(timers.Now())
				// A crash on another host, later than every time at which a fingerprint was cleared on this host.
				timers.Advance(10 * time.Second)
				tracker.Merge([]cicadacross.Suspect{{Fingerprint: f, Crashes: 1, Host: "h2"}})
				m.expire(timers.Now())
				m.crashes[f], m.last[f] = max(m.crashes[f], 1), timers.Now()
			},
			"advance": func(rt *rapid.T) {
				timers.Advance(time.Duration(rapid.IntRange(1, 400).Draw(rt, "seconds")) * time.Second)
			},
			"": func(rt *rapid.T) {
				m.expire(timers.Now())
				for f := uint64(1); f <= 5; f++ {
					assert.Equal(rt, tracker.IsQuarantined(f), m.crashes[f] >= 2)
					assert.Equal(rt, tracker.IsSuspect(f), m.crashes[f] >= 1)
				}
				assert.Equal(rt, len(tracker.Suspects()), len(m.crashes))
			},
		})
	})
}

func (m *model) crash(now time.Time) {
	var suspects []uint64
	for f, requests := range m.inProgress {
		switch {
		case len(requests) == 0:
		case m.crashes[f] > 0:
			suspects = append(suspects, f)
			m.last[f] = now
		default:
			m.crashes[f], m.last[f] = 1, now
		}
	}
	enteredAsSuspect := func(r running) bool { return r.suspect }
	if len(suspects) == 1 && slices.ContainsFunc(m.inProgress[suspects[0]], enteredAsSuspect) {
		m.crashes[suspects[0]] = 2
	}
	m.inProgress = make(map[uint64][]running)
}

// Guards against a merge that removes or weakens known entries, even when the list is full, and against a list that
// grows without bound.
func TestMergeIsMonotoneAndBounded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tracker := newTracker("h1", timer.NewManual(time.Unix(1000, 0)))
		blocked := make(map[uint64]bool)
		for range rapid.IntRange(0, 50).Draw(rt, "told") {
			s := cicadacross.Suspect{
				Fingerprint: rapid.Uint64Range(1, 30).Draw(rt, "fingerprint"),
				Crashes:     rapid.IntRange(-1, 4).Draw(rt, "crashes"),
				Age:         time.Duration(rapid.IntRange(-10, 900).Draw(rt, "age")) * time.Second,
			}
			tracker.Merge([]cicadacross.Suspect{s})
			if s.Crashes >= 2 && s.Age < 10*time.Minute {
				blocked[s.Fingerprint] = true
			}
		}
		for f := uint64(1001); f <= 1300; f++ {
			tracker.Merge([]cicadacross.Suspect{{Fingerprint: f, Crashes: 1}})
		}
		known := 0
		for f := uint64(1); f <= 1300; f++ {
			if tracker.IsSuspect(f) {
				known++
			}
			assert.Equal(rt, tracker.IsQuarantined(f), blocked[f])
		}
		assert.Equal(rt, known, 256)
		assert.Equal(rt, len(tracker.Suspects()), quarantine.MaxSuspects)
	})
}

// fleet is a service whose ingress daemons learn of suspects only by an exchange.
type fleet struct {
	timers   *timer.Manual
	service  *cicadacross.Service
	trackers map[string]*quarantine.Tracker
	down     map[string]bool
}

// Guards against a request that takes down more targets than the package documentation states: those on which it was
// running, one for each send by a daemon that wasn't informed, and the confined one.
func TestCrashingRequestTakesDownFewTargets(t *testing.T) {
	const crasher = 42
	rapid.Check(t, func(rt *rapid.T) {
		f := newFleet(30)
		hosts := rapid.Permutation(f.hosts()).Draw(rt, "hosts")
		running := rapid.IntRange(1, 3).Draw(rt, "running")
		for _, h := range hosts[:running] {
			_, err := tryEnter(f.trackers[h], crasher)
			assert.NilError(rt, err)
		}
		for _, h := range hosts[:running] {
			f.crash(h)
		}
		uninformed := 0
		for range rapid.IntRange(0, 60).Draw(rt, "sends") {
			ingress := rapid.SampledFrom(hosts).Draw(rt, "ingress")
			target := rapid.SampledFrom(hosts).Draw(rt, "target")
			if f.trackers[ingress].IsSuspect(crasher) {
				confined, _ := quarantine.ConfinedTarget(f.service, crasher)
				target = confined.Host()
			} else if !f.down[target] && !f.trackers[target].IsQuarantined(crasher) {
				uninformed++
			}
			if _, err := tryEnter(f.trackers[target], crasher); err == nil {
				f.crash(target)
			}
			f.exchange(rapid.SampledFrom(hosts).Draw(rt, "one"), rapid.SampledFrom(hosts).Draw(rt, "other"))
		}
		assert.Assert(rt, len(f.down) <= running+uninformed+1, "%d of %d+%d+1 targets are down",
			len(f.down), running, uninformed)
	})
}

func newFleet(size int) *fleet {
	f := &fleet{
		timers: timer.NewManual(time.Unix(0, 0)), trackers: make(map[string]*quarantine.Tracker),
		down: make(map[string]bool),
	}
	var opts cicadacross.ConfigurationOptions
	for i := range size {
		host := fmt.Sprint("h", i)
		f.trackers[host] = newTracker(host, f.timers)
		opts.Targets = append(opts.Targets, cicadacross.NewTarget(cicadacross.TargetOptions{
			Name: host, Service: "portal", Host: host,
		}))
	}
	f.service, _ = cicadacross.NewConfiguration(opts).Service("portal")
	return f
}

func (f *fleet) hosts() []string {
	var list []string
	for _, t := range f.service.Targets() {
		list = append(list, t.Host())
	}
	return list
}

func (f *fleet) crash(host string) {
	f.trackers[host].RecordCrash()
	f.down[host] = true
}

func (f *fleet) exchange(a, b string) {
	fromA, fromB := f.trackers[a].Suspects(), f.trackers[b].Suspects()
	f.trackers[a].Merge(fromB)
	f.trackers[b].Merge(fromA)
}

// Guards against a quarantined request that other daemons don't learn of, since later crashes had more requests in
// progress than a message holds.
func TestQuarantinedRequestsAreReportedFirst(t *testing.T) {
	timers := timer.NewManual(time.Unix(0, 0))
	tracker, other := newTracker("h1", timers), newTracker("h2", timers)
	for range 2 {
		_, err := tryEnter(tracker, 1)
		assert.NilError(t, err)
		tracker.RecordCrash()
	}
	timers.Advance(time.Second)
	for f := uint64(2); f < 2+quarantine.MaxSuspects; f++ {
		_, err := tryEnter(tracker, f)
		assert.NilError(t, err)
	}
	tracker.RecordCrash()
	other.Merge(tracker.Suspects())
	assert.Assert(t, other.IsQuarantined(1))
}

// Guards against a popular page that is refused for 10 minutes because two upstreams, which were both running it, crash
// within the time in which one daemon informs another.
func TestRunningRequestIsNotQuarantinedByAReport(t *testing.T) {
	timers := timer.NewManual(time.Unix(0, 0))
	first, second := newTracker("h1", timers), newTracker("h2", timers)
	for _, tracker := range []*quarantine.Tracker{first, second} {
		_, err := tryEnter(tracker, 1)
		assert.NilError(t, err)
	}
	first.RecordCrash()
	timers.Advance(50 * time.Millisecond)
	second.Merge(first.Suspects())
	second.RecordCrash()
	for _, tracker := range []*quarantine.Tracker{first, second} {
		tracker.Merge(second.Suspects())
		assert.Assert(t, tracker.IsSuspect(1))
		assert.Assert(t, !tracker.IsQuarantined(1))
	}
	// A crash in its next run, as the only suspect, quarantines it.
	_, err := tryEnter(second, 1)
	assert.NilError(t, err)
	second.RecordCrash()
	assert.Assert(t, second.IsQuarantined(1))
}

// Guards against innocent requests that stay suspects: each is cleared by its next run after the crash, even if other
// daemons still report it.
func TestInnocentsAreClearedByTheirNextRun(t *testing.T) {
	timers := timer.NewManual(time.Unix(0, 0))
	tracker, other := newTracker("h1", timers), newTracker("h2", timers)
	for f := uint64(1); f <= 10; f++ {
		_, err := tryEnter(tracker, f)
		assert.NilError(t, err)
	}
	tracker.RecordCrash()
	other.Merge(tracker.Suspects())
	timers.Advance(time.Second)
	for f := uint64(1); f <= 10; f++ {
		leave, err := tryEnter(tracker, f)
		assert.NilError(t, err)
		leave()
		tracker.Merge(other.Suspects())
	}
	assert.Equal(t, len(tracker.Suspects()), 0)
}
