package main

import (
	"encoding/json"
	"net"
	"strconv"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// Values of --output.
const (
	outputText = "text"
	outputJSON = "json"
)

// printOutput prints a result as JSON, or as text by calling printText.
func printOutput(cmd *cli.Command, result any, printText func()) error {
	switch format := cmd.String("output"); format {
	case outputText:
		printText()
		return nil
	case outputJSON:
		encoder := json.NewEncoder(cmd.Root().Writer)
		encoder.SetIndent("", "  ")
		return errors.Wrap(encoder.Encode(result), "print the result")
	default:
		return usageError("output format " + format + " is not known; write text or json")
	}
}

// argument returns the only argument of a command. The description is for the
// usage error if there is not exactly one.
func argument(cmd *cli.Command, description string) (string, error) {
	if cmd.Args().Len() != 1 {
		return "", usageError("crocushinge " + cmd.Name + " takes one argument: " + description)
	}
	return cmd.Args().First(), nil
}

// pluralize formats a count with its noun, for example "1 document".
func pluralize(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return strconv.Itoa(n) + " " + noun + "s"
}

// dialFailed reports whether a request failed before a connection was made, so
// that the host cannot have received it.
func dialFailed(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}
