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
	defaultTimeout  = 2 * time.Second
	defaultParallel = 32
	// maxAnswer bounds the memory that a wrong answer takes, in bytes.
	maxAnswer = 8 << 20
)

// ClientOptions configures a client.
type ClientOptions struct {
	Timers cicadacross.Timers
	// Addresses lists daemons from which the members are learnt; one that answers is enough.
	Addresses []string
	// Timeout is the time limit of one call; 0 means 2 s.
	Timeout time.Duration
	// Parallel is the number of calls at once; 0 means 32.
	Parallel int
}

// Client asks the operators' endpoints of a fleet. It is safe for concurrent use.
type Client struct {
	opts ClientOptions
}

// NewClient returns a client. The kind of the error is KindAddress.
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
		opts.Parallel = defaultParallel
	}
	return &Client{opts: opts}, nil
}

// get reads a JSON answer of one daemon.
func (c *Client) get(ctx context.Context, address, path string, query url.Values, into any) error {
	const op = "ask daemon"
	ctx, cancel := context.WithTimeout(ctx, c.opts.Timeout)
	defer cancel()
	u := url.URL{Scheme: "http", Host: address, Path: path, RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return wrapError(op, KindAddress, err, "address %q", address)
	}
	response, err := httpc.DoRequest(request)
	if err != nil {
		return wrapError(op, KindUnreachable, err, "no answer")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return newError(op, KindAnswer, "%s answered %s", u.String(), response.Status)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer+1))
	if err != nil {
		return wrapError(op, KindUnreachable, err, "reading the answer of %s", u.String())
	}
	if len(data) > maxAnswer {
		return newError(op, KindAnswer, "%s answered more than %d bytes", u.String(), maxAnswer)
	}
	if err := json.Unmarshal(data, into); err != nil {
		return wrapError(op, KindAnswer, err, "reading the answer of %s", u.String())
	}
	return nil
}

// batch runs calls on a bounded number of goroutines.
type batch struct {
	jobs    chan func()
	workers sync.WaitGroup
}

// runAll runs the jobs, at most parallel at once, and returns when all have ended.
func runAll(parallel int, jobs []func()) {
	b := &batch{jobs: make(chan func())}
	for range min(parallel, len(jobs)) {
		b.workers.Add(1)
		go b.run()
	}
	for _, job := range jobs {
		b.jobs <- job
	}
	close(b.jobs)
	b.workers.Wait()
}

func (b *batch) run() {
	defer b.workers.Done()
	for job := range b.jobs {
		job()
	}
}

// survey collects what the daemons of a fleet say.
type survey struct {
	client *Client
	mu     sync.Mutex
	hosts  map[string]*observation
}

// observation is what is known of one host.
type observation struct {
	member Member
	// state is nil when the host didn't answer, for the reason err.
	state *State
	err   error
	asked bool
}

// learnMembers asks the addresses for their members and returns the errors of those that didn't answer.
func (s *survey) learnMembers(ctx context.Context, addresses []string) []error {
	errs := make([]error, len(addresses))
	jobs := make([]func(), len(addresses))
	for i, address := range addresses {
		jobs[i] = func() {
			var answer membersAnswer
			if errs[i] = s.client.get(ctx, address, pathMembers, nil, &answer); errs[i] == nil {
				s.merge(answer.Members)
			}
		}
	}
	runAll(s.client.opts.Parallel, jobs)
	return slices.DeleteFunc(errs, func(err error) bool { return err == nil })
}

// merge adds members. Of two records of one host, the one that was heard later counts.
func (s *survey) merge(members []Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range members {
		known, ok := s.hosts[m.Host]
		if !ok {
			s.hosts[m.Host] = &observation{member: m}
			continue
		}
		leaving, registered := known.member.Leaving || m.Leaving, known.member.Registered || m.Registered
		if m.Incarnation > known.member.Incarnation || m.heardLater(known.member) {
			known.member = m
		}
		known.member.Leaving, known.member.Registered = leaving, registered
	}
}

func (m Member) heardLater(other Member) bool {
	if m.Incarnation < other.Incarnation || m.HeardAge == nil {
		return false
	}
	return other.HeardAge == nil || *m.HeardAge < *other.HeardAge
}

// askStates asks all hosts that were not asked yet and reports whether there were any.
func (s *survey) askStates(ctx context.Context) bool {
	query := url.Values{membersParameter: {withoutMembers}}
	var jobs []func()
	for _, o := range s.hosts {
		if o.asked {
			continue
		}
		o.asked = true
		jobs = append(jobs, func() {
			var state State
			if o.err = s.client.get(ctx, o.member.Operator, pathState, query, &state); o.err == nil {
				o.state = &state
			}
		})
	}
	runAll(s.client.opts.Parallel, jobs)
	return len(jobs) > 0
}

// newestByZone returns the address of the host with the newest version in each availability zone. Together they know
// all hosts, also when the daemons first asked lag or are cut off.
func (s *survey) newestByZone() []string {
	newest := make(map[string]*observation)
	for _, o := range s.hosts {
		if o.state == nil {
			continue
		}
		best, ok := newest[o.member.AvailabilityZone]
		if !ok || o.state.Version.Compare(best.state.Version.Version) > 0 {
			newest[o.member.AvailabilityZone] = o
		}
	}
	var addresses []string
	for _, o := range newest {
		addresses = append(addresses, o.member.Operator)
	}
	return addresses
}

// newSurvey asks the whole fleet. The kind of the error is KindUnreachable.
func (c *Client) newSurvey(ctx context.Context) (*survey, error) {
	// A configuration can name hosts of which an older one doesn't know; few rounds reach all of them.
	const maxRounds = 4
	s := &survey{client: c, hosts: make(map[string]*observation)}
	errs := s.learnMembers(ctx, c.opts.Addresses)
	if len(errs) == len(c.opts.Addresses) {
		return nil, wrapError("survey", KindUnreachable, errs[0], "none of %d daemons answered; the first", len(errs))
	}
	for range maxRounds {
		if !s.askStates(ctx) {
			break
		}
		s.learnMembers(ctx, s.newestByZone())
	}
	return s, nil
}
