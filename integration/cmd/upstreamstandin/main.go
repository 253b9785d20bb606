// Command upstreamstandin runs the stand-in for an upstream as a process, for integration tests and measurements.
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

// crashStatus is the exit status of a process that a request crashed.
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
		Usage: "serves as an upstream that counts executions and misbehaves on request",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "address as IP:port"},
			&cli.DurationFlag{Name: "service-time", Usage: "time that one request takes"},
			&cli.IntFlag{Name: "slots", Usage: "requests served at once; 0 means no bound"},
			&cli.StringFlag{Name: "crash-path", Usage: "path whose requests end the process"},
			&cli.DurationFlag{Name: "cold-start", Usage: "time added to the first requests"},
			&cli.IntFlag{Name: "cold-requests", Value: 1, Usage: "number of requests that cold-start holds for"},
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
	// A test that asks for any port reads it from here.
	fmt.Println("listening on", s.Address())
	<-ctx.Done()
	return nil
}
