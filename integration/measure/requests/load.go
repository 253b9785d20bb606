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
	// maxOpen bounds the requests of one kind that the client has open; arrivals beyond it are counted as not sent. The
	// bound is for each kind so that a flood doesn't hold back the others in the client.
	maxOpen = 4000
	// maxKinds is the largest number of kinds of a deployment.
	maxKinds    = 8
	dialTimeout = time.Second
)

// arrival is one request of an open-loop load.
type arrival struct {
	at   time.Duration
	kind *kind
}

// phase is a part of a run with constant rates.
type phase struct {
	length time.Duration
	rates  []float64
}

// arrivals returns Poisson arrivals of the phases. The same seed gives the same arrivals.
func arrivals(kinds []*kind, phases []phase, seed uint64) []arrival {
	random := rand.New(rand.NewPCG(seed, uint64(len(kinds)))) // #nosec G404
	var list []arrival
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
			list = append(list, arrival{at: at, kind: choose(kinds, p.rates, random.Float64()*total)})
		}
		start = end
	}
	return list
}

func choose(kinds []*kind, rates []float64, point float64) *kind {
	for i, rate := range rates {
		if point < rate {
			return kinds[i]
		}
		point -= rate
	}
	return kinds[len(kinds)-1]
}

// result is how a request ended for its caller.
type result int

const (
	resultDone result = iota
	resultNotRun
	resultUnknown
	// resultOpen is a request that wasn't answered when the run ended.
	resultOpen
	// resultUnsent is a request that wasn't sent because too many were open.
	resultUnsent
)

// sample is one request. The times count from the start of the run.
type sample struct {
	kind            *kind
	intended, ended time.Duration
	late            time.Duration
	result          result
	reason          string
	id              string
}

// inTime reports whether the request was answered within its rank's target time from the intended send time.
func (s *sample) inTime() bool {
	return s.result == resultDone && s.ended-s.intended <= s.kind.target()
}

// driver sends requests through the daemons.
type driver struct {
	client  *http.Client
	callers []string
	seed    uint64
	// direct means that the addresses are those of upstreams, which don't tell an outcome.
	direct  bool
	start   time.Time
	next    atomic.Uint64
	open    [maxKinds]atomic.Int64
	group   sync.WaitGroup
	mu      sync.Mutex
	samples []sample
}

func newDriver(callers []string, seed uint64) *driver {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxOpen, DisableCompression: true,
	}
	return &driver{client: &http.Client{Transport: transport}, callers: callers, seed: seed}
}

// send sends the arrivals at their times and returns after the last was sent. The requests end with ctx.
func (d *driver) send(ctx context.Context, list []arrival) {
	d.start = clock.Now()
	for i, a := range list {
		if !sleep(ctx, d.start.Add(a.at).Sub(clock.Now())) {
			return
		}
		if d.open[a.kind.index].Load() >= maxOpen {
			d.add(sample{kind: a.kind, intended: a.at, ended: a.at, result: resultUnsent})
			continue
		}
		d.begin(ctx, a, i)
	}
}

// begin sends one arrival now.
func (d *driver) begin(ctx context.Context, a arrival, number int) {
	d.open[a.kind.index].Add(1)
	d.group.Add(1)
	go (&call{driver: d, ctx: ctx, arrival: a, id: fmt.Sprintf("%s-%d-%d", a.kind.work.route, d.seed, number)}).run()
}

func (d *driver) add(s sample) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.samples = append(d.samples, s)
}

// close waits for the requests, which must be ending, and closes the connections.
func (d *driver) close() {
	d.group.Wait()
	d.client.CloseIdleConnections()
}

// call is one request in progress.
type call struct {
	driver  *driver
	ctx     context.Context
	arrival arrival
	id      string
}

func (c *call) run() {
	d := c.driver
	defer d.group.Done()
	defer d.open[c.arrival.kind.index].Add(-1)
	s := sample{kind: c.arrival.kind, intended: c.arrival.at, id: c.id}
	s.late = clock.Now().Sub(d.start) - s.intended
	s.result, s.reason = c.attempt()
	s.ended = clock.Now().Sub(d.start)
	d.add(s)
}

// attempt sends the request to a daemon, and to the next one when the daemon can't be reached at all.
func (c *call) attempt() (result, string) {
	d := c.driver
	first := d.next.Add(1)
	for i := range uint64(len(d.callers)) {
		ended, reason, err := c.do(d.callers[(first+i)%uint64(len(d.callers))])
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

// do sends the request and reads the answer. The error means that there is no answer.
func (c *call) do(address string) (result, string, error) {
	k := c.arrival.kind
	var body io.Reader
	if k.body > 0 {
		// The reader's type is hidden so that the client can't send the request again by itself.
		body = io.LimitReader(strings.NewReader(payload), int64(k.body))
	}
	method := k.route.Method()
	request, err := http.NewRequestWithContext(c.ctx, method, "http://"+address+k.path+c.id, body)
	if err != nil {
		return resultNotRun, "", err
	}
	request.ContentLength = int64(k.body)
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
	ended, reason := c.read(response)
	return ended, reason, nil
}

var payload = strings.Repeat("0123456789abcdef", photoBytes/16)

func (c *call) read(response *http.Response) (result, string) {
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
