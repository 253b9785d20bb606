package operator

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/zeromicro/go-zero/rest/httpc"

	"cicadacross"
)

const (
	defaultTimeout       = 2 * time.Second
	defaultParallelCalls = 32
	// maxResponseSize is the size limit of a response body, in bytes. It bounds the memory that a wrong response costs.
	maxResponseSize = 8 << 20
)

// ClientOptions configures a client.
type ClientOptions struct {
	Timers cicadacross.Timers
	// Addresses lists daemons that are asked for the members of the fleet, as host:port. One that responds is enough.
	Addresses []string
	// Timeout is the time limit of one HTTP request; 0 means 2 s.
	Timeout time.Duration
	// Parallel is the maximum number of concurrent HTTP requests; 0 means 32.
	Parallel int
}

// Client queries the operator endpoints of a fleet. It is safe for concurrent use.
type Client struct {
	opts ClientOptions
}

// NewClient returns a client. It sends no requests. The kind of the error is KindAddress.
func NewClient(opts ClientOptions) (*Client, error) {
	const op = "operator client"
	if len(opts.Addresses) == 0 {
		return nil, newError(op, KindAddress, "no address of a daemon is given")
	}
	for _, address := range opts.Addresses {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return nil, wrapError(op, KindAddress, err, "address %q; write, for example, 10.1.0.1:9000", address)
		}
	}
	if opts.Timeout <= 0 {
		opts.Timeout = defaultTimeout
	}
	if opts.Parallel <= 0 {
		opts.Parallel = defaultParallelCalls
	}
	return &Client{opts: opts}, nil
}

// getJSON sends a GET request to one daemon and decodes the JSON response into result.
func (c *Client) getJSON(ctx context.Context, address, path string, query url.Values, result any) error {
	const op = "query daemon"
	ctx, cancel := context.WithTimeout(ctx, c.opts.Timeout)
	defer cancel()
	u := url.URL{Scheme: "http", Host: address, Path: path, RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return wrapError(op, KindAddress, err, "address %q", address)
	}
	response, err := httpc.DoRequest(request)
	if err != nil {
		return wrapError(op, KindUnreachable, err, "no response")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return newError(op, KindResponse, "%s responded with status %s", u.String(), response.Status)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseSize+1))
	if err != nil {
		return wrapError(op, KindUnreachable, err, "reading the response of %s", u.String())
	}
	if len(data) > maxResponseSize {
		return newError(op, KindResponse, "the response of %s is larger than %d bytes", u.String(), maxResponseSize)
	}
	if err := json.Unmarshal(data, result); err != nil {
		return wrapError(op, KindResponse, err, "decoding the response of %s", u.String())
	}
	return nil
}

// workerPool runs jobs on a bounded number of goroutines.
type workerPool struct {
	jobs    chan func()
	workers sync.WaitGroup
}

// runJobs runs the jobs, at most parallel of them concurrently, and returns when all have ended.
func runJobs(parallel int, jobs []func()) {
	pool := &workerPool{jobs: make(chan func())}
	for range min(parallel, len(jobs)) {
		pool.workers.Add(1)
		go pool.run()
	}
	for _, job := range jobs {
		pool.jobs <- job
	}
	close(pool.jobs)
	pool.workers.Wait()
}

// run executes jobs one after the other until the channel of jobs is closed and empty.
func (p *workerPool) run() {
	defer p.workers.Done()
	for job := range p.jobs {
		job()
	}
}

// fleetQuery collects the members and states that the daemons of a fleet report.
type fleetQuery struct {
	client *Client
	mu     sync.Mutex
	// hosts is keyed by host name.
	hosts map[string]*hostResult
}

// hostResult is the result of the query for one host.
type hostResult struct {
	member Member
	// state is nil when the host didn't respond; err then says why.
	state   *State
	err     error
	queried bool
}

// fetchMembers fetches and merges the member lists of the daemons at the addresses. It returns the errors of those that
// failed.
func (q *fleetQuery) fetchMembers(ctx context.Context, addresses []string) []error {
	errs := make([]error, len(addresses))
	jobs := make([]func(), len(addresses))
	for i, address := range addresses {
		jobs[i] = func() {
			var response membersResponse
			if errs[i] = q.client.getJSON(ctx, address, pathMembers, nil, &response); errs[i] == nil {
				q.merge(response.Members)
			}
		}
	}
	runJobs(q.client.opts.Parallel, jobs)
	return slices.DeleteFunc(errs, func(err error) bool { return err == nil })
}

// merge adds members. Of two records of one host, it keeps the one with the later incarnation or, within one
// incarnation, the one heard from more recently. A host is leaving or registered if any of its records says so.
func (q *fleetQuery) merge(members []Member) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, m := range members {
		known, ok := q.hosts[m.Host]
		if !ok {
			q.hosts[m.Host] = &hostResult{member: m}
			continue
		}
		leaving, registered := known.member.Leaving || m.Leaving, known.member.Registered || m.Registered
		if m.Incarnation > known.member.Incarnation || m.heardMoreRecently(known.member) {
			known.member = m
		}
		known.member.Leaving, known.member.Registered = leaving, registered
	}
}

// heardMoreRecently reports whether m, unless it is of an earlier incarnation, was heard from more recently than other.
func (m Member) heardMoreRecently(other Member) bool {
	if m.Incarnation < other.Incarnation || m.HeardAge == nil {
		return false
	}
	return other.HeardAge == nil || *m.HeardAge < *other.HeardAge
}

// fetchStates fetches the states of all hosts that were not queried yet and reports whether there were any.
func (q *fleetQuery) fetchStates(ctx context.Context) bool {
	query := url.Values{membersParameter: {withoutMembers}}
	var jobs []func()
	for _, h := range q.hosts {
		if h.queried {
			continue
		}
		h.queried = true
		jobs = append(jobs, func() {
			var state State
			if h.err = q.client.getJSON(ctx, h.member.Operator, pathState, query, &state); h.err == nil {
				h.state = &state
			}
		})
	}
	runJobs(q.client.opts.Parallel, jobs)
	return len(jobs) > 0
}

// newestAddressByZone returns, for each availability zone, the operator address of the host with the newest version.
// Together these hosts know all hosts, even when the daemons that were queried first lag or are partitioned.
func (q *fleetQuery) newestAddressByZone() []string {
	newest := make(map[string]*hostResult)
	for _, h := range q.hosts {
		if h.state == nil {
			continue
		}
		best, ok := newest[h.member.AvailabilityZone]
		if !ok || h.state.Version.Compare(best.state.Version.Version) > 0 {
			newest[h.member.AvailabilityZone] = h
		}
	}
	var addresses []string
	for _, h := range newest {
		addresses = append(addresses, h.member.Operator)
	}
	return addresses
}

// queryFleet fetches the states of all hosts of the fleet. The kind of the error is KindUnreachable.
func (c *Client) queryFleet(ctx context.Context) (*fleetQuery, error) {
	// A newer configuration can contain hosts that an older one doesn't; a few rounds reach all of them.
	const maxRounds = 4
	q := &fleetQuery{client: c, hosts: make(map[string]*hostResult)}
	errs := q.fetchMembers(ctx, c.opts.Addresses)
	if len(errs) == len(c.opts.Addresses) {
		return nil, wrapError("survey", KindUnreachable, errs[0], "none of %d daemons responded; first error", len(errs))
	}
	for range maxRounds {
		if !q.fetchStates(ctx) {
			break
		}
		q.fetchMembers(ctx, q.newestAddressByZone())
	}
	return q, nil
}
