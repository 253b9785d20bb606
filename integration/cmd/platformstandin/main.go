// Command platformstandin runs the stand-in for the platform's service as a process, for integration tests and
// measurements.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"cicadacross/internal/standin/platform"
)

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
		Name:  "platformstandin",
		Usage: "serves published values as the platform's service does",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "address as IP:port"},
		},
		Action: serve,
	}
}

func serve(ctx context.Context, c *cli.Command) error {
	s := platform.New(platform.Options{Address: c.String("listen")})
	if err := s.Start(); err != nil {
		return err
	}
	defer s.Stop()
	fmt.Println("serving on", s.Address())
	<-ctx.Done()
	return nil
}
