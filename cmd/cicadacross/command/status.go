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

// statusPeriod is the time between two surveys while status waits.
const statusPeriod = time.Second

// newStatus returns the subcommand that says whether the fleet has followed.
func newStatus() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "say by availability zone which hosts have not followed, since when and why",
		Flags: append(operatorFlags(),
			&cli.Uint64Flag{
				Name:    "expect",
				Usage:   "the `NUMBER` that was published; hosts below it lag",
				Sources: cli.EnvVars("CICADACROSS_EXPECT"),
			},
			&cli.DurationFlag{
				Name:    "wait",
				Usage:   "ask again for this `DURATION` until all hosts have followed",
				Sources: cli.EnvVars("CICADACROSS_WAIT"),
			},
		),
		Action: status,
	}
}

func operatorFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{
			Name:     "operator",
			Usage:    "operator `ADDRESS` of one or more daemons as IP:port, with commas between",
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
			Usage:   "answer in JSON",
			Sources: cli.EnvVars("CICADACROSS_JSON"),
		},
	}
}

func newClient(c *cli.Command, timers cicadacross.Timers) (*operator.Client, error) {
	if d := c.Duration("timeout"); d <= 0 {
		return nil, newError(c.Name, KindSetting, "--timeout is %s; must be above 0s", d)
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
	client, err := newClient(c, timers)
	if err != nil {
		return err
	}
	report, err := followed(ctx, client, timers, c.Uint64("expect"), c.Duration("wait"))
	if err != nil {
		return wrapError(c.Name, KindUnreachable, err, "the fleet can't be asked")
	}
	if err := printAnswer(c, report); err != nil {
		return err
	}
	if !report.Followed {
		return newError(c.Name, KindNotFollowed, "the fleet has not followed")
	}
	return nil
}

// followed asks the fleet until it has followed or the wait is over, and returns the last report.
func followed(
	ctx context.Context, client *operator.Client, timers cicadacross.Timers, expected uint64, wait time.Duration,
) (*operator.Report, error) {
	end := timers.Now().Add(wait)
	period := timers.Every(statusPeriod)
	defer period.Stop()
	for {
		report, err := client.Status(ctx, expected)
		if err == nil && report.Followed || !timers.Now().Before(end) {
			return report, err
		}
		select {
		case <-period.C():
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// printAnswer writes the answer as JSON or text.
func printAnswer(c *cli.Command, answer interface{ String() string }) error {
	if !c.Bool("json") {
		return printf(c, "%s", answer)
	}
	text, err := json.MarshalIndent(answer, "", "  ")
	if err != nil {
		return wrapError(c.Name, KindFile, err, "writing the answer")
	}
	return printf(c, "%s", text)
}
