package main

import "github.com/pkg/errors"

// Exit codes of the tool; docs/operate/exit-codes.md lists them.
const (
	exitOK = 0
	// exitFailure: the command could not be carried out, and changed nothing
	// but what it lists.
	exitFailure = 1
	// exitUsage: the command line or a document has faults.
	exitUsage = 2
	// exitRejected: a host rejected a change, for example for a conflict.
	exitRejected = 3
	// exitUnknown: a change may be in force or not.
	exitUnknown = 4
	// exitDifferent: what was compared differs.
	exitDifferent = 5
)

// exitError ends the tool with a code of its own.
type exitError struct {
	code int
	err  error
}

// Error implements error.
func (e exitError) Error() string { return e.err.Error() }

// Unwrap returns the error within.
func (e exitError) Unwrap() error { return e.err }

func usageError(message string) error {
	return exitError{code: exitUsage, err: errors.New(message)}
}

// exitCode returns the code for the error of a command.
func exitCode(err error) int {
	var exit exitError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &exit):
		return exit.code
	default:
		return exitFailure
	}
}
