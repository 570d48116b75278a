package main

import (
	"context"
	"fmt"
	"strings"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// difference is how one document differs from the one in force.
type difference struct {
	Subject string `json:"subject"`
	// Version is the version in force; 0 when none is.
	Version uint64 `json:"version"`
	// Lines begin with "-" when they are in force only, with "+" when they are
	// in the file only, and with a space when they are in both.
	Lines []string `json:"lines"`
}

func diff(ctx context.Context, cmd *cli.Command) error {
	r, err := ready(ctx, cmd)
	if err != nil {
		return err
	}
	differences := []difference{}
	for _, f := range r.files {
		current := r.now.bySubject[f.Document.Subject()]
		if current.Text != string(f.Data) {
			differences = append(differences, difference{
				Subject: f.Document.Subject(), Version: current.Version, Lines: compare(current.Text, string(f.Data)),
			})
		}
	}
	if err := show(cmd, differences, func() { printDifferences(cmd, differences) }); err != nil {
		return err
	}
	if len(differences) > 0 {
		return exitError{code: exitDifferent, err: errors.Errorf("%s not in force as in the files", count(len(differences), "document"))}
	}
	return nil
}

func printDifferences(cmd *cli.Command, list []difference) {
	for _, d := range list {
		fmt.Fprintf(cmd.Root().Writer, "%s: version %d is in force\n", d.Subject, d.Version)
		for _, line := range d.Lines {
			if line[0] != ' ' {
				fmt.Fprintln(cmd.Root().Writer, line)
			}
		}
	}
}

// compare returns the lines of two texts, marked by a longest common
// subsequence.
func compare(before, after string) []string {
	a, b := splitLines(before), splitLines(after)
	common := make([][]int, len(a)+1)
	for i := range common {
		common[i] = make([]int, len(b)+1)
	}
	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			common[i][j] = max(common[i+1][j], common[i][j+1])
			if a[i] == b[j] {
				common[i][j] = common[i+1][j+1] + 1
			}
		}
	}
	var out []string
	i, j := 0, 0
	for i < len(a) || j < len(b) {
		switch {
		case i < len(a) && j < len(b) && a[i] == b[j]:
			out = append(out, " "+a[i])
			i, j = i+1, j+1
		case j == len(b) || i < len(a) && common[i+1][j] >= common[i][j+1]:
			out = append(out, "-"+a[i])
			i++
		default:
			out = append(out, "+"+b[j])
			j++
		}
	}
	return out
}

func splitLines(s string) []string {
	if s == "" {
		return nil
	}
	return strings.Split(strings.TrimSuffix(s, "\n"), "\n")
}
