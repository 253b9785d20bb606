// Command cicadacross is the command-line tool for operators.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"cicadacross/cmd/cicadacross/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := command.Run(ctx, os.Args, command.Options{Out: os.Stdout, Err: os.Stderr})
	stop()
	os.Exit(code)
}
