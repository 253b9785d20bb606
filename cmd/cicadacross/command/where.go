package command

import (
	"context"
	"net/url"
	"strings"

	"github.com/urfave/cli/v3"

	"cicadacross/internal/operator"
	"cicadacross/internal/timer"
)

// newWhere returns the subcommand that predicts the routing of a request without sending it.
func newWhere() *cli.Command {
	return &cli.Command{
		Name:      "where",
		Usage:     "show where a request would go now and why, as the first daemon that responds sees it, without sending it",
		ArgsUsage: "METHOD URL",
		Flags: append(operatorFlags(),
			&cli.StringFlag{
				Name:    "authority",
				Usage:   "the `HOST` that the caller addresses; needed when the URL is only a path",
				Sources: cli.EnvVars("CICADACROSS_AUTHORITY"),
			},
			&cli.Int64Flag{
				Name:    "size",
				Usage:   "size of the body in `BYTES`, which is compared with the limit of the configuration",
				Sources: cli.EnvVars("CICADACROSS_SIZE"),
			},
		),
		Action: where,
	}
}

func where(ctx context.Context, c *cli.Command) error {
	request, err := parsePreviewRequest(c)
	if err != nil {
		return err
	}
	client, err := newOperatorClient(c, timer.System{})
	if err != nil {
		return err
	}
	preview, err := client.Where(ctx, request)
	if err != nil {
		return wrapError(c.Name, KindUnreachable, err, "querying the daemon")
	}
	if err := printResult(c, preview); err != nil {
		return err
	}
	if preview.IsRefused() {
		return newError(c.Name, KindRefused, "the request would be refused")
	}
	return nil
}

func parsePreviewRequest(c *cli.Command) (operator.PreviewRequest, error) {
	var request operator.PreviewRequest
	if c.Args().Len() != 2 || c.Args().First() == "" {
		return request, newError(c.Name, KindSetting, "give a method and a URL; see cicadacross %s --help", c.Name)
	}
	u, err := url.ParseRequestURI(c.Args().Get(1))
	if err != nil {
		return request, wrapError(c.Name, KindSetting, err, "URL")
	}
	request = operator.PreviewRequest{
		Method: strings.ToUpper(c.Args().First()), URL: u, Authority: c.String("authority"), Size: c.Int64("size"),
	}
	if request.Authority == "" {
		request.Authority = u.Host
	}
	switch {
	case request.Authority == "":
		return request, newError(c.Name, KindSetting, "the URL has no host; give --authority")
	case request.Size < 0:
		return request, newError(c.Name, KindSetting, "--size is %d; it must not be negative", request.Size)
	}
	return request, nil
}
