package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"cicadacross"
)

const (
	// maxOpenRequests is the largest number of unfinished requests of one route. Arrivals beyond it are counted as not
	// sent. The limit is per route so that a flood of one route does not block the others in the client.
	maxOpenRequests = 4000
	// maxRoutes is the largest number of routes in the load of a deployment.
	maxRoutes   = 8
	dialTimeout = time.Second
)

// arrival is one request of an open-loop load, to be sent at the time at after the start of the run.
type arrival struct {
	at   time.Duration
	load *routeLoad
}

// phase is a part of a run with constant rates: one rate for each routeLoad, in requests per second.
type phase struct {
	length time.Duration
	rates  []float64
}

// arrivals returns the arrivals of a Poisson process in the phases, in order of time. The same seed gives the same
// arrivals.
func arrivals(loads []*routeLoad, phases []phase, seed uint64) []arrival {
	random := rand.New(rand.NewPCG(seed, uint64(len(loads)))) // #nosec G404
	var arrivalList []arrival
	var start time.Duration
	for _, p := range phases {
		total := 0.0
		for _, rate := range p.rates {
			total += rate
		}
		end := start + p.length
		for at := start; total > 0; {
			at += time.Duration(random.ExpFloat64() / total * float64(time.Second))
			if at >= end {
				break
			}
			arrivalList = append(arrivalList, arrival{at: at, load: chooseByRate(loads, p.rates, random.Float64()*total)})
		}
		start = end
	}
	return arrivalList
}

func chooseByRate(loads []*routeLoad, rates []float64, offset float64) *routeLoad {
	for i, rate := range rates {
		if offset < rate {
			return loads[i]
		}
		offset -= rate
	}
	return loads[len(loads)-1]
}

// result is the outcome of a request as its caller saw it.
type result int

const (
	resultDone result = iota
	resultNotRun
	resultUnknown
	// resultOpen is a request without a response at the end of the run.
	resultOpen
	// resultUnsent is a request that was not sent because of maxOpenRequests.
	resultUnsent
)

// sample is the record of one request. The times intendedSend and ended count from the start of the run; sendDelay is
// how much later than intended the request was sent.
type sample struct {
	load                *routeLoad
	intendedSend, ended time.Duration
	sendDelay           time.Duration
	result              result
	reason              string
	id                  string
}

// inTime reports whether the request was done within the target time of its rank, counted from the intended send time.
func (s *sample) inTime() bool {
	return s.result == resultDone && s.ended-s.intendedSend <= s.load.targetTime()
}

// driver sends an open-loop load to the daemons and records a sample of every request.
type driver struct {
	client  *http.Client
	callers []string
	seed    uint64
	// direct means that the addresses are those of upstreams, whose responses have no outcome header.
	direct       bool
	start        time.Time
	nextCaller   atomic.Uint64
	openRequests [maxRoutes]atomic.Int64
	group        sync.WaitGroup
	mu           sync.Mutex
	samples      []sample
}

func newDriver(callers []string, seed uint64) *driver {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxOpenRequests, DisableCompression: true,
	}
	return &driver{client: &http.Client{Transport: transport}, callers: callers, seed: seed}
}

// send sends the arrivals at their times. It returns after it has sent the last one or when ctx is done, which also
// ends the requests in progress.
func (d *driver) send(ctx context.Context, list []arrival) {
	d.start = clock.Now()
	for i, a := range list {
		if !sleep(ctx, d.start.Add(a.at).Sub(clock.Now())) {
			return
		}
		if d.openRequests[a.load.index].Load() >= maxOpenRequests {
			d.add(sample{load: a.load, intendedSend: a.at, ended: a.at, result: resultUnsent})
			continue
		}
		d.sendOne(ctx, a, i)
	}
}

// sendOne sends the request of one arrival immediately. It does not wait for the response.
func (d *driver) sendOne(ctx context.Context, a arrival, number int) {
	d.openRequests[a.load.index].Add(1)
	d.group.Add(1)
	go (&pendingRequest{
		driver: d, ctx: ctx, arrival: a, id: fmt.Sprintf("%s-%d-%d", a.load.routeName, d.seed, number),
	}).run()
}

func (d *driver) add(s sample) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.samples = append(d.samples, s)
}

// waitAndClose waits for the requests in progress and closes the connections. The caller must make sure that the
// requests end, for example by canceling their context.
func (d *driver) waitAndClose() {
	d.group.Wait()
	d.client.CloseIdleConnections()
}

// pendingRequest is one request in progress with all its attempts.
type pendingRequest struct {
	driver  *driver
	ctx     context.Context
	arrival arrival
	id      string
}

func (c *pendingRequest) run() {
	d := c.driver
	defer d.group.Done()
	defer d.openRequests[c.arrival.load.index].Add(-1)
	s := sample{load: c.arrival.load, intendedSend: c.arrival.at, id: c.id}
	s.sendDelay = clock.Now().Sub(d.start) - s.intendedSend
	s.result, s.reason = c.sendToReachable()
	s.ended = clock.Now().Sub(d.start)
	d.add(s)
}

// sendToReachable sends the request to a daemon, and tries the next one only when no connection could be established.
// It returns the result and the reason when the request was not done.
func (c *pendingRequest) sendToReachable() (result, string) {
	d := c.driver
	first := d.nextCaller.Add(1)
	for i := range uint64(len(d.callers)) {
		ended, reason, err := c.sendTo(d.callers[(first+i)%uint64(len(d.callers))])
		if err == nil {
			return ended, reason
		}
		if c.ctx.Err() != nil {
			return resultOpen, "run ended"
		}
		var operation *net.OpError
		if !errors.As(err, &operation) || operation.Op != "dial" {
			return resultUnknown, "connection broke"
		}
	}
	return resultNotRun, "no daemon reachable"
}

// sendTo sends the request to the address and reads the response. The error is not nil when there is no response.
func (c *pendingRequest) sendTo(address string) (result, string, error) {
	k := c.arrival.load
	var body io.Reader
	if k.bodyBytes > 0 {
		// With a plain strings.Reader, the client could rewind the body and send the request again by itself.
		body = io.LimitReader(strings.NewReader(payload), int64(k.bodyBytes))
	}
	method := k.route.Method()
	request, err := http.NewRequestWithContext(c.ctx, method, "http://"+address+k.path+c.id, body)
	if err != nil {
		return resultNotRun, "", err
	}
	request.ContentLength = int64(k.bodyBytes)
	request.Host = k.route.Service()
	request.Header.Set(cicadacross.HeaderRequestID, c.id)
	if !k.route.Repeatable() {
		key, err := uuid.NewV7()
		if err != nil {
			return resultNotRun, "", err
		}
		request.Header.Set(cicadacross.HeaderIdempotencyKey, key.String())
	}
	response, err := c.driver.client.Do(request)
	if err != nil {
		return resultUnknown, "", err
	}
	defer func() { _ = response.Body.Close() }()
	ended, reason := c.readResponse(response)
	return ended, reason, nil
}

var payload = strings.Repeat("0123456789abcdef", photoBytes/16)

func (c *pendingRequest) readResponse(response *http.Response) (result, string) {
	_, err := io.Copy(io.Discard, response.Body)
	if c.ctx.Err() != nil {
		return resultOpen, "run ended"
	}
	if err != nil {
		return resultUnknown, "answer broke"
	}
	if c.driver.direct && response.StatusCode == http.StatusOK {
		return resultDone, ""
	}
	reason := fmt.Sprintf("%d %s", response.StatusCode, response.Header.Get(cicadacross.HeaderReason))
	switch response.Header.Get(cicadacross.HeaderOutcome) {
	case cicadacross.OutcomeDone.String():
		if response.StatusCode != http.StatusOK {
			return resultUnknown, reason
		}
		return resultDone, ""
	case cicadacross.OutcomeNotRun.String():
		return resultNotRun, reason
	}
	return resultUnknown, reason
}
