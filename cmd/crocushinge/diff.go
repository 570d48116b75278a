package main

import (
	"context"
	"fmt"
	"strings"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// difference describes how a document in a file differs from the one in force.
type difference struct {
	Subject string `json:"subject"`
	// Version is the version in force, or 0 if there is none.
	Version uint64 `json:"version"`
	// Lines begin with "-" if they are only in the document in force, with "+"
	// if they are only in the file, and with a space if they are in both.
	Lines []string `json:"lines"`
}

func diff(ctx context.Context, cmd *cli.Command) error {
	validated, err := loadAndValidate(ctx, cmd)
	if err != nil {
		return err
	}
	differences := []difference{}
	for _, file := range validated.files {
		inForce := validated.config.bySubject[file.Document.Subject()]
		if inForce.Text != string(file.Data) {
			differences = append(differences, difference{
				Subject: file.Document.Subject(), Version: inForce.Version, Lines: diffLines(inForce.Text, string(file.Data)),
			})
		}
	}
	if err := printOutput(cmd, differences, func() { printDifferences(cmd, differences) }); err != nil {
		return err
	}
	if len(differences) > 0 {
		return exitError{code: exitDifferent, err: errors.Errorf("%s with changes that are not in force", pluralize(len(differences), "document"))}
	}
	return nil
}

func printDifferences(cmd *cli.Command, differences []difference) {
	for _, d := range differences {
		fmt.Fprintf(cmd.Root().Writer, "%s: version %d is in force\n", d.Subject, d.Version)
		for _, line := range d.Lines {
			if line[0] != ' ' {
				fmt.Fprintln(cmd.Root().Writer, line)
			}
		}
	}
}

// diffLines returns the lines of two texts, marked with "-", "+" or a space as
// in difference.Lines. It finds the longest common subsequence of lines.
func diffLines(oldText, newText string) []string {
	a, b := splitLines(oldText), splitLines(newText)
	lcs := make([][]int, len(a)+1)
	// lcs[i][j] is the length of the longest common subsequence of a[i:] and b[j:].
	for i := range lcs {
		lcs[i] = make([]int, len(b)+1)
	}
	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			lcs[i][j] = max(lcs[i+1][j], lcs[i][j+1])
			if a[i] == b[j] {
				lcs[i][j] = lcs[i+1][j+1] + 1
			}
		}
	}
	var lines []string
	i, j := 0, 0
	for i < len(a) || j < len(b) {
		switch {
		case i < len(a) && j < len(b) && a[i] == b[j]:
			lines = append(lines, " "+a[i])
			i, j = i+1, j+1
		case j == len(b) || i < len(a) && lcs[i+1][j] >= lcs[i][j+1]:
			lines = append(lines, "-"+a[i])
			i++
		default:
			lines = append(lines, "+"+b[j])
			j++
		}
	}
	return lines
}

func splitLines(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(strings.TrimSuffix(text, "\n"), "\n")
}
