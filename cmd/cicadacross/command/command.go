// Package command implements the command-line tool for operators, with one file per subcommand.
package command

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"
	"github.com/zeromicro/go-zero/core/logx"

	"cicadacross/internal/failure"
)

// The exit codes of the command. The result of a subcommand is positive or negative.
const (
	// ExitOK means that the command succeeded and its result is positive.
	ExitOK = 0
	// ExitNegativeResult means that the result is negative: for example, there are faults or the fleet has not followed.
	ExitNegativeResult = 1
	// ExitFailed means that there is no result: for example, a setting is invalid or a file can't be read.
	ExitFailed = 2
)

// Options configures the command.
type Options struct {
	// Out receives the results.
	Out io.Writer
	// Err receives errors and, if requested, logs.
	Err io.Writer
}

// New returns the root command with all subcommands.
func New(opts Options) *cli.Command {
	root := &cli.Command{
		Name:      "cicadacross",
		Usage:     "checks and publishes the configuration of a service mesh and shows whether the fleet has followed",
		Writer:    opts.Out,
		ErrWriter: opts.Err,
		Suggest:   true,
		Commands:  []*cli.Command{newCheck(), newRender(), newDiff(), newStatus(), newExplain(), newWhere(), newDemo()},
		// Run returns the exit code; by default, the library would exit the process.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Action:         rejectUnknownCommand,
	}
	for _, sub := range root.Commands {
		if sub.ArgsUsage == "" {
			sub.Action = rejectArguments(sub)
		}
		sub.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
			return wrapError(sub.Name, KindSetting, err, "see cicadacross %s --help", sub.Name)
		}
	}
	return root
}

// Run runs the command with the arguments, the first of which is its name, and returns the exit code. It disables the
// log of go-zero for the whole process.
func Run(ctx context.Context, args []string, opts Options) int {
	// go-zero logs each call to standard output, which must contain only results.
	logx.Disable()
	err := New(opts).Run(ctx, args)
	if err == nil {
		return ExitOK
	}
	_, _ = fmt.Fprintf(opts.Err, "cicadacross: %v\n", err)
	if kind, ok := failure.KindOf[Kind](err); ok && isNegativeResult(kind) {
		return ExitNegativeResult
	}
	return ExitFailed
}

// isNegativeResult reports whether an error of the kind means a negative result rather than none.
func isNegativeResult(kind Kind) bool {
	return kind == KindFaults || kind == KindNotFollowed || kind == KindRefused || kind == KindDemo
}

// rejectUnknownCommand is the action of the root command, which runs when the first argument is not the name of a
// subcommand. It shows the help when there are no arguments.
func rejectUnknownCommand(_ context.Context, root *cli.Command) error {
	if name := root.Args().First(); name != "" {
		return newError("cicadacross", KindSetting, "unknown command %q; see cicadacross --help", name)
	}
	return cli.ShowRootCommandHelp(root)
}

// rejectArguments returns an action that returns an error when there are arguments and otherwise runs the action of the
// subcommand.
func rejectArguments(sub *cli.Command) cli.ActionFunc {
	action := sub.Action
	return func(ctx context.Context, c *cli.Command) error {
		if extra := c.Args().First(); extra != "" {
			return newError(c.Name, KindSetting, "unexpected argument %q; see cicadacross %s --help", extra, c.Name)
		}
		return action(ctx, c)
	}
}

// printLine writes a line to the output of the command.
func printLine(c *cli.Command, format string, args ...any) error {
	if _, err := fmt.Fprintf(c.Root().Writer, format+"\n", args...); err != nil {
		return wrapError(c.Name, KindFile, err, "writing the output")
	}
	return nil
}
