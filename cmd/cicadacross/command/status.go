package command

import (
	"context"
	"encoding/json"
	"time"

	"github.com/urfave/cli/v3"

	"cicadacross"
	"cicadacross/internal/operator"
	"cicadacross/internal/timer"
)

// statusInterval is the time between two queries while status waits.
const statusInterval = time.Second

// newStatus returns the subcommand that reports whether the fleet has followed, that is, applied the published version.
func newStatus() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "report by availability zone which hosts have not followed, since when and why",
		Flags: append(operatorFlags(),
			&cli.Uint64Flag{
				Name:    "expect",
				Usage:   "the `NUMBER` that was published; hosts below it lag",
				Sources: cli.EnvVars("CICADACROSS_EXPECT"),
			},
			&cli.DurationFlag{
				Name:    "wait",
				Usage:   "wait up to this `DURATION` until all hosts have followed",
				Sources: cli.EnvVars("CICADACROSS_WAIT"),
			},
		),
		Action: status,
	}
}

// operatorFlags returns the flags of the subcommands that query daemons.
func operatorFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{
			Name:     "operator",
			Usage:    "operator `ADDRESS` of one or more daemons as IP:port, separated by commas",
			Required: true,
			Sources:  cli.EnvVars("CICADACROSS_OPERATOR"),
		},
		&cli.DurationFlag{
			Name:    "timeout",
			Usage:   "time limit of one call to a daemon, a `DURATION`",
			Value:   2 * time.Second,
			Sources: cli.EnvVars("CICADACROSS_TIMEOUT"),
		},
		&cli.BoolFlag{
			Name:    "json",
			Usage:   "write the result as JSON",
			Sources: cli.EnvVars("CICADACROSS_JSON"),
		},
	}
}

func newOperatorClient(c *cli.Command, timers cicadacross.Timers) (*operator.Client, error) {
	if d := c.Duration("timeout"); d <= 0 {
		return nil, newError(c.Name, KindSetting, "--timeout is %s; it must be above 0s", d)
	}
	client, err := operator.NewClient(operator.ClientOptions{
		Timers:    timers,
		Addresses: c.StringSlice("operator"),
		Timeout:   c.Duration("timeout"),
	})
	if err != nil {
		return nil, wrapError(c.Name, KindSetting, err, "--operator")
	}
	return client, nil
}

func status(ctx context.Context, c *cli.Command) error {
	timers := timer.System{}
	client, err := newOperatorClient(c, timers)
	if err != nil {
		return err
	}
	report, err := waitUntilFollowed(ctx, client, timers, c.Uint64("expect"), c.Duration("wait"))
	if err != nil {
		return wrapError(c.Name, KindUnreachable, err, "querying the fleet")
	}
	if err := printResult(c, report); err != nil {
		return err
	}
	if !report.Followed {
		return newError(c.Name, KindNotFollowed, "the fleet has not followed")
	}
	return nil
}

// waitUntilFollowed queries the fleet until it has followed or the wait has passed, and returns the last report. It
// returns an error when the last query failed or ctx ends.
func waitUntilFollowed(
	ctx context.Context, client *operator.Client, timers cicadacross.Timers, expected uint64, wait time.Duration,
) (*operator.Report, error) {
	deadline := timers.Now().Add(wait)
	ticker := timers.Every(statusInterval)
	defer ticker.Stop()
	for {
		report, err := client.Status(ctx, expected)
		if err == nil && report.Followed || !timers.Now().Before(deadline) {
			return report, err
		}
		select {
		case <-ticker.C():
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// printResult writes the result as JSON or text.
func printResult(c *cli.Command, result interface{ String() string }) error {
	if !c.Bool("json") {
		return printLine(c, "%s", result)
	}
	text, err := json.MarshalIndent(result, "", "  ")
	if err != nil {
		return wrapError(c.Name, KindFile, err, "encoding the result")
	}
	return printLine(c, "%s", text)
}
