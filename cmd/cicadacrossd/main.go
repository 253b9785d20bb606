// Command cicadacrossd is the daemon that runs on each host with an upstream.
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
		Usage: "applies the published configuration and forwards each request to an upstream that can serve it",
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

// run starts a daemon, waits until ctx ends and then shuts it down gracefully.
func run(ctx context.Context, settings daemon.Settings) error {
	logWriter := journal.NewAsyncWriter(journal.AsyncWriterOptions{Writer: os.Stdout})
	defer logWriter.Close()
	log := settings.NewLog(logWriter)
	journal.CaptureLibraryLogs(log)
	d, err := daemon.New(settings, daemon.Options{Logger: log})
	if err != nil {
		return err
	}
	hangupSignals := make(chan os.Signal, 1)
	signal.Notify(hangupSignals, syscall.SIGHUP)
	if err := d.Start(); err != nil {
		return err
	}
	// go-zero writes profiles to the file system on these signals; the daemon must not write to it.
	signal.Ignore(syscall.SIGUSR1, syscall.SIGUSR2)
	waitForShutdown(ctx, hangupSignals, log)
	return d.Shutdown(context.Background())
}

// waitForShutdown waits until ctx ends. SIGHUP neither stops the daemon nor reloads the settings, which stay the same
// for the life of the process.
func waitForShutdown(ctx context.Context, hangupSignals <-chan os.Signal, log logr.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangupSignals:
			log.Info("SIGHUP ignored; changed settings require a restart of the process")
		}
	}
}
