package caller

// Result is what a caller is told about how its request ended.
type Result int

// The results of a request.
const (
	// Pending means that the request has not ended yet.
	Pending Result = iota
	// Completed means that the request ran once and its whole response was
	// received.
	Completed
	// NotRun means that no byte of the request can have reached the
	// application.
	NotRun
	// Unknown means that the request may or may not have run.
	Unknown
)

var resultNames = [...]string{"pending", "completed", "not-run", "unknown"}

// String returns the result as it is sent in the response header.
func (r Result) String() string { return resultNames[r] }

// ParseResult parses the format of Result.String. It returns Unknown and false
// for any other text.
func ParseResult(s string) (Result, bool) {
	for i, name := range resultNames {
		if name == s {
			return Result(i), true
		}
	}
	return Unknown, false
}
