package command

import (
	"context"
	"errors"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/urfave/cli/v3"

	"cicadacross/internal/register"
)

const (
	directoryMode = 0o755
	fileMode      = 0o644
)

// newRender returns the subcommand that writes the manifest and the parts of a version.
func newRender() *cli.Command {
	return &cli.Command{
		Name:  "render",
		Usage: "write the values to publish: parts/<digest> and manifest; publish the manifest last",
		Flags: []cli.Flag{
			registerFlag(),
			rulesFlag(),
			&cli.StringFlag{
				Name:     "output",
				Usage:    "write to `DIRECTORY`, which may contain an earlier version",
				Required: true,
				Sources:  cli.EnvVars("CICADACROSS_OUTPUT"),
			},
		},
		Action: render,
	}
}

func render(_ context.Context, c *cli.Command) error {
	publication, err := parseFiles(c, c.String("register"), c.String("rules"))
	if err != nil {
		return err
	}
	directory := c.String("output")
	if err := checkNewer(c.Name, directory, publication); err != nil {
		return err
	}
	parts := filepath.Join(directory, partsDirectory)
	if err := os.MkdirAll(parts, directoryMode); err != nil {
		return wrapError(c.Name, KindFile, err, "creating the output directory")
	}
	for digest, data := range publication.Parts() {
		if err := writeFile(c.Name, filepath.Join(parts, digest), data); err != nil {
			return err
		}
	}
	// The manifest is written last, so that a concurrent copy of the directory has all parts that its manifest names.
	if err := writeFile(c.Name, filepath.Join(directory, manifestFile), publication.Manifest()); err != nil {
		return err
	}
	return printSummary(c, publication)
}

// checkNewer returns an error when daemons that have applied the version in the directory would ignore the new one or
// treat it as a conflict.
func checkNewer(op, directory string, publication *register.Publication) error {
	file := filepath.Join(directory, manifestFile)
	data, err := readFile(op, file, int64(register.MaxDocumentSize))
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	earlier, err := register.DecodeManifest(data)
	if err != nil {
		return wrapError(op, KindFaults, err, "%s; choose another output directory", file)
	}
	if earlier.Version() == publication.Version() || earlier.Version().Number() < publication.Version().Number() {
		return nil
	}
	return newError(op, KindFaults, "%s has version %s; daemons that have applied it would not apply version %s; "+
		"write version = %d in the rules", directory, earlier.Version(), publication.Version(), earlier.Version().Number()+1)
}

// writeFile replaces the file atomically, so that readers never see a part of the data.
func writeFile(op, file string, data []byte) error {
	temporary := file + ".new"
	if err := os.WriteFile(temporary, data, fileMode); err != nil {
		return wrapError(op, KindFile, err, "writing")
	}
	if err := os.Rename(temporary, file); err != nil {
		return wrapError(op, KindFile, err, "writing")
	}
	return nil
}
