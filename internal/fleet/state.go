package fleet

import (
	"context"
	"maps"
	"slices"
	"time"

	"cicadacross"
)

// Member is a snapshot of what this daemon knows about one host.
type Member struct {
	Host             string
	AvailabilityZone string
	Peer             string
	Operator         string
	Incarnation      uint64
	Version          cicadacross.Version
	// Heard reports whether any daemon was ever in direct contact with the host, and LastHeardAge is the time since the
	// last contact.
	Heard        bool
	LastHeardAge time.Duration
	Suspect      bool // exchanges with it failed, or the platform doesn't list it and it is silent
	Leaving      bool // receives no new requests
	Reader       bool // watches the source
	// Registered reports whether the applied register lists the host.
	Registered bool
}

// PendingVersion is a newer version that isn't applied yet.
type PendingVersion struct {
	Version cicadacross.Version
	Age     time.Duration
	// Reason is the last error of fetching it, or empty.
	Reason string
}

// State is a snapshot of the control state for operators.
type State struct {
	Host             string
	AvailabilityZone string
	Applied          cicadacross.Version
	// AppliedAt is the time of the last apply; zero before the first.
	AppliedAt time.Time
	// Refused is the most recent refusal that operators must act on: of a version newer than the applied one, or of a
	// manifest that could not be decoded and was read since the last apply. It is nil if there is none.
	Refused  *RefusedVersion
	Refusals []RefusedVersion
	Pending  []PendingVersion
	Conflict *Conflict
	History  []AppliedVersion
	// SourceHeard reports whether any reader ever had an answer from the source, and SourceAge is the time since the last
	// answer.
	SourceHeard bool
	SourceAge   time.Duration
	// SourceError is the last error of this daemon's own calls to the source, or empty after a success.
	SourceError string
	// SettingsMismatch describes how the settings of this daemon differ from the register, or is empty.
	SettingsMismatch string
	Reader           bool
	// ReaderPosition is the position of this host in the order of its availability zone, from 0.
	ReaderPosition int
	Ready          bool
	Settled        bool
	Paused         bool
	Draining       bool
	Members        int      // known hosts, including this one
	Suspects       int      // members for which Member.Suspect is set
	Leaving        []string // hosts, sorted
	// CallsInFlight is the number of network calls in progress, without the watches of the source.
	CallsInFlight int
	Counts        Counts
}

// Configuration returns the applied configuration, or nil before the first apply.
func (f *Fleet) Configuration() *cicadacross.Configuration { return f.current.Load() }

// Ready reports whether this daemon has a configuration and has completed its check for a newer one, which checkTimeout
// bounds.
func (f *Fleet) Ready() bool { return f.ready.Load() }

// Members returns all known hosts including this one, sorted by host. It is nil when the Fleet isn't running.
func (f *Fleet) Members() []Member { return runQuery(f, memberQuery{reply: make(chan []Member, 1)}) }

// State returns a snapshot of the control state. It is the zero State when the Fleet isn't running.
func (f *Fleet) State() State { return runQuery(f, stateQuery{reply: make(chan State, 1)}) }

// History returns the last versions that this daemon applied, the oldest first. It is nil when the Fleet isn't running.
func (f *Fleet) History() []AppliedVersion { return f.State().History }

// query is a message that the control goroutine answers with a value on a channel.
type query[T any] interface {
	message
	replies() <-chan T
}

// runQuery returns the answer to the query, or the zero value when the Fleet isn't running.
func runQuery[T any](f *Fleet, q query[T]) T {
	var zero T
	if !f.started.Load() {
		return zero
	}
	f.post(q)
	answer, err := awaitReply(context.Background(), f, q.replies())
	if err != nil {
		return zero
	}
	return answer
}

type memberQuery struct{ reply chan []Member }

func (q memberQuery) replies() <-chan []Member { return q.reply }

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
			Heard:            !m.lastHeard.IsZero(),
			LastHeardAge:     ageOf(now, m.lastHeard),
			Suspect:          m.isSuspect(now),
			Leaving:          f.IsLeaving(m.host),
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

// ageOf returns 0 for the zero time.
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
		Leaving:          f.IsLeaving(f.opts.Host) || f.computeLeaving(now, f.opts.Host),
		Reader:           f.readers.reading,
		Registered:       registered,
	}
}

type stateQuery struct{ reply chan State }

func (q stateQuery) replies() <-chan State { return q.reply }

func (q stateQuery) handle(f *Fleet) {
	now := f.timers.Now()
	s := State{
		Host:             f.opts.Host,
		AvailabilityZone: f.opts.AvailabilityZone,
		Applied:          f.version(),
		Refusals:         slices.Clone(f.refusals.list),
		History:          slices.Clone(f.history),
		SourceHeard:      !f.readers.sourceAnsweredAt.IsZero(),
		SourceAge:        ageOf(now, f.readers.sourceAnsweredAt),
		SourceError:      f.readers.sourceError,
		SettingsMismatch: f.settingsMismatch,
		Reader:           f.readers.reading,
		ReaderPosition:   f.readers.position,
		Ready:            f.Ready(),
		Settled:          f.Settled(),
		Paused:           f.pause.active,
		Draining:         f.draining,
		Members:          f.members.size() + 1,
		Leaving:          slices.Sorted(maps.Keys(*f.leaving.Load())),
		CallsInFlight:    f.callsInFlight,
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
		if m.isSuspect(now) {
			s.Suspects++
		}
	}
	for _, w := range f.fetches.wanted {
		s.Pending = append(s.Pending, PendingVersion{Version: w.version, Age: now.Sub(w.since), Reason: w.lastError})
	}
	s.Refused = f.refusals.current(s.Applied, s.AppliedAt)
	q.reply <- s
}

// current returns the refusal for State.Refused, or nil.
func (r *refusalList) current(applied cicadacross.Version, appliedAt time.Time) *RefusedVersion {
	for _, refused := range slices.Backward(r.list) {
		unreadable := refused.Version.Number() == 0 && !refused.Since.Before(appliedAt)
		if unreadable || refused.Version.Compare(applied) > 0 {
			return &refused
		}
	}
	return nil
}
