// Command distribution measures the cost of distributing configurations and how long a change takes to be applied.
//
// It runs a stand-in for the platform and, for each number of daemons, that many daemons as separate processes on
// loopback. A daemon is this program itself with only the distribution part. Each change modifies one line of the
// rules. The baseline is the reader policy "all", with which every daemon watches the source.
package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/urfave/cli/v3"
)

func main() {
	log := logr.FromSlogHandler(slog.NewTextHandler(os.Stderr, nil))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	command := &cli.Command{
		Name:  "distribution",
		Usage: "measure the distribution of configurations",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "daemons", Value: "10,50,100", Usage: "numbers of daemons to measure"},
			&cli.StringFlag{Name: "routes", Value: "20", Usage: "numbers of routes, which determine the size of the rules"},
			&cli.StringFlag{Name: "readers", Value: "elected,all", Usage: "reader policies: elected, all"},
			&cli.IntFlag{Name: "changes", Value: 10, Usage: "number of changes in each case"},
			&cli.DurationFlag{Name: "rest", Value: 20 * time.Second, Usage: "length of the measurement without changes"},
			&cli.DurationFlag{Name: "warm", Value: 10 * time.Second, Usage: "time between the start and the measurement"},
		},
		Action: func(ctx context.Context, c *cli.Command) error { return measure(ctx, c, log) },
		Commands: []*cli.Command{{
			Name:   "daemon",
			Hidden: true,
			Flags: []cli.Flag{
				&cli.StringFlag{Name: "host"},
				&cli.StringFlag{Name: "availability-zone"},
				&cli.StringFlag{Name: "peer"},
				&cli.StringFlag{Name: "seeds"},
				&cli.StringFlag{Name: "platform"},
				&cli.StringFlag{Name: "readers"},
			},
			Action: runDaemon,
		}},
	}
	if err := command.Run(ctx, os.Args); err != nil {
		log.Error(err, "stopped")
		os.Exit(1)
	}
}

// measure runs all cases and writes the table of results. It stops at the first error without writing a table.
func measure(ctx context.Context, c *cli.Command, log logr.Logger) error {
	sizes, err := parseInts(c.String("daemons"))
	if err != nil {
		return err
	}
	routes, err := parseInts(c.String("routes"))
	if err != nil {
		return err
	}
	var results []result
	for _, policy := range strings.Split(c.String("readers"), ",") {
		for _, n := range sizes {
			for _, r := range routes {
				t := trial{
					daemons: n, routes: r, policy: policy,
					changes: c.Int("changes"), rest: c.Duration("rest"), warm: c.Duration("warm"),
				}
				log.Info("case", "daemons", n, "routes", r, "readers", policy)
				measured, err := t.measure(ctx, log)
				if err != nil {
					return err
				}
				results = append(results, measured)
			}
		}
	}
	return writeReport(os.Stdout, results)
}

func parseInts(list string) ([]int, error) {
	var result []int
	for _, text := range strings.Split(list, ",") {
		n, err := strconv.Atoi(text)
		if err != nil {
			return nil, err
		}
		result = append(result, n)
	}
	return result, nil
}
