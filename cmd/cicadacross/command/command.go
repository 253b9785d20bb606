// Package command builds the operator's command: one file for each subcommand.
package command

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"
	"github.com/zeromicro/go-zero/core/logx"

	"cicadacross/internal/failure"
)

// The exit codes of the command.
const (
	// ExitGood means that the answer is good.
	ExitGood = 0
	// ExitBad means that the answer is bad: there are faults, or the fleet hasn't followed.
	ExitBad = 1
	// ExitFailed means that there is no answer: a setting is wrong or a file can't be read.
	ExitFailed = 2
)

// Options configures the command.
type Options struct {
	// Out receives the answers.
	Out io.Writer
	// Err receives faults and errors.
	Err io.Writer
}

// New returns the operator's command with all subcommands.
func New(opts Options) *cli.Command {
	root := &cli.Command{
		Name:      "cicadacross",
		Usage:     "checks and publishes the configuration of a service mesh and shows whether the fleet has followed",
		Writer:    opts.Out,
		ErrWriter: opts.Err,
		Suggest:   true,
		Commands:  []*cli.Command{newCheck(), newRender(), newDiff(), newStatus(), newExplain(), newDemo()},
		// Run decides on the exit code; the library would end the process.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Action:         refuseUnknownCommand,
	}
	for _, sub := range root.Commands {
		if sub.ArgsUsage == "" {
			sub.Action = refuseArguments(sub)
		}
		sub.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
			return wrapError(sub.Name, KindSetting, err, "see cicadacross %s --help", sub.Name)
		}
	}
	return root
}

// Run runs the command with the arguments, the first of which is its name, and returns the exit code.
func Run(ctx context.Context, args []string, opts Options) int {
	// go-zero logs each call to standard output, where the answers go.
	logx.Disable()
	err := New(opts).Run(ctx, args)
	if err == nil {
		return ExitGood
	}
	_, _ = fmt.Fprintf(opts.Err, "cicadacross: %v\n", err)
	if kind, ok := failure.KindOf[Kind](err); ok && isAnswer(kind) {
		return ExitBad
	}
	return ExitFailed
}

// isAnswer reports whether an error of the kind is a bad answer rather than none.
func isAnswer(kind Kind) bool {
	return kind == KindFaults || kind == KindNotFollowed || kind == KindDemo
}

// refuseUnknownCommand runs when no subcommand has the name of the first argument.
func refuseUnknownCommand(_ context.Context, root *cli.Command) error {
	if name := root.Args().First(); name != "" {
		return newError("cicadacross", KindSetting, "unknown command %q; see cicadacross --help", name)
	}
	return cli.ShowRootCommandHelp(root)
}

// refuseArguments returns the action of the subcommand, which refuses arguments that the subcommand doesn't have.
func refuseArguments(sub *cli.Command) cli.ActionFunc {
	action := sub.Action
	return func(ctx context.Context, c *cli.Command) error {
		if extra := c.Args().First(); extra != "" {
			return newError(c.Name, KindSetting, "unexpected argument %q; see cicadacross %s --help", extra, c.Name)
		}
		return action(ctx, c)
	}
}

// printf writes a line of the answer.
func printf(c *cli.Command, format string, args ...any) error {
	if _, err := fmt.Fprintf(c.Root().Writer, format+"\n", args...); err != nil {
		return wrapError(c.Name, KindFile, err, "writing the answer")
	}
	return nil
}
