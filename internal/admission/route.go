package admission

import (
	"math"
	"time"

	"cicadacross"
)

const (
	// serviceWeight is the weight of one request in the moving averages of the service time.
	serviceWeight = 0.1
	// conservativeDeviations is the number of mean absolute deviations above the mean below which about 99 in 100 service
	// times lie, since their distribution is skewed to the right. With 1, 6 in 100 of the requests of a flood that were
	// started missed their target time.
	conservativeDeviations = 4
	// allowanceWindow limits the unused allowance of a route to the slot time that accrues in this time at usualRateMargin
	// times its usual rate. It covers bursts of random arrivals; with a longer one, a flood of urgent requests would count
	// as usual for as long.
	allowanceWindow = time.Second
	// minBurstRequests is the lower bound of that limit, in requests, so that requests of rare routes are admitted at all.
	minBurstRequests = 3
	// A route that has used up most of its allowance, and whose trendRate is above floodThreshold times its usual rate, is
	// guaranteed only floodGuaranteedShare of its usual rate. It can still get slots beyond that: all that remain if it is
	// the only route above its usual rate, and a share by worth if all routes are. As far as the usual rate isn't learned
	// yet, the initial rate isn't reduced. The window of trendRate is the averaging window divided by trendWindowDivisor.
	floodThreshold       = 2
	floodGuaranteedShare = 0.4
	trendWindowDivisor   = 6
	// recentWindow is the averaging window of the recent rate of a route: short enough to detect a flood before it fills
	// the slots. Two service times are added, so that the window contains some requests of a slow route.
	recentWindow = 500 * time.Millisecond
)

// never is later than any deadline.
var never = time.Unix(1<<40, 0)

// routeState is the state that a policy keeps of one route. Rates are in slots, that is slot time per time.
type routeState struct {
	name        string
	rank        cicadacross.Rank
	onTimeQueue queue
	// lateQueue holds requests that miss their due time but not their deadline, in the order of arrival.
	lateQueue queue

	inProgress int
	lastSeen   time.Time
	// lastMeasured is the time at which a request of the route last ended.
	lastMeasured time.Time

	// meanService and meanDeviation are moving averages of the service time and of its absolute deviation from the mean; 0
	// means unknown.
	meanService   time.Duration
	meanDeviation time.Duration
	// recent holds the latest service times; only the policy "aim" uses it.
	recent recentServices

	// offeredTime is the expected slot time of the requests that arrived since the last update of the rates.
	offeredTime time.Duration
	// learnedRate is the moving average of the offered rate, learnedWeight the fraction of the averaging window that it
	// covers, 0 to 1.
	learnedRate   float64
	learnedWeight float64
	// trendRate is the moving average of the offered rate over a sixth of the averaging window and two service times.
	trendRate float64
	// recentRate is the moving average of the offered rate over recentWindow and two service times.
	recentRate float64
	// usualRate is the usual rate: learnedRate blended with the initial rate.
	usualRate float64
	// refillRate is the rate at which the allowance grows.
	refillRate float64

	// allowance is the slot time that requests of the route may still start within its usual rate, as in a token bucket.
	// It may be negative.
	allowance time.Duration
	// virtualTime orders the routes in the weighted fair sharing of the slots above their usual rates: it grows by the
	// slot time received, in seconds, divided by the worth.
	virtualTime float64
}

func newRouteState(name string) *routeState {
	return &routeState{name: name, onTimeQueue: queue{compare: byDue}, lateQueue: queue{compare: byArrival}}
}

// expectedService returns the mean service time; 0 means unknown.
func (r *routeState) expectedService() time.Duration { return r.meanService }

// conservativeService returns a service time that few requests exceed.
func (r *routeState) conservativeService() time.Duration {
	return r.meanService + conservativeDeviations*r.meanDeviation
}

// recordService updates the averages with the service time of one request.
func (r *routeState) recordService(serviceTime time.Duration) {
	if r.meanService == 0 {
		r.meanService = serviceTime
		r.meanDeviation = serviceTime / 4
		return
	}
	distance := serviceTime - r.meanService
	r.meanService += time.Duration(serviceWeight * float64(distance))
	r.meanDeviation += time.Duration(serviceWeight * (math.Abs(float64(distance)) - float64(r.meanDeviation)))
}

// withinUsualRate reports whether a request of the route may start within its usual rate.
func (r *routeState) withinUsualRate() bool { return r.allowance > 0 }

// usualRateInUse returns the part of its usual rate that the route uses at present, in slots.
func (r *routeState) usualRateInUse() float64 { return min(r.usualRate, r.recentRate) }

// queuedCount returns the number of queued requests.
func (r *routeState) queuedCount() int { return r.onTimeQueue.len() + r.lateQueue.len() }

// head returns the queued request that is served next. There must be one.
func (r *routeState) head() *ticket {
	if r.onTimeQueue.len() > 0 {
		return r.onTimeQueue.tickets[0]
	}
	return r.lateQueue.tickets[0]
}

// latestStart returns the time by which the next queued request must start to be answered on time, or never when it has
// no due time. There must be a queued request.
func (r *routeState) latestStart() time.Time {
	due := r.head().due
	if due.IsZero() {
		return never
	}
	return due.Add(-r.conservativeService())
}

func (r *routeState) worth() float64 {
	if worth := r.rank.Worth(); worth > 0 {
		return worth
	}
	return 1
}

// refill adds the allowance that accrued in the elapsed time.
func (r *routeState) refill(elapsed time.Duration) {
	rate := r.refillRate
	if r.isFlooding() && r.trendRate > floodThreshold*r.usualRate {
		rate *= 1 - (1-floodGuaranteedShare)*r.learnedWeight
	}
	r.allowance = min(r.allowance+time.Duration(rate*float64(elapsed)), r.maxAllowance())
}

// maxAllowance returns the upper limit of the allowance.
func (r *routeState) maxAllowance() time.Duration {
	return max(time.Duration(usualRateMargin*r.usualRate*float64(allowanceWindow)), minBurstRequests*r.meanService)
}

// updateRates updates the moving averages of the offered rate for the elapsed time. During overload the learned rate is
// frozen: it must not rise with a flood, and if it could only fall, the randomness of the arrivals would lower it
// steadily.
func (r *routeState) updateRates(elapsed, window time.Duration, overloaded bool) {
	rate := float64(r.offeredTime) / float64(elapsed)
	r.offeredTime = 0
	r.recentRate += averageWeight(elapsed, recentWindow+2*r.meanService) * (rate - r.recentRate)
	r.trendRate += averageWeight(elapsed, window/trendWindowDivisor+2*r.meanService) * (rate - r.trendRate)
	if overloaded {
		return
	}
	step := averageWeight(elapsed, window)
	r.learnedWeight += step * (1 - r.learnedWeight)
	r.learnedRate += step / r.learnedWeight * (rate - r.learnedRate)
}

// averageWeight returns the weight of a sample that covers the elapsed time in an exponential moving average over the
// window.
func averageWeight(elapsed, window time.Duration) float64 {
	return 1 - math.Exp(-float64(elapsed)/float64(window))
}

// setUsualRate sets the usual rate, at least the minimum: the learned rate, blended with the initial rate as far as the
// averaging window isn't covered yet.
func (r *routeState) setUsualRate(initial, minimum float64) {
	r.usualRate = max(r.learnedWeight*r.learnedRate+(1-r.learnedWeight)*initial, minimum)
}
