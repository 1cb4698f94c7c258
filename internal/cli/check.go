package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"github.com/jujubeshed/jujubeshed/internal/config"
)

// checkReport is the result of the check command. It is printed as is with --json.
type checkReport struct {
	Files       []string            `json:"files"`
	Diagnostics []config.Diagnostic `json:"diagnostics"`
	Errors      int                 `json:"errors"`
	Config      *config.Config      `json:"config,omitempty"` // absent if there are errors
}

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "validate a directory of configuration files and show the configuration that they define",
		ArgsUsage: "DIR",
		Flags:     []cli.Flag{&cli.BoolFlag{Name: "json", Usage: "print the report as JSON"}},
		Action: func(_ context.Context, cmd *cli.Command) error {
			dir := cmd.Args().First()
			if dir == "" {
				return usageError{fmt.Errorf("check: missing argument DIR, the directory of the configuration files")}
			}
			return runCheck(cmd.Root().Writer, dir, cmd.Bool("json"))
		},
	}
}

func runCheck(w io.Writer, dir string, asJSON bool) error {
	files, err := readConfigDir(dir)
	if err != nil {
		return usageError{err}
	}
	report, err := checkFiles(files)
	if err != nil {
		return usageError{err}
	}
	if asJSON {
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		err = enc.Encode(report)
	} else {
		err = report.print(w)
	}
	if err != nil {
		return err
	}
	if report.Errors > 0 {
		return usageError{fmt.Errorf("%d errors in %s", report.Errors, dir)}
	}
	return nil
}

func checkFiles(files []config.File) (checkReport, error) {
	var report checkReport
	if len(files) == 0 {
		return report, fmt.Errorf("the directory contains no .yaml or .yml file")
	}
	for _, f := range files {
		report.Files = append(report.Files, f.Name)
	}
	report.Config, report.Diagnostics = config.Merge(files)
	for _, d := range report.Diagnostics {
		if d.Severity == config.SeverityError {
			report.Errors++
		}
	}
	if report.Errors > 0 {
		report.Config = nil
	}
	return report, nil
}

// readConfigDir reads the configuration files of a directory, ordered by name. It skips
// subdirectories and other files.
func readConfigDir(dir string) ([]config.File, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	var files []config.File
	for _, e := range entries {
		if e.IsDir() || !config.IsConfigFile(e.Name()) {
			continue
		}
		data, err := os.ReadFile(filepath.Join(dir, e.Name()))
		if err != nil {
			return nil, err
		}
		files = append(files, config.File{Name: e.Name(), Data: data})
	}
	return files, nil
}

func (r checkReport) print(w io.Writer) error {
	for _, d := range r.Diagnostics {
		fmt.Fprintln(w, d)
	}
	if r.Config == nil {
		return nil
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	printConfig(t, r.Config)
	return t.Flush()
}

// printConfig writes the merged configuration as tables.
func printConfig(w io.Writer, c *config.Config) {
	fmt.Fprintln(w, "ROUTE\tPREFIX\tMETHODS\tSERVICE\tCLASS\tIDEMPOTENT\tDEADLINE")
	for _, name := range slices.Sorted(maps.Keys(c.Routes)) {
		r := c.Routes[name]
		methods := "all"
		if len(r.Methods) > 0 {
			methods = strings.Join(r.Methods, ",")
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%t\t%s\n", r.Name, r.Prefix, methods, r.Service, r.Class, r.Idempotent, r.Deadline)
	}
	fmt.Fprintln(w, "\nSERVICE\tKIND\tVERSION\tCONCURRENCY\tDROPS DUPLICATES\tCHECKS FENCE")
	for _, name := range slices.Sorted(maps.Keys(c.Services)) {
		s := c.Services[name]
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%t\t%t\n", s.Name, s.Kind, s.Version, s.Concurrency, s.DropsDuplicates, s.ChecksFence)
	}
	fmt.Fprintln(w, "\nWORKSPACE\tKEYS\tWEIGHT\tRATE/S\tCONCURRENCY")
	for _, name := range slices.Sorted(maps.Keys(c.Workspaces)) {
		ws := c.Workspaces[name]
		fmt.Fprintf(w, "%s\t%d\t%d\t%g\t%d\n", ws.Name, len(ws.Keys), ws.Weight, ws.RatePerSecond, ws.Concurrency)
	}
	if len(c.Moves) == 0 {
		return
	}
	fmt.Fprintln(w, "\nMOVE\tSERVICE\tFROM\tTO\tFINISH BY\tBAKE\tSUPERSEDED BY")
	for _, name := range slices.Sorted(maps.Keys(c.Moves)) {
		m := c.Moves[name]
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", m.Name, m.Service, m.From, m.To, m.FinishBy.Format("2006-01-02 15:04 MST"), m.Bake, m.SupersededBy)
	}
}
