package credential

import "strings"

// Fault is one fault in the files of a credential.
type Fault struct {
	// Field is the setting at fault, for example "key-file".
	Field string
	// Message says what is wrong.
	Message string
	// Fix says how to correct it.
	Fix string
}

// Faults are all faults of one credential. As an error they are printed on one
// line.
type Faults []Fault

// Error implements error.
func (f Faults) Error() string {
	messages := make([]string, len(f))
	for i, fault := range f {
		messages[i] = fault.Message
	}
	return strings.Join(messages, "; ")
}
