package command

import (
	"context"

	"github.com/urfave/cli/v3"

	"cicadacross/internal/timer"
)

// newExplain returns the subcommand that says why a request went where it went.
func newExplain() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "list the decisions of all daemons for a request, which answers name in X-Mesh-Request-Id",
		ArgsUsage: "REQUEST-ID",
		Flags:     operatorFlags(),
		Action:    explain,
	}
}

func explain(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 || c.Args().First() == "" {
		return newError(c.Name, KindSetting, "give one request ID; see cicadacross %s --help", c.Name)
	}
	client, err := newClient(c, timer.System{})
	if err != nil {
		return err
	}
	explanation, err := client.Explain(ctx, c.Args().First())
	if err != nil {
		return wrapError(c.Name, KindUnreachable, err, "the fleet can't be asked")
	}
	if err := printAnswer(c, explanation); err != nil {
		return err
	}
	if len(explanation.Steps) == 0 {
		return newError(c.Name, KindNotFollowed, "no daemon that answered has decisions for the request; "+
			"each keeps its latest ones only and loses them when it restarts")
	}
	return nil
}
