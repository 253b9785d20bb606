// Command requests measures the service that each rank gets, the service that remains in a flood, and the latency that
// the daemons add to a call.
//
// It starts the platform stand-in, the upstream stand-ins and the daemons of a deployment in examples/ as processes
// on loopback, and sends an open-loop load through all daemons. Times count from the intended send time. The
// baselines are the admission policies fifo and priority and the balancer roundrobin, with the same arrivals. Network
// latency between availability zones is not simulated.
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

	"cicadacross/internal/journal"
)

func main() {
	log := logr.FromSlogHandler(slog.NewTextHandler(os.Stderr, nil))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	// The operator client logs through go-zero, which would otherwise write to the standard output.
	journal.CaptureLibraryLogs(log)
	command := &cli.Command{
		Name:   "requests",
		Usage:  "measure the service by rank, the service that remains in a flood, and the latency added to a call",
		Flags:  flags(),
		Action: func(ctx context.Context, c *cli.Command) error { return measure(ctx, c, log) },
	}
	if err := command.Run(ctx, os.Args); err != nil {
		log.Error(err, "stopped")
		os.Exit(1)
	}
}

func flags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "examples", Value: "examples", Usage: "directory that contains the deployments"},
		&cli.StringFlag{Name: "deployments", Value: "mandorlea,sofia", Usage: "deployments to measure"},
		&cli.StringFlag{Name: "policies", Value: "share,priority,fifo,share-roundrobin", Usage: "policies to measure"},
		&cli.StringFlag{
			Name: "cases", Value: "loads,least,most", Usage: "loads; least or most: flood of the least or most urgent rank",
		},
		&cli.StringFlag{Name: "loads", Value: "0.5,1,2,5", Usage: "offered loads as multiples of the capacity"},
		&cli.StringFlag{
			Name: "fault", Value: faultNone,
			Usage: "none, target (first host killed), slow (first target), zone (daemons of the first zone killed)",
		},
		&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the arrivals"},
		&cli.DurationFlag{Name: "warm", Value: 2 * time.Second, Usage: "time before the measured part of a load"},
		&cli.DurationFlag{Name: "measured", Value: 10 * time.Second, Usage: "length of the measured part"},
		&cli.DurationFlag{Name: "learn", Value: 12 * time.Second, Usage: "time at 0.6 of the capacity before a flood"},
		&cli.DurationFlag{Name: "tail", Value: 2 * time.Second, Usage: "time to wait for the last responses"},
		&cli.IntFlag{Name: "explain", Usage: "number of late or refused requests of each route to explain"},
		&cli.BoolFlag{Name: "placement", Usage: "report the requests of each route that each target ran"},
		&cli.BoolFlag{Name: "added", Usage: "measure the latency added to a call instead"},
		&cli.StringFlag{Name: "rates", Value: "75,500", Usage: "calls per second to the daemon of one host, for --added"},
		&cli.StringFlag{Name: "entry", Usage: "host whose daemon gets the calls, for --added; empty means the first"},
		&cli.IntFlag{Name: "repetitions", Value: 5, Usage: "number of repetitions, for --added"},
		&cli.StringFlag{Name: "logs", Usage: "directory for the output of the processes; empty discards it"},
		&cli.BoolFlag{Name: "json", Usage: "write the report as JSON"},
	}
}

// measure runs all cases and writes the report. When a case fails, the report contains what was measured before.
func measure(ctx context.Context, c *cli.Command, log logr.Logger) error {
	programs, err := buildPrograms()
	defer func() { _ = os.RemoveAll(programs) }()
	if err != nil {
		return err
	}
	r := report{Header: newHeader(os.Args[1:], c.Uint64("seed"))}
	for _, name := range strings.Split(c.String("deployments"), ",") {
		d, err := newDeployment(c.String("examples"), name)
		if err != nil {
			return err
		}
		r.Header.addDeployment(d)
		s := deploymentRun{command: c, log: log, programs: programs, report: &r, deployment: d}
		if err := s.run(ctx); err != nil {
			log.Error(err, "incomplete", "deployment", name)
			break
		}
	}
	if c.Bool("json") {
		return r.writeJSON(os.Stdout)
	}
	return r.writeTable(os.Stdout)
}

// deploymentRun runs all measurements of one deployment.
type deploymentRun struct {
	command    *cli.Command
	log        logr.Logger
	programs   string
	report     *report
	deployment *deployment
}

func (s *deploymentRun) run(ctx context.Context) error {
	if s.command.Bool("added") {
		return s.measureAddedLatency(ctx)
	}
	loads, err := parseFloats(s.command.String("loads"))
	if err != nil {
		return err
	}
	for _, name := range strings.Split(s.command.String("cases"), ",") {
		for _, policyName := range strings.Split(s.command.String("policies"), ",") {
			if err := s.measureCase(ctx, name, policyName, loads); err != nil {
				return err
			}
		}
	}
	return nil
}

func (s *deploymentRun) measureCase(ctx context.Context, name, policyName string, loads []float64) error {
	p, err := lookupPolicy(policyName)
	if err != nil {
		return err
	}
	t := trial{
		deployment: s.deployment, policy: p, loads: loads, fault: s.command.String("fault"),
		seed: s.command.Uint64("seed"), explain: s.command.Int("explain"),
		placement: s.command.Bool("placement"),
		lengths: phaseLengths{
			warm: s.command.Duration("warm"), measured: s.command.Duration("measured"),
			learn: s.command.Duration("learn"), tail: s.command.Duration("tail"),
		},
	}
	if name != "loads" {
		t.flood = name
	}
	s.log.Info("case", "deployment", s.deployment.name, "policy", p.name, "case", name)
	results, err := t.run(ctx, s.log, s.programs, s.command.String("logs"))
	s.report.Cases = append(s.report.Cases, results...)
	return err
}

func (s *deploymentRun) measureAddedLatency(ctx context.Context) error {
	rates, err := parseFloats(s.command.String("rates"))
	if err != nil {
		return err
	}
	t := addedLatencyTrial{
		deployment: s.deployment, entry: s.command.String("entry"), rates: rates, repetitions: s.command.Int("repetitions"),
		length: s.command.Duration("measured"), seed: s.command.Uint64("seed"),
	}
	results, err := t.run(ctx, s.log, s.programs, s.command.String("logs"))
	s.report.Added = append(s.report.Added, results...)
	return err
}

func parseFloats(list string) ([]float64, error) {
	var result []float64
	for _, text := range strings.Split(list, ",") {
		n, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return nil, err
		}
		result = append(result, n)
	}
	return result, nil
}
