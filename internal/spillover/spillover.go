// Package spillover decides how much of the traffic of a route leaves the availability zone of its callers, and to
// which zones. The decision depends only on its arguments and on earlier decisions; the package has no messages, timers
// or goroutines.
package spillover

import (
	"math"
	"slices"
	"time"
)

const (
	// UpdateInterval is the minimum time between two updates of the shares of a route.
	UpdateInterval = 100 * time.Millisecond
	// shareRetention is the time after which shares that weren't updated are discarded.
	shareRetention = 10 * time.Second
	// maxElapsedIntervals limits the change of a share after a pause between updates.
	maxElapsedIntervals = 5

	// The following are fractions of the target time. Above endangeredShare the home zone endangers the target time, and
	// shares rise; below releaseShare they fall; in between they stay.
	endangeredShare = 0.6
	releaseShare    = 0.5
	// A zone starts to receive up to receiveShare and stops above endangeredShare, for the sake of its own callers.
	receiveShare = 0.55
	// maxTransferShare limits the delay that is accepted to keep a transfer in its zone, as a fraction of the target time:
	// a response that is much later has lost its worth.
	maxTransferShare = 0.6
	// minGainShare is the fraction of the target time by which the response must be faster from another zone, after the
	// delay that its bytes are worth. It also covers the round trip between zones, which is a few milliseconds.
	minGainShare = 0.1

	// calmUtilization is the utilization from which a zone receives no more; the rest is for its own callers. It rises to
	// lossUtilization as the response time at home reaches twice its limit, since requests are lost there otherwise.
	calmUtilization = 0.9
	lossUtilization = 1.5
	// maxRise is the maximum rise of the sum of shares per update, and riseGain the rise per unit by which the response
	// time at home exceeds its limit.
	maxRise  = 0.1
	minRise  = 0.01
	riseGain = 0.2
	// fallFactor is the factor on all shares per update when they fall, and maxFall the maximum relative fall of the share
	// of a full zone. They fall gradually, since the reports of a zone lag behind the traffic that it was sent.
	fallFactor = 0.9
	maxFall    = 0.3
	minShare   = 0.01
	// probeShare is the share for a zone without recent reports, whose responses carry new ones.
	probeShare = 0.05

	// targetTimeDecay is the factor per update on the highest target time of a route.
	targetTimeDecay = 0.98

	megabyte = 1e6
)

// Demand describes the requests of one route.
type Demand struct {
	// Route is the name of the route.
	Route string
	// TargetTime is the time left in which a response has its full worth. It is less than that of the route for a request
	// that is retried.
	TargetTime time.Duration
	// Size is the mean size of a request with its response, in bytes.
	Size int64
}

// Zone is the state of the targets of an availability zone that a request may be sent to.
type Zone struct {
	Name string
	// ResponseTime is the expected response time of a request.
	ResponseTime time.Duration
	// Slots is the number of slots of all targets, and Busy the number of requests that hold one or wait for one.
	// Both count only targets with a recent report.
	Slots, Busy int
	// Targets is the number of targets, and Reporting the number of those with a recent report.
	Targets, Reporting int
}

// utilization returns the fraction of the slots that is busy.
func (z Zone) utilization() float64 { return float64(z.Busy) / float64(max(z.Slots, 1)) }

// maxShare limits the share of a zone by how much is known about it.
func (z Zone) maxShare(minReports int) float64 {
	needed := max(1, min(z.Targets, minReports))
	return max(probeShare, min(1, float64(z.Reporting)/float64(needed)))
}

// receiverLimits are the limits of a zone up to which it receives requests of another one.
type receiverLimits struct {
	utilization  float64
	responseTime time.Duration
}

// accepts reports whether the zone may receive more requests.
func (l receiverLimits) accepts(z Zone) bool {
	return z.Reporting > 0 && l.room(z) > 0 && z.ResponseTime <= l.responseTime
}

// room returns the number of slots that are free for other zones.
func (l receiverLimits) room(z Zone) float64 {
	return max(0, l.utilization*float64(z.Slots)-float64(z.Busy))
}

// Options configures a controller.
type Options struct {
	// TransferDelay is the delay that is accepted to keep a megabyte within its availability zone.
	TransferDelay time.Duration
	// MinReports is the number of targets with a recent report from which a zone counts as known.
	MinReports int
}

// Controller holds the shares of all routes. It isn't safe for concurrent use.
type Controller struct {
	opts   Options
	routes map[string]*routeShares
}

// routeShares is the state of one route.
type routeShares struct {
	updatedAt time.Time
	// targetTime is the highest target time of the latest updates.
	targetTime time.Duration
	// byZone holds the share of each zone that receives requests, above 0.
	byZone map[string]float64
	// names holds the zones of byZone in the order of the last update.
	names []string
	// receivers lists the zones that could receive requests at the last update.
	receivers []string
}

// NewController returns a controller without shares.
func NewController(opts Options) *Controller {
	return &Controller{opts: opts, routes: make(map[string]*routeShares)}
}

// Begin reports whether the shares of the demand's route are due for an update. If so, it returns the demand with the
// target time of the route, and Update must be called with it.
func (c *Controller) Begin(now time.Time, d Demand) (Demand, bool) {
	r := c.routeShares(d.Route)
	if now.Sub(r.updatedAt) < UpdateInterval {
		return d, false
	}
	r.targetTime = max(d.TargetTime, fraction(targetTimeDecay, r.targetTime))
	d.TargetTime = r.targetTime
	return d, d.TargetTime > 0
}

// Limit returns the expected response time up to which the home zone keeps all requests.
func (c *Controller) Limit(d Demand) time.Duration {
	return fraction(endangeredShare, d.TargetTime) + c.transferDelay(d)
}

// transferDelay returns the delay that is accepted to keep one request within its zone.
func (c *Controller) transferDelay(d Demand) time.Duration {
	return min(time.Duration(float64(d.Size)/megabyte*float64(c.opts.TransferDelay)),
		fraction(maxTransferShare, d.TargetTime))
}

// Update changes the shares of the demand's route by the state of the home zone and of the others.
func (c *Controller) Update(now time.Time, d Demand, home Zone, others []Zone) {
	r := c.routeShares(d.Route)
	intervals := min(maxElapsedIntervals, now.Sub(r.updatedAt).Seconds()/UpdateInterval.Seconds())
	if now.Sub(r.updatedAt) > shareRetention {
		clear(r.byZone)
		intervals = 1
	}
	r.updatedAt = now
	limit := c.Limit(d)
	excess := max(0, float64(home.ResponseTime)/float64(limit)-1)
	receiver := receiverLimits{
		utilization:  calmUtilization + (lossUtilization-calmUtilization)*min(1, excess),
		responseTime: fraction(receiveShare, d.TargetTime),
	}
	c.limit(r, d, home, others, receiver)
	switch {
	case home.ResponseTime > limit:
		c.rise(r, d, home, others, receiver, intervals*max(minRise, min(maxRise, riseGain*excess)))
	case home.ResponseTime < limit-fraction(endangeredShare-releaseShare, d.TargetTime):
		for name := range r.byZone {
			r.scale(name, math.Pow(fallFactor, intervals))
		}
	}
	r.names, r.receivers = r.names[:0], r.receivers[:0]
	for _, z := range others {
		if z.Reporting == 0 || receiver.accepts(z) {
			r.receivers = append(r.receivers, z.Name)
		}
		if r.byZone[z.Name] > 0 {
			r.names = append(r.names, z.Name)
		}
	}
}

// limit ends the shares of zones that are gone, endanger the target time or don't pay any more, and reduces those of
// zones that are full or little known.
func (c *Controller) limit(r *routeShares, d Demand, home Zone, others []Zone, receiver receiverLimits) {
	present := make(map[string]bool, len(others))
	for _, z := range others {
		present[z.Name] = true
		share, ok := r.byZone[z.Name]
		switch {
		case !ok:
		case z.Reporting == 0:
			r.byZone[z.Name] = min(share, probeShare)
		case z.ResponseTime > fraction(endangeredShare, d.TargetTime),
			z.ResponseTime+c.transferDelay(d) >= home.ResponseTime:
			delete(r.byZone, z.Name)
		case z.utilization() >= receiver.utilization:
			r.scale(z.Name, 1-min(maxFall, z.utilization()-receiver.utilization))
		default:
			r.byZone[z.Name] = min(share, z.maxShare(c.opts.MinReports))
		}
	}
	for name := range r.byZone {
		if !present[name] {
			delete(r.byZone, name)
		}
	}
}

// rise distributes a rise among the zones that may receive more, in proportion to their room. A zone without recent
// reports gets the share of a probe.
func (c *Controller) rise(r *routeShares, d Demand, home Zone, others []Zone, receiver receiverLimits, rise float64) {
	room := 0.0
	for _, z := range others {
		if receiver.accepts(z) && c.gains(d, home, z) {
			room += receiver.room(z)
		}
	}
	for _, z := range others {
		switch {
		case z.Reporting == 0:
			r.byZone[z.Name] = probeShare
		case receiver.accepts(z) && c.gains(d, home, z):
			r.byZone[z.Name] = min(r.byZone[z.Name]+rise*receiver.room(z)/room, z.maxShare(c.opts.MinReports))
		}
	}
	if total := r.total(); total > 1 {
		for name := range r.byZone {
			r.byZone[name] /= total
		}
	}
}

// gains reports whether requests are faster in the zone than at home by enough to pay for their bytes.
func (c *Controller) gains(d Demand, home, z Zone) bool {
	return z.ResponseTime+c.transferDelay(d)+fraction(minGainShare, d.TargetTime) <= home.ResponseTime
}

// Share returns the share of the route's requests that leaves the home zone.
func (c *Controller) Share(route string) float64 {
	if r, ok := c.routes[route]; ok {
		return r.total()
	}
	return 0
}

// Zone returns the zone to which a request is sent, or false when it stays at home. The number is random, uniform in
// [0, 1).
func (c *Controller) Zone(route string, random float64) (string, bool) {
	r, ok := c.routes[route]
	if !ok {
		return "", false
	}
	for _, name := range r.names {
		if random -= r.byZone[name]; random < 0 {
			return name, true
		}
	}
	return "", false
}

// Receives reports whether the zone could receive more requests of the route at the last update.
func (c *Controller) Receives(route, zone string) bool {
	r, ok := c.routes[route]
	return ok && slices.Contains(r.receivers, zone)
}

// LeavesAfterRefusal reports whether a request that targets at home refused leaves the zone, although it doesn't belong
// to a share: home can't answer it in time any more, and a target of another zone is expected to. The times are the
// expected response times; the target time of the demand is the time left.
func (c *Controller) LeavesAfterRefusal(d Demand, home, other time.Duration) bool {
	return home > d.TargetTime && other+c.transferDelay(d) <= d.TargetTime
}

// Prune discards routes that were not updated since the time.
func (c *Controller) Prune(before time.Time) {
	for name, r := range c.routes {
		if r.updatedAt.Before(before) {
			delete(c.routes, name)
		}
	}
}

func (c *Controller) routeShares(route string) *routeShares {
	r, ok := c.routes[route]
	if !ok {
		r = &routeShares{byZone: make(map[string]float64)}
		c.routes[route] = r
	}
	return r
}

// total returns the sum of the shares.
func (r *routeShares) total() float64 {
	sum := 0.0
	for _, share := range r.byZone {
		sum += share
	}
	return sum
}

// scale multiplies the share of a zone and removes it when it becomes negligible.
func (r *routeShares) scale(name string, factor float64) {
	if r.byZone[name] *= factor; r.byZone[name] < minShare {
		delete(r.byZone, name)
	}
}

func fraction(share float64, d time.Duration) time.Duration { return time.Duration(share * float64(d)) }
