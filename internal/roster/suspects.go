package roster

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"cicadacross/internal/peer"
	"cicadacross/internal/peerpb"
)

const (
	// suspectCheckInterval is the time between two checks for daemons that lack suspects.
	suspectCheckInterval = 500 * time.Millisecond
	// suspectCallTimeout is the timeout of the call that exchanges suspects with another daemon.
	suspectCallTimeout = time.Second
	// announceRetryInterval is the time between two attempts to announce suspects to a daemon. A daemon that was cut off
	// is informed within the 3 s after which the platform counts it as connected again.
	announceRetryInterval = 2 * time.Second
	// suspectSources is the number of informed daemons from which a daemon obtains suspects when it starts or was cut off;
	// maxSuspectCalls is the number of daemons that it asks for that.
	suspectSources  = 3
	maxSuspectCalls = 6
	// pauseThreshold is the time between two checks that counts as a pause of the process.
	pauseThreshold = 2 * time.Second
)

// suspectExchange brings the suspects, the requests that were in progress at a crash of an upstream, to all daemons.
// The daemon of the upstream announces them until each other daemon has acknowledged them. A daemon that starts, or
// that was paused or cut off, asks a few others for the suspects that it missed.
type suspectExchange struct {
	roster *Roster
	// announced receives a value when an upstream crashed, results the results of calls.
	announced chan struct{}
	results   chan suspectResult

	// The goroutine run alone uses the following fields.

	// crashes is the number of crashes that were announced.
	crashes int
	// announceAt holds the time of the next announcement to each host that hasn't acknowledged the last crash. calling
	// holds the hosts that are being called.
	announceAt map[string]time.Time
	calling    map[string]bool
	// missing is the number of daemons from which suspects are still to be obtained, callsLeft the number of calls that
	// may be made for that, and asked the hosts that were called.
	missing   int
	callsLeft int
	asked     map[string]bool
	// allAsked reports that all other daemons have been asked.
	allAsked bool
	// started reports that suspects have been asked for since the start, wasLost that the last check found no recent
	// confirmation of the records.
	started bool
	wasLost bool

	pendingHosts metrics.Gauge
	failedCalls  metrics.Counter
}

// suspectResult is the result of a call that exchanged suspects with a host.
type suspectResult struct {
	host string
	// crashes is the number of crashes that were announced when the call began.
	crashes  int
	informed bool
	err      error
}

func (x *suspectExchange) init(d *Roster) {
	x.roster = d
	x.announced = make(chan struct{}, 1)
	x.results = make(chan suspectResult)
	x.announceAt, x.calling = make(map[string]time.Time), make(map[string]bool)
	x.pendingHosts = metrics.GetOrRegisterGauge("quarantine.hosts_not_informed", d.opts.Metrics)
	x.failedCalls = metrics.GetOrRegisterCounter("quarantine.failed_exchanges", d.opts.Metrics)
}

// startSuspectExchange starts the exchange unless there is no quarantine.
func (d *Roster) startSuspectExchange(ctx context.Context) {
	if d.opts.Quarantine != nil {
		d.goroutines.Add(1)
		go d.suspects.run(ctx)
	}
}

// AnnounceSuspects sends the suspects, the requests that were in progress at a crash of an upstream, to all other
// daemons. It doesn't wait for the calls.
func (d *Roster) AnnounceSuspects() {
	select {
	case d.suspects.announced <- struct{}{}:
	default:
	}
}

func (x *suspectExchange) run(ctx context.Context) {
	d := x.roster
	defer d.goroutines.Done()
	t := d.opts.Timers.Every(suspectCheckInterval)
	defer t.Stop()
	lastCheck := d.opts.Timers.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-x.announced:
			x.announceToAll()
		case result := <-x.results:
			x.handleResult(result)
		case <-t.C():
			now := d.opts.Timers.Now()
			x.checkWhetherMissed(now, now.Sub(lastCheck) > pauseThreshold)
			lastCheck = now
		}
		x.call(ctx)
		d.informed.Store(x.isInformed())
	}
}

// announceToAll makes all other daemons due for an announcement.
func (x *suspectExchange) announceToAll() {
	now := x.roster.opts.Timers.Now()
	x.crashes++
	for _, host := range x.otherHosts() {
		x.announceAt[host] = now
	}
}

// checkWhetherMissed asks for suspects if this daemon may have missed announcements: it has just started, was paused,
// or had no recent confirmation of the records from any daemon or the registry.
func (x *suspectExchange) checkWhetherMissed(now time.Time, wasPaused bool) {
	d := x.roster
	isLost := now.Sub(d.state.Load().confirmedAt) >= fallbackThreshold
	returned := x.wasLost && !isLost
	x.wasLost = isLost
	if d.Configuration() == nil || x.started && !returned && !wasPaused {
		return
	}
	x.started = true
	x.missing, x.callsLeft, x.asked, x.allAsked = suspectSources, maxSuspectCalls, make(map[string]bool), false
}

// isInformed reports whether this daemon has obtained the suspects of others since it started, or can't obtain more.
func (x *suspectExchange) isInformed() bool {
	return x.started && (x.missing <= 0 || x.callsLeft <= 0 || x.allAsked)
}

// otherHosts returns the other hosts of the current configuration.
func (x *suspectExchange) otherHosts() []string {
	c := x.roster.Configuration()
	if c == nil {
		return nil
	}
	var hosts []string
	for _, t := range c.Targets() {
		if t.Host() != x.roster.opts.Host {
			hosts = append(hosts, t.Host())
		}
	}
	return hosts
}

// call starts the calls that are due.
func (x *suspectExchange) call(ctx context.Context) {
	x.pendingHosts.Update(int64(len(x.announceAt)))
	if len(x.announceAt) == 0 && !x.mayAsk() {
		return
	}
	suspects := peer.EncodeSuspects(x.roster.opts.Quarantine)
	if len(suspects) == 0 {
		clear(x.announceAt)
	}
	hosts := x.otherHosts()
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] }) // #nosec G404 -- no secret
	for _, host := range hosts {
		if x.calling[host] || !x.isAnnouncementDue(host) && !x.ask(host) {
			continue
		}
		x.calling[host] = true
		x.roster.goroutines.Add(1)
		c := &suspectCall{
			exchange: x, host: host, crashes: x.crashes, request: &peerpb.WarnRequest{Suspects: suspects},
		}
		go c.run(ctx)
	}
	x.allAsked = !slices.ContainsFunc(hosts, func(host string) bool { return !x.asked[host] || x.calling[host] })
}

func (x *suspectExchange) mayAsk() bool { return x.missing > 0 && x.callsLeft > 0 }

func (x *suspectExchange) isAnnouncementDue(host string) bool {
	at, pending := x.announceAt[host]
	return pending && !x.roster.opts.Timers.Now().Before(at)
}

// ask reports whether the host must be asked for suspects, and counts the call. As many hosts are asked at a time as
// are still missing.
func (x *suspectExchange) ask(host string) bool {
	inProgress := 0
	for other := range x.calling {
		if x.asked[other] {
			inProgress++
		}
	}
	if !x.mayAsk() || inProgress >= x.missing || x.asked[host] {
		return false
	}
	x.asked[host] = true
	x.callsLeft--
	return true
}

// handleResult ends the call to a host.
func (x *suspectExchange) handleResult(result suspectResult) {
	delete(x.calling, result.host)
	if result.err != nil {
		x.failedCalls.Inc(1)
		x.roster.opts.Logger.V(1).Info("exchanging suspects with a daemon failed", "peer", result.host,
			"reason", result.err.Error())
		if _, announce := x.announceAt[result.host]; announce {
			x.announceAt[result.host] = x.roster.opts.Timers.Now().Add(announceRetryInterval)
		}
		return
	}
	if result.crashes == x.crashes {
		delete(x.announceAt, result.host)
	}
	if x.asked[result.host] && result.informed {
		x.missing--
	}
}

// suspectCall is one call that exchanges suspects with another daemon.
type suspectCall struct {
	exchange *suspectExchange
	host     string
	crashes  int
	request  *peerpb.WarnRequest
}

func (c *suspectCall) run(ctx context.Context) {
	d := c.exchange.roster
	defer d.goroutines.Done()
	informed, err := c.send(ctx)
	select {
	case c.exchange.results <- suspectResult{host: c.host, crashes: c.crashes, informed: informed, err: err}:
	case <-ctx.Done():
	}
}

// send makes the call and merges the suspects of the reply. It reports whether the other daemon is informed.
func (c *suspectCall) send(ctx context.Context) (informed bool, err error) {
	d := c.exchange.roster
	ctx, cancel := context.WithTimeout(ctx, suspectCallTimeout)
	defer cancel()
	conn, err := d.opts.Pool.Conn(d.peerAddress(c.host))
	if err != nil {
		return false, err
	}
	reply, err := peerpb.NewReplicationClient(conn).Warn(ctx, c.request)
	if err != nil {
		return false, wrapPeerError("warn", err, "host %s", c.host)
	}
	suspects, err := peer.DecodeSuspects(reply.GetSuspects())
	if err != nil {
		return false, err
	}
	d.opts.Quarantine.Merge(suspects)
	return reply.GetInformed(), nil
}

// Warn merges the suspects that another daemon sent and returns those of this one. The status is InvalidArgument when
// they can't be decoded.
func (d *Roster) Warn(_ context.Context, request *peerpb.WarnRequest) (*peerpb.WarnReply, error) {
	suspects, err := peer.DecodeSuspects(request.GetSuspects())
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	if d.opts.Quarantine == nil {
		return &peerpb.WarnReply{Informed: true}, nil
	}
	d.opts.Quarantine.Merge(suspects)
	return &peerpb.WarnReply{
		Suspects: peer.EncodeSuspects(d.opts.Quarantine), Informed: d.informed.Load(),
	}, nil
}
