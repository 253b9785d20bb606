// Command upstreamstandin runs the stand-in for an upstream as a separate process for integration tests and
// measurements.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"cicadacross/internal/standin/upstream"
	"cicadacross/internal/timer"
)

// crashStatus is the exit status when a request crashes the process.
const crashStatus = 3

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "upstreamstandin",
		Usage: "serve an upstream that counts executions and can inject faults",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "IP:port to listen on; port 0 selects a free port"},
			&cli.DurationFlag{Name: "service-time", Usage: "time that the upstream takes to serve one request"},
			&cli.IntFlag{Name: "slots", Usage: "largest number of requests served at once; 0 means no limit"},
			&cli.StringFlag{Name: "crash-path", Usage: "path at which a request crashes the process"},
			&cli.DurationFlag{Name: "cold-start", Usage: "time added to each of the first requests"},
			&cli.IntFlag{Name: "cold-requests", Value: 1, Usage: "number of requests to which --cold-start applies"},
		},
		Action: serve,
	}
}

func serve(ctx context.Context, c *cli.Command) error {
	s := upstream.New(upstream.Options{
		Timers: timer.System{},
		Crash:  func() { os.Exit(crashStatus) },
		Behavior: upstream.Behavior{
			ServiceTime:  c.Duration("service-time"),
			Slots:        c.Int("slots"),
			CrashPath:    c.String("crash-path"),
			ColdStart:    c.Duration("cold-start"),
			ColdRequests: c.Int("cold-requests"),
		},
	})
	if err := s.Start(c.String("listen")); err != nil {
		return err
	}
	defer s.Close()
	// A caller that listens on port 0 reads the port from this line.
	fmt.Println("listening on", s.Address())
	<-ctx.Done()
	return nil
}
