package main

import "github.com/pkg/errors"

// Exit codes of the tool; docs/operate/exit-codes.md lists them.
const (
	exitOK = 0
	// exitFailure means that the command failed and changed nothing except what
	// it lists.
	exitFailure = 1
	// exitUsage means that the command line or a document has faults.
	exitUsage = 2
	// exitRejected means that a host rejected a change, for example because of a
	// conflict.
	exitRejected = 3
	// exitUnknown means that a change may or may not be in force.
	exitUnknown = 4
	// exitDifferent means that files differ from the documents in force, or that
	// not every host is known to have the newest revision in force.
	exitDifferent = 5
)

// exitError is an error with the exit code of the tool.
type exitError struct {
	code int
	err  error
}

// Error implements error.
func (e exitError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e exitError) Unwrap() error { return e.err }

func usageError(message string) error {
	return exitError{code: exitUsage, err: errors.New(message)}
}

// exitCode returns the exit code for the error of a command, which may be nil.
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
