package command

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"cicadacross"
	"cicadacross/internal/idempotency"
	"cicadacross/internal/journal"
	"cicadacross/internal/operator"
	"cicadacross/internal/timer"
)

const (
	defaultDemoLimit = time.Minute
	// pollInterval is the time between two checks of a condition, which limits the precision of the printed times.
	pollInterval = 5 * time.Millisecond
	// requestInterval is the pause between two requests of a series, which spreads them over time like those of callers.
	requestInterval = 20 * time.Millisecond
	// seriesLength is the number of requests in a series, which shows that the fleet continues to serve.
	seriesLength = 40
	// clockSkewMargin is added to the maximum clock skew in the wait before idempotency keys are sent.
	clockSkewMargin = 500 * time.Millisecond
)

// newDemo returns the subcommand that demonstrates the system in one process, from publishing to serving requests.
func newDemo() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run a small fleet in this process, publish to it, send requests and report what happened",
		Flags: []cli.Flag{
			&cli.DurationFlag{
				Name:    "limit",
				Usage:   "time limit of the demo, a `DURATION`",
				Value:   defaultDemoLimit,
				Sources: cli.EnvVars("CICADACROSS_LIMIT"),
			},
			&cli.BoolFlag{
				Name:    "verbose",
				Usage:   "write the logs of the daemons to standard error",
				Sources: cli.EnvVars("CICADACROSS_VERBOSE"),
			},
		},
		Action: runDemo,
	}
}

func runDemo(ctx context.Context, c *cli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, c.Duration("limit"))
	defer cancel()
	log := logr.Discard()
	if c.Bool("verbose") {
		log = journal.New(journal.Options{Writer: c.Root().ErrWriter})
	}
	journal.CaptureLibraryLogs(log)
	d := &demo{command: c, timers: timer.System{}, fleet: &demoFleet{log: log}}
	defer d.fleet.close()
	for i, step := range d.steps() {
		if err := d.printLine("%d. %s", i+1, step.title); err != nil {
			return err
		}
		if err := step.run(ctx); err != nil {
			return wrapError(c.Name, KindDemo, err, "step %d failed (%s)", i+1, step.title)
		}
	}
	return d.printLine("All steps succeeded.")
}

// demo is one run of the demo.
type demo struct {
	command *cli.Command
	timers  cicadacross.Timers
	fleet   *demoFleet
	client  *operator.Client
	started time.Time // when all daemons had been started
}

type demoStep struct {
	title string
	run   func(ctx context.Context) error
}

func (d *demo) steps() []demoStep {
	return []demoStep{
		{"Publish a register and rules, then start a fleet that reads them", d.startFleet},
		{"Change one line of the rules and wait until the change is applied", d.changeRules},
		{"Send a request and explain where it went", d.sendRequest},
		{"Send a request that must not run twice, and repeat it with the same key", d.repeatRequest},
		{"Remove an upstream from service", d.removeUpstream},
		{"Stop a daemon as if its process had crashed", d.killDaemon},
		{"Shut the other daemons down gracefully", d.shutDownDaemons},
	}
}

// printLine prints one line.
func (d *demo) printLine(format string, args ...any) error {
	return printLine(d.command, format, args...)
}

// printIndented prints text with each line indented below the title of the step.
func (d *demo) printIndented(format string, args ...any) error {
	text := fmt.Sprintf(format, args...)
	return d.printLine("   %s", strings.ReplaceAll(text, "\n", "\n   "))
}

// waitFor waits until the condition is true and returns how long that took. It returns an error that names the event
// when ctx ends before that.
func (d *demo) waitFor(ctx context.Context, event string, condition func() bool) (time.Duration, error) {
	start := d.timers.Now()
	ticker := d.timers.Every(pollInterval)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ticker.C():
		case <-ctx.Done():
			return 0, wrapError("wait", KindDemo, ctx.Err(), "timed out after %s waiting for: %s",
				d.timers.Now().Sub(start).Round(time.Millisecond), event)
		}
	}
	return d.timers.Now().Sub(start), nil
}

// sleep waits for the duration.
func (d *demo) sleep(ctx context.Context, duration time.Duration) error {
	deadline := d.timers.Now().Add(duration)
	_, err := d.waitFor(ctx, "pause", func() bool { return !d.timers.Now().Before(deadline) })
	return err
}

func (d *demo) startFleet(ctx context.Context) error {
	if err := d.fleet.start(); err != nil {
		return err
	}
	version, err := d.fleet.publish(demoRules{version: 1, timeout: "1s"})
	if err != nil {
		return err
	}
	if err := d.fleet.startDaemons(); err != nil {
		return err
	}
	d.started = d.timers.Now()
	elapsed, err := d.waitFor(ctx, "all daemons to apply the version and to be ready", func() bool {
		return d.fleet.allReady() && d.fleet.allAtVersion(version)
	})
	if err != nil {
		return err
	}
	d.client, err = operator.NewClient(operator.ClientOptions{Timers: d.timers, Addresses: d.fleet.operatorAddresses()})
	if err != nil {
		return err
	}
	if err := d.printIndented("A fake of the platform's service, 4 upstreams and 4 daemons run in this process, in the\n"+
		"availability zones north and south. %s after their start, all daemons serve with version %s.",
		elapsed.Round(time.Millisecond), version); err != nil {
		return err
	}
	return d.showStatus(ctx, version.Number())
}

// showStatus prints the report of the status command. It returns an error when the fleet has not followed.
func (d *demo) showStatus(ctx context.Context, expected uint64) error {
	report, err := d.client.Status(ctx, expected)
	if err != nil {
		return err
	}
	if !report.Followed {
		return newError("status", KindNotFollowed, "the fleet has not followed:\n%s", report)
	}
	return d.printIndented("status says: %s", strings.ReplaceAll(report.String(), "\n", "\n  "))
}

// publish publishes the rules, waits until all running daemons have applied them, and returns how long that took after
// publishing.
func (d *demo) publish(ctx context.Context, rules demoRules) (cicadacross.Version, time.Duration, error) {
	version, err := d.fleet.publish(rules)
	if err != nil {
		return version, 0, err
	}
	elapsed, err := d.waitFor(ctx, "version "+version.String()+" to be applied by all daemons", func() bool {
		return d.fleet.allAtVersion(version)
	})
	return version, elapsed, err
}

func (d *demo) changeRules(ctx context.Context) error {
	version, elapsed, err := d.publish(ctx, demoRules{version: 2, timeout: "2s"})
	if err != nil {
		return err
	}
	if err := d.printIndented("Version %s gives price lookups 2 s in place of 1 s. It was in force on all 4 daemons %s\n"+
		"after it was published.", version, elapsed.Round(time.Millisecond)); err != nil {
		return err
	}
	return d.showStatus(ctx, version.Number())
}

func (d *demo) sendRequest(ctx context.Context) error {
	host := d.fleet.hosts[0]
	response, err := host.send(ctx, "GET", "/prices/7", "", "")
	if err != nil {
		return err
	}
	if err := response.checkDone(); err != nil {
		return err
	}
	if err := d.printIndented("A caller asked the daemon on %s for /prices/7: status %d, outcome %q. The response has\n"+
		"the request ID, by which explain finds the decisions of all daemons:", host.name, response.status,
		response.outcome); err != nil {
		return err
	}
	explanation, err := d.client.Explain(ctx, response.requestID)
	if err != nil {
		return err
	}
	if len(explanation.Steps) == 0 {
		return newError("explain", KindDemo, "no daemon has decisions on request %s", response.requestID)
	}
	return d.printIndented("%s", explanation)
}

func (d *demo) repeatRequest(ctx context.Context) error {
	wait := d.started.Add(idempotency.ClockSkew + clockSkewMargin).Sub(d.timers.Now())
	if wait > 0 {
		if err := d.printIndented("A daemon that has just started does not know what ran before. It accepts only keys\n"+
			"whose timestamp (UUIDv7) is later than its start by the maximum clock skew, %s; the caller\n"+
			"waits %s for that.",
			idempotency.ClockSkew, wait.Round(time.Millisecond)); err != nil {
			return err
		}
		if err := d.sleep(ctx, wait); err != nil {
			return err
		}
	}
	id, err := uuid.NewV7()
	if err != nil {
		return wrapError("key", KindDemo, err, "generating a key")
	}
	key := id.String()
	for i, host := range []*demoHost{d.fleet.hosts[0], d.fleet.hosts[2]} {
		response, err := host.send(ctx, "POST", "/orders", "one order", key)
		if err != nil {
			return err
		}
		if err := response.checkDone(); err != nil {
			return err
		}
		if err := d.printIndented("Attempt %d, through %s: status %d, outcome %q.", i+1, host.name, response.status,
			response.outcome); err != nil {
			return err
		}
	}
	if runs := d.fleet.executionCount(key); runs != 1 {
		return newError("repeat", KindDemo, "the order ran %d times instead of once", runs)
	}
	return d.printIndented("The upstreams counted 1 run. The second attempt received the stored response of the first.")
}

// sendSeries sends price lookups through the hosts in turn and returns the number of responses by outcome.
func (d *demo) sendSeries(ctx context.Context, hosts []*demoHost) (map[string]int, error) {
	outcomes := make(map[string]int)
	for i := range seriesLength {
		response, err := hosts[i%len(hosts)].send(ctx, "GET", "/prices/7", "", "")
		if err != nil {
			return nil, err
		}
		outcomes[response.outcome]++
		if err := d.sleep(ctx, requestInterval); err != nil {
			return nil, err
		}
	}
	return outcomes, nil
}

// requireAllDone sends a series and returns an error unless the outcome of each request is done.
func (d *demo) requireAllDone(ctx context.Context, hosts []*demoHost) error {
	outcomes, err := d.sendSeries(ctx, hosts)
	if err != nil {
		return err
	}
	if outcomes[cicadacross.OutcomeDone.String()] != seriesLength {
		return newError("requests", KindDemo, "not all of %d requests were done; outcomes: %v", seriesLength, outcomes)
	}
	return nil
}

func (d *demo) removeUpstream(ctx context.Context) error {
	host := d.fleet.hosts[1]
	version, elapsed, err := d.publish(ctx, demoRules{version: 3, timeout: "2s", leaving: host.name})
	if err != nil {
		return err
	}
	before := host.upstream.Executions().Started
	if err := d.requireAllDone(ctx, d.fleet.runningHosts()); err != nil {
		return err
	}
	if after := host.upstream.Executions().Started; after != before {
		return newError("leave", KindDemo, "the upstream on %s received %d requests after it was removed",
			host.name, after-before)
	}
	return d.printIndented("Version %s marks %s as leaving; all daemons had applied it after %s. Of the next %d\n"+
		"requests, sent to all 4 daemons, all were done and none went to the upstream on %s, which\n"+
		"had run %d before.", version, host.name, elapsed.Round(time.Millisecond), seriesLength, host.name, before)
}

func (d *demo) killDaemon(ctx context.Context) error {
	host := d.fleet.hosts[3]
	host.kill()
	if err := d.requireAllDone(ctx, d.fleet.runningHosts()); err != nil {
		return err
	}
	if err := d.printIndented("The daemon on %s is gone without notice. Of the next %d requests, sent to the other 3\n"+
		"daemons, all were done: those first routed to %s were retried on another upstream.", host.name,
		seriesLength, host.name); err != nil {
		return err
	}
	report, err := d.client.Status(ctx, 0)
	if err != nil {
		return err
	}
	return d.printIndented("status says: %s", strings.ReplaceAll(report.String(), "\n", "\n  "))
}

func (d *demo) shutDownDaemons(ctx context.Context) error {
	for _, host := range d.fleet.runningHosts() {
		if err := host.shutdown(ctx); err != nil {
			return err
		}
	}
	return d.printIndented("Each refused new requests, finished those in progress and stopped.")
}
