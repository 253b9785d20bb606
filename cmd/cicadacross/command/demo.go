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
	// pollPeriod is how often the demo looks whether something has happened; it is the error of the times it prints.
	pollPeriod = 5 * time.Millisecond
	// requestSpacing spreads requests in series, as callers do.
	requestSpacing = 20 * time.Millisecond
	// seriesLength is the number of requests by which the demo shows that work goes on.
	seriesLength = 40
	// skewMargin is added to the bound on clock skew before keys are sent.
	skewMargin = 500 * time.Millisecond
)

// newDemo returns the subcommand that shows the whole path in one process.
func newDemo() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run a small fleet in this process, publish to it, send requests and say what happened",
		Flags: []cli.Flag{
			&cli.DurationFlag{
				Name:    "limit",
				Usage:   "give up after this `DURATION`",
				Value:   defaultDemoLimit,
				Sources: cli.EnvVars("CICADACROSS_LIMIT"),
			},
			&cli.BoolFlag{
				Name:    "verbose",
				Usage:   "write the log of the daemons to standard error",
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
		if err := d.say("%d. %s", i+1, step.title); err != nil {
			return err
		}
		if err := step.run(ctx); err != nil {
			return wrapError(c.Name, KindDemo, err, "step %d failed (%s)", i+1, step.title)
		}
	}
	return d.say("All steps succeeded.")
}

// demo is one run of the demo.
type demo struct {
	command *cli.Command
	timers  cicadacross.Timers
	fleet   *demoFleet
	client  *operator.Client
	started time.Time // when the last daemon had started
}

type demoStep struct {
	title string
	run   func(ctx context.Context) error
}

func (d *demo) steps() []demoStep {
	return []demoStep{
		{"Publish a register and rules, then start a fleet that reads them", d.start},
		{"Change one line of the rules and watch the change take force", d.change},
		{"Send a request and ask where it went", d.request},
		{"Send a request that must not repeat twice with one key", d.repeat},
		{"Let an upstream leave", d.leave},
		{"Stop a daemon as if its process had died", d.stop},
		{"Shut the other daemons down gracefully", d.shutdown},
	}
}

// say prints one line of the demo.
func (d *demo) say(format string, args ...any) error { return printf(d.command, format, args...) }

// tell prints the lines of a text below a step.
func (d *demo) tell(format string, args ...any) error {
	text := fmt.Sprintf(format, args...)
	return d.say("   %s", strings.ReplaceAll(text, "\n", "\n   "))
}

// await waits until the condition holds and returns how long that took.
func (d *demo) await(ctx context.Context, what string, condition func() bool) (time.Duration, error) {
	begun := d.timers.Now()
	ticker := d.timers.Every(pollPeriod)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ticker.C():
		case <-ctx.Done():
			return 0, wrapError("wait", KindDemo, ctx.Err(), "gave up waiting after %s: %s",
				d.timers.Now().Sub(begun).Round(time.Millisecond), what)
		}
	}
	return d.timers.Now().Sub(begun), nil
}

// sleep waits for the duration.
func (d *demo) sleep(ctx context.Context, duration time.Duration) error {
	end := d.timers.Now().Add(duration)
	_, err := d.await(ctx, "time to pass", func() bool { return !d.timers.Now().Before(end) })
	return err
}

func (d *demo) start(ctx context.Context) error {
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
	took, err := d.await(ctx, "all daemons apply the version and are ready", func() bool {
		return d.fleet.allReady() && d.fleet.allAt(version)
	})
	if err != nil {
		return err
	}
	d.client, err = operator.NewClient(operator.ClientOptions{Timers: d.timers, Addresses: d.fleet.operators()})
	if err != nil {
		return err
	}
	if err := d.tell("A stand-in for the platform's service, 4 upstreams and 4 daemons run in this process, in the\n"+
		"availability zones north and south. %s after their start all daemons serve with version %s.",
		took.Round(time.Millisecond), version); err != nil {
		return err
	}
	return d.showStatus(ctx, version.Number())
}

// showStatus prints what the status command answers. A fleet that has not followed is an error.
func (d *demo) showStatus(ctx context.Context, expected uint64) error {
	report, err := d.client.Status(ctx, expected)
	if err != nil {
		return err
	}
	if !report.Followed {
		return newError("status", KindNotFollowed, "the fleet has not followed:\n%s", report)
	}
	return d.tell("status says: %s", strings.ReplaceAll(report.String(), "\n", "\n  "))
}

// publish publishes the rules and returns when every running daemon has them in force.
func (d *demo) publish(ctx context.Context, rules demoRules) (cicadacross.Version, time.Duration, error) {
	version, err := d.fleet.publish(rules)
	if err != nil {
		return version, 0, err
	}
	took, err := d.await(ctx, "version "+version.String()+" is in force everywhere", func() bool {
		return d.fleet.allAt(version)
	})
	return version, took, err
}

func (d *demo) change(ctx context.Context) error {
	version, took, err := d.publish(ctx, demoRules{version: 2, timeout: "2s"})
	if err != nil {
		return err
	}
	if err := d.tell("Version %s gives price lookups 2 s in place of 1 s. It was in force on all 4 daemons %s after it\n"+
		"was published.", version, took.Round(time.Millisecond)); err != nil {
		return err
	}
	return d.showStatus(ctx, version.Number())
}

func (d *demo) request(ctx context.Context) error {
	entry := d.fleet.hosts[0]
	answer, err := entry.send(ctx, "GET", "/prices/7", "", "")
	if err != nil {
		return err
	}
	if err := answer.expectDone(); err != nil {
		return err
	}
	if err := d.tell("A caller asked the daemon on %s for /prices/7: status %d, outcome %q. The answer names the\n"+
		"request; explain finds the decisions about it on all daemons:", entry.name, answer.status,
		answer.outcome); err != nil {
		return err
	}
	explanation, err := d.client.Explain(ctx, answer.requestID)
	if err != nil {
		return err
	}
	if len(explanation.Steps) == 0 {
		return newError("explain", KindDemo, "no daemon knows request %s", answer.requestID)
	}
	return d.tell("%s", explanation)
}

func (d *demo) repeat(ctx context.Context) error {
	wait := d.started.Add(idempotency.ClockSkew + skewMargin).Sub(d.timers.Now())
	if wait > 0 {
		if err := d.tell("A daemon that has just started does not know what ran before it. It takes only keys whose\n"+
			"own time (UUIDv7) is later than its start by the bound on clock skew, %s; the caller waits\n%s for that.",
			idempotency.ClockSkew, wait.Round(time.Millisecond)); err != nil {
			return err
		}
		if err := d.sleep(ctx, wait); err != nil {
			return err
		}
	}
	id, err := uuid.NewV7()
	if err != nil {
		return wrapError("key", KindDemo, err, "making a key")
	}
	key := id.String()
	for i, entry := range []*demoHost{d.fleet.hosts[0], d.fleet.hosts[2]} {
		answer, err := entry.send(ctx, "POST", "/orders", "one order", key)
		if err != nil {
			return err
		}
		if err := answer.expectDone(); err != nil {
			return err
		}
		if err := d.tell("Send %d, through %s: status %d, outcome %q.", i+1, entry.name, answer.status,
			answer.outcome); err != nil {
			return err
		}
	}
	if runs := d.fleet.runsOf(key); runs != 1 {
		return newError("repeat", KindDemo, "the order ran %d times", runs)
	}
	return d.tell("The upstreams counted 1 run. The second send got the kept answer of the first.")
}

// series sends price lookups through the hosts in turn and counts the answers by outcome.
func (d *demo) series(ctx context.Context, hosts []*demoHost) (map[string]int, error) {
	outcomes := make(map[string]int)
	for i := range seriesLength {
		answer, err := hosts[i%len(hosts)].send(ctx, "GET", "/prices/7", "", "")
		if err != nil {
			return nil, err
		}
		outcomes[answer.outcome]++
		if err := d.sleep(ctx, requestSpacing); err != nil {
			return nil, err
		}
	}
	return outcomes, nil
}

// serveAll sends a series that must be done in full.
func (d *demo) serveAll(ctx context.Context, hosts []*demoHost) error {
	outcomes, err := d.series(ctx, hosts)
	if err != nil {
		return err
	}
	if outcomes[cicadacross.OutcomeDone.String()] != seriesLength {
		return newError("requests", KindDemo, "%d requests were sent and not all were done: %v", seriesLength, outcomes)
	}
	return nil
}

func (d *demo) leave(ctx context.Context) error {
	host := d.fleet.hosts[1]
	version, took, err := d.publish(ctx, demoRules{version: 3, timeout: "2s", leaving: host.name})
	if err != nil {
		return err
	}
	before := host.upstream.Executions().Started
	if err := d.serveAll(ctx, d.fleet.running()); err != nil {
		return err
	}
	if after := host.upstream.Executions().Started; after != before {
		return newError("leave", KindDemo, "the upstream on %s got %d requests after it left", host.name, after-before)
	}
	return d.tell("Version %s says that %s leaves; it was in force everywhere after %s. Of the next %d\n"+
		"requests, sent to all 4 daemons, all were done and none went to the upstream on %s, which\n"+
		"had run %d before.", version, host.name, took.Round(time.Millisecond), seriesLength, host.name, before)
}

func (d *demo) stop(ctx context.Context) error {
	host := d.fleet.hosts[3]
	host.kill()
	if err := d.serveAll(ctx, d.fleet.running()); err != nil {
		return err
	}
	if err := d.tell("The daemon on %s is gone without a word. Of the next %d requests, sent to the other 3\n"+
		"daemons, all were done: those whose first choice was %s went on to another upstream.", host.name,
		seriesLength, host.name); err != nil {
		return err
	}
	report, err := d.client.Status(ctx, 0)
	if err != nil {
		return err
	}
	return d.tell("status says: %s", strings.ReplaceAll(report.String(), "\n", "\n  "))
}

func (d *demo) shutdown(ctx context.Context) error {
	for _, host := range d.fleet.running() {
		if err := host.shutdown(ctx); err != nil {
			return err
		}
	}
	return d.tell("Each refused new requests, finished those in progress and ended.")
}
