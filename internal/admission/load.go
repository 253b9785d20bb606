package admission

import (
	"time"

	"cicadacross"
)

const (
	// loadReportAge is the age up to which a report of the upstream counts.
	loadReportAge = 500 * time.Millisecond
	// loadReportCount is the number of reports of which the lowest counts: replies that are read in another order than
	// they were sent make requests that have ended appear as foreign ones.
	loadReportCount = 3
	// maxForeignTime is the time after which reports can't take up the last slot any more: other callers of the upstream,
	// or a faulty one, may report requests without an end.
	maxForeignTime = 3 * time.Second
)

// upstreamReports holds what the upstream reports about its load beyond what the gate knows. The zero value is empty.
type upstreamReports struct {
	// foreign holds the requests at the upstream that the gate doesn't know of, by the latest reports.
	foreign    [loadReportCount]int
	reportedAt [loadReportCount]time.Time
	count      int
	// idle reports whether the gate had no requests at the last report.
	idle bool
	// awaiting reports whether no request may start until a report has arrived.
	awaiting bool
	// unanswered is the number of calls that ended without a response and that no report since has shown to be over, and
	// unansweredAt the time of the last of them or of the last report that confirmed one.
	unanswered   int
	unansweredAt time.Time
	// foreignSince is the time since which the reports show foreign requests; the zero time means that they don't.
	foreignSince time.Time
}

// observe records a report of an upstream at which the gate has known requests.
func (r *upstreamReports) observe(now time.Time, load cicadacross.UpstreamLoad, known int) {
	i := r.count % loadReportCount
	r.foreign[i], r.reportedAt[i] = max(0, load.Running+load.Waiting-known), now
	r.count++
	r.idle = known == 0
	if r.unanswered = min(r.unanswered, r.foreign[i]); r.unanswered > 0 {
		r.unansweredAt = now
	}
	if count, _ := r.foreignCount(now); count == 0 {
		r.foreignSince = time.Time{}
	} else if r.foreignSince.IsZero() {
		r.foreignSince = now
	}
}

// observeUnanswered records that a call ended without a response. Its work may go on until a report shows otherwise. An
// upstream without recent reports is assumed to have dropped it.
func (r *upstreamReports) observeUnanswered(now time.Time) {
	if r.count == 0 || now.Sub(r.reportedAt[(r.count-1)%loadReportCount]) >= loadReportAge {
		return
	}
	if now.Sub(r.unansweredAt) >= loadReportAge {
		r.unanswered = 0
	}
	r.unanswered++
	r.unansweredAt = now
}

// foreignCount returns the number of requests at the upstream that the gate doesn't know of, and the time at which the
// reports expire. A single report counts only if the gate had no requests when it arrived, as after a restart of the
// daemon.
func (r *upstreamReports) foreignCount(now time.Time) (int, time.Time) {
	lowest, current := 0, 0
	var expiry time.Time
	if last := (r.count - 1) % loadReportCount; r.idle && now.Sub(r.reportedAt[last]) < loadReportAge {
		return r.foreign[last], r.reportedAt[last].Add(loadReportAge)
	}
	for i := range min(r.count, loadReportCount) {
		if now.Sub(r.reportedAt[i]) >= loadReportAge {
			continue
		}
		if current == 0 || r.foreign[i] < lowest {
			lowest, expiry = r.foreign[i], r.reportedAt[i].Add(loadReportAge)
		}
		current++
	}
	if current < 2 {
		lowest, expiry = 0, time.Time{}
	}
	if r.unanswered > lowest && now.Sub(r.unansweredAt) < loadReportAge {
		return r.unanswered, r.unansweredAt.Add(loadReportAge)
	}
	return lowest, expiry
}

var _ cicadacross.UpstreamLoadObserver = (*Gate)(nil)

// ObserveUpstreamLoad records a report of the upstream. Requests at the upstream that the gate doesn't know of take up
// slots until the reports expire: work of an earlier process of the daemon, or of callers that left.
func (g *Gate) ObserveUpstreamLoad(load cicadacross.UpstreamLoad) {
	if !load.IsReported() {
		return
	}
	g.mu.Lock()
	now := g.timers.Now()
	g.reports.observe(now, load, len(g.running))
	g.grantFreeSlots(now)
	g.unlock()
}

// AwaitReport sets whether no request may start, since a report was requested and may show foreign requests.
func (g *Gate) AwaitReport(awaiting bool) {
	g.mu.Lock()
	g.reports.awaiting = awaiting
	g.grantFreeSlots(g.timers.Now())
	g.unlock()
}

// ObserveUnanswered records that a call to the upstream ended without a response, before its slot is returned.
func (g *Gate) ObserveUnanswered() {
	g.mu.Lock()
	g.reports.observeUnanswered(g.timers.Now())
	g.unlock()
}

// ForeignCount returns the number of requests at the upstream that the gate doesn't know of.
func (g *Gate) ForeignCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	count, _ := g.reports.foreignCount(g.timers.Now())
	return count
}

// usableSlots returns the number of slots that requests of the gate may hold.
func (g *Gate) usableSlots(now time.Time) int {
	if g.reports.awaiting {
		return 0
	}
	foreign, _ := g.reports.foreignCount(now)
	lowest := 0
	if since := g.reports.foreignSince; !since.IsZero() && now.Sub(since) >= maxForeignTime {
		lowest = 1
	}
	return max(lowest, g.slots-foreign)
}

// withExpiry returns the earlier of the time of a check and that at which foreign requests no longer take up slots.
func (g *Gate) withExpiry(now, check time.Time) time.Time {
	foreign, expiry := g.reports.foreignCount(now)
	if foreign > 0 && (check.IsZero() || expiry.Before(check)) {
		return expiry
	}
	return check
}
