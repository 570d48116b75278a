package target

// Sign is the source of a leave signal, which says that a target is leaving.
type Sign uint8

// Sources of leave signals. A target is leaving while at least one is set.
const (
	// SignHeader is the drain header of the target itself.
	SignHeader Sign = 1 << iota
	// SignHostList is the host list of the platform.
	SignHostList
	// SignOperator is a drain by an operator.
	SignOperator
	// SignPeer is a report of another host that exchanges reports about the service.
	SignPeer
	// SignAnswer is the response of the entry set to a host that queried it for leaving
	// targets.
	SignAnswer
)

// ownLeaveSignals are the signals that a host reports to its peers. A signal received
// from a peer is not passed on; otherwise two hosts would confirm each other forever.
const ownLeaveSignals = SignHeader | SignHostList | SignOperator

var leaveSignalNames = map[Sign]string{
	SignHeader:   "drain header",
	SignHostList: "host list",
	SignOperator: "operator",
	SignPeer:     "peer",
	SignAnswer:   "answer of the entry set",
}

// String returns the name of a single source.
func (s Sign) String() string { return leaveSignalNames[s] }
