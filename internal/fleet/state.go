package fleet

import (
	"context"
	"maps"
	"slices"
	"time"

	"cicadacross"
)

// Member is a snapshot of what this daemon knows of one host.
type Member struct {
	Host             string
	AvailabilityZone string
	Peer             string
	Operator         string
	Incarnation      uint64
	Version          cicadacross.Version
	// Heard reports whether any daemon has ever heard from the host, and Age how long ago the last time was.
	Heard   bool
	Age     time.Duration
	Suspect bool
	Leaving bool
	Reader  bool
	// Registered reports whether the applied register names the host.
	Registered bool
}

// PendingVersion is a newer version that is not applied yet.
type PendingVersion struct {
	Version cicadacross.Version
	Age     time.Duration
	// Reason is the last failure to fetch it, or empty.
	Reason string
}

// State is a snapshot for operators.
type State struct {
	Host             string
	AvailabilityZone string
	Applied          cicadacross.Version
	// AppliedAt is the time of the last apply, zero before the first.
	AppliedAt time.Time
	// Refused is the refused version that matters now: the latest that is newer than the applied one or unreadable.
	Refused  *RefusedVersion
	Refusals []RefusedVersion
	Pending  []PendingVersion
	Conflict *Conflict
	History  []AppliedVersion
	// SourceHeard reports whether any reader has heard the source, and SourceAge how long ago the last time was.
	SourceHeard bool
	SourceAge   time.Duration
	// SourceError is the last failure of this daemon's own reading of the source, or empty.
	SourceError string
	// Mismatch says in what the settings of this daemon differ from the register, or is empty.
	Mismatch    string
	Reader      bool
	ReaderPlace int
	Ready       bool
	Settled     bool
	Paused      bool
	Draining    bool
	Members     int
	Suspects    int
	Leaving     []string
	// Calls is the number of network calls under way, without the watches of the source.
	Calls  int
	Counts Counts
}

// Configuration returns the applied configuration, nil before the first.
func (f *Fleet) Configuration() *cicadacross.Configuration { return f.current.Load() }

// Ready reports whether this daemon has a configuration and has checked once whether there is a newer one.
func (f *Fleet) Ready() bool { return f.ready.Load() }

// Members returns all known hosts with this one, sorted by host. It is nil when the fleet isn't running.
func (f *Fleet) Members() []Member { return ask(f, memberQuery{reply: make(chan []Member, 1)}) }

// State returns a snapshot of the control state. It is the zero State when the fleet isn't running.
func (f *Fleet) State() State { return ask(f, stateQuery{reply: make(chan State, 1)}) }

// History returns the last versions that this daemon applied, the oldest first.
func (f *Fleet) History() []AppliedVersion { return f.State().History }

// query is a question to the run goroutine.
type query[T any] interface {
	message
	answer() <-chan T
}

func ask[T any](f *Fleet, q query[T]) T {
	var none T
	if !f.started.Load() {
		return none
	}
	f.post(q)
	answer, err := await(context.Background(), f, q.answer())
	if err != nil {
		return none
	}
	return answer
}

type memberQuery struct{ reply chan []Member }

func (q memberQuery) answer() <-chan []Member { return q.reply }

func (q memberQuery) handle(f *Fleet) {
	now := f.timers.Now()
	list := []Member{f.selfMember(now)}
	for _, m := range f.members.all() {
		list = append(list, Member{
			Host:             m.host,
			AvailabilityZone: m.zone,
			Peer:             m.peer,
			Operator:         m.operator,
			Incarnation:      m.incarnation,
			Version:          m.version,
			Heard:            !m.heard.IsZero(),
			Age:              ageOf(now, m.heard),
			Suspect:          m.suspect(now),
			Leaving:          f.Leaving(m.host),
			Reader:           m.reader,
			Registered:       m.registered,
		})
	}
	slices.SortFunc(list, func(a, b Member) int {
		if a.Host < b.Host {
			return -1
		}
		return 1
	})
	q.reply <- list
}

func ageOf(now, then time.Time) time.Duration {
	if then.IsZero() {
		return 0
	}
	return max(0, now.Sub(then))
}

func (f *Fleet) selfMember(now time.Time) Member {
	registered := false
	if c := f.current.Load(); c != nil {
		_, registered = c.TargetOn(f.opts.Host)
	}
	return Member{
		Host:             f.opts.Host,
		AvailabilityZone: f.opts.AvailabilityZone,
		Peer:             f.opts.Peer,
		Operator:         f.opts.Operator,
		Incarnation:      f.incarnation,
		Version:          f.version(),
		Heard:            true,
		Leaving:          f.Leaving(f.opts.Host) || f.isLeaving(now, f.opts.Host),
		Reader:           f.readers.active,
		Registered:       registered,
	}
}

type stateQuery struct{ reply chan State }

func (q stateQuery) answer() <-chan State { return q.reply }

func (q stateQuery) handle(f *Fleet) {
	now := f.timers.Now()
	s := State{
		Host:             f.opts.Host,
		AvailabilityZone: f.opts.AvailabilityZone,
		Applied:          f.version(),
		Refusals:         slices.Clone(f.refusals.list),
		History:          slices.Clone(f.history),
		SourceHeard:      !f.readers.sourceHeard.IsZero(),
		SourceAge:        ageOf(now, f.readers.sourceHeard),
		SourceError:      f.readers.lastError,
		Mismatch:         f.mismatch,
		Reader:           f.readers.active,
		ReaderPlace:      f.readers.place,
		Ready:            f.Ready(),
		Settled:          f.Settled(),
		Paused:           f.pause.active,
		Draining:         f.draining,
		Members:          f.members.size() + 1,
		Leaving:          slices.Sorted(maps.Keys(*f.leaving.Load())),
		Calls:            f.calls,
		Counts:           f.meter.counts(),
	}
	if n := len(f.history); n > 0 {
		s.AppliedAt = f.history[n-1].At
	}
	if f.conflict != nil {
		c := *f.conflict
		s.Conflict = &c
	}
	for _, m := range f.members.byHost {
		if m.suspect(now) {
			s.Suspects++
		}
	}
	for _, w := range f.fetches.wants {
		s.Pending = append(s.Pending, PendingVersion{Version: w.version, Age: now.Sub(w.since), Reason: w.reason})
	}
	s.Refused = f.refusals.relevant(s.Applied, s.AppliedAt)
	q.reply <- s
}

// relevant returns the latest refusal that still stands between the operator and what they published.
func (r *refusalList) relevant(applied cicadacross.Version, appliedAt time.Time) *RefusedVersion {
	for _, refused := range slices.Backward(r.list) {
		unreadable := refused.Version.Number() == 0 && !refused.Since.Before(appliedAt)
		if unreadable || refused.Version.Compare(applied) > 0 {
			return &refused
		}
	}
	return nil
}
