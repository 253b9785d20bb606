package command

import (
	"context"

	"github.com/urfave/cli/v3"

	"cicadacross"
	"cicadacross/internal/register"
)

// newCheck returns the subcommand that reports all faults of a register and rules.
func newCheck() *cli.Command {
	return &cli.Command{
		Name:   "check",
		Usage:  "report all faults of a register and rules with their lines and corrections",
		Flags:  []cli.Flag{registerFlag(), rulesFlag()},
		Action: check,
	}
}

func check(_ context.Context, c *cli.Command) error {
	publication, err := parseFiles(c, c.String("register"), c.String("rules"))
	if err != nil {
		return err
	}
	return printSummary(c, publication)
}

// printSummary writes a line with the version and its size; the size is the total of the values to publish.
func printSummary(c *cli.Command, publication *register.Publication) error {
	size := len(publication.Manifest())
	for _, part := range publication.Parts() {
		size += len(part)
	}
	configuration := publication.Configuration()
	return printLine(c,
		"version %s: %d targets on %d availability zones, %d services, %d ranks, %d leaving hosts; %d bytes",
		publication.Version(), len(configuration.Targets()), zoneCount(configuration), len(configuration.Services()),
		len(configuration.Ranks()), len(configuration.LeavingHosts()), size)
}

// zoneCount returns the number of availability zones with targets.
func zoneCount(c *cicadacross.Configuration) int {
	names := make(map[string]bool)
	for _, t := range c.Targets() {
		names[t.AvailabilityZone()] = true
	}
	return len(names)
}
