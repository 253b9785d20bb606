package admission

import (
	"math"
	"time"

	"cicadacross"
)

const (
	// serviceWeight is the weight of one request in the averages of the service time.
	serviceWeight = 0.1
	// allowanceDepth bounds the unused allowance of a kind. It covers the bursts of random arrivals; a longer one would
	// let a flood of urgent work pass as usual for as long.
	allowanceDepth = time.Second
	// burstRequests is the smallest unused allowance, in requests, so that rare kinds pass at all.
	burstRequests = 3
	// recentAveraging is the time over which the present rate of a kind is averaged.
	recentAveraging = 500 * time.Millisecond
)

// kind is what the share policy knows of one kind of work. Amounts of slot time are in slots: slot time per time.
type kind struct {
	name  string
	rank  cicadacross.Rank
	queue queue
	// late holds requests that miss their target time but not their deadline, in the order of arrival.
	late queue

	inProgress int
	seen       time.Time

	// service and deviation are averages of the service time and of its distance from the average; 0 when unknown.
	service   time.Duration
	deviation time.Duration

	// offered is the slot time of the requests that arrived since the last learning step.
	offered time.Duration
	// learned is the average of the offered slots, weight the part of the averaging time that it covers, 0 to 1.
	learned float64
	weight  float64
	// lately is the average of the offered slots over recentAveraging.
	lately float64
	// usual is the usual rate in slots, a mix of learned and the fair start.
	usual float64

	// allowance is the slot time that the kind may begin within its usual rate.
	allowance time.Duration
	// served is the excess slot time received, divided by the worth; the lowest is served first.
	served float64
}

func newKind(name string) *kind {
	return &kind{name: name, queue: queue{before: byDue}, late: queue{before: byArrival}}
}

// expected returns the average service time.
func (k *kind) expected() time.Duration { return k.service }

// cautious returns a service time that few requests exceed.
func (k *kind) cautious() time.Duration { return k.service + k.deviation }

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

// recent returns the slots that the kind asks for at present.
func (k *kind) recent() float64 { return k.lately }

// within reports whether the kind may begin a request within its usual rate.
func (k *kind) within() bool { return k.allowance > 0 }

// waiting counts the queued requests.
func (k *kind) waiting() int { return k.queue.len() + k.late.len() }

func (k *kind) worth() float64 {
	if w := k.rank.Worth(); w > 0 {
		return w
	}
	return 1
}

// refill adds the allowance of the time that passed.
func (k *kind) refill(passed time.Duration, margin float64) {
	rate := k.usual * margin
	depth := max(time.Duration(rate*float64(allowanceDepth)), burstRequests*k.service)
	k.allowance = min(k.allowance+time.Duration(rate*float64(passed)), depth)
}

// learn moves the learned rate toward the offered one. A ceiling keeps it from rising.
func (k *kind) learn(passed, averaging time.Duration, ceiling float64) {
	rate := float64(k.offered) / float64(passed)
	k.offered = 0
	k.lately += (1 - math.Exp(-float64(passed)/float64(recentAveraging))) * (rate - k.lately)
	rate = min(rate, ceiling)
	step := 1 - math.Exp(-float64(passed)/float64(averaging))
	k.weight += step * (1 - k.weight)
	k.learned += step / k.weight * (rate - k.learned)
}

// settle sets the usual rate: the learned one, mixed with the fair start as far as too little was seen.
func (k *kind) settle(start, floor float64) {
	k.usual = max(k.weight*k.learned+(1-k.weight)*start, floor)
}
