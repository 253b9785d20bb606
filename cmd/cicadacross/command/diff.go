package command

import (
	"context"

	"github.com/urfave/cli/v3"

	"cicadacross"
	"cicadacross/internal/register"
)

// newDiff returns the subcommand that lists the changes between two versions.
func newDiff() *cli.Command {
	return &cli.Command{
		Name:  "diff",
		Usage: "list the changes of a register and rules to an older version",
		Flags: []cli.Flag{
			registerFlag(),
			rulesFlag(),
			&cli.StringFlag{
				Name:    "old-register",
				Usage:   "read the older register from `FILE`; needs --old-rules",
				Sources: cli.EnvVars("CICADACROSS_OLD_REGISTER"),
			},
			&cli.StringFlag{
				Name:    "old-rules",
				Usage:   "read the older rules from `FILE`; needs --old-register",
				Sources: cli.EnvVars("CICADACROSS_OLD_RULES"),
			},
			&cli.StringFlag{
				Name:    "old-rendered",
				Usage:   "read the older version from `DIRECTORY`, as render wrote it",
				Sources: cli.EnvVars("CICADACROSS_OLD_RENDERED"),
			},
		},
		Action: diff,
	}
}

func diff(_ context.Context, c *cli.Command) error {
	old, err := olderVersion(c)
	if err != nil {
		return err
	}
	publication, err := parseFiles(c, c.String("register"), c.String("rules"))
	if err != nil {
		return err
	}
	if err := printLine(c, "version %s -> %s", old.Version(), publication.Version()); err != nil {
		return err
	}
	changes := register.Diff(old, publication.Configuration())
	for _, change := range changes {
		if err := printLine(c, "%s", change); err != nil {
			return err
		}
	}
	if old.Version() == publication.Version() {
		return printLine(c, "no changes")
	}
	if publication.Version().Number() <= old.Version().Number() {
		return newError(c.Name, KindFaults, "version %d is not above version %d, so that daemons would not apply it; "+
			"increase version in the rules", publication.Version().Number(), old.Version().Number())
	}
	return nil
}

// olderVersion returns the older version, from files or a rendered directory as the flags specify.
func olderVersion(c *cli.Command) (*cicadacross.Configuration, error) {
	csv, rules, rendered := c.String("old-register"), c.String("old-rules"), c.String("old-rendered")
	switch {
	case rendered != "" && csv == "" && rules == "":
		return readRendered(c.Name, rendered)
	case rendered == "" && csv != "" && rules != "":
		publication, err := parseFiles(c, csv, rules)
		if err != nil {
			return nil, err
		}
		return publication.Configuration(), nil
	}
	return nil, newError(c.Name, KindSetting, "give either --old-rendered or both --old-register and --old-rules")
}
