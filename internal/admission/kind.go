package admission

import (
	"math"
	"time"

	"cicadacross"
)

const (
	// serviceWeight is the weight of one request in the averages of the service time.
	serviceWeight = 0.1
	// cautiousDeviations mean absolute deviations above the average lie about 99 in 100 service times, since these spread
	// to the right. With 1, 6 in 100 requests of a flood that were begun missed their target time.
	cautiousDeviations = 4
	// allowanceDepth bounds the unused allowance of a kind. It covers the bursts of random arrivals; a longer one would
	// let a flood of urgent work pass as usual for as long.
	allowanceDepth = time.Second
	// burstRequests is the smallest unused allowance, in requests, so that rare kinds pass at all.
	burstRequests = 3
	// A kind that has used up its allowance, and whose trend is above floodTrend times its usual rate, has floodShare of
	// the usual rate for certain. Alone in excess it gets the rest all the same; when all kinds are in excess, more goes
	// by worth. As far as the usual rate isn't known, the fair start is kept whole.
	floodTrend = 2
	floodShare = 0.4
	trendPart  = 6
	// recentAveraging is the time over which the present rate of a kind is averaged: short enough to see a flood before it
	// has filled the slots. Two service times are added, so that it holds some requests of a slow kind.
	recentAveraging = 500 * time.Millisecond
)

// never is later than every time limit.
var never = time.Unix(1<<40, 0)

// kind is what the share policy knows of one kind of work. Amounts of slot time are in slots: slot time per time.
type kind struct {
	name  string
	rank  cicadacross.Rank
	queue queue
	// late holds requests that miss their target time but not their deadline, in the order of arrival.
	late queue

	inProgress int
	seen       time.Time
	// measuredAt is when a request of the kind last ended.
	measuredAt time.Time

	// service and deviation are averages of the service time and of its distance from the average; 0 when unknown.
	service   time.Duration
	deviation time.Duration

	// offered is the slot time of the requests that arrived since the last learning step.
	offered time.Duration
	// learned is the average of the offered slots, weight the part of the averaging time that it covers, 0 to 1.
	learned float64
	weight  float64
	// trend is the average of the offered slots over a sixth of the averaging time and two service times.
	trend float64
	// recent is the average of the offered slots over recentAveraging.
	recent float64
	// usual is the usual rate in slots, a mix of learned and the fair start.
	usual float64
	// granted is the rate at which the allowance grows, in slots.
	granted float64

	// allowance is the slot time that the kind may begin within its usual rate.
	allowance time.Duration
	// served is the place in the sharing of the excess: it grows by the slot time received, divided by the worth.
	served float64
}

func newKind(name string) *kind {
	return &kind{name: name, queue: queue{before: byDue}, late: queue{before: byArrival}}
}

// expected returns the average service time.
func (k *kind) expected() time.Duration { return k.service }

// cautious returns a service time that few requests exceed.
func (k *kind) cautious() time.Duration { return k.service + cautiousDeviations*k.deviation }

// measure takes the service time of one request.
func (k *kind) measure(d time.Duration) {
	if k.service == 0 {
		k.service = d
		k.deviation = d / 4
		return
	}
	distance := d - k.service
	k.service += time.Duration(serviceWeight * float64(distance))
	k.deviation += time.Duration(serviceWeight * (math.Abs(float64(distance)) - float64(k.deviation)))
}

// within reports whether the kind may begin a request within its usual rate.
func (k *kind) within() bool { return k.allowance > 0 }

// present returns the slots that the kind takes of its usual rate at present.
func (k *kind) present() float64 { return min(k.usual, k.recent) }

// waiting counts the queued requests.
func (k *kind) waiting() int { return k.queue.len() + k.late.len() }

// first returns the request that is served next; there must be one.
func (k *kind) first() *ticket {
	if k.queue.len() > 0 {
		return k.queue.list[0]
	}
	return k.late.list[0]
}

// latestStart returns the time at which the next request must begin to be answered in time.
func (k *kind) latestStart() time.Time {
	due := k.first().due
	if due.IsZero() {
		return never
	}
	return due.Add(-k.cautious())
}

func (k *kind) worth() float64 {
	if w := k.rank.Worth(); w > 0 {
		return w
	}
	return 1
}

// refill adds the allowance of the time that passed.
func (k *kind) refill(passed time.Duration) {
	rate := k.granted
	if k.flooding() && k.trend > floodTrend*k.usual {
		rate *= 1 - (1-floodShare)*k.weight
	}
	k.allowance = min(k.allowance+time.Duration(rate*float64(passed)), k.depth())
}

// depth returns the largest unused allowance.
func (k *kind) depth() time.Duration {
	return max(time.Duration(usualMargin*k.usual*float64(allowanceDepth)), burstRequests*k.service)
}

// learn takes the offered slot time of the time that passed. During overload the learned rate stays as it is: it must
// not rise with a flood, and to let it only fall would make it sink with the randomness of the arrivals.
func (k *kind) learn(passed, averaging time.Duration, overloaded bool) {
	rate := float64(k.offered) / float64(passed)
	k.offered = 0
	k.recent += decay(passed, recentAveraging+2*k.service) * (rate - k.recent)
	k.trend += decay(passed, averaging/trendPart+2*k.service) * (rate - k.trend)
	if overloaded {
		return
	}
	step := decay(passed, averaging)
	k.weight += step * (1 - k.weight)
	k.learned += step / k.weight * (rate - k.learned)
}

// decay returns the weight of the last d in an exponential average.
func decay(d, averaging time.Duration) float64 {
	return 1 - math.Exp(-float64(d)/float64(averaging))
}

// settle sets the usual rate: the learned one, mixed with the fair start as far as too little was seen.
func (k *kind) settle(start, floor float64) {
	k.usual = max(k.weight*k.learned+(1-k.weight)*start, floor)
}
