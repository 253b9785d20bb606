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
		Usage:  "report every fault of a register and rules with its line and remedy",
		Flags:  []cli.Flag{registerFlag(), rulesFlag()},
		Action: check,
	}
}

func check(_ context.Context, c *cli.Command) error {
	p, err := parseFiles(c, c.String("register"), c.String("rules"))
	if err != nil {
		return err
	}
	return printSummary(c, p)
}

func printSummary(c *cli.Command, p *register.Publication) error {
	size := len(p.Manifest())
	for _, part := range p.Parts() {
		size += len(part)
	}
	configuration := p.Configuration()
	return printf(c, "version %s: %d targets on %d availability zones, %d services, %d ranks, %d leaving hosts; %d bytes",
		p.Version(), len(configuration.Targets()), zones(configuration), len(configuration.Services()),
		len(configuration.Ranks()), len(configuration.LeavingHosts()), size)
}

func zones(c *cicadacross.Configuration) int {
	names := make(map[string]bool)
	for _, t := range c.Targets() {
		names[t.AvailabilityZone()] = true
	}
	return len(names)
}
