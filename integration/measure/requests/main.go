// Command requests measures service by rank, work kept in a flood, and the time that the daemons add to a call.
//
// It starts the platform stand-in, the upstream stand-ins and the daemons of a deployment in examples/ as processes on
// loopback, and sends an open-loop load through all daemons. Times count from the intended send time. The baselines are
// the admission policies fifo and priority and the balancer roundrobin, on the same arrivals. Latency between
// availability zones isn't added.
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
	// The operator's client logs through go-zero, which would otherwise write to standard output.
	journal.CaptureLibraryLogs(log)
	command := &cli.Command{
		Name:   "requests",
		Usage:  "measure service by rank, work kept in a flood, and the time added to a call",
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
		&cli.StringFlag{Name: "examples", Value: "examples", Usage: "directory of the deployments"},
		&cli.StringFlag{Name: "deployments", Value: "mandorlea,sofia", Usage: "deployments to measure"},
		&cli.StringFlag{Name: "policies", Value: "share,priority,fifo,share-roundrobin", Usage: "policies to measure"},
		&cli.StringFlag{Name: "cases", Value: "loads,least,most", Usage: "loads, and floods: least or most urgent"},
		&cli.StringFlag{Name: "loads", Value: "0.5,1,2,5", Usage: "multiples of the capacity"},
		&cli.StringFlag{Name: "fault", Value: faultNone, Usage: "none, target (dies), slow (target), zone (daemons killed)"},
		&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the arrivals"},
		&cli.DurationFlag{Name: "warm", Value: 2 * time.Second, Usage: "time before the measured part of a load"},
		&cli.DurationFlag{Name: "measured", Value: 10 * time.Second, Usage: "length of the measured part"},
		&cli.DurationFlag{Name: "learn", Value: 12 * time.Second, Usage: "time at 0.6 times the capacity before a flood"},
		&cli.DurationFlag{Name: "tail", Value: 2 * time.Second, Usage: "time for the last answers"},
		&cli.IntFlag{Name: "explain", Usage: "late or refused requests of each kind to explain"},
		&cli.BoolFlag{Name: "placement", Usage: "report what each target ran of each kind"},
		&cli.BoolFlag{Name: "added", Usage: "measure the time added to a call instead"},
		&cli.StringFlag{Name: "rates", Value: "75,500", Usage: "calls a second of one host, for --added"},
		&cli.StringFlag{Name: "entry", Usage: "host whose daemon takes the calls, for --added; empty means the first"},
		&cli.IntFlag{Name: "repetitions", Value: 5, Usage: "repetitions, for --added"},
		&cli.StringFlag{Name: "logs", Usage: "directory for the output of the processes; empty drops it"},
		&cli.BoolFlag{Name: "json", Usage: "write JSON"},
	}
}

// measure runs all cases and writes the report, also of what was measured before a failure.
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
		r.Header.describe(d)
		s := session{command: c, log: log, programs: programs, report: &r, deployment: d}
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

// session measures one deployment.
type session struct {
	command    *cli.Command
	log        logr.Logger
	programs   string
	report     *report
	deployment *deployment
}

func (s *session) run(ctx context.Context) error {
	if s.command.Bool("added") {
		return s.added(ctx)
	}
	loads, err := numbers(s.command.String("loads"))
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

func (s *session) measureCase(ctx context.Context, name, policyName string, loads []float64) error {
	p, err := policyNamed(policyName)
	if err != nil {
		return err
	}
	t := trial{
		deployment: s.deployment, policy: p, loads: loads, fault: s.command.String("fault"),
		seed: s.command.Uint64("seed"), explain: s.command.Int("explain"),
		placement: s.command.Bool("placement"),
		times: times{
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

func (s *session) added(ctx context.Context) error {
	rates, err := numbers(s.command.String("rates"))
	if err != nil {
		return err
	}
	t := addedTrial{
		deployment: s.deployment, entry: s.command.String("entry"), rates: rates, repetitions: s.command.Int("repetitions"),
		length: s.command.Duration("measured"), seed: s.command.Uint64("seed"),
	}
	results, err := t.run(ctx, s.log, s.programs, s.command.String("logs"))
	s.report.Added = append(s.report.Added, results...)
	return err
}

func numbers(list string) ([]float64, error) {
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
