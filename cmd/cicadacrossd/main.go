// Command cicadacrossd is the daemon that runs on each upstream host.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-logr/logr"
	"github.com/urfave/cli/v3"

	"cicadacross/internal/daemon"
	"cicadacross/internal/journal"
	_ "cicadacross/platform" // registers the users' platform
)

func main() {
	var settings daemon.Settings
	command := &cli.Command{
		Name:  "cicadacrossd",
		Usage: "takes the published configuration and sends every request to an upstream that can serve it",
		Flags: settings.Flags(),
		Action: func(ctx context.Context, _ *cli.Command) error {
			return run(ctx, settings)
		},
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := command.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "cicadacrossd:", err)
		os.Exit(1)
	}
}

// run serves until ctx ends and then shuts the daemon down gracefully.
func run(ctx context.Context, settings daemon.Settings) error {
	lines := journal.NewAsyncWriter(journal.AsyncWriterOptions{Writer: os.Stdout})
	defer lines.Close()
	log := settings.NewLog(lines)
	journal.CaptureLibraryLogs(log)
	d, err := daemon.New(settings, daemon.Options{Log: log})
	if err != nil {
		return err
	}
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	if err := d.Start(); err != nil {
		return err
	}
	// go-zero writes profiles to the file system on these signals; a daemon writes nothing there.
	signal.Ignore(syscall.SIGUSR1, syscall.SIGUSR2)
	serve(ctx, hangups, log)
	return d.Shutdown(context.Background())
}

// serve waits for the end of ctx. A hangup doesn't end the daemon: settings hold for the life of the process.
func serve(ctx context.Context, hangups <-chan os.Signal, log logr.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			log.Info("hangup received; settings hold until the process is started again")
		}
	}
}
