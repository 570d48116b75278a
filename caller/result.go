package caller

// Result is what a caller is told of a request: a closed set.
type Result int

// The results of a request.
const (
	// Pending requests have not ended yet.
	Pending Result = iota
	// Completed requests ran once and their whole answer was received.
	Completed
	// NotRun is only said when no byte of the request can have reached the
	// application.
	NotRun
	// Unknown is said when the request may or may not have run.
	Unknown
)

var resultNames = [...]string{"pending", "completed", "not-run", "unknown"}

// String returns the result as it stands in the response header.
func (r Result) String() string { return resultNames[r] }

// ParseResult parses a result as String prints it. It returns Unknown and
// false for any other text.
func ParseResult(s string) (Result, bool) {
	for i, name := range resultNames {
		if name == s {
			return Result(i), true
		}
	}
	return Unknown, false
}
