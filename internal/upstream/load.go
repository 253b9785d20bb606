package upstream

import "cicadacross"

// observeLoad passes on a report of the upstream's load, and logs the first one that is ignored. While the upstream has
// requests that the observer doesn't know of, the health endpoint is asked for the next report.
func (u *Upstream) observeLoad(load cicadacross.UpstreamLoad, fault string) {
	if fault != "" && u.loadFaults.Add(1) == 1 {
		u.opts.Logger.Info("ignoring load reports of the upstream", "reason", fault, "upstream", u.opts.Address)
	}
	if observer := u.opts.LoadObserver; observer != nil && load.IsReported() {
		observer.ObserveUpstreamLoad(load)
		u.followForeign()
	}
}

// observeUnanswered records that a call ended without a response.
func (u *Upstream) observeUnanswered() {
	if observer := u.opts.LoadObserver; observer != nil {
		observer.ObserveUnanswered()
		u.followForeign()
	}
}

// followForeign lets the health endpoint be asked while the upstream has requests that the observer doesn't know of.
func (u *Upstream) followForeign() {
	foreign := u.opts.LoadObserver != nil && u.opts.LoadObserver.ForeignCount() > 0
	if u.warmup.setForeign(u.opts.Timers.Now(), foreign) && foreign {
		u.wakeProbe()
	}
}

// IgnoredLoadReports returns the number of reports of the upstream's load that were ignored.
func (u *Upstream) IgnoredLoadReports() int64 { return u.loadFaults.Load() }
