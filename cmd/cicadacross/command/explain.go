package command

import (
	"context"

	"github.com/urfave/cli/v3"

	"cicadacross/internal/timer"
)

// newExplain returns the subcommand that lists the routing decisions on a request.
func newExplain() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "list the decisions of all daemons on a request, whose ID is in the response header X-Mesh-Request-Id",
		ArgsUsage: "REQUEST-ID",
		Flags:     operatorFlags(),
		Action:    explain,
	}
}

func explain(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 || c.Args().First() == "" {
		return newError(c.Name, KindSetting, "give one request ID; see cicadacross %s --help", c.Name)
	}
	client, err := newOperatorClient(c, timer.System{})
	if err != nil {
		return err
	}
	explanation, err := client.Explain(ctx, c.Args().First())
	if err != nil {
		return wrapError(c.Name, KindUnreachable, err, "querying the fleet")
	}
	if err := printResult(c, explanation); err != nil {
		return err
	}
	if len(explanation.Steps) == 0 {
		return newError(c.Name, KindNotFollowed, "no daemon that responded has decisions on the request; "+
			"each daemon keeps only its latest decisions and loses them on a restart")
	}
	return nil
}
