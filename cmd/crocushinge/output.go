package main

import (
	"encoding/json"
	"net"
	"strconv"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// Formats of the output.
const (
	outputText = "text"
	outputJSON = "json"
)

// show prints a result as JSON, or by the function text.
func show(cmd *cli.Command, result any, text func()) error {
	switch format := cmd.String("output"); format {
	case outputText:
		text()
		return nil
	case outputJSON:
		encoder := json.NewEncoder(cmd.Root().Writer)
		encoder.SetIndent("", "  ")
		return errors.Wrap(encoder.Encode(result), "print the result")
	default:
		return usageError("output format " + format + " is not known; write text or json")
	}
}

// argument returns the only argument of a command.
func argument(cmd *cli.Command, what string) (string, error) {
	if cmd.Args().Len() != 1 {
		return "", usageError("crocushinge " + cmd.Name + " takes one argument: " + what)
	}
	return cmd.Args().First(), nil
}

// count formats a number of things, for example "1 document".
func count(n int, thing string) string {
	if n == 1 {
		return "1 " + thing
	}
	return strconv.Itoa(n) + " " + thing + "s"
}

// notSent reports whether a failed call ended before a connection was made, so
// that the host cannot have seen it.
func notSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
