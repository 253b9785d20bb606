package command

import (
	"io"
	"os"
	"path/filepath"

	"github.com/urfave/cli/v3"

	"cicadacross"
	"cicadacross/internal/register"
)

// The files of a rendered version in the output directory. Each part is a file in partsDirectory that is named by its
// digest, like its key in the platform's service.
const (
	manifestFile   = cicadacross.KeyManifest
	partsDirectory = "parts"
)

func registerFlag() cli.Flag {
	return &cli.StringFlag{
		Name:    "register",
		Usage:   "read the register from `FILE` (CSV)",
		Value:   "register.csv",
		Sources: cli.EnvVars("CICADACROSS_REGISTER"),
	}
}

func rulesFlag() cli.Flag {
	return &cli.StringFlag{
		Name:    "rules",
		Usage:   "read the rules from `FILE` (TOML)",
		Value:   "rules.toml",
		Sources: cli.EnvVars("CICADACROSS_RULES"),
	}
}

// parseFiles reads a register and rules. If they have faults, it prints them, one per line, and returns an error.
func parseFiles(c *cli.Command, registerFile, rulesFile string) (*register.Publication, error) {
	csv, err := readDocument(c.Name, registerFile)
	if err != nil {
		return nil, err
	}
	rules, err := readDocument(c.Name, rulesFile)
	if err != nil {
		return nil, err
	}
	publication, faults := register.Parse(csv, rules)
	if len(faults) > 0 {
		if err := printLine(c, "%s", faults); err != nil {
			return nil, err
		}
		return nil, newError(c.Name, KindFaults, "%d fault(s); the version can't be published", len(faults))
	}
	return publication, nil
}

func readDocument(op, file string) (register.Document, error) {
	// Reads one byte more than is allowed, so that package register reports the size as a fault.
	data, err := readFile(op, file, register.MaxDocumentSize+1)
	return register.NewDocument(file, data), err
}

// readFile returns the content of the file, truncated to maxSize bytes.
func readFile(op, file string, maxSize int64) ([]byte, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, wrapError(op, KindFile, err, "opening the file")
	}
	defer func() { _ = f.Close() }()
	data, err := io.ReadAll(io.LimitReader(f, maxSize))
	if err != nil {
		return nil, wrapError(op, KindFile, err, "reading %s", file)
	}
	return data, nil
}

// readRendered reads a version that render wrote to the directory.
func readRendered(op, directory string) (*cicadacross.Configuration, error) {
	data, err := readFile(op, filepath.Join(directory, manifestFile), cicadacross.MaxValueSize)
	if err != nil {
		return nil, err
	}
	manifest, err := register.DecodeManifest(data)
	if err != nil {
		return nil, wrapError(op, KindFaults, err, "%s", filepath.Join(directory, manifestFile))
	}
	configuration, err := register.Assemble(manifest, func(digest string) ([]byte, bool) {
		part, err := readFile(op, filepath.Join(directory, partsDirectory, digest), cicadacross.MaxValueSize)
		return part, err == nil
	})
	if err != nil {
		return nil, wrapError(op, KindFaults, err, "%s", directory)
	}
	return configuration, nil
}
