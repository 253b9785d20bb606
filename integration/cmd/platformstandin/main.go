// Command platformstandin runs the stand-in for the platform's configuration service as a separate process.
package main

import (
	"context"
	"errors"
	"io/fs"
	"log/slog"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"

	"github.com/go-logr/logr"
	"github.com/urfave/cli/v3"

	"cicadacross"
	"cicadacross/internal/register"
	"cicadacross/internal/standin/platform"
)

func main() {
	log := logr.FromSlogHandler(slog.NewTextHandler(os.Stdout, nil))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	command := &cli.Command{
		Name:  "platformstandin",
		Usage: "serve a stand-in for the platform's configuration service",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "IP:port to listen on; port 0 selects a free port"},
			&cli.StringFlag{Name: "directory", Usage: "directory whose files are the values; the relative path is the key"},
			&cli.StringFlag{Name: "register", Usage: "register file (CSV) to publish; requires --rules"},
			&cli.StringFlag{Name: "rules", Usage: "rules file (TOML) to publish; requires --register"},
		},
		Action: func(ctx context.Context, c *cli.Command) error { return serve(ctx, c, log) },
	}
	if err := command.Run(ctx, os.Args); err != nil {
		log.Error(err, "stopped")
		os.Exit(1)
	}
}

func serve(ctx context.Context, c *cli.Command, log logr.Logger) error {
	server := platform.New(platform.Options{Address: c.String("listen")})
	values := make(map[string][]byte)
	if directory := c.String("directory"); directory != "" {
		if err := readDirectory(directory, values); err != nil {
			return err
		}
	}
	if c.String("register") != "" || c.String("rules") != "" {
		if err := render(c.String("register"), c.String("rules"), values); err != nil {
			return err
		}
	}
	server.SetAll(values)
	if err := server.Start(); err != nil {
		return err
	}
	defer server.Stop()
	log.Info("listening", "address", server.Address(), "values", len(values))
	<-ctx.Done()
	return nil
}

// readDirectory adds the content of each file below the directory to values. The key is the path relative to
// directory.
func readDirectory(directory string, values map[string][]byte) error {
	return filepath.WalkDir(directory, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		key, err := filepath.Rel(directory, path)
		if err != nil {
			return err
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		values[filepath.ToSlash(key)] = data
		return nil
	})
}

// render adds the manifest and the parts of the register and the rules to values. The error lists all faults of the
// files.
func render(registerFile, rulesFile string, values map[string][]byte) error {
	registerData, err := os.ReadFile(registerFile)
	if err != nil {
		return err
	}
	rulesData, err := os.ReadFile(rulesFile)
	if err != nil {
		return err
	}
	publication, faults := register.Parse(register.NewDocument(registerFile, registerData),
		register.NewDocument(rulesFile, rulesData))
	if len(faults) > 0 {
		var text []string
		for _, fault := range faults {
			text = append(text, fault.String())
		}
		return errors.New(strings.Join(text, "\n"))
	}
	values[cicadacross.KeyManifest] = publication.Manifest()
	for digest, data := range publication.Parts() {
		values[cicadacross.KeyPartPrefix+digest] = data
	}
	return nil
}
